package httpapi

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// ready answers the load balancer's health checks. A node reports itself unready only while it
// cannot serve and another node may: in an outage that all nodes share, leaving the balancer
// would help nobody.
func (s *Server) ready(c echo.Context) error {
	if !s.JobCache.HasSynced() || s.Catalog() == nil {
		return retryLater("still catching up")
	}
	if s.Store.SinceLastExecuted() > s.Config.LeaderLeaseTTL()*3/2 && (s.peerServes() || s.isIsolated()) {
		return errElsewhere
	}
	return c.NoContent(http.StatusOK)
}

// peerServes reports whether a peer reaches the state store.
func (s *Server) peerServes() bool {
	for _, p := range s.Peers {
		if r, ok := p.LastPing(s.Config.LeaderLeaseTTL()); ok && r.Serving {
			return true
		}
	}
	return false
}

// isIsolated reports whether no peer has answered a ping lately. A node that cannot reach the
// state store either is itself cut off: in an outage of the state store that all nodes share,
// peers still answer.
func (s *Server) isIsolated() bool {
	for _, p := range s.Peers {
		if _, ok := p.LastPing(s.Config.LeaderLeaseTTL() * 3 / 2); ok {
			return false
		}
	}
	return len(s.Peers) > 0
}
