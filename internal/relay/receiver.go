package relay

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/puzpuzpuz/xsync/v4"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/wire"
)

// AnswerFunc decides the answer to a report that a follower relays. It may wait for
// commands to come up.
type AnswerFunc func(ctx context.Context, r *wire.Heartbeat, relay string, pressure Pressure) peer.HeartbeatAnswer

// Receiver answers the batches of a leader's followers, for one term.
type Receiver struct {
	ctx    context.Context // ends with the term
	term   uint64
	answer AnswerFunc
	// bases holds by host the last report that was taken: what the next may repeat.
	bases *xsync.Map[string, *wire.Heartbeat]

	mu       sync.Mutex
	outboxes map[string]map[string]peer.HeartbeatAnswer // by relay and host: answers that are ready
}

// NewReceiver makes the receiver of a term. members are the labels of the other nodes.
func NewReceiver(ctx context.Context, term uint64, members []string, answer AnswerFunc) *Receiver {
	v := &Receiver{ctx: ctx, term: term, answer: answer, bases: xsync.NewMap[string, *wire.Heartbeat](), outboxes: map[string]map[string]peer.HeartbeatAnswer{}}
	for _, label := range members {
		v.outboxes[label] = map[string]peer.HeartbeatAnswer{}
	}
	return v
}

// Exchange takes a batch and returns the answers that are ready for its sender.
func (v *Receiver) Exchange(args peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error) {
	reply := peer.HeartbeatBatchReply{Term: v.term}
	if args.Term != v.term || v.ctx.Err() != nil {
		return reply, nil
	}
	if !v.isMember(args.From) {
		return reply, ErrUnknownRelay
	}
	bodies, err := splitBodies(&args)
	if err != nil {
		slog.Error("batch refused", "relay", args.From, "err", err)
		return reply, err
	}
	reply.Leading = true
	for i, body := range bodies {
		head := &args.Heartbeats[i]
		report, err := v.resolve(head, body)
		switch {
		case err != nil:
			v.deliver(args.From, peer.HeartbeatAnswer{Host: head.Host, Incarnation: head.Incarnation, Sequence: head.Sequence, Status: http.StatusBadRequest})
		case report == nil:
			reply.Resend = append(reply.Resend, head.Host)
		default:
			go func() { v.deliver(args.From, v.answer(v.ctx, report, args.From, min(Pressure(head.Pressure), Full))) }()
		}
	}
	reply.Answers = v.drainAnswers(args.From)
	return reply, nil
}

// resolve makes the report that a batch holds in full or by reference. It returns nil
// if the report is needed in full.
func (v *Receiver) resolve(head *peer.RelayedHeartbeat, body []byte) (*wire.Heartbeat, error) {
	if head.RepeatOf > 0 {
		base, ok := v.bases.Load(head.Host)
		if !ok || base.Incarnation != head.Incarnation || base.Sequence != head.RepeatOf {
			return nil, nil
		}
		report := *base
		report.Sequence = head.Sequence
		v.bases.Store(head.Host, &report)
		return &report, nil
	}
	report, err := wire.ParseHeartbeat(body)
	if err != nil {
		return nil, err
	}
	if report.Host != head.Host || report.Incarnation != head.Incarnation || report.Sequence != head.Sequence {
		return nil, ErrMalformedBatch
	}
	v.bases.Store(report.Host, &report)
	return &report, nil
}

// Retain drops what is kept of the hosts that are not there any more.
func (v *Receiver) Retain(there func(host string) bool) {
	v.bases.Range(func(host string, _ *wire.Heartbeat) bool {
		if !there(host) {
			v.bases.Delete(host)
		}
		return true
	})
}

func (v *Receiver) isMember(relay string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, ok := v.outboxes[relay]
	return ok
}

// deliver keeps an answer until its relay asks for it. A newer one of the same host
// takes its place: the worker waits for that one only.
func (v *Receiver) deliver(relay string, a peer.HeartbeatAnswer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old, ok := v.outboxes[relay][a.Host]
	if ok && (old.Incarnation > a.Incarnation || old.Incarnation == a.Incarnation && old.Sequence > a.Sequence) {
		return
	}
	v.outboxes[relay][a.Host] = a
}

// drainAnswers takes all that is ready for a relay.
func (v *Receiver) drainAnswers(relay string) []peer.HeartbeatAnswer {
	v.mu.Lock()
	defer v.mu.Unlock()
	ready := v.outboxes[relay]
	if len(ready) == 0 {
		return nil
	}
	answers := make([]peer.HeartbeatAnswer, 0, len(ready))
	for _, a := range ready {
		answers = append(answers, a)
	}
	clear(ready)
	slices.SortFunc(answers, func(a, b peer.HeartbeatAnswer) int { return strings.Compare(a.Host, b.Host) })
	return answers
}
