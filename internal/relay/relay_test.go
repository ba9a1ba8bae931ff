package relay

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/klauspost/compress/s2"
	"pgregory.net/rapid"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/wire"
)

// Whichever messages between followers and leader get lost, and whichever follower a worker sends its
// heartbeats to, the leader gets each heartbeat as its worker sent it, a repeated one too, and each worker
// gets the answer to its own heartbeat: it names the incarnation and sequence, and the launch in it is the
// one for that sequence.
func TestHeartbeatsArriveAsSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		tr := newRelayTrial(ctx)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			tr.step(t)
		}
		tr.drain(t)
		tr.check(t)
	})
}

// exchangeFault is what happens to a batch on its way.
type exchangeFault int

const (
	noFault exchangeFault = iota
	requestDropped
	replyDropped
)

// relayTrial has three workers, two followers and the leaders of one term after the other.
type relayTrial struct {
	ctx      context.Context
	receiver *Receiver
	term     uint64
	senders  []*Sender
	fault    exchangeFault     // of the next batch
	last     []*wire.Heartbeat // by worker
	waiting  []*pendingHeartbeat

	mu    sync.Mutex
	sent  map[string]wire.Heartbeat // by host, incarnation and sequence
	wrong []string                  // heartbeats that did not arrive as they were sent
}

func newRelayTrial(ctx context.Context) *relayTrial {
	tr := &relayTrial{ctx: ctx, term: 1, sent: map[string]wire.Heartbeat{}}
	tr.receiver = tr.newReceiver()
	tr.senders = []*Sender{testSender(tr.exchange), testSender(tr.exchange)}
	tr.senders[1].Label = "n2"
	for i := range 3 {
		host := fmt.Sprintf("m-%d", i)
		tr.last = append(tr.last, &wire.Heartbeat{Host: host, Address: host, Incarnation: 1, Tasks: []wire.TaskReport{}})
	}
	return tr
}

func heartbeatKey(h *wire.Heartbeat) string {
	return fmt.Sprintf("%s %d %d", h.Host, h.Incarnation, h.Sequence)
}

// newReceiver returns a receiver of the current term that checks what it gets.
func (tr *relayTrial) newReceiver() *Receiver {
	term := tr.term
	answer := func(_ context.Context, h *wire.Heartbeat, _ string, _ Pressure) peer.HeartbeatAnswer {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		if want := tr.sent[heartbeatKey(h)]; !reflect.DeepEqual(*h, want) {
			tr.wrong = append(tr.wrong, fmt.Sprintf("received %+v, sent was %+v", *h, want))
		}
		reply := okAnswer(h)
		reply.Response = wire.Commands{
			FencingToken: term,
			Commands:     []wire.Command{{Verb: wire.Launch, Task: h.Host + "/0", Attempt: h.Sequence}},
		}
		return reply
	}
	return NewReceiver(tr.ctx, term, []string{"n1", "n2"}, answer)
}

func (tr *relayTrial) exchange(_ Leader, args peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error) {
	if tr.fault == requestDropped {
		return peer.HeartbeatBatchReply{}, errors.New("lost")
	}
	reply, err := tr.receiver.Exchange(args)
	time.Sleep(time.Millisecond) // the answers of this batch come with a later one
	if tr.fault == replyDropped {
		return peer.HeartbeatBatchReply{}, errors.New("lost")
	}
	return reply, err
}

// step lets a worker send a heartbeat to a follower, and the follower exchange a batch.
func (tr *relayTrial) step(t *rapid.T) {
	worker := rapid.IntRange(0, len(tr.last)-1).Draw(t, "host")
	h := nextHeartbeat(t, tr.last[worker])
	tr.last[worker] = &h
	tr.mu.Lock()
	tr.sent[heartbeatKey(&h)] = h
	tr.mu.Unlock()
	if rapid.IntRange(0, 15).Draw(t, "leader") == 15 {
		tr.term++
		tr.receiver = tr.newReceiver()
	}
	p := pendingOf(&h)
	sender := tr.senders[rapid.IntRange(0, 1).Draw(t, "follower")]
	if err := sender.enqueue(Leader{Label: "n0", Term: tr.term}, p); err != nil {
		t.Fatal(err)
	}
	tr.waiting = append(tr.waiting, p)
	tr.fault = rapid.SampledFrom([]exchangeFault{
		noFault, noFault, noFault, noFault, noFault, noFault, requestDropped, replyDropped,
	}).Draw(t, "fault")
	sender.exchange()
}

// drain exchanges batches without faults until all heartbeats have a result.
func (tr *relayTrial) drain(t *rapid.T) {
	t.Helper()
	tr.fault = noFault
	for _, sender := range tr.senders {
		sender.mu.Lock()
		if sender.leader.Term < tr.term {
			sender.failAll(ErrLeaderUnreachable)
		}
		sender.mu.Unlock()
		for range 3 {
			sender.exchange()
		}
		if sender.hasPending() {
			t.Fatal("heartbeats are left without a result")
		}
	}
}

