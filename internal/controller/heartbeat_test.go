package controller

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// Answers without commands wait for some, but not if the caller does not allow it. The waits of
// many machines end at the same moments: when each had a wake-up of its own, they took an eighth
// of a leader's processor time.
func TestWaitingAnswersEndTogether(t *testing.T) {
	const machines = 120
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		c := newTestLeader(&now)
		c.now = time.Now
		c.JobCache.Reset(nil, 1, now)
		ends := make(chan time.Time, machines)
		longest := c.Config.HeartbeatInterval() / 2
		for i := range machines {
			time.Sleep(c.Config.HeartbeatInterval() / machines)
			heartbeat := wire.Heartbeat{Host: fmt.Sprintf("m-%d", i), Incarnation: 1, Sequence: 1, FencingToken: c.term}
			began := time.Now()
			if _, ok := c.Heartbeat(context.Background(), &heartbeat, HeartbeatOptions{}); !ok || time.Since(began) > 0 {
				t.Fatalf("an answer that may not wait is given after %s", time.Since(began))
			}
			heartbeat.Sequence++
			go func() {
				c.Heartbeat(context.Background(), &heartbeat, HeartbeatOptions{MayWait: true})
				if waited := time.Since(began); waited > longest || waited < longest-c.Config.TimerGrid().Unit {
					t.Errorf("answered after %s", waited)
				}
				ends <- time.Now()
			}()
		}
		moments := map[time.Time]bool{}
		for range machines {
			moments[<-ends] = true
		}
		// The heartbeats come over one interval and wait half of one: the units of
		// the grid in that, and one more for where it begins.
		most := int(c.Config.HeartbeatInterval()/c.Config.TimerGrid().Unit) + 2
		if len(moments) > most {
			t.Errorf("%d waits end at %d moments, want at most %d", machines, len(moments), most)
		}
	})
}

// While the state store is not read, no answer waits for commands, since launches could not be
// sent: the worker's next heartbeat comes sooner, and its lease is younger when the node has to
// stop answering.
func TestAnswersDoNotWaitWhileTheStateStoreIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestLeader(new(time.Time))
		c.now = time.Now
		c.JobCache.Reset(nil, 1, time.Now())
		waited := func(sequence uint64) time.Duration {
			began := time.Now()
			h := wire.Heartbeat{Host: "m", Incarnation: 1, Sequence: sequence, FencingToken: c.term}
			c.Heartbeat(t.Context(), &h, HeartbeatOptions{MayWait: true})
			return time.Since(began)
		}
		if waited(1) == 0 {
			t.Error("no wait while the state store is read")
		}
		time.Sleep(c.Config.LeaderLeaseTTL())
		if took := waited(2); took > 0 {
			t.Errorf("waits %s for commands on old knowledge", took)
		}
	})
}
