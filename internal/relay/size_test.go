package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/wire"
)

// All workers of a fleet of 4,096 and of 6,000 machines send their heartbeats to one follower within one
// interval, in full and then as repetitions: each gets the answer to its heartbeat, over as many
// batches as it takes.
func TestWholeFleetReportsAtOneFollower(t *testing.T) {
	for _, workers := range []int{4096, 6000} {
		receiver := NewReceiver(context.Background(), 1, []string{"n1"}, answerOK)
		batches, largest := 0, 0
		sender := testSender(func(_ Leader, args peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error) {
			batches++
			size := 0
			for i := range args.Heartbeats {
				size += args.Heartbeats[i].Size
			}
			largest = max(largest, size)
			return receiver.Exchange(args)
		})
		for sequence := uint64(1); sequence <= 2; sequence++ {
			waiting := enqueueFleet(t, sender, workers, sequence)
			// The leader decides answers concurrently with the exchanges.
			for deadline := time.Now().Add(30 * time.Second); sender.hasPending() && time.Now().Before(deadline); {
				if !sender.exchange() {
					time.Sleep(time.Millisecond)
				}
			}
			for i, p := range waiting {
				checkAnswered(t, p, fmt.Sprintf("heartbeat %d of %d", i, workers))
			}
		}
		if batches < 2 || largest > maxBatchBytes {
			t.Errorf("%d batches, the largest of %d bytes", batches, largest)
		}
	}
}

// enqueueFleet enqueues a heartbeat with eight tasks of each worker.
func enqueueFleet(t *testing.T, sender *Sender, workers int, sequence uint64) []*pendingHeartbeat {
	t.Helper()
	waiting := make([]*pendingHeartbeat, workers)
	for i := range waiting {
		h := &wire.Heartbeat{Host: fmt.Sprintf("m-%06d", i), Zone: "a", Incarnation: 1, Sequence: sequence}
		for task := range 8 {
			name := wire.TaskName("run-000001", 8*i+task)
			h.Tasks = append(h.Tasks, wire.TaskReport{Task: name, Attempt: 1, Status: wire.TaskRunning})
		}
		waiting[i] = pendingOf(h)
		if err := sender.enqueue(Leader{"n0", 1}, waiting[i]); err != nil {
			t.Fatal(err)
		}
	}
	return waiting
}

// checkAnswered fails the test unless a heartbeat has got its own answer.
func checkAnswered(t *testing.T, p *pendingHeartbeat, name string) {
	t.Helper()
	select {
	case res := <-p.result:
		if res.err != nil || res.answer.Host != p.heartbeat.Host || res.answer.Sequence != p.heartbeat.Sequence {
			t.Fatalf("%s ends with %+v", name, res)
		}
	default:
		t.Fatalf("%s gets no answer", name)
	}
}
