package node

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/relay"
	"lotusstile.dev/lotusstile/wire"
)

// batchesPerReport is how many batches of relayed reports a follower sends in a
// report's interval at most: one in each unit of the grid.
const batchesPerReport = 12

// relays is a node's part in relaying reports: the sender while it follows, router and
// receiver while it leads.
type relays struct {
	sender     *relay.Sender
	router     atomic.Pointer[relay.Router]
	receiver   atomic.Pointer[relay.Receiver]
	leaderMode atomic.Int32 // the mode that a leader told last
}

// newRelays makes the parts that a node needs in any term.
func (n *Node) newRelays() {
	every := n.cfg.HeartbeatInterval()
	callTimeout := n.cfg.LeaderLeaseTTL() / 4
	n.relays.sender = relay.NewSender(relay.SenderConfig{
		Label: n.cfg.Label, Exchange: n.exchangeReports, Grid: n.cfg.Grid(), Period: every / batchesPerReport,
		AnswerTimeout: min(every/2+3*every/batchesPerReport+callTimeout, relay.WorkerTimeout*7/8),
		Observe:       n.countRelayed,
	})
}

// exchangeReports passes a batch to the leader.
func (n *Node) exchangeReports(to relay.Leader, args peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error) {
	for _, p := range n.peers {
		if p.Label == to.Label {
			return p.RelayHeartbeats(args)
		}
	}
	return peer.HeartbeatBatchReply{}, relay.ErrLeaderUnreachable
}

// beginRelays makes this node's router and receiver of a term.
func (n *Node) beginRelays(ctx context.Context, term uint64) {
	if !n.cfg.RelayHeartbeats {
		return
	}
	zones := map[string]string{n.cfg.Label: n.cfg.Location}
	var members []string
	for _, p := range n.peers {
		zones[p.Label] = p.Location
		members = append(members, p.Label)
	}
	n.relays.router.Store(relay.NewRouter(relay.RouterConfig{Self: n.cfg.Label, Zones: zones, Connections: n.cfg.Cluster.Limits.MaxConnections,
		HeartbeatInterval: n.cfg.HeartbeatInterval(), Lease: n.cfg.WorkerLease()}, relay.Mode(n.relays.leaderMode.Load())))
	n.relays.receiver.Store(relay.NewReceiver(ctx, term, members, n.answerRelayed))
	go n.watchFleetSize(ctx)
}

// endRelays ends a term's part.
func (n *Node) endRelays() {
	n.relays.router.Store(nil)
	n.relays.receiver.Store(nil)
}

// watchFleetSize tells the router how many machines there are, and lets the receiver
// forget those that are gone, until the term ends.
func (n *Node) watchFleetSize(ctx context.Context) {
	for forgotten := time.Now(); ctx.Err() == nil; time.Sleep(n.cfg.Grid().Next(time.Now(), n.cfg.LeaderLeaseTTL()/4)) {
		c, router, receiver := n.lead.Load(), n.relays.router.Load(), n.relays.receiver.Load()
		if c == nil || router == nil || receiver == nil {
			continue
		}
		machines, known := c.Machines()
		if !known {
			continue
		}
		router.SetFleetSize(machines)
		if time.Since(forgotten) > n.cfg.WorkerLease() {
			forgotten = time.Now()
			receiver.Retain(c.HasMachine)
		}
	}
}

// RelayHeartbeats answers a batch of reports that a follower relays.
func (n *Node) RelayHeartbeats(a peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error) {
	receiver := n.relays.receiver.Load()
	if receiver == nil {
		return peer.HeartbeatBatchReply{Term: n.elector.View().Term}, nil
	}
	reply, err := receiver.Exchange(a)
	if errors.Is(err, relay.ErrMalformedBatch) {
		n.refusedBatches.Inc()
	}
	return reply, err
}

// answerRelayed decides the answer to one relayed report.
func (n *Node) answerRelayed(ctx context.Context, r *wire.Heartbeat, from string, pressure relay.Pressure) peer.HeartbeatAnswer {
	a := peer.HeartbeatAnswer{Host: r.Host, Incarnation: r.Incarnation, Sequence: r.Sequence}
	d := n.decide(ctx, r, nil, source{relay: from, pressure: pressure})
	a.Status = d.status
	if d.orders != nil {
		a.Response = *d.orders
	}
	if d.redirect != nil {
		a.Redirect = *d.redirect
	}
	return a
}

// relayReport relays a worker's report to the leader by the next batch, and returns the
// leader's answer to it: with neither, the leader cannot answer now. If it is not reached,
// its place is taken.
func (n *Node) relayReport(ctx context.Context, leader *peer.Peer, r *wire.Heartbeat, body []byte, pressure relay.Pressure) (*wire.Commands, *wire.Redirect) {
	last, ok := leader.LastPing(n.cfg.LeaderLeaseTTL())
	if !ok {
		return n.renewForLeader(r)
	}
	a, err := n.relays.sender.Relay(ctx, relay.Leader{Label: leader.Label, Term: last.Term}, r, body, pressure)
	switch {
	case errors.Is(err, relay.ErrSuperseded):
		return nil, nil // nobody waits for an answer to this one any more
	case err != nil:
		return n.renewForLeader(r)
	case a.Status == http.StatusOK:
		return &a.Response, nil
	case a.Status == http.StatusMisdirectedRequest:
		return nil, &a.Redirect
	}
	return nil, nil
}

// relaying reports whether a leader wants its followers to keep workers.
func (n *Node) relaying(leader *peer.Peer) bool {
	last, ok := leader.LastPing(n.cfg.LeaderLeaseTTL())
	return ok && last.WantsRelays && n.cfg.RelayHeartbeats
}

// route returns where a worker that reports at a controller has to go instead, or "".
func (n *Node) route(r *wire.Heartbeat, at string, pressure relay.Pressure) string {
	router := n.relays.router.Load()
	if router == nil {
		return ""
	}
	return router.Route(r, at, pressure, time.Now())
}

// notePeer takes what a ping has told of a peer's part in relaying.
func (n *Node) notePeer(label string, reply peer.PingResult, reached bool) {
	if router := n.relays.router.Load(); router != nil {
		router.SetUsable(label, reached && reply.CanRelay)
	}
	if reached && reply.Leading {
		mode := relay.Direct
		if reply.WantsRelays {
			mode = relay.Relayed
		}
		n.relays.leaderMode.Store(int32(mode))
	}
}

// relayMode is whether this node, as the leader, wants its followers to keep workers.
func (n *Node) relayMode() bool {
	router := n.relays.router.Load()
	return router != nil && router.Mode() == relay.Relayed
}

// relayReached reports whether a follower that relays reports answers pings.
func (n *Node) relayReached(label string) bool {
	for _, p := range n.peers {
		if p.Label == label {
			_, ok := p.LastPing(n.cfg.LeaderLeaseTTL())
			return ok
		}
	}
	return false
}