// check fails the test if a worker was given the answer to another heartbeat, or a heartbeat has
// arrived in another way than it was sent.
func (tr *relayTrial) check(t *rapid.T) {
	t.Helper()
	for _, p := range tr.waiting {
		res := <-p.result
		if res.err != nil {
			continue // the leader was not reached: the node renews the lease itself
		}
		answer, h := res.answer, p.heartbeat
		matches := answer.Host == h.Host && answer.Incarnation == h.Incarnation && answer.Sequence == h.Sequence
		if !matches || answer.Response.Commands[0].Attempt != answer.Sequence {
			t.Fatalf("the heartbeat %+v is answered %+v", h, answer)
		}
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if len(tr.wrong) > 0 {
		t.Fatal(tr.wrong[0])
	}
}

// nextHeartbeat draws what a worker sends next: often the same as before.
func nextHeartbeat(t *rapid.T, last *wire.Heartbeat) wire.Heartbeat {
	h := *last
	h.Sequence += uint64(rapid.IntRange(1, 3).Draw(t, "sequences"))
	switch rapid.IntRange(0, 5).Draw(t, "change") {
	case 0:
		attempt := uint64(rapid.IntRange(1, 3).Draw(t, "attempt"))
		h.Tasks = []wire.TaskReport{{Task: "run-000001/0", Attempt: attempt, Status: wire.TaskRunning}}
	case 1:
		h.Tasks = []wire.TaskReport{}
	case 2:
		h.Incarnation++
		h.Tasks = []wire.TaskReport{}
	case 3:
		h.FencingToken = uint64(rapid.IntRange(1, 9).Draw(t, "token"))
	}
	return h
}

// A heartbeat that repeats one that the leader does not have, as after a batch that did not arrive, is
// sent again in full and answered.
func TestHeartbeatWithUnknownBaseIsResentInFull(t *testing.T) {
	receiver := NewReceiver(context.Background(), 1, []string{"n1"}, answerOK)
	kinds := map[DeliveryKind]int{}
	s := testSender(func(_ Leader, args peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error) {
		reply, err := receiver.Exchange(args)
		time.Sleep(time.Millisecond)
		return reply, err
	})
	s.Observe = func(kind DeliveryKind, count int) { kinds[kind] += count }
	for sequence := uint64(1); sequence <= 3; sequence++ {
		if sequence == 3 {
			receiver.Retain(func(string) bool { return false })
		}
		r := wire.Heartbeat{Host: "m", Incarnation: 1, Sequence: sequence, Tasks: []wire.TaskReport{}}
		p := pendingOf(&r)
		if err := s.enqueue(Leader{"n0", 1}, p); err != nil {
			t.Fatal(err)
		}
		for range 3 {
			s.exchange()
		}
		if res := <-p.result; res.err != nil || res.answer.Sequence != sequence {
			t.Errorf("heartbeat %d ends with %+v", sequence, res)
		}
	}
	want := map[DeliveryKind]int{KindFull: 2, KindRepeated: 2, KindResent: 1}
	for kind, count := range want {
		if kinds[kind] != count {
			t.Errorf("%d heartbeats are %s, want %d", kinds[kind], kind, count)
		}
	}
}

// A heartbeat for a leader that is replaced or does not answer in time, or of a worker that has sent a
// newer one, fails with the error for that case, at once or at the time-out.
func TestHeartbeatsWithoutAnswerEndWithTypedErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var refuses atomic.Bool
		s := testSender(func(Leader, peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error) {
			if refuses.Load() {
				return peer.HeartbeatBatchReply{}, errors.New("refused")
			}
			return peer.HeartbeatBatchReply{Leading: true}, nil
		})
		go s.Run(ctx)
		relay := func(to Leader, sequence uint64) (took time.Duration, err error) {
			began := time.Now()
			heartbeat := &wire.Heartbeat{Host: "m", Incarnation: 1, Sequence: sequence}
			_, err = s.Relay(ctx, to, heartbeat, []byte("{}"), Relaxed)
			return time.Since(began), err
		}
		if took, err := relay(Leader{"n0", 2}, 1); !errors.Is(err, ErrNoAnswer) || took != s.AnswerTimeout {
			t.Errorf("without an answer: %v after %s", err, took)
		}
		if took, err := relay(Leader{"n9", 1}, 2); !errors.Is(err, ErrLeaderUnreachable) || took != 0 {
			t.Errorf("a leader of an older term: %v after %s", err, took)
		}
		for _, tc := range []struct {
			name     string
			to       Leader
			sequence uint64
			want     error
		}{
			{"a newer heartbeat", Leader{"n0", 2}, 11, ErrSuperseded},
			{"a newer leader", Leader{"n2", 3}, 12, ErrLeaderUnreachable},
		} {
			first := make(chan error, 1)
			go func() { _, err := relay(s.leader, 10); first <- err }()
			time.Sleep(time.Second)
			go func() { _, _ = relay(tc.to, tc.sequence) }()
			time.Sleep(time.Millisecond)
			select {
			case err := <-first:
				if !errors.Is(err, tc.want) {
					t.Errorf("%s: %v", tc.name, err)
				}
			default:
				t.Errorf("%s: the older heartbeat still waits", tc.name)
			}
			time.Sleep(2 * s.AnswerTimeout)
		}
		refuses.Store(true)
		if took, err := relay(Leader{"n2", 3}, 20); !errors.Is(err, ErrLeaderUnreachable) || took > s.Period {
			t.Errorf("a leader that refuses: %v after %s", err, took)
		}
		cancel()
		synctest.Wait()
	})
}

