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

// The leader receives each heartbeat exactly as its worker sent it, also one that is sent as a reference. Each worker
// gets the answer to its own heartbeat, with its incarnation, sequence number and command. Both hold whichever
// messages between followers and leader are lost, and whichever follower a worker uses.
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

// exchangeFault is a network fault during the exchange of a batch.
type exchangeFault int

const (
	noFault exchangeFault = iota
	requestDropped
	replyDropped
)

// relayTrial simulates three workers, two followers and a leader that changes from term to term.
type relayTrial struct {
	ctx      context.Context
	receiver *Receiver
	term     uint64
	senders  []*Sender
	fault    exchangeFault     // in the next exchange
	last     []*wire.Heartbeat // last heartbeat sent, by worker
	waiting  []*pendingHeartbeat

	mu    sync.Mutex
	sent  map[string]wire.Heartbeat // by heartbeatKey
	wrong []string                  // descriptions of heartbeats that were not received as sent
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

// newReceiver returns a receiver for the current term that compares each heartbeat with the one sent.
func (tr *relayTrial) newReceiver() *Receiver {
	term := tr.term
	answer := func(_ context.Context, h *wire.Heartbeat, _ string, _ Pressure) peer.HeartbeatAnswer {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		if want := tr.sent[heartbeatKey(h)]; !reflect.DeepEqual(*h, want) {
			tr.wrong = append(tr.wrong, fmt.Sprintf("received heartbeat %+v, want %+v", *h, want))
		}
		answer := okAnswer(h)
		answer.Response = wire.Commands{
			FencingToken: term,
			Commands:     []wire.Command{{Verb: wire.Launch, Task: h.Host + "/0", Attempt: h.Sequence}},
		}
		return answer
	}
	return NewReceiver(tr.ctx, term, []string{"n1", "n2"}, answer)
}

func (tr *relayTrial) exchange(_ Leader, args peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error) {
	if tr.fault == requestDropped {
		return peer.HeartbeatBatchReply{}, errors.New("lost")
	}
	reply, err := tr.receiver.Exchange(args)
	time.Sleep(time.Millisecond) // the answers to this batch become ready for a later exchange
	if tr.fault == replyDropped {
		return peer.HeartbeatBatchReply{}, errors.New("lost")
	}
	return reply, err
}

// step makes a worker send a heartbeat to a follower, and the follower exchange a batch with the leader.
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
			t.Fatal("heartbeats are still pending after three exchanges, want a result for each")
		}
	}
}

// check fails the test if a worker got the answer to another heartbeat, or a heartbeat was not received as it was
// sent.
func (tr *relayTrial) check(t *rapid.T) {
	t.Helper()
	for _, p := range tr.waiting {
		res := <-p.result
		if res.err != nil {
			continue // the leader was unreachable: the follower renews the lease on its own
		}
		answer, h := res.answer, p.heartbeat
		matches := answer.Host == h.Host && answer.Incarnation == h.Incarnation && answer.Sequence == h.Sequence
		if !matches || answer.Response.Commands[0].Attempt != answer.Sequence {
			t.Fatalf("heartbeat %+v got the answer %+v, want the one with its host, incarnation and sequence", h, answer)
		}
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if len(tr.wrong) > 0 {
		t.Fatal(tr.wrong[0])
	}
}

// nextHeartbeat draws the next heartbeat of a worker, which often differs only in its sequence number.
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

// A heartbeat that refers to one that the leader does not have, for instance after the loss of a batch, is sent again
// in full and answered.
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
		heartbeat := wire.Heartbeat{Host: "m", Incarnation: 1, Sequence: sequence, Tasks: []wire.TaskReport{}}
		p := pendingOf(&heartbeat)
		if err := s.enqueue(Leader{"n0", 1}, p); err != nil {
			t.Fatal(err)
		}
		for range 3 {
			s.exchange()
		}
		if res := <-p.result; res.err != nil || res.answer.Sequence != sequence {
			t.Errorf("the result of heartbeat %d is %+v, want the answer to it", sequence, res)
		}
	}
	want := map[DeliveryKind]int{KindFull: 2, KindRepeated: 2, KindResent: 1}
	for kind, count := range want {
		if kinds[kind] != count {
			t.Errorf("%d heartbeats counted as %s, want %d", kinds[kind], kind, count)
		}
	}
}

