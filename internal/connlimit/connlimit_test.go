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
	most    = 4
	minIdle = 80 * time.Millisecond
)

// server answers GET /slow once it is released, and all else at once.
func server(t *testing.T, reserve int) (l *Listener, release chan struct{}) {
	t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l, release = New(inner, Limits{MaxOpen: most, MinIdle: minIdle, Reserve: reserve, ReserveTimeout: minIdle}), make(chan struct{})
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
		srv.Close()
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("the server ends with %v", err)
		}
	})
	return l, release
}

func dial(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// ask sends a request and waits up to limit for the answer.
func ask(t *testing.T, c net.Conn, path string, limit time.Duration) error {
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

// With every place taken by connections that nobody uses, a new one is answered all the
// same, and the one that was idle for longest is gone. While they kept their places until
// they timed out, an operator got no answer from a leader for minutes.
func TestIdleConnectionsGiveWay(t *testing.T) {
	l, _ := server(t, 0)
	var conns []net.Conn
	for range most {
		c := dial(t, l)
		if err := ask(t, c, "/", time.Second); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
		time.Sleep(2 * time.Millisecond)
	}
	if err := ask(t, conns[0], "/", time.Second); err != nil { // now the second is idle for longest
		t.Fatal(err)
	}
	time.Sleep(2 * minIdle)
	if err := ask(t, dial(t, l), "/", time.Second); err != nil {
		t.Fatalf("a new connection is not answered: %v", err)
	}
	if n := l.Open(); n != most || l.Evicted() != 1 {
		t.Errorf("%d are open and %d were closed", n, l.Evicted())
	}
	for i, c := range conns {
		if err := ask(t, c, "/", time.Second); (err != nil) != (i == 1) {
			t.Errorf("connection %d ends with %v", i, err)
		}
	}
}

// Connections whose requests are being answered keep their places; a new one gets the
// first that comes free.
func TestBusyConnectionsStay(t *testing.T) {
	l, release := server(t, 0)
	busy := make(chan error, most)
	for range most {
		c := dial(t, l)
		go func() { busy <- ask(t, c, "/slow", 10*time.Second) }()
	}
	for l.Open() < most {
		time.Sleep(time.Millisecond)
	}
	late := dial(t, l)
	if err := ask(t, late, "/", 3*minIdle); err == nil {
		t.Fatal("a connection over the limit is answered")
	}
	close(release)
	for range most {
		if err := <-busy; err != nil {
			t.Errorf("a busy connection was cut: %v", err)
		}
	}
	if err := ask(t, dial(t, l), "/", 10*time.Second); err != nil {
		t.Errorf("with idle connections again: %v", err)
	}
}

// While every place is busy, a connection of the reserve is answered one request and closed;
// those that send nothing do not keep its places. Before there was a reserve, an operator
// waited for as long as users and workers kept all connections busy.
func TestReserveAnswersWhileAllPlacesAreBusy(t *testing.T) {
	l, release := server(t, 2)
	defer close(release)
	for range most {
		c := dial(t, l)
		go func() { _ = ask(t, c, "/slow", 10*time.Second) }()
	}
	for l.Open() < most {
		time.Sleep(time.Millisecond)
	}
	for range 3 {
		silent := []net.Conn{dial(t, l), dial(t, l)} // they take the reserve and send nothing
		for range 10 {
			c := dial(t, l)
			if err := ask(t, c, "/", 20*minIdle); err != nil {
				t.Fatalf("a connection of the reserve is not answered: %v", err)
			}
			if err := ask(t, c, "/", time.Second); err == nil {
				t.Fatal("a connection of the reserve is kept")
			}
		}
		for _, c := range silent {
			c.Close()
		}
	}
	if !l.UnderPressure() || l.Open() != most {
		t.Errorf("crowded: %v, %d are open", l.UnderPressure(), l.Open())
	}
	for limit := time.Now().Add(time.Second); l.Reserved() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d places of the reserve do not come free", l.Reserved())
		}
	}
}
