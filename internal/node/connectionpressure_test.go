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

// reply holds what a test checks of an HTTP answer.
type reply struct {
	status int
	closed bool // the node closes the connection after the answer
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

// holdConnection opens a connection and sends the head of a request whose body never follows. The
// connection is busy until the node closes it.
func holdConnection(t *testing.T, address, methodAndPath string) {
	t.Helper()
	if _, err := fmt.Fprintf(connect(t, address), "%s HTTP/1.1\r\nHost: n\r\nContent-Length: 10\r\n\r\n", methodAndPath); err != nil {
		t.Fatal(err)
	}
}

// request sends a request on a new connection and returns the answer.
func request(t *testing.T, address, methodAndPath, body string) reply {
	t.Helper()
	start := time.Now()
	c := connect(t, address)
	if _, err := fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: n\r\nContent-Length: %d\r\n\r\n%s", methodAndPath, len(body), body); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(3 * time.Second)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%s got no answer: %v", methodAndPath, err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	if err := resp.Body.Close(); err != nil {
		t.Fatal(err)
	}
	return reply{status: resp.StatusCode, closed: resp.Close, took: time.Since(start)}
}

// waitForCount waits until count returns at least limit. what describes the counted connections for the failure message.
func waitForCount(t *testing.T, what string, count func() int, limit int) {
	t.Helper()
	for deadline := time.Now().Add(2 * time.Second); count() < limit; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("after 2 s %d %s are in use, want %d", count(), what, limit)
		}
	}
}

// While all connections are busy, operators, users and workers are answered on connections of a reserve. A worker
// is answered at once and its connection is then closed. A worker that finds no free slot in the workers'
// part of the reserve is redirected at once. Without the reserve no request was answered.
func TestRequestsAreAnsweredWhileAllConnectionsAreBusy(t *testing.T) {
	const connections = 64
	n := benchNode(t, 1, connections)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- n.api.Serve(listener) }()
	t.Cleanup(func() {
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	address := listener.Addr().String()
	for range n.connections.Limits().MaxOpen {
		holdConnection(t, address, "POST /checkin")
	}
	waitForCount(t, "connections", n.connections.Open, n.connections.Limits().MaxOpen)
	heartbeat := benchHeartbeatBody(n.controller().Term(), 0, 3)
	if r := request(t, address, "POST /checkin", heartbeat); r.status != http.StatusOK || !r.closed || r.took > benchIntervalS*time.Second/2 {
		t.Errorf("worker answered %+v, want status 200, connection closed, within half a heartbeat interval", r)
	}
	reserve := &n.connections.WorkerReserve
	for range reserve.Limit() {
		holdConnection(t, address, "POST /checkin")
	}
	waitForCount(t, "connections of the reserve", n.connections.Reserved, reserve.Limit())
	for range 20 {
		if r := request(t, address, "GET /admin/status", ""); r.status != http.StatusOK || !r.closed {
			t.Errorf("operator answered %+v, want status 200, connection closed", r)
		}
	}
	if r := request(t, address, "GET /work/"+benchUID(0), ""); r.status != http.StatusOK {
		t.Errorf("user answered %+v, want status 200", r)
	}
	// A request takes a slot of the reserve only once its body has been read, so the held requests leave all slots free.
	for range reserve.Limit() {
		if !reserve.Acquire() {
			t.Fatal("a request whose body has not been read takes a slot of the reserve")
		}
	}
	r := request(t, address, "POST /checkin", strings.Replace(heartbeat, `"Tick":3`, `"Tick":4`, 1))
	if r.status != http.StatusMisdirectedRequest {
		t.Errorf("worker without a free slot in the reserve answered %+v, want status 421", r)
	}
}
