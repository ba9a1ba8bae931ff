package controller

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// The kept nodes are, after every event, what they would be if all were made anew: whatever
// changes a machine, an attempt, a job's level, prices or spare room has to be told.
func TestReusedNodesMatchRebuiltOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		c := newTestLeader(&now)
		c.JobCache.Reset(nil, 1, now)
		c.Options.Config.Cluster.Teams = []config.Team{{Name: "crew"}}
		c.catalog = &wire.Catalog{MachineTypes: []wire.MachineType{{Name: "g8", Cores: 64, Gpus: 8, RAMGb: 512, BootS: 30, Hourly: 20, SpotHourly: 5, Zones: []string{"a", "b"}}}}
		machine := func() *fleet.Machine {
			return c.fleet.Get(fmt.Sprintf("m-%d", rapid.IntRange(0, 5).Draw(t, "machine")))
		}
		jobs, sequence := 0, uint64(0)
		report := func(m string, session uint64, tasks []wire.TaskReport) {
			sequence++
			r := wire.Heartbeat{Host: m, MachineType: "g8", Zone: "a", Spot: m == "m-1", Incarnation: session, Sequence: sequence, FencingToken: c.term, Tasks: tasks}
			if rapid.IntRange(0, 30).Draw(t, "notice") == 0 {
				r.SpotNoticeS = new(float64)
			}
			c.Heartbeat(t.Context(), &r, HeartbeatOptions{})
		}
		check := func(what string) {
			c.refreshNodes(now)
			present := 0
			c.fleet.Each(func(m *fleet.Machine) {
				if _, ok := c.nodes.builder.build(m, now); ok {
					present++
				}
				if c.nodes.rebuild(m.ID, m, now) {
					t.Fatalf("after %s the node of %s is out of date", what, m.ID)
				}
			})
			if n := c.nodes.view.MachineCount(); n != present {
				t.Fatalf("after %s there are %d nodes of %d machines", what, n, present)
			}
		}
		actions := map[string]func(t *rapid.T){
			"report": func(t *rapid.T) {
				id := fmt.Sprintf("m-%d", rapid.IntRange(0, 5).Draw(t, "host"))
				var tasks []wire.TaskReport
				if m := c.fleet.Get(id); m != nil {
					m.Each(func(a *fleet.Attempt) {
						states := []wire.TaskStatus{wire.TaskFetching, wire.TaskRunning, wire.TaskSaving, wire.TaskEnded}
						l := wire.TaskReport{Task: a.TaskName(), Attempt: a.Number, Status: rapid.SampledFrom(states).Draw(t, "status")}
						if l.Status == wire.TaskEnded {
							l.Cause = rapid.SampledFrom([]wire.Cause{wire.CauseDone, wire.CauseError, wire.CauseStopped}).Draw(t, "cause")
						}
						if rapid.IntRange(0, 5).Draw(t, "missing") > 0 {
							tasks = append(tasks, l)
						}
					})
				}
				if rapid.IntRange(0, 5).Draw(t, "orphan") == 0 {
					tasks = append(tasks, wire.TaskReport{Task: "run-999999/0", Attempt: 1, Status: wire.TaskRunning})
				}
				report(id, 1+uint64(rapid.IntRange(0, 20).Draw(t, "session"))/20, tasks)
			},
			"job": func(t *rapid.T) {
				jobs++
				spec := wire.JobSpec{UID: fmt.Sprintf("run-%06d", jobs), JobClass: "serve", Team: "crew", Kind: wire.JobArray, Priority: rapid.SampledFrom([]wire.Priority{wire.BestEffort, wire.High}).Draw(t, "rank"),
					TaskCount: 2, Cores: 8, Gpus: 1, RAMGb: 8, Image: rapid.SampledFrom([]string{"i", "j"}).Draw(t, "image"), AllowSpot: rapid.Bool().Draw(t, "spot")}
				if jobs > 1 && rapid.Bool().Draw(t, "awaits") {
					spec.Dependencies = []string{fmt.Sprintf("run-%06d", rapid.IntRange(1, jobs-1).Draw(t, "needs"))}
				}
				c.applyJobEventLocked(spec.UID, watchcache.Entry{Job: &records.Job{Spec: spec, Status: wire.JobQueued, Per: 8, AtMs: now.UnixMilli()}, ModRevision: 1})
			},
			"place": func(t *rapid.T) {
				m, j := machine(), (*job)(nil)
				for i := range jobs {
					if known := c.jobs.get(fmt.Sprintf("run-%06d", i+1)); known != nil && known.waitingCount() > 0 {
						j = known
					}
				}
				if j == nil || m == nil {
					return
				}
				for _, task := range j.nextWaitingTasks(1) {
					p := j.placement(task)
					a := &fleet.Attempt{JobUID: j.uid, TaskIndex: task, Number: p.nextAttempt, Resources: j.need, Image: j.record.Spec.Image}
					p.nextAttempt++
					j.addAttempt(p, a)
					c.fleet.AddAttempt(m, a, now)
					c.fleet.MarkCommitted(a, now)
				}
			},
			"stop": func(t *rapid.T) {
				if m := machine(); m != nil {
					m.Each(func(a *fleet.Attempt) { c.stopAttempt(a, 0, now, "test") })
				}
			},
			"archive": func(t *rapid.T) {
				if j := c.jobs.get(fmt.Sprintf("run-%06d", rapid.IntRange(1, max(1, jobs)).Draw(t, "job"))); j != nil {
					c.applyJobEventLocked(j.uid, watchcache.Entry{ModRevision: ^uint64(0)})
				}
			},
			"list": func(t *rapid.T) {
				hosts := []wire.ListedHost{{UID: "m-0", MachineType: "g8", Zone: "a", Status: wire.HostFailed}, {UID: "m-6", MachineType: "g8", Zone: "b", AgeS: 5, Status: "booting"}}
				c.applyMachineList(hosts[rapid.IntRange(0, 1).Draw(t, "from"):], now)
			},
			"price": func(t *rapid.T) {
				c.catalog.MachineTypes[0].SpotHourly++
				c.fleet.Each(c.fleet.MarkChanged)
			},
			"return": func(t *rapid.T) {
				if m := machine(); m != nil && rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
					c.startRelease(m, now, "test")
					c.fleet.MarkGone(m, now, "test")
					c.fleet.Forget(m.ID)
				}
			},
			"round": func(t *rapid.T) { c.runCycle(time.Second) },
			"time":  func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second) },
		}
		names := slices.Sorted(maps.Keys(actions))
		for range 150 {
			name := rapid.SampledFrom(names).Draw(t, "action")
			actions[name](t)
			check(name)
		}
		if c.nodes.staleNodes > 0 {
			t.Fatalf("%d machines had changed and nobody had told", c.nodes.staleNodes)
		}
	})
}