// A heartbeat fails with the error for its case if the leader is replaced or unreachable, if the worker has sent a
// newer heartbeat, or at the timeout if the leader does not answer.
func TestHeartbeatsWithoutAnswerEndWithTypedErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var exchangeFails atomic.Bool
		s := testSender(func(Leader, peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error) {
			if exchangeFails.Load() {
				return peer.HeartbeatBatchReply{}, errors.New("refused")
			}
			return peer.HeartbeatBatchReply{Leading: true}, nil
		})
		go s.Run(ctx)
		relay := func(to Leader, sequence uint64) (took time.Duration, err error) {
			startedAt := time.Now()
			heartbeat := &wire.Heartbeat{Host: "m", Incarnation: 1, Sequence: sequence}
			_, err = s.Relay(ctx, to, heartbeat, []byte("{}"), NoPressure)
			return time.Since(startedAt), err
		}
		if took, err := relay(Leader{"n0", 2}, 1); !errors.Is(err, ErrNoAnswer) || took != s.AnswerTimeout {
			t.Errorf("without an answer: %v after %s, want ErrNoAnswer after %s", err, took, s.AnswerTimeout)
		}
		if took, err := relay(Leader{"n9", 1}, 2); !errors.Is(err, ErrLeaderUnreachable) || took != 0 {
			t.Errorf("leader of an older term: %v after %s, want ErrLeaderUnreachable at once", err, took)
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
					t.Errorf("%s: got %v, want %v", tc.name, err, tc.want)
				}
			default:
				t.Errorf("%s: the older heartbeat still waits, want %v", tc.name, tc.want)
			}
			time.Sleep(2 * s.AnswerTimeout)
		}
		exchangeFails.Store(true)
		if took, err := relay(Leader{"n2", 3}, 20); !errors.Is(err, ErrLeaderUnreachable) || took > s.Period {
			t.Errorf("failed exchange: %v after %s, want ErrLeaderUnreachable within %s", err, took, s.Period)
		}
		cancel()
		synctest.Wait()
	})
}

// A batch that cannot be decoded, or comes from a node that is not a member, is rejected as a whole with an error. A
// single malformed heartbeat in a batch is answered with status 400, and the others are accepted.
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
	with := func(f func(b *peer.HeartbeatBatch)) peer.HeartbeatBatch {
		b := valid
		b.Heartbeats = append([]peer.RelayedHeartbeat{}, valid.Heartbeats...)
		f(&b)
		return b
	}
	for _, tc := range []struct {
		name string
		args peer.HeartbeatBatch
		want error
	}{
		{"truncated", with(func(b *peer.HeartbeatBatch) { b.Bodies = b.Bodies[:len(b.Bodies)-2] }), ErrMalformedBatch},
		{"no bodies", with(func(b *peer.HeartbeatBatch) { b.Bodies = nil }), ErrMalformedBatch},
		{"negative size", with(func(b *peer.HeartbeatBatch) { b.Heartbeats[0].Size = -1 }), ErrMalformedBatch},
		{"size above the maximum", with(func(b *peer.HeartbeatBatch) { b.Heartbeats[0].Size = wire.MaxBody + 1 }), ErrMalformedBatch},
		{"neither full nor a reference", with(func(b *peer.HeartbeatBatch) { b.Heartbeats[0].Size = 0 }), ErrMalformedBatch},
		{"both full and a reference", with(func(b *peer.HeartbeatBatch) { b.Heartbeats[0].RepeatOf = 1 }), ErrMalformedBatch},
		{"more decoded than stated", with(func(b *peer.HeartbeatBatch) { b.Bodies = s2.Encode(nil, make([]byte, 10<<20)) }), ErrMalformedBatch},
		{"sender not a member", with(func(b *peer.HeartbeatBatch) { b.From = "n7" }), ErrUnknownRelay},
	} {
		if reply, err := receiver.Exchange(tc.args); !errors.Is(err, tc.want) || reply.Leading {
			t.Errorf("%s: reply %+v, error %v, want error %v", tc.name, reply, err, tc.want)
		}
	}
	if reply, err := receiver.Exchange(with(func(b *peer.HeartbeatBatch) { b.Term = 2 })); err != nil || reply.Leading {
		t.Errorf("another term: reply %+v, error %v, want a reply without Leading", reply, err)
	}
	mixed := valid
	malformed := []byte(`{"Host":7}`)
	mixed.Heartbeats = append([]peer.RelayedHeartbeat{full("x", len(malformed)), full("y", len(body))}, valid.Heartbeats...)
	mixed.Bodies = s2.Encode(nil, append(append(append([]byte{}, malformed...), body...), body...))
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
		t.Errorf("statuses of the answers are %v, want %v", status, want)
	}
}
