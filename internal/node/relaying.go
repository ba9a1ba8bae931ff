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

// batchesPerInterval is how many times in a heartbeat interval a follower sends batches of relayed
// heartbeats: once in each unit of the timer grid.
const batchesPerInterval = 12

// relays is a node's part in relaying heartbeats: the sender while it follows, router and
// receiver while it leads.
type relays struct {
	*leadership
	sender     *relay.Sender
	malformed  *metrics.Counter // batches that could not be decoded
	router     atomic.Pointer[relay.Router]
	receiver   atomic.Pointer[relay.Receiver]
	leaderMode atomic.Int32   // the relay.Mode that a leader announced last
	watch      sync.WaitGroup // watchFleetSize of the term that this node leads
}

// newRelays makes the parts that a node needs in any term.
func newRelays(l *leadership, m *nodeMetrics) *relays {
	interval := l.cfg.HeartbeatInterval()
	callTimeout := l.cfg.LeaderLeaseTTL() / 4
	r := &relays{leadership: l, malformed: m.malformedBatches}
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

// sendBatch sends a batch to the leader. It is the sender's relay.ExchangeFunc.
func (r *relays) sendBatch(to relay.Leader, batch peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error) {
	if p := r.peer(to.Label); p != nil {
		return p.RelayHeartbeats(batch)
	}
	return peer.HeartbeatBatchReply{}, relay.ErrLeaderUnreachable
}

// beginTerm makes this node's router and receiver for a term that ends with ctx. The caller must
// call endTerm after that, and wait for watch.
func (r *relays) beginTerm(ctx context.Context, term uint64, answer relay.AnswerFunc) {
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
		Connections:       r.cfg.Cluster.Limits.MaxConnections,
		HeartbeatInterval: r.cfg.HeartbeatInterval(),
		Lease:             r.cfg.WorkerLease(),
	}, relay.Mode(r.leaderMode.Load())))
	r.receiver.Store(relay.NewReceiver(ctx, term, members, answer))
	r.watch.Go(func() { r.watchFleetSize(ctx) })
}

// endTerm drops the term's router and receiver: batches are refused from then on.
func (r *relays) endTerm() {
	r.router.Store(nil)
	r.receiver.Store(nil)
}

// watchFleetSize keeps the router's fleet size up to date and, once a worker lease, lets the
// receiver forget the machines that are gone, until ctx ends with the term.
func (r *relays) watchFleetSize(ctx context.Context) {
	forgotten := time.Now()
	for ctx.Err() == nil {
		if c := r.controller(); c != nil && r.resizeRouter(c) && time.Since(forgotten) > r.cfg.WorkerLease() {
			forgotten = time.Now()
			if receiver := r.receiver.Load(); receiver != nil {
				receiver.Retain(c.HasMachine)
			}
		}
		timeralign.Sleep(ctx, r.cfg.TimerGrid().UntilNext(time.Now(), r.cfg.LeaderLeaseTTL()/4))
	}
}

// resizeRouter sets the router's fleet size, and reports whether the number of machines is known.
func (r *relays) resizeRouter(c *controller.Controller) bool {
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

// receiveBatch answers a batch of heartbeats that a follower relays.
func (r *relays) receiveBatch(batch peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error) {
	receiver := r.receiver.Load()
	if receiver == nil {
		return peer.HeartbeatBatchReply{Term: r.elector.View().Term}, nil
	}
	reply, err := receiver.Exchange(batch)
	if errors.Is(err, relay.ErrMalformedBatch) {
		r.malformed.Inc()
	}
	return reply, err
}

// wantedBy reports whether a leader wants its followers to relay heartbeats.
func (r *relays) wantedBy(leader *peer.Peer) bool {
	last, ok := leader.LastPing(r.cfg.LeaderLeaseTTL())
	return ok && last.WantsRelays && r.cfg.RelayHeartbeats
}

// route returns the label of the controller that a worker has to send its heartbeats to instead of
// the one at which they arrive, or "" if it stays there.
func (r *relays) route(heartbeat *wire.Heartbeat, at string, pressure relay.Pressure) string {
	router := r.router.Load()
	if router == nil {
		return ""
	}
	return router.Route(heartbeat, at, pressure, time.Now())
}

// recordPing records whether a peer can relay and, from a leader, whether it wants relays, by the
// answer to a ping or the lack of one.
func (r *relays) recordPing(label string, reply peer.PingResult, reached bool) {
	if router := r.router.Load(); router != nil {
		router.SetUsable(label, reached && reply.CanRelay)
	}
	if reached && reply.Leading {
		mode := relay.Direct
		if reply.WantsRelays {
			mode = relay.Relayed
		}
		r.leaderMode.Store(int32(mode))
	}
}

// isRelaying reports whether this node leads and wants its followers to relay heartbeats.
func (r *relays) isRelaying() bool {
	router := r.router.Load()
	return router != nil && router.Mode() == relay.Relayed
}
