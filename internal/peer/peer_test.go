package peer

import (
	"errors"
	"net"
	"net/rpc"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
)

// OlderRelease is the service of a release that uses another service name.
type OlderRelease struct{}

// Ping answers a ping.
func (OlderRelease) Ping(_ PingArgs, r *PingReply) error {
	*r = PingReply{Leading: true, Serving: true, Term: 99}
	return nil
}

// A node of a release with incompatible messages has another service name and is treated as unreachable: its answers
// are not used.
func TestReleaseWithAnotherServiceNameIsUnreachable(t *testing.T) {
	srv := rpc.NewServer()
	if err := srv.RegisterName("Node", OlderRelease{}); err != nil {
		t.Fatal(err)
	}
	dial := func(string, time.Duration) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		go srv.ServeConn(serverConn)
		return clientConn, nil
	}
	p := NewPeers(&config.Config{Members: []config.Member{{Label: "old"}}}, time.Second, dial)[0]
	defer p.Close()
	var serverErr rpc.ServerError
	if _, err := p.Ping(PingArgs{From: "new"}); !errors.As(err, &serverErr) {
		t.Errorf("the error of Ping is %v, want an rpc.ServerError", err)
	}
	if _, ok := p.LastPing(time.Hour); ok {
		t.Error("LastPing has an answer, want none")
	}
	if p.ServingFor() != 0 {
		t.Error("ServingFor is positive, want 0")
	}
}

// A peer that accepts a connection and reads nothing, for example since its process is paused, must not block its
// callers once the socket's buffer is full: each call ends within the timeout.
func TestPeerThatReadsNothingBlocksNoCaller(t *testing.T) {
	dial := func(string, time.Duration) (net.Conn, error) {
		clientConn, serverConn := net.Pipe() // has no buffer
		t.Cleanup(func() { _ = serverConn.Close() })
		return clientConn, nil
	}
	const timeout, limit = 50 * time.Millisecond, 10 * time.Second
	p := NewPeers(&config.Config{Members: []config.Member{{Label: "paused"}}}, timeout, dial)[0]
	defer p.Close()
	const callers = 4
	errs := make(chan error, callers)
	for range callers {
		go func() {
			_, err := p.Ping(PingArgs{From: "caller"})
			errs <- err
		}()
	}
	for range callers {
		select {
		case err := <-errs:
			if err == nil {
				t.Error("a call to a peer that reads nothing returned no error")
			}
		case <-time.After(limit):
			t.Fatalf("a call with a timeout of %s has not returned after %s", timeout, limit)
		}
	}
}
