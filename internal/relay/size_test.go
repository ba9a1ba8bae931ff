package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/wire"
)

// All workers of a fleet of 4,096 and of 6,000 machines report at one follower within one
// interval, in full and then as repetitions: each gets the answer to its report, over as many
// batches as it takes.
func TestWholeFleetReportsAtOneFollower(t *testing.T) {
	for _, workers := range []int{4096, 6000} {
		receiver := NewReceiver(context.Background(), 1, []string{"n1"}, echoAnswer)
		batches, largest := 0, 0
		s := testSender(func(_ Leader, args peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error) {
			batches++
			size := 0
			for _, r := range args.Heartbeats {
				size += r.Size
			}
			largest = max(largest, size)
			return receiver.Exchange(args)
		})
		for sequence := uint64(1); sequence <= 2; sequence++ {
			waiting := make([]*pendingHeartbeat, workers)
			for i := range waiting {
				r := &wire.Heartbeat{Host: fmt.Sprintf("m-%06d", i), Zone: "a", Incarnation: 1, Sequence: sequence}
				for task := range 8 {
					r.Tasks = append(r.Tasks, wire.TaskReport{Task: wire.TaskName("run-000001", 8*i+task), Attempt: 1, Status: wire.TaskRunning})
				}
				waiting[i] = pendingOf(r)
				if err := s.enqueue(Leader{"n0", 1}, waiting[i]); err != nil {
					t.Fatal(err)
				}
			}
			// The leader decides answers beside the exchanges.
			for deadline := time.Now().Add(30 * time.Second); s.hasPending() && time.Now().Before(deadline); {
				if !s.exchange() {
					time.Sleep(time.Millisecond)
				}
			}
			for i, p := range waiting {
				select {
				case res := <-p.result:
					if res.err != nil || res.answer.Host != p.heartbeat.Host || res.answer.Sequence != sequence {
						t.Fatalf("report %d of %d ends with %+v", i, workers, res)
					}
				default:
					t.Fatalf("report %d of %d gets no answer", i, workers)
				}
			}
		}
		if batches < 2 || largest > maxBatchBytes {
			t.Errorf("%d batches, the largest of %d bytes", batches, largest)
		}
	}
}
