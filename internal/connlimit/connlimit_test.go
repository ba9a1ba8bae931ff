package connlimit

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

const (
	maxOpen = 4
	minIdle = 80 * time.Millisecond
)

// startServer starts a server that answers GET /slow once release is closed, and all other requests at
// once. On a connection of the reserve it answers GET /slow at once too.
func startServer(t *testing.T, reserve int) (l *Listener, release chan struct{}) {
	t.Helper()
	var config net.ListenConfig
	inner, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l = New(inner, Limits{MaxOpen: maxOpen, MinIdle: minIdle, Reserve: reserve, ReserveTimeout: minIdle})
	release = make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if OnReserve(r.Context()) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Reserve", "yes")
		} else if r.URL.Path == "/slow" {
			<-release
		}
	})
	srv := &http.Server{Handler: handler, ConnState: l.ConnState, ConnContext: l.ConnContext}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(l) }()
	t.Cleanup(func() {
		if err := srv.Close(); err != nil {
			t.Errorf("closing the server: got error %v, want none", err)
		}
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("Serve returned %v, want %v", err, http.ErrServerClosed)
		}
	})
	return l, release
}

// dial opens a connection to the listener.
func dial(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	var dialer net.Dialer
	c, err := dialer.DialContext(t.Context(), "tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() }) // the test may have closed it before
	return c
}

// get sends a request and waits up to limit for the answer.
func get(t *testing.T, c net.Conn, path string, limit time.Duration) error {
	t.Helper()
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// When idle connections have reached the limit, a new connection is answered and the one that has
// been idle for longest is closed. When idle connections stayed open until they timed out, a leader
// did not answer an operator for minutes.
func TestLongestIdleConnectionIsClosedForANewOne(t *testing.T) {
	l, _ := startServer(t, 0)
	conns := make([]net.Conn, 0, maxOpen)
	for range maxOpen {
		c := dial(t, l)
		if err := get(t, c, "/", time.Second); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
		time.Sleep(2 * time.Millisecond)
	}
	if err := get(t, conns[0], "/", time.Second); err != nil { // now conns[1] has been idle for longest
		t.Fatal(err)
	}
	time.Sleep(2 * minIdle)
	if err := get(t, dial(t, l), "/", time.Second); err != nil {
		t.Fatalf("a new connection at the limit: got error %v, want an answer", err)
	}
	if open := l.Open(); open != maxOpen || l.Evicted() != 1 {
		t.Errorf("got %d open connections and %d evicted, want %d and 1", open, l.Evicted(), maxOpen)
	}
	for i, c := range conns {
		if err := get(t, c, "/", time.Second); (err != nil) != (i == 1) {
			t.Errorf("connection %d: got error %v; want an error only for connection 1", i, err)
		}
	}
}

// Connections whose requests are being answered are not closed for a new one. The new one is admitted
// once one of them has been idle for long enough.
func TestBusyConnectionsAreNotClosed(t *testing.T) {
	l, release := startServer(t, 0)
	busy := make(chan error, maxOpen)
	for range maxOpen {
		c := dial(t, l)
		go func() { busy <- get(t, c, "/slow", 10*time.Second) }()
	}
	for l.Open() < maxOpen {
		time.Sleep(time.Millisecond)
	}
	extra := dial(t, l)
	if err := get(t, extra, "/", 3*minIdle); err == nil {
		t.Fatal("a connection over the limit was answered while all others were busy, want a timeout")
	}
	close(release)
	for range maxOpen {
		if err := <-busy; err != nil {
			t.Errorf("a busy connection: got error %v, want an answer", err)
		}
	}
	if err := get(t, dial(t, l), "/", 10*time.Second); err != nil {
		t.Errorf("a new connection once the others are idle: got error %v, want an answer", err)
	}
}

// While every connection is busy, a connection of the reserve gets one request answered and is then
// closed. Connections of the reserve that send nothing are closed after ReserveTimeout. Without a
// reserve, an operator waited for as long as all connections were busy with users and workers.
func TestReserveAnswersWhileAllConnectionsAreBusy(t *testing.T) {
	l, release := startServer(t, 2)
	defer close(release)
	for range maxOpen {
		c := dial(t, l)
		go func() { _ = get(t, c, "/slow", 10*time.Second) }()
	}
	for l.Open() < maxOpen {
		time.Sleep(time.Millisecond)
	}
	for range 3 {
		silent := []net.Conn{dial(t, l), dial(t, l)} // they take the reserve and send nothing
		for range 10 {
			c := dial(t, l)
			if err := get(t, c, "/", 20*minIdle); err != nil {
				t.Fatalf("a connection of the reserve: got error %v, want an answer", err)
			}
			if err := get(t, c, "/", time.Second); err == nil {
				t.Fatal("a connection of the reserve answered a second request, want it closed")
			}
		}
		for _, c := range silent {
			if err := c.Close(); err != nil {
				t.Error(err)
			}
		}
	}
	if !l.UnderPressure() || l.Open() != maxOpen {
		t.Errorf("got under pressure %v with %d open connections, want true with %d", l.UnderPressure(), l.Open(), maxOpen)
	}
	for deadline := time.Now().Add(time.Second); l.Reserved() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections of the reserve are still open after a second, want 0", l.Reserved())
		}
	}
}
