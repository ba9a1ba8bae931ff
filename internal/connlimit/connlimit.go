// Package connlimit bounds the connections of an HTTP server. When the limit is reached, the
// connection that has been idle for longest is closed for a new one. Otherwise, unused connections
// would block new users, workers and operators until the unused ones time out.
//
// If no connection is idle, a new one is admitted to a small reserve, for one request. The server can
// then read the request and answer it at once, so an operator is served however many connections
// users and workers have open.
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

// pressureShare is the share of MaxOpen at which a listener counts as under pressure.
const pressureShare = 0.875

// checksPerMinIdle is how many times per MinIdle a full listener looks for an idle connection that may
// be closed.
const checksPerMinIdle = 8

// Listener accepts a limited number of connections at a time. Its ConnState and ConnContext methods
// must be set as the http.Server's hooks of these names.
type Listener struct {
	net.Listener
	limits Limits
	freed  chan struct{} // signals that a connection or the listener was closed; one signal is buffered

	mu        sync.Mutex
	open      map[*conn]struct{} // connections that are not of the reserve
	reserved  int                // number of connections of the reserve
	closed    atomic.Bool
	evicted   atomic.Uint64
	openCount atomic.Int64 // len(open), readable without mu
}

// conn is a connection that counts against the limits of its listener.
type conn struct {
	net.Conn
	listener  *Listener
	onReserve bool         // whether it is a connection of the reserve; set before Accept returns it
	deadline  time.Time    // by which a connection of the reserve has to send its request
	idleSince atomic.Int64 // Unix time in nanoseconds; 0 while a request is answered
	released  bool         // whether it no longer counts against the limits; guarded by the listener's mu
}

// New returns a listener that bounds the connections of l.
func New(l net.Listener, limits Limits) *Listener {
	limits.MaxOpen = max(1, limits.MaxOpen)
	return &Listener{Listener: l, limits: limits, freed: make(chan struct{}, 1), open: map[*conn]struct{}{}}
}

// Accept waits until there is room for a connection or until an idle one may be closed for it, and
// then waits for a connection. While there is no room it accepts nothing, so that a load balancer
// notices and uses another node.
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
			_ = accepted.Close() // the connection was never used, so the error does not matter
			return nil, net.ErrClosed
		}
		l.waitForRoom()
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil { // on the reserve, this sets c.deadline
		_ = c.Close() // the connection is broken: the server will find it closed
	}
	return c, nil
}

// hasRoom reports whether a connection would be admitted now.
func (l *Listener) hasRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open) < l.limits.MaxOpen || l.reserved < l.limits.Reserve || l.longestIdle(time.Now()) != nil
}

// admit counts c among the open connections, or else in the reserve, and reports whether there was
// room. If the open connections are at the limit but one of them may be closed, admit closes that one
// instead of using the reserve, and returns false: the caller has to call it again.
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
		c.onReserve = true
		l.mu.Unlock()
		return true
	}
	l.mu.Unlock()
	if idle != nil {
		l.evicted.Add(1)
		_ = idle.Close() // the client may have closed it already
	}
	return false
}

// addOpen counts c among the open connections. l.mu is held.
func (l *Listener) addOpen(c *conn) {
	l.open[c] = struct{}{}
	l.openCount.Store(int64(len(l.open)))
}

// longestIdle returns the open connection that has been idle for longest, or nil if none has been
// idle for at least MinIdle. l.mu is held.
func (l *Listener) longestIdle(now time.Time) *conn {
	var longest *conn
	earliest := now.Add(-l.limits.MinIdle).UnixNano()
	for c := range l.open {
		if idleSince := c.idleSince.Load(); idleSince != 0 && idleSince <= earliest {
			longest, earliest = c, idleSince
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

// OnReserve reports whether the request that ctx belongs to came on a connection of the reserve. If it
// did, the server must answer it at once and then close the connection.
func OnReserve(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.onReserve
}

// UnderPressure reports whether nearly all connections are taken. The server should then close a
// connection once its request is answered, so that another client can connect.
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

// Evicted returns how many idle connections have been closed for new ones so far.
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
	if c.onReserve && c.idleSince.Load() != 0 && (t.IsZero() || t.After(c.deadline)) {
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
	if c.released {
		return
	}
	c.released = true
	if c.onReserve {
		l.reserved--
	} else {
		delete(l.open, c)
		l.openCount.Store(int64(len(l.open)))
	}
	l.signalFreed()
}

// signalFreed wakes Accept if it is waiting for room.
func (l *Listener) signalFreed() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}
