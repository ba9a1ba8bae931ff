package admission

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"lotusstile.dev/lotusstile/internal/connlimit"
	"lotusstile.dev/lotusstile/internal/relay"
)

// Shares of a node's connections. The rest is for the services, the workers and the peers that
// the node itself connects to.
const (
	openShare    = 0.75   // connections that stay open for workers, users and operators
	reserveShare = 0.0625 // connections for one request each while all of these are taken

	// The reserve is divided into four parts: workers have two, users one, operators the rest.
	reserveParts = 4
	workersParts = 2
	usersParts   = 1
)

// Slots bounds how many requests of one kind are answered on connections of the reserve
// at a time. Callers refuse the others at once, so that part of the reserve is always left for
// operators. It is safe for concurrent use.
type Slots struct {
	limit int64
	used  atomic.Int64
}

// Acquire takes a slot and returns true, unless all are taken. Release gives it back.
func (s *Slots) Acquire() bool {
	if s.used.Add(1) > s.limit {
		s.used.Add(-1)
		return false
	}
	return true
}

// Release gives back a slot that Acquire took.
func (s *Slots) Release() { s.used.Add(-1) }

// Limit is how many slots there are.
func (s *Slots) Limit() int { return int(s.limit) }

// Connections bounds the connections of users, workers and operators, and reports how short of
// them the node is. It is safe for concurrent use.
type Connections struct {
	// WorkerReserve and UserReserve bound who is answered on connections of the reserve.
	WorkerReserve, UserReserve Slots

	limits   connlimit.Limits
	listener atomic.Pointer[connlimit.Listener] // nil before the node listens
}

// NewConnections returns the bounds of a node that may have maxConnections in all and
// whose workers send a heartbeat once every heartbeatInterval.
func NewConnections(maxConnections int, heartbeatInterval time.Duration) *Connections {
	connections := float64(maxConnections)
	reserve := int64(reserveShare * connections)
	return &Connections{
		WorkerReserve: Slots{limit: max(1, reserve*workersParts/reserveParts)},
		UserReserve:   Slots{limit: max(1, reserve*usersParts/reserveParts)},
		limits: connlimit.Limits{
			MaxOpen: int(openShare * connections),
			Reserve: int(reserveShare * connections),
			// The connection of a live worker is idle for no longer than one interval.
			MinIdle:        2 * heartbeatInterval,
			ReserveTimeout: heartbeatInterval,
		},
	}
}

// Limits returns how many connections of users, workers and operators may be open, and for how
// long.
func (c *Connections) Limits() connlimit.Limits { return c.limits }

// Listen returns a listener that keeps l's connections within the limits. Pressure and the counts
// are those of the latest such listener.
func (c *Connections) Listen(l net.Listener) *connlimit.Listener {
	limited := connlimit.New(l, c.limits)
	c.listener.Store(limited)
	return limited
}

// Pressure is how short of connections the node is for the request that ctx belongs to.
func (c *Connections) Pressure(ctx context.Context) relay.Pressure {
	switch l := c.listener.Load(); {
	case connlimit.OnReserve(ctx):
		return relay.Full
	case l != nil && l.UnderPressure():
		return relay.UnderPressure
	}
	return relay.Relaxed
}

// CloseUnderPressure wraps a handler: while connections are short, each is closed once its request
// is answered, so that another client gets its turn.
func (c *Connections) CloseUnderPressure(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.Pressure(r.Context()) != relay.Relaxed {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Open returns how many connections are open, without those of the reserve; 0 before the node
// listens.
func (c *Connections) Open() int {
	if l := c.listener.Load(); l != nil {
		return l.Open()
	}
	return 0
}

// Reserved returns how many connections of the reserve are in use; 0 before the node listens.
func (c *Connections) Reserved() int {
	if l := c.listener.Load(); l != nil {
		return l.Reserved()
	}
	return 0
}

// Evicted returns how many idle connections have been closed for new ones so far.
func (c *Connections) Evicted() uint64 {
	if l := c.listener.Load(); l != nil {
		return l.Evicted()
	}
	return 0
}
