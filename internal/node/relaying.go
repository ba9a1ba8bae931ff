package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lotusstile.dev/lotusstile/internal/controller"
	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/relay"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/wire"
)

// batchesPerInterval is how many batches of relayed heartbeats a follower sends per heartbeat interval: one per
// unit of the timer grid.
const batchesPerInterval = 12

// heartbeatRelay holds the parts of a node that relay heartbeats: the sender is used while the node follows, the
// router and the receiver exist while it leads.
type heartbeatRelay struct {
	*leadership
	sender           *relay.Sender
	malformedBatches *metrics.Counter // counts batches that could not be decoded
	router           atomic.Pointer[relay.Router]
	receiver         atomic.Pointer[relay.Receiver]
	leaderMode       atomic.Int32   // the relay.Mode that any leader announced last
	fleetSizeWatch   sync.WaitGroup // waits for watchFleetSize, which runs while this node leads
}

// newHeartbeatRelay returns a relay with a sender only; beginTerm adds the router and the receiver.
func newHeartbeatRelay(l *leadership, m *nodeMetrics) *heartbeatRelay {
	interval := l.cfg.HeartbeatInterval()
	callTimeout := l.cfg.LeaderLeaseTTL() / 4
	r := &heartbeatRelay{leadership: l, malformedBatches: m.malformedBatches}
	r.sender = relay.NewSender(relay.SenderConfig{
		Label:         l.cfg.Label,
		Exchange:      r.sendBatch,
		Grid:          l.cfg.TimerGrid(),
		Period:        interval / batchesPerInterval,
		AnswerTimeout: min(interval/2+3*interval/batchesPerInterval+callTimeout, relay.WorkerTimeout*7/8),
		Observe:       m.countRelayed,
	})
	return r
}

// sendBatch sends a batch to a leader and returns the reply. It is the sender's relay.ExchangeFunc.
func (r *heartbeatRelay) sendBatch(to relay.Leader, batch peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error) {
	if p := r.peer(to.Label); p != nil {
		return p.RelayHeartbeats(batch)
	}
	return peer.HeartbeatBatchReply{}, relay.ErrLeaderUnreachable
}

// beginTerm creates the router and the receiver for a term that this node leads until ctx ends. The caller
// must call endTerm after the term, and wait for fleetSizeWatch.
func (r *heartbeatRelay) beginTerm(ctx context.Context, term uint64, answer relay.AnswerFunc) {
	if !r.cfg.RelayHeartbeats {
		return
	}
	zones := map[string]string{r.cfg.Label: r.cfg.Location}
	var members []string
	for _, p := range r.peers {
		zones[p.Label] = p.Location
		members = append(members, p.Label)
	}
	r.router.Store(relay.NewRouter(relay.RouterConfig{
		Self:              r.cfg.Label,
		Zones:             zones,
		MaxConnections:    r.cfg.Cluster.Limits.MaxConnections,
		HeartbeatInterval: r.cfg.HeartbeatInterval(),
		Lease:             r.cfg.WorkerLease(),
	}, relay.Mode(r.leaderMode.Load())))
	r.receiver.Store(relay.NewReceiver(ctx, term, members, answer))
	r.fleetSizeWatch.Go(func() { r.watchFleetSize(ctx) })
}

// endTerm removes the term's router and receiver. Batches are not accepted afterwards.
func (r *heartbeatRelay) endTerm() {
	r.router.Store(nil)
	r.receiver.Store(nil)
}

// watchFleetSize keeps the router's fleet size up to date until ctx ends with the term. Once per worker lease
// it also removes from the receiver the machines that the fleet no longer has.
func (r *heartbeatRelay) watchFleetSize(ctx context.Context) {
	lastRemoval := time.Now()
	for ctx.Err() == nil {
		if c := r.controller(); c != nil && r.resizeRouter(c) && time.Since(lastRemoval) > r.cfg.WorkerLease() {
			lastRemoval = time.Now()
			if receiver := r.receiver.Load(); receiver != nil {
				receiver.Retain(c.HasMachine)
			}
		}
		timeralign.Sleep(ctx, r.cfg.TimerGrid().UntilNext(time.Now(), r.cfg.LeaderLeaseTTL()/4))
	}
}

// resizeRouter sets the router's fleet size if the number of machines is known, and reports whether it is known.
func (r *heartbeatRelay) resizeRouter(c *controller.Controller) bool {
	router, receiver := r.router.Load(), r.receiver.Load()
	if router == nil || receiver == nil {
		return false
	}
	machines, known := c.Machines()
	if known {
		router.SetFleetSize(machines)
	}
	return known
}

// receiveBatch answers a batch of heartbeats that a follower relays. While this node does not lead, or if its
// configuration does not enable relaying, the reply contains only the term that it knows.
func (r *heartbeatRelay) receiveBatch(batch peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error) {
	receiver := r.receiver.Load()
	if receiver == nil {
		return peer.HeartbeatBatchReply{Term: r.elector.View().Term}, nil
	}
	reply, err := receiver.Exchange(batch)
	if errors.Is(err, relay.ErrMalformedBatch) {
		r.malformedBatches.Inc()
	}
	return reply, err
}

// isWantedBy reports whether a leader wants its followers to relay heartbeats and this node is able to.
func (r *heartbeatRelay) isWantedBy(leader *peer.Peer) bool {
	last, ok := leader.LastPing(r.cfg.LeaderLeaseTTL())
	return ok && last.WantsRelays && r.cfg.RelayHeartbeats
}

// route returns the label of the controller to which a worker has to send its heartbeats from now on, or "" if
// it should stay with arrivedAt, the controller at which this heartbeat arrived.
func (r *heartbeatRelay) route(heartbeat *wire.Heartbeat, arrivedAt string, pressure relay.Pressure) string {
	router := r.router.Load()
	if router == nil {
		return ""
	}
	return router.Route(heartbeat, arrivedAt, pressure, time.Now())
}

// recordPing records from the result of a ping whether the peer can relay heartbeats and, if the peer leads,
// whether it wants its followers to relay them. answered is false if the ping got no answer.
func (r *heartbeatRelay) recordPing(label string, reply peer.PingResult, answered bool) {
	if router := r.router.Load(); router != nil {
		router.SetUsable(label, answered && reply.CanRelay)
	}
	if answered && reply.Leading {
		mode := relay.Direct
		if reply.WantsRelays {
			mode = relay.Relayed
		}
		r.leaderMode.Store(int32(mode))
	}
}

// isRelaying reports whether this node leads and wants its followers to relay heartbeats.
func (r *heartbeatRelay) isRelaying() bool {
	router := r.router.Load()
	return router != nil && router.Mode() == relay.Relayed
}
