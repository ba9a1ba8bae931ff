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

// heartbeatState is where a report stands at the follower.
type heartbeatState int

// The states of a report.
const (
	queued   heartbeatState = iota // waits for the next batch
	sent                           // in a batch that is under way, or that the leader has taken
	answered                       // its answer, or the failure to get one, is given
)

// pendingHeartbeat is a report whose worker waits for an answer.
type pendingHeartbeat struct {
	heartbeat *wire.Heartbeat
	body      []byte
	// pressure is how short of connections this node was when the report came.
	pressure Pressure
	state    heartbeatState
	result   chan result // has room for the one result
}

// result is what became of a report.
type result struct {
	answer peer.HeartbeatAnswer
	err    error
}

// ExchangeFunc passes a batch to the leader and returns its reply.
type ExchangeFunc func(to Leader, args peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error)

// SenderConfig is what a Sender is made with.
type SenderConfig struct {
	Label         string          // of this node
	Exchange      ExchangeFunc    // passes a batch on
	Grid          timeralign.Grid // batches fall on its moments
	Period        time.Duration   // from batch to batch
	AnswerTimeout time.Duration   // how long a report waits for its answer
	Observe       func(kind DeliveryKind, n int)
}

// DeliveryKind is how a report has travelled, for metrics.
type DeliveryKind string

// The kinds of relayed reports.
const (
	KindFull     DeliveryKind = "full"
	KindRepeated DeliveryKind = "repeated"
	KindResent   DeliveryKind = "resent"
	KindFailed   DeliveryKind = "failed"
)

// Sender relays the reports of a follower's workers to the leader.
type Sender struct {
	SenderConfig
	wake chan struct{}

	mu           sync.Mutex
	leader       Leader
	pending      map[string]*pendingHeartbeat // by host
	queue        []*pendingHeartbeat          // in the order of arrival; some may be answered already
	acknowledged map[string]*wire.Heartbeat   // by host: the last report that the leader has taken
}

// NewSender makes a Sender that relays nothing until it runs.
func NewSender(cfg SenderConfig) *Sender {
	return &Sender{SenderConfig: cfg, wake: make(chan struct{}, 1), pending: map[string]*pendingHeartbeat{}, acknowledged: map[string]*wire.Heartbeat{}}
}

// Relay relays one report to the leader and waits for the answer. The error is one of
// the package's, or that of the context.
func (s *Sender) Relay(ctx context.Context, to Leader, r *wire.Heartbeat, body []byte, pressure Pressure) (peer.HeartbeatAnswer, error) {
	p := &pendingHeartbeat{heartbeat: r, body: body, pressure: pressure, result: make(chan result, 1)}
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

// add takes a report in. A newer term of a leader ends what waits for an older one.
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

// isNewer reports whether a report is newer than another one of the same worker.
func isNewer(r, than *wire.Heartbeat) bool {
	return r.Incarnation > than.Incarnation || r.Incarnation == than.Incarnation && r.Sequence > than.Sequence
}

// setState is the one function that changes the state of a report. s.mu is held.
func (p *pendingHeartbeat) setState(to heartbeatState) { p.state = to }

// finish gives a report its result, once. s.mu is held.
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

// failAll ends all that waits: the leader is not reached, or another one leads. s.mu is
// held.
func (s *Sender) failAll(err error) {
	s.Observe(KindFailed, len(s.pending))
	for _, p := range s.pending {
		s.finish(p, result{err: err})
	}
	s.queue = nil
	clear(s.acknowledged)
}

// Run sends batches until ctx ends. While nobody waits for an answer it sleeps.
func (s *Sender) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for s.hasPending() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(s.Grid.Next(time.Now(), s.Period)):
			}
			for s.exchange() {
			}
		}
	}
}

func (s *Sender) hasPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) > 0
}

// exchange sends one batch and gives the answers that come back. It reports whether
// there is more to send at once.
func (s *Sender) exchange() bool {
	to, b, inBatch := s.collect()
	reply, err := s.Exchange(to, b.args(s.Label, to.Term))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != to {
		return false // what waited for the other leader has failed already
	}
	if err != nil || !reply.Leading {
		slog.Warn("reports not relayed", "leader", to.Label, "term", to.Term, "reports", len(b.heartbeats), "waiting", len(s.pending), "err", err)
		s.failAll(ErrLeaderUnreachable)
		return false
	}
	s.recordAcknowledged(inBatch, reply.Resend)
	for _, a := range reply.Answers {
		p := s.pending[a.Host]
		if p != nil && p.heartbeat.Incarnation == a.Incarnation && p.heartbeat.Sequence == a.Sequence {
			s.finish(p, result{answer: a})
		}
	}
	return len(s.queue) > 0 && b.isFull()
}

// collect makes the next batch of what is queued.
func (s *Sender) collect() (to Leader, b batch, inBatch []*pendingHeartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, full := 0, 0
	for _, p := range s.queue {
		if b.isFull() {
			break
		}
		n++
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
	s.queue = append([]*pendingHeartbeat(nil), s.queue[n:]...)
	return s.leader, b, inBatch
}

// recordAcknowledged remembers the reports that the leader has taken, and queues those again
// that it wants in full. s.mu is held.
func (s *Sender) recordAcknowledged(inBatch []*pendingHeartbeat, resend []string) {
	wanted := make(map[string]bool, len(resend))
	for _, host := range resend {
		wanted[host] = true
	}
	for _, p := range inBatch {
		host := p.heartbeat.Host
		switch {
		case !wanted[host]:
			s.acknowledged[host] = p.heartbeat
		case p.state == sent:
			delete(s.acknowledged, host)
			p.setState(queued)
			s.queue = append(s.queue, p)
		default:
			delete(s.acknowledged, host)
		}
	}
	s.Observe(KindResent, len(resend))
}
