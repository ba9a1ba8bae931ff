package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/wire"
)

// In fleets of 4,096 and 6,000 machines, all workers send their heartbeats to one follower within one interval, first
// in full and then as references. Each gets the answer to its heartbeat, over as many batches as needed.
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
			// The leader decides its answers concurrently with the exchanges.
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
			t.Errorf("%d batches, the largest with %d bytes, want at least 2 of at most %d bytes", batches, largest, maxBatchBytes)
		}
	}
}

// enqueueFleet enqueues one heartbeat of each worker, with eight tasks.
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

// checkAnswered fails the test unless a heartbeat has received its own answer.
func checkAnswered(t *testing.T, p *pendingHeartbeat, name string) {
	t.Helper()
	select {
	case res := <-p.result:
		if res.err != nil || res.answer.Host != p.heartbeat.Host || res.answer.Sequence != p.heartbeat.Sequence {
			t.Fatalf("the result of %s is %+v, want the answer to it", name, res)
		}
	default:
		t.Fatalf("%s has no answer", name)
	}
}
