package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/klauspost/compress/s2"
	"pgregory.net/rapid"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/wire"
)

// testSender is a sender that batches once in 250 ms.
func testSender(exchange ExchangeFunc) *Sender {
	return NewSender(SenderConfig{Label: "n1", Exchange: exchange, Grid: timeralign.Grid{Unit: 250 * time.Millisecond}, Period: 250 * time.Millisecond,
		AnswerTimeout: 3 * time.Second, Observe: func(DeliveryKind, int) {}})
}

// pendingOf is a report that waits for its answer.
func pendingOf(r *wire.Heartbeat) *pendingHeartbeat {
	body, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return &pendingHeartbeat{heartbeat: r, body: body, result: make(chan result, 1)}
}

// generateReport draws what a worker says next: often the same as before.
func generateReport(t *rapid.T, last *wire.Heartbeat) wire.Heartbeat {
	r := *last
	r.Sequence += uint64(rapid.IntRange(1, 3).Draw(t, "ticks"))
	switch rapid.IntRange(0, 5).Draw(t, "change") {
	case 0:
		r.Tasks = append([]wire.TaskReport{}, wire.TaskReport{Task: "run-000001/0", Attempt: uint64(rapid.IntRange(1, 3).Draw(t, "try")), Status: wire.TaskRunning})
	case 1:
		r.Tasks = []wire.TaskReport{}
	case 2:
		r.Incarnation++
		r.Tasks = []wire.TaskReport{}
	case 3:
		r.FencingToken = uint64(rapid.IntRange(1, 9).Draw(t, "baton"))
	}
	return r
}

// exchangeFault is what happens to a batch on its way.
type exchangeFault int

const (
	whole exchangeFault = iota
	requestDropped
	replyDropped
)

// Whatever is lost between followers and leader, and whichever follower a worker reports to,
// the leader takes each report as its worker sent it, a repeated one too, and each worker is given the answer to its own report: it
// names the session and tick, and the launch in it is of the report's try.
func TestReportsArriveAsSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 3
		var mu sync.Mutex
		sentReports := map[string]wire.Heartbeat{} // by host, session and tick
		keyOf := func(host string, incarnation, sequence uint64) string {
			return fmt.Sprintf("%s %d %d", host, incarnation, sequence)
		}
		var wrong []string
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		newReceiver := func(term uint64) *Receiver {
			return NewReceiver(ctx, term, []string{"n1", "n2"}, func(_ context.Context, r *wire.Heartbeat, _ string, _ Pressure) peer.HeartbeatAnswer {
				mu.Lock()
				defer mu.Unlock()
				want := sentReports[keyOf(r.Host, r.Incarnation, r.Sequence)]
				if !reflect.DeepEqual(*r, want) {
					wrong = append(wrong, fmt.Sprintf("took %+v, sent was %+v", *r, want))
				}
				return peer.HeartbeatAnswer{Host: r.Host, Incarnation: r.Incarnation, Sequence: r.Sequence, Status: http.StatusOK,
					Response: wire.Commands{FencingToken: term, Commands: []wire.Command{{Verb: wire.Launch, Task: r.Host + "/0", Attempt: r.Sequence}}}}
			})
		}
		receiver := newReceiver(1)
		fault := whole
		exchange := func(_ Leader, args peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error) {
			if fault == requestDropped {
				return peer.HeartbeatBatchReply{}, errors.New("lost")
			}
			reply, err := receiver.Exchange(args)
			time.Sleep(time.Millisecond) // the answers of this batch come with a later one
			if fault == replyDropped {
				return peer.HeartbeatBatchReply{}, errors.New("lost")
			}
			return reply, err
		}
		senders := []*Sender{testSender(exchange), testSender(exchange)}
		senders[1].Label = "n2"
		last := map[string]*wire.Heartbeat{}
		for i := range hosts {
			host := fmt.Sprintf("m-%d", i)
			last[host] = &wire.Heartbeat{Host: host, Address: host, Incarnation: 1, Tasks: []wire.TaskReport{}}
		}
		var waiting []*pendingHeartbeat
		term := uint64(1)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			host := fmt.Sprintf("m-%d", rapid.IntRange(0, hosts-1).Draw(t, "host"))
			r := generateReport(t, last[host])
			last[host] = &r
			mu.Lock()
			sentReports[keyOf(r.Host, r.Incarnation, r.Sequence)] = r
			mu.Unlock()
			if rapid.IntRange(0, 15).Draw(t, "leader") == 15 {
				term++
				receiver = newReceiver(term)
			}
			p := pendingOf(&r)
			s := senders[rapid.IntRange(0, 1).Draw(t, "follower")]
			if err := s.enqueue(Leader{Label: "n0", Term: term}, p); err != nil {
				t.Fatal(err)
			}
			waiting = append(waiting, p)
			fault = rapid.SampledFrom([]exchangeFault{whole, whole, whole, whole, whole, whole, requestDropped, replyDropped}).Draw(t, "fault")
			s.exchange()
		}
		fault = whole
		for _, s := range senders {
			s.mu.Lock()
			if s.leader.Term < term {
				s.failAll(ErrLeaderUnreachable)
			}
			s.mu.Unlock()
			for range 3 {
				s.exchange()
			}
			if s.hasPending() {
				t.Fatal("reports are left without a result")
			}
		}
		for _, p := range waiting {
			res := <-p.result
			if res.err != nil {
				continue // the leader was not reached: the node keeps the lease
			}
			a := res.answer
			if a.Host != p.heartbeat.Host || a.Incarnation != p.heartbeat.Incarnation || a.Sequence != p.heartbeat.Sequence || a.Response.Commands[0].Attempt != a.Sequence {
				t.Fatalf("the report %+v is answered %+v", p.heartbeat, a)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		if len(wrong) > 0 {
			t.Fatal(wrong[0])
		}
	})
}

