package httpapi

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// ready answers the load balancer's health checks. A node reports itself unready until it has
// loaded the jobs and the machine types, and while it cannot serve but another node may. In an outage
// that all nodes share it stays ready: removing it from the load balancer would help nobody.
func (s *Server) ready(c echo.Context) error {
	if !s.JobCache.HasSynced() || s.Catalog() == nil {
		return retryLater("still catching up")
	}
	if s.Store.SinceLastExecuted() > s.Config.LeaderLeaseTTL()*3/2 && (s.anyPeerReachesStore() || s.isIsolated()) {
		return errCannotServeHere
	}
	return c.NoContent(http.StatusOK)
}

// anyPeerReachesStore reports whether any peer said recently that it reaches the state store.
func (s *Server) anyPeerReachesStore() bool {
	for _, p := range s.Peers {
		if ping, ok := p.LastPing(s.Config.LeaderLeaseTTL()); ok && ping.Serving {
			return true
		}
	}
	return false
}

// isIsolated reports whether this node has peers and none of them has answered a ping recently. If
// the node cannot reach the state store either, the fault is its own network: in an outage of the
// state store, peers still answer.
func (s *Server) isIsolated() bool {
	for _, p := range s.Peers {
		if _, ok := p.LastPing(s.Config.LeaderLeaseTTL() * 3 / 2); ok {
			return false
		}
	}
	return len(s.Peers) > 0
}
