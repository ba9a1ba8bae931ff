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
	queued   heartbeatState = iota // waits for the next batch
	sent                           // in a batch that is under way, or that the leader has received
	answered                       // its answer, or the error without one, is delivered
)

// pendingHeartbeat is a heartbeat whose worker waits for an answer.
type pendingHeartbeat struct {
	heartbeat *wire.Heartbeat
	body      []byte
	pressure  Pressure // of this node when the heartbeat arrived
	state     heartbeatState
	result    chan result // has room for the one result
}

// result is the answer to a heartbeat, or the error if there is none.
type result struct {
	answer peer.HeartbeatAnswer
	err    error
}

// setState is the one function that changes the state of a heartbeat. The Sender's mu is held.
func (p *pendingHeartbeat) setState(to heartbeatState) { p.state = to }

// ExchangeFunc sends a batch to the leader and returns its reply. It is called by one goroutine at a
// time.
type ExchangeFunc func(to Leader, args peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error)

// SenderConfig configures a Sender.
type SenderConfig struct {
	Label         string                         // of this node
	Exchange      ExchangeFunc                   // sends a batch
	Grid          timeralign.Grid                // batches are sent at its moments
	Period        time.Duration                  // from batch to batch
	AnswerTimeout time.Duration                  // how long a heartbeat waits for its answer
	Observe       func(kind DeliveryKind, n int) // counts heartbeats, for metrics
}

// DeliveryKind is how a heartbeat was relayed, for metrics.
type DeliveryKind string

// The kinds of delivery. Their values are label values of a metric.
const (
	KindFull     DeliveryKind = "full"     // sent in full
	KindRepeated DeliveryKind = "repeated" // sent as a repetition
	KindResent   DeliveryKind = "resent"   // sent again in full, since the leader lacked what it repeats
	KindFailed   DeliveryKind = "failed"   // the leader was not reached
)

// Sender relays the heartbeats of a follower's workers to the leader. It is safe for concurrent use.
type Sender struct {
	SenderConfig
	wake chan struct{}

	mu           sync.Mutex
	leader       Leader
	pending      map[string]*pendingHeartbeat // by host
	queue        []*pendingHeartbeat          // in the order of arrival; some may be answered already
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

// Relay relays one heartbeat to the leader and waits for the answer, up to AnswerTimeout. body is
// what the heartbeat was parsed from. The error is ErrLeaderUnreachable, ErrSuperseded, ErrNoAnswer or
// that of ctx.
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
	res := <-p.result // an answer may have come at the last moment
	return res.answer, res.err
}

// enqueue queues a heartbeat for the next batch. If the leader or its term has changed, the heartbeats
// that wait for the previous one fail. A heartbeat for an older term fails itself.
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

// isNewer reports whether a heartbeat is newer than another one of the same worker.
func isNewer(h, than *wire.Heartbeat) bool {
	return h.Incarnation > than.Incarnation || h.Incarnation == than.Incarnation && h.Sequence > than.Sequence
}

// finish delivers the result of a heartbeat. Only the first call for it does. s.mu is held.
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

// failAll fails all pending heartbeats: the leader is not reached, or another one leads. What that
// leader has acknowledged is forgotten. s.mu is held.
func (s *Sender) failAll(err error) {
	s.Observe(KindFailed, len(s.pending))
	for _, p := range s.pending {
		s.finish(p, result{err: err})
	}
	s.queue = nil
	clear(s.acknowledged)
}

// Run sends batches, one at a time, until ctx ends. While no worker waits for an answer it sends none.
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

// hasPending reports whether a worker waits for an answer.
func (s *Sender) hasPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) > 0
}

// exchange sends one batch, which may be empty to fetch answers, and delivers the answers that come
// back. It reports whether the batch was full and more heartbeats have to be sent at once.
func (s *Sender) exchange() (more bool) {
	to, b, inBatch := s.takeBatch()
	reply, err := s.Exchange(to, b.args(s.Label, to.Term))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != to {
		return false // the heartbeats that waited for the other leader have failed already
	}
	if err != nil || !reply.Leading {
		slog.Warn("heartbeats could not be relayed",
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

// takeBatch removes the next batch from the queue. Heartbeats in the queue that are answered already
// are dropped.
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

// recordAcknowledged records the heartbeats of a batch that the leader has received, and queues those
// again that it needs in full. s.mu is held.
func (s *Sender) recordAcknowledged(inBatch []*pendingHeartbeat, resend []string) {
	needed := make(map[string]bool, len(resend))
	for _, host := range resend {
		needed[host] = true
	}
	for _, p := range inBatch {
		host := p.heartbeat.Host
		if !needed[host] {
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
