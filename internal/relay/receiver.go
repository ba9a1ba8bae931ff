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

// AnswerFunc decides the answer to a heartbeat that a follower relays. relay is the label of the
// follower, pressure that of the follower's connections. It may wait for commands until ctx ends, and
// is called by many goroutines at a time.
type AnswerFunc func(ctx context.Context, heartbeat *wire.Heartbeat, relay string, pressure Pressure) peer.HeartbeatAnswer

// Receiver answers the batches of a leader's followers, for one term. It is safe for concurrent use.
type Receiver struct {
	ctx    context.Context // ends with the term
	term   uint64
	answer AnswerFunc
	// bases holds, by host, the last heartbeat that was received: the one that the next may repeat.
	bases *xsync.Map[string, *wire.Heartbeat]

	mu       sync.Mutex
	outboxes map[string]map[string]peer.HeartbeatAnswer // by relay and host: answers that are ready
}

// NewReceiver returns the receiver of a term. members are the labels of the other nodes.
func NewReceiver(ctx context.Context, term uint64, members []string, answer AnswerFunc) *Receiver {
	r := &Receiver{
		ctx:      ctx,
		term:     term,
		answer:   answer,
		bases:    xsync.NewMap[string, *wire.Heartbeat](),
		outboxes: map[string]map[string]peer.HeartbeatAnswer{},
	}
	for _, label := range members {
		r.outboxes[label] = map[string]peer.HeartbeatAnswer{}
	}
	return r
}

// Exchange accepts a batch and returns the answers that are ready for its sender. A goroutine of its
// own answers each heartbeat: the answer goes with this exchange if it is ready in time, else with a
// later one. A batch of another term is not accepted, and Leading is false in the reply. A batch that
// is malformed or not from a member is refused with an error that wraps ErrMalformedBatch or
// ErrUnknownRelay.
func (r *Receiver) Exchange(args peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error) {
	reply := peer.HeartbeatBatchReply{Term: r.term}
	if args.Term != r.term || r.ctx.Err() != nil {
		return reply, nil
	}
	if !r.isMember(args.From) {
		return reply, ErrUnknownRelay
	}
	bodies, err := splitBodies(&args)
	if err != nil {
		slog.Error("heartbeat batch was refused", "relay", args.From, "err", err)
		return reply, err
	}
	reply.Leading = true
	for i, body := range bodies {
		header := &args.Heartbeats[i]
		heartbeat, err := r.resolve(header, body)
		switch {
		case err != nil:
			r.deliver(args.From, peer.HeartbeatAnswer{
				Host:        header.Host,
				Incarnation: header.Incarnation,
				Sequence:    header.Sequence,
				Status:      http.StatusBadRequest,
			})
		case heartbeat == nil:
			reply.Resend = append(reply.Resend, header.Host)
		default:
			go func() {
				r.deliver(args.From, r.answer(r.ctx, heartbeat, args.From, min(Pressure(header.Pressure), Full)))
			}()
		}
	}
	reply.Answers = r.drainAnswers(args.From)
	return reply, nil
}

// resolve returns the heartbeat that a batch contains in full or by reference. It returns nil without
// an error if a reference cannot be resolved, so that the sender has to send the heartbeat in full.
func (r *Receiver) resolve(header *peer.RelayedHeartbeat, body []byte) (*wire.Heartbeat, error) {
	if header.RepeatOf > 0 {
		base, ok := r.bases.Load(header.Host)
		if !ok || base.Incarnation != header.Incarnation || base.Sequence != header.RepeatOf {
			return nil, nil
		}
		heartbeat := *base
		heartbeat.Sequence = header.Sequence
		r.bases.Store(header.Host, &heartbeat)
		return &heartbeat, nil
	}
	heartbeat, err := wire.ParseHeartbeat(body)
	if err != nil {
		return nil, err
	}
	if heartbeat.Host != header.Host || heartbeat.Incarnation != header.Incarnation || heartbeat.Sequence != header.Sequence {
		return nil, ErrMalformedBatch
	}
	r.bases.Store(heartbeat.Host, &heartbeat)
	return &heartbeat, nil
}

// Retain forgets the hosts for which keep returns false.
func (r *Receiver) Retain(keep func(host string) bool) {
	r.bases.Range(func(host string, _ *wire.Heartbeat) bool {
		if !keep(host) {
			r.bases.Delete(host)
		}
		return true
	})
}

// isMember reports whether a label is that of another node.
func (r *Receiver) isMember(label string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.outboxes[label]
	return ok
}

// deliver keeps an answer until its relay exchanges the next batch. A newer answer to the same host
// replaces it: that is the only one that the worker still waits for.
func (r *Receiver) deliver(relay string, answer peer.HeartbeatAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.outboxes[relay][answer.Host]
	if ok && (old.Incarnation > answer.Incarnation || old.Incarnation == answer.Incarnation && old.Sequence > answer.Sequence) {
		return
	}
	r.outboxes[relay][answer.Host] = answer
}

// drainAnswers returns all answers that are ready for a relay, by host, and empties its outbox.
func (r *Receiver) drainAnswers(relay string) []peer.HeartbeatAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	ready := r.outboxes[relay]
	if len(ready) == 0 {
		return nil
	}
	answers := make([]peer.HeartbeatAnswer, 0, len(ready))
	for _, answer := range ready {
		answers = append(answers, answer)
	}
	clear(ready)
	slices.SortFunc(answers, func(a, b peer.HeartbeatAnswer) int { return strings.Compare(a.Host, b.Host) })
	return answers
}
