// Package peer is what controllers say to each other, over net/rpc.
package peer

import (
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/clusterversion"
	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/wire"
)

var errTimeout = errors.New("peer did not answer in time")

// Peer is another controller.
type Peer struct {
	Label    string
	Location string
	addr     string
	timeout  time.Duration
	dial     Dialer

	mu           sync.Mutex
	client       *rpc.Client
	lastPing     PingResult
	lastPingAt   time.Time // start of the last ping that was answered
	servingSince time.Time // since when every ping found the peer serving; zero if it is not
}

// Dialer opens a connection to a peer's address.
type Dialer func(addr string, timeout time.Duration) (net.Conn, error)

// NewPeers makes the peers of a node.
func NewPeers(c *config.Config, timeout time.Duration, dial Dialer) []*Peer {
	var ps []*Peer
	for _, m := range c.Members {
		ps = append(ps, &Peer{Label: m.Label, Location: m.Location, addr: m.Endpoint, timeout: timeout, dial: dial})
	}
	return ps
}

func (p *Peer) call(method string, args, reply any, timeout time.Duration) error {
	p.mu.Lock()
	client := p.client
	p.mu.Unlock()
	if client == nil {
		conn, err := p.dial(p.addr, p.timeout)
		if err != nil {
			return fmt.Errorf("dial %s: %w", p.Label, err)
		}
		client = rpc.NewClient(conn)
		p.mu.Lock()
		if p.client != nil {
			client.Close()
			client = p.client
		} else {
			p.client = client
		}
		p.mu.Unlock()
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var err error
	select {
	case <-call.Done:
		if err = call.Error; err == nil {
			return nil
		}
	case <-timer.C:
		err = errTimeout
	}
	p.mu.Lock()
	if p.client == client {
		p.client = nil
	}
	p.mu.Unlock()
	client.Close()
	return fmt.Errorf("%s at %s: %w", method, p.Label, err)
}

// Close ends the connection to the peer, if there is one.
func (p *Peer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client != nil {
		p.client.Close()
		p.client = nil
	}
}

// Ping asks the peer how it stands and keeps the answer.
func (p *Peer) Ping(a PingArgs) (PingResult, error) {
	begun := time.Now()
	var message PingReply
	err := p.call(serviceName+".Ping", a, &message, p.timeout)
	r := message.result()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil || !r.Serving:
		p.servingSince = time.Time{}
	case p.servingSince.IsZero():
		p.servingSince = begun
	}
	if err == nil {
		p.lastPing, p.lastPingAt = r, begun
	}
	return r, err
}

// ServingFor is how long the peer has been found serving without a break.
func (p *Peer) ServingFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servingSince.IsZero() {
		return 0
	}
	return time.Since(p.servingSince)
}

// LastPing is the last answer to a ping, if one is no older than limit.
func (p *Peer) LastPing(limit time.Duration) (PingResult, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastPing, !p.lastPingAt.IsZero() && time.Since(p.lastPingAt) <= limit
}

// SupportedVersion is the cluster version that the peer said last to understand; the first
// if it has not been reached yet.
func (p *Peer) SupportedVersion() clusterversion.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	return clusterversion.Normalize(p.lastPing.Version)
}

// Counts asks for a job's counts.
func (p *Peer) Counts(uid string) (CountsReply, error) {
	var r CountsReply
	err := p.call(serviceName+".Counts", CountsArgs{uid}, &r, p.timeout)
	return r, err
}

// RelayHeartbeat relays the body of one worker's heartbeat.
func (p *Peer) RelayHeartbeat(body []byte) (CheckInReply, error) {
	var r CheckInReply
	err := p.call(serviceName+".CheckIn", CheckInArgs{body}, &r, p.timeout)
	return r, err
}

// RelayHeartbeats sends a batch of heartbeats to the leader.
func (p *Peer) RelayHeartbeats(b HeartbeatBatch) (HeartbeatBatchReply, error) {
	var message RelayReply
	err := p.call(serviceName+".RelayReports", b.message(), &message, p.timeout)
	return message.reply(), err
}

// NotifyCancelled tells the peer of a committed cancellation.
func (p *Peer) NotifyCancelled(c Cancellation) error {
	return p.call(serviceName+".Withdrawn", c.message(), &WithdrawnReply{}, p.timeout)
}

// FollowState asks the leader for a part of its state.
func (p *Peer) FollowState(a FollowArgs) (FollowReply, error) {
	var r FollowReply
	err := p.call(serviceName+".FollowState", a, &r, p.timeout)
	return r, err
}

// ForwardUserRequest passes a user's request on.
func (p *Peer) ForwardUserRequest(a UserArgs, timeout time.Duration) (UserReply, error) {
	var r UserReply
	err := p.call(serviceName+".User", a, &r, timeout)
	return r, err
}

// LeadStatus asks the peer for the status that only the leader knows; nil if it does not lead.
func (p *Peer) LeadStatus() (*wire.LeadStatus, error) {
	var r LeadReply
	err := p.call(serviceName+".Lead", PingArgs{}, &r, p.timeout)
	return r.Lead.status(), err
}
