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

// request sends a request on a connection of its own and returns the answer. With held set the
// body never comes: the connection is busy until the node gives it up.
func request(t *testing.T, address, head, body string, held bool) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if held {
		if _, err := fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: n\r\nContent-Length: 10\r\n\r\n", head); err != nil {
			t.Fatal(err)
		}
		return nil
	}
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
	return resp
}

// With every place busy, operators are answered, a worker is answered at once on a connection
// that is then closed, and one that finds no room in the workers' part of the reserve either is
// sent elsewhere at once. Before there was a reserve, none of them was answered.
func TestAnsweredWhileAllConnectionsAreBusy(t *testing.T) {
	const connections = 64
	n := benchNode(t, 1, connections)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- n.api.Serve(l) }()
	t.Cleanup(func() { l.Close(); <-served })
	address := l.Addr().String()
	for range n.connections.Limits().MaxOpen {
		request(t, address, "POST /checkin", "", true)
	}
	for deadline := time.Now().Add(2 * time.Second); n.connections.Open() < n.connections.Limits().MaxOpen; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d places are taken", n.connections.Open())
		}
	}
	report := benchReportBody(n.controller().Term(), 0, 3)
	began := time.Now()
	if resp := request(t, address, "POST /checkin", report, false); resp.StatusCode != http.StatusOK || !resp.Close || time.Since(began) > benchReport*time.Second/2 {
		t.Errorf("a worker is answered %d after %s, closed: %v", resp.StatusCode, time.Since(began), resp.Close)
	}
	for range n.connections.WorkerReserve.Limit() {
		request(t, address, "POST /checkin", "", true)
	}
	for deadline := time.Now().Add(2 * time.Second); n.connections.Reserved() < n.connections.WorkerReserve.Limit(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d of the reserve are taken", n.connections.Reserved())
		}
	}
	for range 20 {
		if resp := request(t, address, "GET /admin/status", "", false); resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("an operator is answered %d", resp.StatusCode)
		}
	}
	if resp := request(t, address, "GET /work/"+benchUID(0), "", false); resp.StatusCode != http.StatusOK {
		t.Errorf("a user is answered %d", resp.StatusCode)
	}
	// The bodies of those two never come, so they are not counted in yet: whoever comes next is.
	for range n.connections.WorkerReserve.Limit() {
		if !n.connections.WorkerReserve.Acquire() {
			t.Fatal("a worker whose request is not read yet is counted in")
		}
	}
	resp := request(t, address, "POST /checkin", strings.Replace(report, `"Tick":3`, `"Tick":4`, 1), false)
	if resp.StatusCode != http.StatusMisdirectedRequest {
		t.Errorf("a worker without room in the reserve is answered %d", resp.StatusCode)
	}
}
