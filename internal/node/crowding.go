package node

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/connlimit"
	"lotusstile.dev/lotusstile/internal/relay"
	"lotusstile.dev/lotusstile/wire"
)

// Shares of a node's connections. The rest is for the services, the workers and the peers that
// it connects to itself.
const (
	placesShare  = 0.75   // kept for workers, users and operators
	reserveShare = 0.0625 // for one request each while no place is free
	reserveParts = 4      // of the reserve: workers have two, users one, operators the rest
	workersParts = 2
	usersParts   = 1
)

// reserve counts who is answered on connections of the reserve. Those over their part are
// answered at once, so that there is always one left for operators.
type reserve struct {
	workers, users         atomic.Int64
	mostWorkers, mostUsers int64
}

func newReserve(connections int) *reserve {
	places := int64(reserveShare * float64(connections))
	return &reserve{mostWorkers: max(1, places*workersParts/reserveParts), mostUsers: max(1, places*usersParts/reserveParts)}
}

// enter counts a request in, unless there are too many.
func enter(count *atomic.Int64, most int64) bool {
	if count.Add(1) > most {
		count.Add(-1)
		return false
	}
	return true
}

// limits bounds the connections of users, workers and operators.
func (n *Node) limits() connlimit.Limits {
	connections := float64(n.cfg.Cluster.Limits.MaxConnections)
	return connlimit.Limits{MaxOpen: int(placesShare * connections), Reserve: int(reserveShare * connections),
		// A worker that is well is idle for no longer than one interval.
		MinIdle: 2 * n.cfg.HeartbeatInterval(), ReserveTimeout: n.cfg.HeartbeatInterval()}
}

// pressure is how short of connections this node is for a request.
func (n *Node) pressure(ctx context.Context) relay.Pressure {
	switch l := n.connections.Load(); {
	case connlimit.OnReserve(ctx):
		return relay.Full
	case l != nil && l.UnderPressure():
		return relay.UnderPressure
	}
	return relay.Relaxed
}

// inTurn closes connections once their request is answered while places are scarce: they serve
// others in turn.
func (n *Node) inTurn(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.pressure(r.Context()) != relay.Relaxed {
			w.Header().Set(echo.HeaderConnection, "close")
		}
		h.ServeHTTP(w, r)
	})
}

// errNoRoom sends a worker to another node at once: this one has no connection for it.
var errNoRoom = decision{status: http.StatusMisdirectedRequest, redirect: &wire.Redirect{}}
