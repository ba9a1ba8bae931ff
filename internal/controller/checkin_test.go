package controller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/ledger"
	"lotusstile.dev/lotusstile/wire"
)

// A check-in waits for commands only where a launch is likely to come up. When all
// waited, that was an eighth of a leader's processor time.
func TestOnlyAnswersThatExpectCommandsWait(t *testing.T) {
	const waits = 500 * time.Millisecond // half of a report's interval
	spec := wire.Work{UID: "run-000001", Berth: "serve", Shape: wire.Standing, Rank: wire.High, Legs: 8, Cores: 8, Gpus: 1, RAMGb: 40, Rollout: "image"}
	for _, tc := range []struct {
		name     string
		placed   int                // tasks on the machine
		state    fleet.AttemptState // of the last of them
		mayWait  bool
		wantWait time.Duration
	}{
		{"machine with room", 3, fleet.Running, true, waits},
		{"full machine", 4, fleet.Running, true, 0},
		{"full machine whose last launch is being recorded", 4, fleet.Planned, true, waits},
		{"relayed or overloaded", 3, fleet.Running, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				c := watched(&now)
				c.now = time.Now
				c.Mirror.Reset(nil, 1, now)
				c.cat = &wire.Catalog{Rigs: []wire.Rig{{Sku: "g4", Cores: 32, Gpus: 4, RAMGb: 160, BootS: 30}}}
				c.takeJob(spec.UID, ledger.Entry{Job: &ledger.Job{Spec: spec, Status: wire.JobQueued, Per: 8}, Stamp: 1})
				c.leastNeed = c.smallestNeed()
				report := wire.Report{Host: "m-1", Rig: "g4", Shift: 1, Tick: 1, Baton: c.term}
				m, _ := c.fleet.Report(&report, now)
				report.Legs = placeTasks(c, m, tc.placed, tc.state)
				report.Tick = 2
				began := time.Now()
				if _, ok := c.CheckIn(context.Background(), &report, CheckInOptions{MayWait: tc.mayWait}); !ok {
					t.Fatal("the term is over")
				}
				// A wait ends on the grid of the process's periodic work.
				if waited := time.Since(began); waited > tc.wantWait || waited < tc.wantWait-c.Config.Grid().Unit {
					t.Errorf("answered after %s, want %s", waited, tc.wantWait)
				}
			})
		})
	}
}

// placeTasks places tasks of the only job on a machine, all running but for the
// last, and returns them as the machine reports them.
func placeTasks(c *Controller, m *fleet.Machine, count int, last fleet.AttemptState) []wire.LegReport {
	j := c.jobs["run-000001"]
	var legs []wire.LegReport
	for leg := range count {
		a := &fleet.Attempt{UID: j.uid, Leg: leg, Try: 1, Need: j.need, Image: "image"}
		j.piece(leg).live[leg] = a
		j.live++
		c.fleet.Place(m, a, c.now())
		if leg == count-1 && last == fleet.Planned {
			break
		}
		c.fleet.Commit(a, c.now())
		legs = append(legs, wire.LegReport{Leg: a.Name(), Try: 1, Status: wire.LegRunning})
	}
	return legs
}
