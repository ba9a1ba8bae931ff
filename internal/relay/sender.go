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

// reportState is where a report stands at the follower.
type reportState int

// The states of a report.
const (
	queued   reportState = iota // waits for the next batch
	sent                        // in a batch that is under way, or that the leader has taken
	answered                    // its answer, or the failure to get one, is given
)

// pendingReport is a report whose worker waits for an answer.
type pendingReport struct {
	report *wire.Heartbeat
	body   []byte
	// pressure is how short of connections this node was when the report came.
	pressure Pressure
	state    reportState
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
	Label    string          // of this node
	Exchange ExchangeFunc    // passes a batch on
	Grid     timeralign.Grid // batches fall on its moments
	Period   time.Duration   // from batch to batch
	Patience time.Duration   // how long a report waits for its answer
	Observe  func(kind ReportKind, n int)
}

// ReportKind is how a report has travelled, for metrics.
type ReportKind string

// The kinds of relayed reports.
const (
	KindFull     ReportKind = "full"
	KindRepeated ReportKind = "repeated"
	KindResent   ReportKind = "resent"
	KindFailed   ReportKind = "failed"
)

// Sender relays the reports of a follower's workers to the leader.
type Sender struct {
	SenderConfig
	wake chan struct{}

	mu      sync.Mutex
	leader  Leader
	pending map[string]*pendingReport  // by host
	queue   []*pendingReport           // in the order of arrival; some may be answered already
	taken   map[string]*wire.Heartbeat // by host: the last report that the leader has taken
}

// NewSender makes a Sender that relays nothing until it runs.
func NewSender(cfg SenderConfig) *Sender {
	return &Sender{SenderConfig: cfg, wake: make(chan struct{}, 1), pending: map[string]*pendingReport{}, taken: map[string]*wire.Heartbeat{}}
}

// Report relays one report to the leader and waits for the answer. The error is one of
// the package's, or that of the context.
func (s *Sender) Report(ctx context.Context, to Leader, r *wire.Heartbeat, body []byte, pressure Pressure) (peer.HeartbeatAnswer, error) {
	p := &pendingReport{report: r, body: body, pressure: pressure, result: make(chan result, 1)}
	if err := s.add(to, p); err != nil {
		return peer.HeartbeatAnswer{}, err
	}
	timer := time.NewTimer(s.Patience)
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
func (s *Sender) add(to Leader, p *pendingReport) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if to.Term < s.leader.Term {
		return ErrLeaderNotReached
	}
	if to != s.leader {
		s.fail(ErrLeaderNotReached)
		s.leader = to
	}
	if old := s.pending[p.report.Host]; old != nil {
		if !newer(p.report, old.report) {
			return ErrSuperseded
		}
		s.finish(old, result{err: ErrSuperseded})
	}
	s.pending[p.report.Host] = p
	s.queue = append(s.queue, p)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}

// newer reports whether a report is newer than another one of the same worker.
func newer(r, than *wire.Heartbeat) bool {
	return r.Incarnation > than.Incarnation || r.Incarnation == than.Incarnation && r.Sequence > than.Sequence
}

// move is the one function that changes the state of a report. s.mu is held.
func (p *pendingReport) move(to reportState) { p.state = to }

// finish gives a report its result, once. s.mu is held.
func (s *Sender) finish(p *pendingReport, res result) {
	if p.state == answered {
		return
	}
	p.move(answered)
	if s.pending[p.report.Host] == p {
		delete(s.pending, p.report.Host)
	}
	p.result <- res
}

// fail ends all that waits: the leader is not reached, or another one leads. s.mu is
// held.
func (s *Sender) fail(err error) {
	s.Observe(KindFailed, len(s.pending))
	for _, p := range s.pending {
		s.finish(p, result{err: err})
	}
	s.queue = nil
	clear(s.taken)
}

// Run sends batches until ctx ends. While nobody waits for an answer it sleeps.
func (s *Sender) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for s.waiting() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(s.Grid.UntilNext(time.Now(), s.Period)):
			}
			for s.exchange() {
			}
		}
	}
}

func (s *Sender) waiting() bool {
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
		slog.Warn("reports not relayed", "leader", to.Label, "term", to.Term, "reports", len(b.reports), "waiting", len(s.pending), "err", err)
		s.fail(ErrLeaderNotReached)
		return false
	}
	s.noteTaken(inBatch, reply.Resend)
	for _, a := range reply.Answers {
		p := s.pending[a.Host]
		if p != nil && p.report.Incarnation == a.Incarnation && p.report.Sequence == a.Sequence {
			s.finish(p, result{answer: a})
		}
	}
	return len(s.queue) > 0 && b.full()
}

// collect makes the next batch of what is queued.
func (s *Sender) collect() (to Leader, b batch, inBatch []*pendingReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, full := 0, 0
	for _, p := range s.queue {
		if b.full() {
			break
		}
		n++
		if p.state != queued {
			continue
		}
		p.move(sent)
		inBatch = append(inBatch, p)
		if last := s.taken[p.report.Host]; last != nil && sameButSequence(last, p.report) {
			b.repeat(p.report, last, p.pressure)
		} else {
			b.add(p.report, p.body, p.pressure)
			full++
		}
	}
	s.Observe(KindFull, full)
	s.Observe(KindRepeated, len(inBatch)-full)
	s.queue = append([]*pendingReport(nil), s.queue[n:]...)
	return s.leader, b, inBatch
}

// noteTaken remembers the reports that the leader has taken, and queues those again
// that it wants in full. s.mu is held.
func (s *Sender) noteTaken(inBatch []*pendingReport, resend []string) {
	wanted := make(map[string]bool, len(resend))
	for _, host := range resend {
		wanted[host] = true
	}
	for _, p := range inBatch {
		host := p.report.Host
		switch {
		case !wanted[host]:
			s.taken[host] = p.report
		case p.state == sent:
			delete(s.taken, host)
			p.move(queued)
			s.queue = append(s.queue, p)
		default:
			delete(s.taken, host)
		}
	}
	s.Observe(KindResent, len(resend))
}
