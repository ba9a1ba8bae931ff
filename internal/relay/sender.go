package relay

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/wire"
)

// heartbeatState is the state of a heartbeat at the follower.
type heartbeatState int

// The states of a heartbeat.
const (
	queued   heartbeatState = iota // in the queue for the next batch
	sent                           // in a batch that is being sent, or that the leader has received
	answered                       // its answer, or an error, was delivered
)

// pendingHeartbeat is a heartbeat for which a worker waits for an answer.
type pendingHeartbeat struct {
	heartbeat *wire.Heartbeat
	body      []byte
	pressure  Pressure // of this node when the heartbeat arrived
	state     heartbeatState
	result    chan result // buffered: holds the only result
}

// result is the answer to a heartbeat, or an error if there is no answer.
type result struct {
	answer peer.HeartbeatAnswer
	err    error
}

// setState is the only function that changes the state. The mu of the Sender must be held.
func (p *pendingHeartbeat) setState(to heartbeatState) { p.state = to }

// ExchangeFunc sends a batch to the leader and returns its reply. A Sender never calls it concurrently.
type ExchangeFunc func(to Leader, args peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error)

// SenderConfig configures a Sender.
type SenderConfig struct {
	Label         string                         // of this node
	Exchange      ExchangeFunc                   // sends a batch
	Grid          timeralign.Grid                // aligns the moments at which batches are sent
	Period        time.Duration                  // between batches
	AnswerTimeout time.Duration                  // how long Relay waits for an answer
	Observe       func(kind DeliveryKind, n int) // reports n more heartbeats of a kind, for metrics
}

// DeliveryKind says how a heartbeat was relayed, for metrics.
type DeliveryKind string

// The kinds of delivery. Their values are label values of a metric.
const (
	KindFull     DeliveryKind = "full"     // sent in full
	KindRepeated DeliveryKind = "repeated" // sent as a reference to the previous one
	KindResent   DeliveryKind = "resent"   // sent again in full, because the leader did not have the one that it refers to
	KindFailed   DeliveryKind = "failed"   // not answered: the leader was unreachable or replaced
)

// Sender relays the heartbeats of a follower's workers to the leader. It is safe for concurrent use.
type Sender struct {
	SenderConfig
	wake chan struct{}

	mu           sync.Mutex
	leader       Leader
	pending      map[string]*pendingHeartbeat // by host
	queue        []*pendingHeartbeat          // in order of arrival; may include heartbeats that are already answered
	acknowledged map[string]*wire.Heartbeat   // by host: the last heartbeat that the leader has received
}

// NewSender returns a Sender that sends nothing until Run is called.
func NewSender(cfg SenderConfig) *Sender {
	return &Sender{
		SenderConfig: cfg,
		wake:         make(chan struct{}, 1),
		pending:      map[string]*pendingHeartbeat{},
		acknowledged: map[string]*wire.Heartbeat{},
	}
}

// Relay relays one heartbeat to the leader and waits up to AnswerTimeout for the answer. body is the text from
// which the heartbeat was parsed. The error is ErrLeaderUnreachable, ErrSuperseded, ErrNoAnswer or ctx.Err().
func (s *Sender) Relay(
	ctx context.Context, to Leader, heartbeat *wire.Heartbeat, body []byte, pressure Pressure,
) (peer.HeartbeatAnswer, error) {
	p := &pendingHeartbeat{heartbeat: heartbeat, body: body, pressure: pressure, result: make(chan result, 1)}
	if err := s.enqueue(to, p); err != nil {
		return peer.HeartbeatAnswer{}, err
	}
	timer := time.NewTimer(s.AnswerTimeout)
	defer timer.Stop()
	var err error
	select {
	case res := <-p.result:
		return res.answer, res.err
	case <-timer.C:
		err = ErrNoAnswer
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finish(p, result{err: err})
	res := <-p.result // an answer that arrived meanwhile takes precedence over err
	return res.answer, res.err
}

// enqueue adds a heartbeat to the queue for the next batch. If the leader or its term has changed, it fails the
// heartbeats that wait for the previous leader. It returns an error if the heartbeat itself is for an older term,
// or is not newer than the pending one of the same worker.
func (s *Sender) enqueue(to Leader, p *pendingHeartbeat) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if to.Term < s.leader.Term {
		return ErrLeaderUnreachable
	}
	if to != s.leader {
		s.failAll(ErrLeaderUnreachable)
		s.leader = to
	}
	if old := s.pending[p.heartbeat.Host]; old != nil {
		if !isNewer(p.heartbeat, old.heartbeat) {
			return ErrSuperseded
		}
		s.finish(old, result{err: ErrSuperseded})
	}
	s.pending[p.heartbeat.Host] = p
	s.queue = append(s.queue, p)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}

