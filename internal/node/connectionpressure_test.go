package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// reply is the part of an answer that a test checks.
type reply struct {
	status int
	closed bool // the connection serves no other request
	took   time.Duration
}

// connect opens a connection that is closed at the end of the test.
func connect(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() }) // the node may have closed it already
	return c
}

// holdConnection sends a request whose body never comes, on a connection of its own: the connection
// is busy until the node closes it.
func holdConnection(t *testing.T, address, head string) {
	t.Helper()
	if _, err := fmt.Fprintf(connect(t, address), "%s HTTP/1.1\r\nHost: n\r\nContent-Length: 10\r\n\r\n", head); err != nil {
		t.Fatal(err)
	}
}

// request sends a request on a connection of its own and returns the answer.
func request(t *testing.T, address, head, body string) reply {
	t.Helper()
	began := time.Now()
	c := connect(t, address)
	if _, err := fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: n\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(3 * time.Second)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%s gets no answer: %v", head, err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	if err := resp.Body.Close(); err != nil {
		t.Fatal(err)
	}
	return reply{status: resp.StatusCode, closed: resp.Close, took: time.Since(began)}
}

// waitForCount waits until a count has reached a limit.
func waitForCount(t *testing.T, what string, count func() int, limit int) {
	t.Helper()
	for deadline := time.Now().Add(2 * time.Second); count() < limit; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d %s are taken", count(), what)
		}
	}
}

// While every connection is busy, operators are answered, a worker is answered at once on a connection
// that is then closed, and one for which the workers' part of the reserve has no room either is
// redirected at once. Before there was a reserve, none of them was answered.
func TestRequestsAreAnsweredWhileAllConnectionsAreBusy(t *testing.T) {
	const connections = 64
	n := benchNode(t, 1, connections)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- n.api.Serve(l) }()
	t.Cleanup(func() {
		if err := l.Close(); err != nil {
			t.Error(err)
		}
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	address := l.Addr().String()
	for range n.connections.Limits().MaxOpen {
		holdConnection(t, address, "POST /checkin")
	}
	waitForCount(t, "connections", n.connections.Open, n.connections.Limits().MaxOpen)
	heartbeat := benchHeartbeatBody(n.controller().Term(), 0, 3)
	if r := request(t, address, "POST /checkin", heartbeat); r.status != http.StatusOK || !r.closed || r.took > benchInterval*time.Second/2 {
		t.Errorf("a worker is answered %+v", r)
	}
	reserve := &n.connections.WorkerReserve
	for range reserve.Limit() {
		holdConnection(t, address, "POST /checkin")
	}
	waitForCount(t, "of the reserve", n.connections.Reserved, reserve.Limit())
	for range 20 {
		if r := request(t, address, "GET /admin/status", ""); r.status != http.StatusOK || !r.closed {
			t.Errorf("an operator is answered %+v", r)
		}
	}
	if r := request(t, address, "GET /work/"+benchUID(0), ""); r.status != http.StatusOK {
		t.Errorf("a user is answered %+v", r)
	}
	// The held requests take no slot, since a slot is taken after the body is read: all are free.
	for range reserve.Limit() {
		if !reserve.Acquire() {
			t.Fatal("a worker whose body has not been read takes a slot")
		}
	}
	r := request(t, address, "POST /checkin", strings.Replace(heartbeat, `"Tick":3`, `"Tick":4`, 1))
	if r.status != http.StatusMisdirectedRequest {
		t.Errorf("a worker without room in the reserve is answered %+v", r)
	}
}
