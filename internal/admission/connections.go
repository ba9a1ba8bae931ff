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

// Shares of the connections that a node may have. The rest is for the connections that the node
// itself opens to services, workers and peers.
const (
	openShare    = 0.75   // connections of workers, users and operators that stay open from request to request
	reserveShare = 0.0625 // the reserve: further connections, for one request each, while all open ones are taken

	// The reserve is divided into four parts: two for workers, one for users, one for operators.
	reserveParts = 4
	workersParts = 2
	usersParts   = 1
)

// Slots bounds how many requests of one kind are answered on connections of the reserve at a time.
// Callers refuse a request at once if no slot is free, so that part of the reserve is always left
// for operators. Slots is safe for concurrent use.
type Slots struct {
	limit int64
	used  atomic.Int64
}

// Acquire takes a slot and returns true; it returns false if all are taken. Release gives the slot back.
func (s *Slots) Acquire() bool {
	if s.used.Add(1) > s.limit {
		s.used.Add(-1)
		return false
	}
	return true
}

// Release gives back a slot that Acquire took.
func (s *Slots) Release() { s.used.Add(-1) }

// Limit returns the number of slots, free or taken.
func (s *Slots) Limit() int { return int(s.limit) }

// Connections bounds the connections of users, workers and operators, and reports how many of them
// are taken. It is safe for concurrent use.
type Connections struct {
	// WorkerReserve and UserReserve bound the requests of workers and of users that are answered on
	// connections of the reserve.
	WorkerReserve, UserReserve Slots

	limits   connlimit.Limits
	listener atomic.Pointer[connlimit.Listener] // nil before the node listens
}

// NewConnections returns the bounds of a node that may have maxConnections in total and whose
// workers send a heartbeat every heartbeatInterval.
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

// Limits returns the limits on the number and the idle time of the connections of users, workers and
// operators.
func (c *Connections) Limits() connlimit.Limits { return c.limits }

// Listen returns a listener that keeps l's connections within the limits. Pressure, Open, Reserved
// and Evicted report on the listener that the latest call returned.
func (c *Connections) Listen(l net.Listener) *connlimit.Listener {
	limited := connlimit.New(l, c.limits)
	c.listener.Store(limited)
	return limited
}

// Pressure returns how short of connections the node is. It is relay.Full if the request that ctx
// belongs to came on a connection of the reserve.
func (c *Connections) Pressure(ctx context.Context) relay.Pressure {
	switch l := c.listener.Load(); {
	case connlimit.OnReserve(ctx):
		return relay.Full
	case l != nil && l.UnderPressure():
		return relay.UnderPressure
	}
	return relay.NoPressure
}

// CloseUnderPressure wraps a handler. While nearly all connections are taken, each one is closed
// after its request is answered, so that another client can connect.
func (c *Connections) CloseUnderPressure(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.Pressure(r.Context()) != relay.NoPressure {
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