// A batch that cannot be decoded, or comes from a node that is not a member, is refused whole with an
// error; one malformed heartbeat in a batch is answered 400, and the others are accepted.
func TestMalformedBatches(t *testing.T) {
	receiver := NewReceiver(context.Background(), 1, []string{"n1"}, answerOK)
	body := []byte(`{"Host":"m","Shift":1,"Tick":1,"Legs":[]}`)
	full := func(host string, size int) peer.RelayedHeartbeat {
		return peer.RelayedHeartbeat{Host: host, Incarnation: 1, Sequence: 1, Size: size}
	}
	valid := peer.HeartbeatBatch{
		From:       "n1",
		Term:       1,
		Heartbeats: []peer.RelayedHeartbeat{full("m", len(body))},
		Bodies:     s2.Encode(nil, body),
	}
	change := func(f func(a *peer.HeartbeatBatch)) peer.HeartbeatBatch {
		a := valid
		a.Heartbeats = append([]peer.RelayedHeartbeat{}, valid.Heartbeats...)
		f(&a)
		return a
	}
	for _, tc := range []struct {
		name string
		args peer.HeartbeatBatch
		want error
	}{
		{"truncated", change(func(a *peer.HeartbeatBatch) { a.Bodies = a.Bodies[:len(a.Bodies)-2] }), ErrMalformedBatch},
		{"no bodies", change(func(a *peer.HeartbeatBatch) { a.Bodies = nil }), ErrMalformedBatch},
		{"a size below 0", change(func(a *peer.HeartbeatBatch) { a.Heartbeats[0].Size = -1 }), ErrMalformedBatch},
		{"a size over a body's", change(func(a *peer.HeartbeatBatch) { a.Heartbeats[0].Size = wire.MaxBody + 1 }), ErrMalformedBatch},
		{"neither in full nor repeated", change(func(a *peer.HeartbeatBatch) { a.Heartbeats[0].Size = 0 }), ErrMalformedBatch},
		{"both", change(func(a *peer.HeartbeatBatch) { a.Heartbeats[0].RepeatOf = 1 }), ErrMalformedBatch},
		{"more decoded than said", change(func(a *peer.HeartbeatBatch) { a.Bodies = s2.Encode(nil, make([]byte, 10<<20)) }), ErrMalformedBatch},
		{"a stranger", change(func(a *peer.HeartbeatBatch) { a.From = "n7" }), ErrUnknownRelay},
	} {
		if reply, err := receiver.Exchange(tc.args); !errors.Is(err, tc.want) || reply.Leading {
			t.Errorf("%s: %+v, %v", tc.name, reply, err)
		}
	}
	if reply, err := receiver.Exchange(change(func(a *peer.HeartbeatBatch) { a.Term = 2 })); err != nil || reply.Leading {
		t.Errorf("another term: %+v, %v", reply, err)
	}
	mixed := valid
	bad := []byte(`{"Host":7}`)
	mixed.Heartbeats = append([]peer.RelayedHeartbeat{full("x", len(bad)), full("y", len(body))}, valid.Heartbeats...)
	mixed.Bodies = s2.Encode(nil, append(append(append([]byte{}, bad...), body...), body...))
	status := map[string]int{}
	for _, args := range []peer.HeartbeatBatch{mixed, {From: "n1", Term: 1}} {
		reply, err := receiver.Exchange(args)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range reply.Answers {
			status[a.Host] = a.Status
		}
		time.Sleep(10 * time.Millisecond)
	}
	if want := map[string]int{"m": 200, "x": 400, "y": 400}; !reflect.DeepEqual(status, want) {
		t.Errorf("answers %v, want %v", status, want)
	}
}