// isNewer reports whether h is newer than another heartbeat of the same worker.
func isNewer(h, other *wire.Heartbeat) bool {
	return h.Incarnation > other.Incarnation || h.Incarnation == other.Incarnation && h.Sequence > other.Sequence
}

// finish delivers the result of a heartbeat. Later calls for the same heartbeat have no effect. s.mu must be held.
func (s *Sender) finish(p *pendingHeartbeat, res result) {
	if p.state == answered {
		return
	}
	p.setState(answered)
	if s.pending[p.heartbeat.Host] == p {
		delete(s.pending, p.heartbeat.Host)
	}
	p.result <- res
}

// failAll fails all pending heartbeats, because the leader is unreachable or was replaced. It also discards the
// record of what that leader has acknowledged. s.mu must be held.
func (s *Sender) failAll(err error) {
	s.Observe(KindFailed, len(s.pending))
	for _, p := range s.pending {
		s.finish(p, result{err: err})
	}
	s.queue = nil
	clear(s.acknowledged)
}

// Run sends batches, one at a time, until ctx ends. It sends none while no worker waits for an answer.
func (s *Sender) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for s.hasPending() {
			if !timeralign.Sleep(ctx, s.Grid.UntilNext(time.Now(), s.Period)) {
				return
			}
			for s.exchange() {
			}
		}
	}
}

// hasPending reports whether any worker waits for an answer.
func (s *Sender) hasPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) > 0
}

// exchange sends one batch and delivers the answers in the reply. An empty batch is sent too, to fetch answers.
// exchange reports whether the batch was full and the queue holds more heartbeats, which have to be sent at once.
func (s *Sender) exchange() (more bool) {
	to, b, inBatch := s.takeBatch()
	reply, err := s.Exchange(to, b.encode(s.Label, to.Term))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != to {
		return false // enqueue has failed the heartbeats that waited for the previous leader
	}
	if err != nil || !reply.Leading {
		slog.Warn("failed to relay heartbeats to the leader",
			"leader", to.Label, "term", to.Term, "heartbeats", len(b.heartbeats), "waiting", len(s.pending), "err", err)
		s.failAll(ErrLeaderUnreachable)
		return false
	}
	s.recordAcknowledged(inBatch, reply.Resend)
	for _, answer := range reply.Answers {
		p := s.pending[answer.Host]
		if p != nil && p.heartbeat.Incarnation == answer.Incarnation && p.heartbeat.Sequence == answer.Sequence {
			s.finish(p, result{answer: answer})
		}
	}
	return len(s.queue) > 0 && b.isFull()
}

// takeBatch removes the heartbeats of the next batch from the queue, and drops those that are already answered. It
// returns the current leader, the batch, and the heartbeats in it.
func (s *Sender) takeBatch() (to Leader, b batch, inBatch []*pendingHeartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken, full := 0, 0
	for _, p := range s.queue {
		if b.isFull() {
			break
		}
		taken++
		if p.state != queued {
			continue
		}
		p.setState(sent)
		inBatch = append(inBatch, p)
		if last := s.acknowledged[p.heartbeat.Host]; last != nil && equalExceptSequence(last, p.heartbeat) {
			b.addRepetition(p.heartbeat, last, p.pressure)
		} else {
			b.addFull(p.heartbeat, p.body, p.pressure)
			full++
		}
	}
	s.Observe(KindFull, full)
	s.Observe(KindRepeated, len(inBatch)-full)
	s.queue = append([]*pendingHeartbeat(nil), s.queue[taken:]...)
	return s.leader, b, inBatch
}

// recordAcknowledged records which heartbeats of a batch the leader has received. It adds the heartbeats of the
// hosts in resend to the queue again, since the leader needs them in full. s.mu must be held.
func (s *Sender) recordAcknowledged(inBatch []*pendingHeartbeat, resend []string) {
	needsFull := make(map[string]bool, len(resend))
	for _, host := range resend {
		needsFull[host] = true
	}
	for _, p := range inBatch {
		host := p.heartbeat.Host
		if !needsFull[host] {
			s.acknowledged[host] = p.heartbeat
			continue
		}
		delete(s.acknowledged, host)
		if p.state == sent {
			p.setState(queued)
			s.queue = append(s.queue, p)
		}
	}
	s.Observe(KindResent, len(resend))
}
