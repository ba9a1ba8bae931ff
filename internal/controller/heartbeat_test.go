package controller

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// Answers without commands wait for commands, but only if the caller allows it. The waits of many machines end at the
// same moments: a separate wake-up for each wait took an eighth of a leader's processor time.
func TestWaitingAnswersEndTogether(t *testing.T) {
	const machines = 120
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		c := newTestLeader(&now)
		c.now = time.Now
		c.JobCache.Reset(nil, 1, now)
		endTimes := make(chan time.Time, machines)
		maxWait := c.Config.HeartbeatInterval() / 2
		for i := range machines {
			time.Sleep(c.Config.HeartbeatInterval() / machines)
			heartbeat := wire.Heartbeat{Host: fmt.Sprintf("m-%d", i), Incarnation: 1, Sequence: 1, FencingToken: c.term}
			start := time.Now()
			if _, ok := c.Heartbeat(context.Background(), &heartbeat, HeartbeatOptions{}); !ok || time.Since(start) > 0 {
				t.Fatalf("answer without MayWait: ok = %t after %s, want true after 0s", ok, time.Since(start))
			}
			heartbeat.Sequence++
			go func() {
				c.Heartbeat(context.Background(), &heartbeat, HeartbeatOptions{MayWait: true})
				if waited := time.Since(start); waited > maxWait || waited < maxWait-c.Config.TimerGrid().Unit {
					t.Errorf("answer came after %s, want %s to %s", waited, maxWait-c.Config.TimerGrid().Unit, maxWait)
				}
				endTimes <- time.Now()
			}()
		}
		distinctEnds := map[time.Time]bool{}
		for range machines {
			distinctEnds[<-endTimes] = true
		}
		// The heartbeats are spread over one interval and all wait for about half of one. So the waits end within about
		// one interval, each at a point of the timer grid: there are at most two more points than fit into the interval.
		maxDistinctEnds := int(c.Config.HeartbeatInterval()/c.Config.TimerGrid().Unit) + 2
		if len(distinctEnds) > maxDistinctEnds {
			t.Errorf("%d waits end at %d different moments, want at most %d", machines, len(distinctEnds), maxDistinctEnds)
		}
	})
}

// While the state store cannot be read, no answer waits for commands, since launches could not be sent anyway. Without
// the wait, the worker's next heartbeat comes sooner, and its lease is younger when the node has to stop answering.
func TestAnswersDoNotWaitWhileTheStateStoreIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestLeader(new(time.Time))
		c.now = time.Now
		c.JobCache.Reset(nil, 1, time.Now())
		answerTime := func(sequence uint64) time.Duration {
			start := time.Now()
			h := wire.Heartbeat{Host: "m", Incarnation: 1, Sequence: sequence, FencingToken: c.term}
			c.Heartbeat(t.Context(), &h, HeartbeatOptions{MayWait: true})
			return time.Since(start)
		}
		if answerTime(1) == 0 {
			t.Error("the answer does not wait while the state store can be read, want a wait for commands")
		}
		time.Sleep(c.Config.LeaderLeaseTTL())
		if took := answerTime(2); took > 0 {
			t.Errorf("with stale cancellation data the answer waits %s for commands, want no wait", took)
		}
	})
}
