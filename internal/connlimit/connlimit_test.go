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

// startServer starts a server that answers GET /slow once it is released, and all else at once.
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
			t.Errorf("the server is closed with %v", err)
		}
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("the server ends with %v", err)
		}
	})
	return l, release
}

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

// When connections that nobody uses have reached the limit, a new one is answered and the one
// that has been idle for longest is closed. When they stayed open until they timed out, an
// operator got no answer from a leader for minutes.
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
	if err := get(t, conns[0], "/", time.Second); err != nil { // now the second is idle for longest
		t.Fatal(err)
	}
	time.Sleep(2 * minIdle)
	if err := get(t, dial(t, l), "/", time.Second); err != nil {
		t.Fatalf("a new connection is not answered: %v", err)
	}
	if open := l.Open(); open != maxOpen || l.Evicted() != 1 {
		t.Errorf("%d are open and %d were closed", open, l.Evicted())
	}
	for i, c := range conns {
		if err := get(t, c, "/", time.Second); (err != nil) != (i == 1) {
			t.Errorf("connection %d ends with %v", i, err)
		}
	}
}

// Connections whose requests are being answered stay open; a new one is admitted when the first
// of them is closed.
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
	late := dial(t, l)
	if err := get(t, late, "/", 3*minIdle); err == nil {
		t.Fatal("a connection over the limit is answered")
	}
	close(release)
	for range maxOpen {
		if err := <-busy; err != nil {
			t.Errorf("a busy connection was cut: %v", err)
		}
	}
	if err := get(t, dial(t, l), "/", 10*time.Second); err != nil {
		t.Errorf("with idle connections again: %v", err)
	}
}

// While every connection is busy, a connection of the reserve gets one request answered and is
// closed; those that send nothing are closed soon. Before there was a reserve, an operator
// waited for as long as all connections were busy with users and workers.
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
				t.Fatalf("a connection of the reserve is not answered: %v", err)
			}
			if err := get(t, c, "/", time.Second); err == nil {
				t.Fatal("a connection of the reserve is kept")
			}
		}
		for _, c := range silent {
			if err := c.Close(); err != nil {
				t.Error(err)
			}
		}
	}
	if !l.UnderPressure() || l.Open() != maxOpen {
		t.Errorf("under pressure: %v, %d are open", l.UnderPressure(), l.Open())
	}
	for limit := time.Now().Add(time.Second); l.Reserved() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d connections of the reserve are not closed", l.Reserved())
		}
	}
}