// A report whose base the leader does not have, as after a lost batch, is sent again in
// full and answered: it is not taken for another one, and not lost.
func TestUnknownBaseIsSentInFull(t *testing.T) {
	receiver := NewReceiver(context.Background(), 1, []string{"n1"}, echoAnswer)
	kinds := map[DeliveryKind]int{}
	s := testSender(func(_ Leader, args peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error) {
		reply, err := receiver.Exchange(args)
		time.Sleep(time.Millisecond)
		return reply, err
	})
	s.Observe = func(kind DeliveryKind, n int) { kinds[kind] += n }
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
			t.Errorf("report %d ends with %+v", sequence, res)
		}
	}
	want := map[DeliveryKind]int{KindFull: 2, KindRepeated: 2, KindResent: 1}
	for kind, n := range want {
		if kinds[kind] != n {
			t.Errorf("%d reports are %s, want %d", kinds[kind], kind, n)
		}
	}
}

func echoAnswer(_ context.Context, r *wire.Heartbeat, _ string, _ Pressure) peer.HeartbeatAnswer {
	return peer.HeartbeatAnswer{Host: r.Host, Incarnation: r.Incarnation, Sequence: r.Sequence, Status: http.StatusOK}
}

// What waits for a leader that is replaced, does not answer in time or is asked by a
// worker that has gone on ends with an error of its own, at once or at the patience's end.
func TestReportsThatGetNoAnswer(t *testing.T) {
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
		report := func(to Leader, sequence uint64) (took time.Duration, err error) {
			began := time.Now()
			_, err = s.Relay(ctx, to, &wire.Heartbeat{Host: "m", Incarnation: 1, Sequence: sequence}, []byte("{}"), Relaxed)
			return time.Since(began), err
		}
		if took, err := report(Leader{"n0", 2}, 1); !errors.Is(err, ErrNoAnswer) || took != s.AnswerTimeout {
			t.Errorf("without an answer: %v after %s", err, took)
		}
		if took, err := report(Leader{"n9", 1}, 2); !errors.Is(err, ErrLeaderUnreachable) || took != 0 {
			t.Errorf("a leader of an older term: %v after %s", err, took)
		}
		for _, tc := range []struct {
			name     string
			to       Leader
			sequence uint64
			want     error
		}{
			{"a newer report", Leader{"n0", 2}, 11, ErrSuperseded},
			{"a newer leader", Leader{"n2", 3}, 12, ErrLeaderUnreachable},
		} {
			first := make(chan error, 1)
			go func() { _, err := report(s.leader, 10); first <- err }()
			time.Sleep(time.Second)
			go func() { _, _ = report(tc.to, tc.sequence) }()
			time.Sleep(time.Millisecond)
			select {
			case err := <-first:
				if !errors.Is(err, tc.want) {
					t.Errorf("%s: %v", tc.name, err)
				}
			default:
				t.Errorf("%s: the older report still waits", tc.name)
			}
			time.Sleep(2 * s.AnswerTimeout)
		}
		refuses.Store(true)
		if took, err := report(Leader{"n2", 3}, 20); !errors.Is(err, ErrLeaderUnreachable) || took > s.Period {
			t.Errorf("a leader that refuses: %v after %s", err, took)
		}
		cancel()
		synctest.Wait()
	})
}

// A batch that cannot be taken apart, or comes from a stranger, is refused whole with an
// error; one bad report in a batch is answered 400, and the others are taken.
func TestMalformedBatches(t *testing.T) {
	v := NewReceiver(context.Background(), 1, []string{"n1"}, echoAnswer)
	body := []byte(`{"Host":"m","Shift":1,"Tick":1,"Legs":[]}`)
	whole := peer.HeartbeatBatch{From: "n1", Term: 1, Heartbeats: []peer.RelayedHeartbeat{{Host: "m", Incarnation: 1, Sequence: 1, Size: len(body)}}, Bodies: s2.Encode(nil, body)}
	change := func(f func(a *peer.HeartbeatBatch)) peer.HeartbeatBatch {
		a := whole
		a.Heartbeats = append([]peer.RelayedHeartbeat{}, whole.Heartbeats...)
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
		if reply, err := v.Exchange(tc.args); !errors.Is(err, tc.want) || reply.Leading {
			t.Errorf("%s: %+v, %v", tc.name, reply, err)
		}
	}
	if reply, err := v.Exchange(change(func(a *peer.HeartbeatBatch) { a.Term = 2 })); err != nil || reply.Leading {
		t.Errorf("another term: %+v, %v", reply, err)
	}
	mixed := whole
	bad := []byte(`{"Host":7}`)
	mixed.Heartbeats = append([]peer.RelayedHeartbeat{{Host: "x", Incarnation: 1, Sequence: 1, Size: len(bad)}, {Host: "y", Incarnation: 1, Sequence: 1, Size: len(body)}}, whole.Heartbeats...)
	mixed.Bodies = s2.Encode(nil, append(append(append([]byte{}, bad...), body...), body...))
	status := map[string]int{}
	for _, args := range []peer.HeartbeatBatch{mixed, {From: "n1", Term: 1}} {
		reply, err := v.Exchange(args)
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
