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

// AnswerFunc decides the answer to a heartbeat that a follower relays. relay is the label of the follower, and
// pressure its connection pressure. The function may wait for commands until ctx ends. Many goroutines call it
// concurrently.
type AnswerFunc func(ctx context.Context, heartbeat *wire.Heartbeat, relay string, pressure Pressure) peer.HeartbeatAnswer

// Receiver answers the batches from a leader's followers during one term. It is safe for concurrent use.
type Receiver struct {
	ctx    context.Context // ends with the term
	term   uint64
	answer AnswerFunc
	// bases holds the last heartbeat received from each host, to which the next one may refer.
	bases *xsync.Map[string, *wire.Heartbeat]

	mu       sync.Mutex
	outboxes map[string]map[string]peer.HeartbeatAnswer // answers that are ready, by label of the relaying follower and by host
}

// NewReceiver returns the receiver for a term, which ends with ctx. members are the labels of the other nodes.
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

// Exchange accepts a batch and returns the answers that are ready for its sender. Each heartbeat is answered in a
// separate goroutine; the answer is returned by this exchange if it is ready in time, otherwise by a later one. A
// batch for another term is not accepted, and the reply has Leading set to false. A batch that is malformed or does
// not come from a member is rejected with an error that wraps ErrMalformedBatch or ErrUnknownRelay.
func (r *Receiver) Exchange(batch peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error) {
	reply := peer.HeartbeatBatchReply{Term: r.term}
	if batch.Term != r.term || r.ctx.Err() != nil {
		return reply, nil
	}
	if !r.isMember(batch.From) {
		return reply, ErrUnknownRelay
	}
	bodies, err := splitBodies(&batch)
	if err != nil {
		slog.Error("rejected a malformed heartbeat batch", "relay", batch.From, "err", err)
		return reply, err
	}
	reply.Leading = true
	for i, body := range bodies {
		header := &batch.Heartbeats[i]
		heartbeat, err := r.resolve(header, body)
		switch {
		case err != nil:
			r.queueAnswer(batch.From, peer.HeartbeatAnswer{
				Host:        header.Host,
				Incarnation: header.Incarnation,
				Sequence:    header.Sequence,
				Status:      http.StatusBadRequest,
			})
		case heartbeat == nil:
			reply.Resend = append(reply.Resend, header.Host)
		default:
			go func() {
				r.queueAnswer(batch.From, r.answer(r.ctx, heartbeat, batch.From, min(Pressure(header.Pressure), Full)))
			}()
		}
	}
	reply.Answers = r.drainAnswers(batch.From)
	return reply, nil
}

// resolve returns a heartbeat that a batch contains in full or as a reference to the previous one. It returns nil
// without an error if the reference cannot be resolved; the sender then has to send the heartbeat in full.
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

// Retain deletes the last heartbeat of each host for which keep returns false.
func (r *Receiver) Retain(keep func(host string) bool) {
	r.bases.Range(func(host string, _ *wire.Heartbeat) bool {
		if !keep(host) {
			r.bases.Delete(host)
		}
		return true
	})
}

// isMember reports whether the label belongs to one of the other nodes.
func (r *Receiver) isMember(label string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.outboxes[label]
	return ok
}

// queueAnswer stores an answer until its relay sends the next batch. Of several answers for the same host it keeps
// the newest, the only one for which the worker still waits.
func (r *Receiver) queueAnswer(relay string, answer peer.HeartbeatAnswer) {
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
	outbox := r.outboxes[relay]
	if len(outbox) == 0 {
		return nil
	}
	answers := make([]peer.HeartbeatAnswer, 0, len(outbox))
	for _, answer := range outbox {
		answers = append(answers, answer)
	}
	clear(outbox)
	slices.SortFunc(answers, func(a, b peer.HeartbeatAnswer) int { return strings.Compare(a.Host, b.Host) })
	return answers
}
