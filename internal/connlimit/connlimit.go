// Package connlimit bounds the connections of an HTTP server. When the limit is reached, the
// connection that has been idle for longest is closed for a new one: connections that nobody
// uses any more would otherwise keep users, workers and operators out until they time out.
//
// If no connection is idle, a new one is admitted to a small reserve, for one request. The
// server can then read who requests what, and answer at once; an operator gets in
// however many connections users and workers have open.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Limits bounds a listener's connections.
type Limits struct {
	MaxOpen int           // connections that may stay open from request to request; at least 1
	Reserve int           // further connections, for one request each
	MinIdle time.Duration // a connection that has been idle for this long may be closed for a new one
	// ReserveTimeout is how long a connection of the reserve may take to send its request.
	ReserveTimeout time.Duration
}

// pressureShare is the share of MaxOpen from which on a listener is under pressure.
const pressureShare = 0.875

// checksPerMinIdle is how many times in MinIdle a listener without room looks for a connection that
// may be closed.
const checksPerMinIdle = 8

// Listener accepts a limited number of connections at a time. Its ConnState and ConnContext must be
// the http.Server's hooks of these names.
type Listener struct {
	net.Listener
	limits Limits
	freed  chan struct{} // signals that a connection or the listener was closed; one signal is buffered

	mu        sync.Mutex
	open      map[*conn]struct{} // those that are not of the reserve
	reserved  int                // connections of the reserve
	closed    atomic.Bool
	evicted   atomic.Uint64
	openCount atomic.Int64 // len(open), readable without mu
}

// conn is a connection that counts against the limits of its listener.
type conn struct {
	net.Conn
	listener  *Listener
	reserve   bool         // it is of the reserve; set before Accept returns it
	deadline  time.Time    // by which a connection of the reserve has to send its request
	idleSince atomic.Int64 // in nanoseconds of the Unix time; 0 while a request is answered
	closed    bool         // it no longer counts; guarded by the listener's mu
}

// New bounds the connections of a listener.
func New(l net.Listener, limits Limits) *Listener {
	limits.MaxOpen = max(1, limits.MaxOpen)
	return &Listener{Listener: l, limits: limits, freed: make(chan struct{}, 1), open: map[*conn]struct{}{}}
}

// Accept waits until there is room, or a connection that may be closed for a new one, and then for a
// connection. Without room it accepts nothing, so that a load balancer notices and turns to another
// node.
func (l *Listener) Accept() (net.Conn, error) {
	for !l.hasRoom() && !l.closed.Load() {
		l.waitForRoom()
	}
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c := &conn{Conn: accepted, listener: l, deadline: now.Add(l.limits.ReserveTimeout)}
	c.idleSince.Store(now.UnixNano())
	for !l.admit(c) {
		if l.closed.Load() {
			_ = accepted.Close() // it was never used
			return nil, net.ErrClosed
		}
		l.waitForRoom()
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		_ = c.Close() // it is broken already: the server finds it closed
	}
	return c, nil
}

// hasRoom reports whether a connection would be admitted now.
func (l *Listener) hasRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open) < l.limits.MaxOpen || l.reserved < l.limits.Reserve || l.longestIdle(time.Now()) != nil
}

// admit counts a connection among the open ones, or else in the reserve, and reports whether there was
// room. It prefers to close an idle connection to using the reserve: it then returns false, and the
// caller has to call it again once the idle one no longer counts.
func (l *Listener) admit(c *conn) bool {
	l.mu.Lock()
	if len(l.open) < l.limits.MaxOpen {
		l.addOpen(c)
		l.mu.Unlock()
		return true
	}
	idle := l.longestIdle(time.Now())
	if idle == nil && l.reserved < l.limits.Reserve {
		l.reserved++
		c.reserve = true
		l.mu.Unlock()
		return true
	}
	l.mu.Unlock()
	if idle != nil {
		l.evicted.Add(1)
		_ = idle.Close() // its peer may have closed it before
	}
	return false
}

// addOpen counts a connection among the open ones. l.mu is held.
func (l *Listener) addOpen(c *conn) {
	l.open[c] = struct{}{}
	l.openCount.Store(int64(len(l.open)))
}

// longestIdle returns the connection that has been idle for longest, or nil if none has been for
// MinIdle. l.mu is held.
func (l *Listener) longestIdle(now time.Time) *conn {
	var longest *conn
	since := now.Add(-l.limits.MinIdle).UnixNano()
	for c := range l.open {
		if at := c.idleSince.Load(); at != 0 && at <= since {
			longest, since = c, at
		}
	}
	return longest
}

// waitForRoom waits until a connection or the listener is closed, or until it is time to look again
// for a connection that has been idle for MinIdle.
func (l *Listener) waitForRoom() {
	timer := time.NewTimer(l.limits.MinIdle / checksPerMinIdle)
	defer timer.Stop()
	select {
	case <-l.freed:
	case <-timer.C:
	}
}

// ConnState is the http.Server's hook of this name. It records which connections are idle.
func (*Listener) ConnState(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		tracked.idleSince.Store(0)
	case http.StateIdle:
		tracked.idleSince.Store(time.Now().UnixNano())
	}
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// ConnContext is the http.Server's hook of this name. It lets OnReserve find a request's connection.
func (*Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// OnReserve reports whether the request that ctx belongs to came on a connection of the reserve. The
// server must answer it at once and then close the connection.
func OnReserve(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.reserve
}

// UnderPressure reports whether nearly all connections are taken. The server should then close a
// connection once its request is answered, so that another client gets its turn.
func (l *Listener) UnderPressure() bool {
	return float64(l.openCount.Load()) >= pressureShare*float64(l.limits.MaxOpen)
}

// Open returns the number of open connections, without those of the reserve.
func (l *Listener) Open() int { return int(l.openCount.Load()) }

// Reserved returns the number of connections of the reserve.
func (l *Listener) Reserved() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reserved
}

// Evicted returns how many idle connections were closed for new ones.
func (l *Listener) Evicted() uint64 { return l.evicted.Load() }

// Close closes the listener. Connections that were accepted stay open.
func (l *Listener) Close() error {
	l.closed.Store(true)
	l.signalFreed()
	return l.Listener.Close()
}

// SetReadDeadline sets the read deadline. Until a connection of the reserve has sent a request, its
// deadline is never later than ReserveTimeout allows: a silent client must not use up the reserve.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.reserve && c.idleSince.Load() != 0 && (t.IsZero() || t.After(c.deadline)) {
		t = c.deadline
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection, which no longer counts against the limits.
func (c *conn) Close() error {
	c.listener.release(c)
	return c.Conn.Close()
}

// release stops counting a connection against the limits. Further calls do nothing.
func (l *Listener) release(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	if c.reserve {
		l.reserved--
	} else {
		delete(l.open, c)
		l.openCount.Store(int64(len(l.open)))
	}
	l.signalFreed()
}

// signalFreed wakes Accept if it waits for room.
func (l *Listener) signalFreed() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}
