// Package peer is what controllers say to each other, over net/rpc.
package peer

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/clusterversion"
	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/ledger"
	"lotusstile.dev/lotusstile/wire"
)

// serviceName names the net/rpc service. It changes when what its methods send or
// take changes in a way that an older release would misread: nodes of different
// releases then cannot reach each other, and work as if they were cut off.
const serviceName = "Controller"

// PingArgs tells a peer about the caller.
type PingArgs struct {
	From string
	Term uint64
	// The counts of jobs' tasks that the caller has from the callee already.
	CountsTerm, CountsRevision uint64
	Version                    int // cluster version that the caller understands; 0: an older release
}

// PingReply tells about the callee.
type PingReply struct {
	Term    uint64   // newest term it knows
	Leading bool     // leads that term
	Serving bool     // has read the state service lately
	Heard   []string // machines whose leases it kept in the last lease
	// What a leader tells of the counts of jobs' tasks: those that have changed
	// since the caller's revision, and the revision that they lead to.
	Counts         []wire.JobView
	CountsRevision uint64
	CountsMore     bool // more have changed than are told at once: the next ping brings them
	Version        int  // cluster version that the callee understands; 0: an older release
	Relays         bool // can relay reports of workers in batches
	Relaying       bool // leads, and wants its followers to keep workers and to relay their reports
	Follows        bool // can be the leader's warm standby
	// Standby is the label of the node that a leader wants to follow its state; "": none.
	Standby string
}

// CountsArgs asks the leader for a job's counts.
type CountsArgs struct{ UID string }

// CountsReply gives them; Known is false if the callee does not lead.
type CountsReply struct {
	Known         bool
	Done, Running int
}

// CheckInArgs relays a worker's report to the leader.
type CheckInArgs struct{ Body []byte }

// CheckInReply is the leader's answer to it.
type CheckInReply struct {
	Status int
	Body   []byte
}

// UserArgs passes on a user's request that the caller cannot serve.
type UserArgs struct {
	Method, Path string
	Body         []byte
}

// UserReply is the answer to it.
type UserReply struct {
	Status     int
	RetryAfter string
	Body       []byte
}

// WithdrawnArgs tells that a job's withdrawal is committed: its record and the
// record's stamp.
type WithdrawnArgs struct {
	UID   string
	Rec   ledger.Job
	Stamp uint64
}

// WithdrawnReply is empty.
type WithdrawnReply struct{}

// Handler answers peers.
type Handler interface {
	Withdrawn(a WithdrawnArgs)
	User(a UserArgs) UserReply
	Lead() *wire.LeadStatus
	Ping(a PingArgs) PingReply
	Counts(a CountsArgs) CountsReply
	RelayCheckIn(a CheckInArgs) CheckInReply
	RelayReports(a RelayArgs) (RelayReply, error)
	FollowState(a FollowArgs) (FollowReply, error)
}

// Node is the net/rpc service.
type Node struct{ h Handler }

// Ping answers a ping.
func (n *Node) Ping(a PingArgs, r *PingReply) error { *r = n.h.Ping(a); return nil }

// Counts answers a question for counts.
func (n *Node) Counts(a CountsArgs, r *CountsReply) error { *r = n.h.Counts(a); return nil }

// CheckIn answers a relayed report.
func (n *Node) CheckIn(a CheckInArgs, r *CheckInReply) error { *r = n.h.RelayCheckIn(a); return nil }

// User answers a user's request that a peer passes on.
func (n *Node) User(a UserArgs, r *UserReply) error { *r = n.h.User(a); return nil }

// Withdrawn takes word of a withdrawal.
func (n *Node) Withdrawn(a WithdrawnArgs, _ *WithdrawnReply) error { n.h.Withdrawn(a); return nil }

// LeadReply is the leader's status, or nothing from a node that does not lead.
type LeadReply struct{ Lead *wire.LeadStatus }

// Lead answers a question for the leader's status.
func (n *Node) Lead(_ PingArgs, r *LeadReply) error { r.Lead = n.h.Lead(); return nil }

// NewServer makes the server that answers peers.
func NewServer(h Handler) (*rpc.Server, error) {
	srv := rpc.NewServer()
	if err := srv.RegisterName(serviceName, &Node{h}); err != nil {
		return nil, fmt.Errorf("register rpc: %w", err)
	}
	return srv, nil
}

// Serve answers peers on l until it closes.
func Serve(l net.Listener, srv *rpc.Server) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			slog.Warn("mesh accept failed", "err", err)
			time.Sleep(50 * time.Millisecond)
			continue
		}
		go srv.ServeConn(conn)
	}
}

var errTimeout = errors.New("peer did not answer in time")

// Peer is another controller.
type Peer struct {
	Label    string
	Location string
	addr     string
	timeout  time.Duration
	dial     Dialer

	mu     sync.Mutex
	client *rpc.Client
	last   PingReply
	at     time.Time // start of the last ping that was answered
	well   time.Time // since when every ping found the peer serving; zero if it is not
}

// Dialer opens a connection to a peer's address.
type Dialer func(addr string, timeout time.Duration) (net.Conn, error)

// Peers makes the peers of a node.
func Peers(c *config.Config, timeout time.Duration, dial Dialer) []*Peer {
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
func (p *Peer) Ping(a PingArgs) (PingReply, error) {
	begun := time.Now()
	var r PingReply
	err := p.call(serviceName+".Ping", a, &r, p.timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil || !r.Serving:
		p.well = time.Time{}
	case p.well.IsZero():
		p.well = begun
	}
	if err == nil {
		p.last, p.at = r, begun
	}
	return r, err
}

// Well is how long the peer has been found serving without a break.
func (p *Peer) Well() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.well.IsZero() {
		return 0
	}
	return time.Since(p.well)
}

// Last is the last answer to a ping, if one is no older than limit.
func (p *Peer) Last(limit time.Duration) (PingReply, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last, !p.at.IsZero() && time.Since(p.at) <= limit
}

// Understands is the cluster version that the peer said last to understand; the first
// if it has not been reached yet.
func (p *Peer) Understands() clusterversion.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	return clusterversion.Normalize(p.last.Version)
}

// Counts asks for a job's counts.
func (p *Peer) Counts(uid string) (CountsReply, error) {
	var r CountsReply
	err := p.call(serviceName+".Counts", CountsArgs{uid}, &r, p.timeout)
	return r, err
}

// CheckIn relays a report.
func (p *Peer) CheckIn(body []byte) (CheckInReply, error) {
	var r CheckInReply
	err := p.call(serviceName+".CheckIn", CheckInArgs{body}, &r, p.timeout)
	return r, err
}

// Withdrawn tells the peer of a withdrawal.
func (p *Peer) Withdrawn(a WithdrawnArgs) error {
	return p.call(serviceName+".Withdrawn", a, &WithdrawnReply{}, p.timeout)
}

// User passes a user's request on.
func (p *Peer) User(a UserArgs, timeout time.Duration) (UserReply, error) {
	var r UserReply
	err := p.call(serviceName+".User", a, &r, timeout)
	return r, err
}

// Lead asks the leader for its status.
func (p *Peer) Lead() (*wire.LeadStatus, error) {
	var r LeadReply
	err := p.call(serviceName+".Lead", PingArgs{}, &r, p.timeout)
	return r.Lead, err
}
