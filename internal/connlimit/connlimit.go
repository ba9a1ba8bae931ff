// Package connlimit bounds the connections of an HTTP server. When all are taken, the one
// that has been idle for longest is closed for a new one: connections that nobody uses
// any more would otherwise keep users, workers and operators out until they time out.
package connlimit

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Listener accepts so many connections at a time at most. Its Track has to be the server's
// ConnState hook.
type Listener struct {
	net.Listener
	most    int
	minIdle time.Duration
	freed   chan struct{} // a place has come free

	mu     sync.Mutex
	open   map[*conn]struct{}
	closed atomic.Bool
	evicts atomic.Uint64
}

// conn is a connection that counts against the limit of its listener.
type conn struct {
	net.Conn
	listener  *Listener
	idleSince atomic.Int64 // in nanoseconds of the wall clock; 0 while a request is answered
}

// New bounds the connections of a listener. One that has been idle for minIdle is closed
// if there is no place for a new one.
func New(l net.Listener, most int, minIdle time.Duration) *Listener {
	return &Listener{Listener: l, most: max(1, most), minIdle: minIdle, freed: make(chan struct{}, 1), open: map[*conn]struct{}{}}
}

// Accept waits for a place, or for a connection that may be closed for one, and then for a
// connection. Without either nothing is accepted, so that a load balancer can see that and
// try another node.
func (l *Listener) Accept() (net.Conn, error) {
	for !l.hasPlace() && !l.closed.Load() {
		l.awaitPlace()
	}
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, listener: l}
	c.idleSince.Store(time.Now().UnixNano())
	for !l.take(c) {
		if l.closed.Load() {
			accepted.Close()
			return nil, net.ErrClosed
		}
		l.awaitPlace()
	}
	return c, nil
}

// hasPlace reports whether a connection would get a place now.
func (l *Listener) hasPlace() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open) < l.most || l.longestIdle(time.Now()) != nil
}

// take gives a connection a place, if need be that of an idle one.
func (l *Listener) take(c *conn) bool {
	l.mu.Lock()
	if len(l.open) < l.most {
		l.open[c] = struct{}{}
		l.mu.Unlock()
		return true
	}
	idle := l.longestIdle(time.Now())
	l.mu.Unlock()
	if idle != nil {
		l.evicts.Add(1)
		idle.Close()
	}
	return false
}

// longestIdle is the connection that has been idle for longest, if that is long enough.
// l.mu is held.
func (l *Listener) longestIdle(now time.Time) *conn {
	var longest *conn
	since := now.Add(-l.minIdle).UnixNano()
	for c := range l.open {
		if at := c.idleSince.Load(); at != 0 && at <= since {
			longest, since = c, at
		}
	}
	return longest
}

// awaitPlace waits until a place has come free or another connection may be idle for long
// enough.
func (l *Listener) awaitPlace() {
	const looks = 8 // in the time that a connection has to be idle
	timer := time.NewTimer(l.minIdle / looks)
	defer timer.Stop()
	select {
	case <-l.freed:
	case <-timer.C:
	}
}

// Track follows the state of the listener's connections.
func (l *Listener) Track(c net.Conn, state http.ConnState) {
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

// Open is the number of connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Evicted counts the idle connections that were closed for new ones.
func (l *Listener) Evicted() uint64 { return l.evicts.Load() }

// Close ends the listener.
func (l *Listener) Close() error {
	l.closed.Store(true)
	l.free()
	return l.Listener.Close()
}

// Close ends the connection and gives its place free.
func (c *conn) Close() error {
	l := c.listener
	l.mu.Lock()
	_, open := l.open[c]
	delete(l.open, c)
	l.mu.Unlock()
	if open {
		l.free()
	}
	return c.Conn.Close()
}

func (l *Listener) free() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}
