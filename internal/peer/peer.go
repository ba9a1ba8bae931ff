// Package peer implements the RPC between controllers over net/rpc: the client, the server and the messages.
package peer

import (
	"net"
	"net/rpc"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/clusterversion"
	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/wire"
)

// Peer is the client of another controller. It is safe for concurrent use. Its methods that call the peer return an
// error if the peer does not answer in time; the peer may nevertheless have processed the call.
type Peer struct {
	Label    string
	Location string // zone
	addr     string
	timeout  time.Duration // of a call
	dial     Dialer

	mu           sync.Mutex
	client       *rpc.Client // nil if not connected
	lastPing     PingResult
	lastPingAt   time.Time // when the last answered ping was sent
	servingSince time.Time // every ping since then has found the peer serving; zero if the last one has not
}

// Dialer opens a connection to a peer's address.
type Dialer func(addr string, timeout time.Duration) (net.Conn, error)

// NewPeers returns the other controllers in the configuration. timeout limits the duration of each call, except
// ForwardUserRequest.
func NewPeers(c *config.Config, timeout time.Duration, dial Dialer) []*Peer {
	peers := make([]*Peer, 0, len(c.Members))
	for _, member := range c.Members {
		peers = append(peers, &Peer{
			Label:    member.Label,
			Location: member.Location,
			addr:     member.Endpoint,
			timeout:  timeout,
			dial:     dial,
		})
	}
	return peers
}

// Counts asks the leader for the numbers of finished and running tasks of a job.
func (p *Peer) Counts(uid string) (CountsReply, error) {
	var reply CountsReply
	err := p.call("Counts", CountsArgs{uid}, &reply, p.timeout)
	return reply, err
}

// RelayHeartbeat relays a single heartbeat, given by its JSON body, to the leader.
func (p *Peer) RelayHeartbeat(body []byte) (CheckInReply, error) {
	var reply CheckInReply
	err := p.call("CheckIn", CheckInArgs{body}, &reply, p.timeout)
	return reply, err
}

// RelayHeartbeats sends a batch of heartbeats to the leader.
func (p *Peer) RelayHeartbeats(b HeartbeatBatch) (HeartbeatBatchReply, error) {
	var message RelayReply
	err := p.call("RelayReports", b.message(), &message, p.timeout)
	return message.reply(), err
}

// NotifyCancelled informs the peer of a committed cancellation.
func (p *Peer) NotifyCancelled(c Cancellation) error {
	return p.call("Withdrawn", c.message(), &WithdrawnReply{}, p.timeout)
}

// FollowState asks the leader for one part of a transfer of its state.
func (p *Peer) FollowState(args FollowArgs) (FollowReply, error) {
	var reply FollowReply
	err := p.call("FollowState", args, &reply, p.timeout)
	return reply, err
}

// ForwardUserRequest forwards a user's request to the peer, and waits up to timeout for the answer.
func (p *Peer) ForwardUserRequest(args UserArgs, timeout time.Duration) (UserReply, error) {
	var reply UserReply
	err := p.call("User", args, &reply, timeout)
	return reply, err
}

// LeadStatus asks the peer for the status that only the leader knows. It returns nil if the peer does not lead.
func (p *Peer) LeadStatus() (*wire.LeadStatus, error) {
	var reply LeadReply
	err := p.call("Lead", PingArgs{}, &reply, p.timeout)
	return reply.Lead.status(), err
}

// SupportedVersion returns the newest cluster version that the peer understands according to its last answer to a
// ping, or the first version if the peer has never answered.
func (p *Peer) SupportedVersion() clusterversion.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	return clusterversion.Normalize(p.lastPing.Version)
}
