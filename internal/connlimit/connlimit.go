// Package connlimit bounds the connections of an HTTP server. When all places are taken, the
// connection that has been idle for longest is closed for a new one: connections that nobody
// uses any more would otherwise keep users, workers and operators out until they time out.
//
// Without an idle connection, a new one gets a place of a small reserve, for one request. The
// server can tell what is asked for and by whom, and answer at once; an operator gets in
// however many connections users and workers keep.
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
	MaxOpen int           // connections that are kept from request to request
	Reserve int           // connections for one request beyond these
	MinIdle time.Duration // a connection that is idle for this long gives way to a new one
	// Patience is how long a connection of the reserve may take to send its request.
	ReserveTimeout time.Duration
}

// pressureShare is the share of the places from which on a listener is crowded.
const pressureShare = 0.875

// Listener accepts so many connections at a time at most. Its Track has to be the server's
// ConnState hook, and its Context the server's ConnContext hook.
type Listener struct {
	net.Listener
	limits Limits
	freed  chan struct{} // a place has come free

	mu        sync.Mutex
	open      map[*conn]struct{} // that have a place
	reserved  int                // that have one of the reserve
	closed    atomic.Bool
	evicted   atomic.Uint64
	openCount atomic.Int64 // len(open)
}

// conn is a connection that counts against the limits of its listener.
type conn struct {
	net.Conn
	listener  *Listener
	reserve   bool         // it has a place of the reserve
	deadline  time.Time    // until when a connection of the reserve has to send its request
	idleSince atomic.Int64 // in nanoseconds of the wall clock; 0 while a request is answered
	closed    bool         // its place is given free; the listener's mu is held
}

// New bounds the connections of a listener.
func New(l net.Listener, limits Limits) *Listener {
	limits.MaxOpen = max(1, limits.MaxOpen)
	return &Listener{Listener: l, limits: limits, freed: make(chan struct{}, 1), open: map[*conn]struct{}{}}
}

// Accept waits for a place, or for a connection that may be closed for one, and then for a
// connection. Without any nothing is accepted, so that a load balancer can see that and
// try another node.
func (l *Listener) Accept() (net.Conn, error) {
	for !l.hasPlace() && !l.closed.Load() {
		l.waitForPlace()
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
			accepted.Close()
			return nil, net.ErrClosed
		}
		l.waitForPlace()
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		c.Close() // it is gone already: the server finds it closed
	}
	return c, nil
}

// hasPlace reports whether a connection would get a place now.
func (l *Listener) hasPlace() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open) < l.limits.MaxOpen || l.reserved < l.limits.Reserve || l.longestIdle(time.Now()) != nil
}

// admit gives a connection a place: if need be that of an idle one, else one of the reserve.
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
		idle.Close()
	}
	return false
}

// addOpen gives a connection a place. l.mu is held.
func (l *Listener) addOpen(c *conn) {
	l.open[c] = struct{}{}
	l.openCount.Store(int64(len(l.open)))
}

// longestIdle is the connection that has been idle for longest, if that is long enough.
// l.mu is held.
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

// waitForPlace waits until a place has come free or another connection may be idle for long
// enough.
func (l *Listener) waitForPlace() {
	const looks = 8 // in the time that a connection has to be idle
	timer := time.NewTimer(l.limits.MinIdle / looks)
	defer timer.Stop()
	select {
	case <-l.freed:
	case <-timer.C:
	}
}

// ConnState follows the state of the listener's connections.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
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

// ConnContext lets OnReserve tell how a request's connection was accepted.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// OnReserve reports whether a request has come on a connection of the reserve. It has to be
// answered at once, and its connection closed.
func OnReserve(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.reserve
}

// UnderPressure reports whether nearly all places are taken: a connection whose request is answered
// should then be closed, so that its place serves others in turn.
func (l *Listener) UnderPressure() bool {
	return float64(l.openCount.Load()) >= pressureShare*float64(l.limits.MaxOpen)
}

// Open is the number of connections that have a place.
func (l *Listener) Open() int { return int(l.openCount.Load()) }

// Reserved is the number of connections of the reserve.
func (l *Listener) Reserved() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reserved
}

// Evicted counts the idle connections that were closed for new ones.
func (l *Listener) Evicted() uint64 { return l.evicted.Load() }

// Close ends the listener.
func (l *Listener) Close() error {
	l.closed.Store(true)
	l.signalFreed()
	return l.Listener.Close()
}

// SetReadDeadline bounds what a connection may take to send what is expected. One of the
// reserve that sends no request does not keep its place for as long as others would.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.reserve && c.idleSince.Load() != 0 && (t.IsZero() || t.After(c.deadline)) {
		t = c.deadline
	}
	return c.Conn.SetReadDeadline(t)
}

// Close ends the connection and gives its place free.
func (c *conn) Close() error {
	c.listener.release(c)
	return c.Conn.Close()
}

// release gives a connection's place free, once.
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

func (l *Listener) signalFreed() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}
