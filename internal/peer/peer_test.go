package peer

import (
	"errors"
	"net"
	"net/rpc"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
)

// OlderRelease is the service of a release that registers it under another name.
type OlderRelease struct{}

// Ping answers a ping.
func (OlderRelease) Ping(_ PingArgs, r *PingReply) error {
	*r = PingReply{Leading: true, Serving: true, Term: 99}
	return nil
}

// A node of a release whose messages would be misread counts as one that cannot be
// reached: its answers are not used.
func TestReleaseWithAnotherServiceNameIsUnreachable(t *testing.T) {
	srv := rpc.NewServer()
	if err := srv.RegisterName("Node", OlderRelease{}); err != nil {
		t.Fatal(err)
	}
	dial := func(string, time.Duration) (net.Conn, error) {
		near, far := net.Pipe()
		go srv.ServeConn(far)
		return near, nil
	}
	p := NewPeers(&config.Config{Members: []config.Member{{Label: "old"}}}, time.Second, dial)[0]
	defer p.Close()
	var refused rpc.ServerError
	if _, err := p.Ping(PingArgs{From: "new"}); !errors.As(err, &refused) {
		t.Errorf("the ping ends with %v", err)
	}
	if _, ok := p.LastPing(time.Hour); ok {
		t.Error("its answer is used")
	}
	if p.ServingFor() != 0 {
		t.Error("it counts as serving")
	}
}
