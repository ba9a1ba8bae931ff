package controller

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// benchFleet is a leader with 190 machines that run eight tasks each.
func benchFleet(now *time.Time) *Controller {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	c := newTestLeader(now)
	c.JobCache.Reset(nil, 1, *now)
	c.Config.Cluster.State.WriteRps = 100
	c.catalog = &wire.Catalog{MachineTypes: []wire.MachineType{{Name: "g8", Cores: 96, Gpus: 8, RAMGb: 576, Hourly: 20, SpotHourly: 5, BootS: 45, Zones: []string{"a"}}}}
	return c
}

// A round in which nothing waits and nothing has changed.
func BenchmarkQuietRound(b *testing.B) {
	now := time.Now()
	c := benchFleet(&now)
	for i := range 190 {
		uid := fmt.Sprintf("run-%06d", i)
		spec := wire.JobSpec{UID: uid, JobClass: "serve", Kind: wire.Service, Priority: wire.High, TaskCount: 8, Cores: 8, Gpus: 1, RAMGb: 40, Image: "image"}
		c.applyJobEventLocked(uid, watchcache.Entry{Job: &records.Job{Spec: spec, Status: wire.JobQueued, Per: 80}, ModRevision: 1})
		m, _ := c.fleet.ApplyHeartbeat(&wire.Heartbeat{Host: fmt.Sprintf("m-%03d", i), MachineType: "g8", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: c.term}, now)
		c.setCapacity(m)
		j := c.jobs.get(uid)
		for task := range 8 {
			a := &fleet.Attempt{JobUID: uid, TaskIndex: task, Number: 1, Resources: j.need, Image: "image"}
			j.addAttempt(j.placement(task), a)
			c.fleet.AddAttempt(m, a, now)
			c.fleet.MarkCommitted(a, now)
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		c.runCycle(time.Second / 3)
	}
}

// largeFleet is a leader whose machines run eight tasks each, with so many jobs that wait.
func largeFleet(machines, waiting int, now *time.Time) *Controller {
	c := benchFleet(now)
	c.Options.Config.Cluster.Teams = []config.Team{{Name: "crew"}}
	uid := func(i int) string { return fmt.Sprintf("run-%06d", i) }
	spec := func(i int, priority wire.Priority, cores float64) wire.JobSpec {
		return wire.JobSpec{UID: uid(i), JobClass: "serve", Team: "crew", Kind: wire.Service, Priority: priority, TaskCount: 8, Cores: cores, Gpus: 1, RAMGb: 40, Image: fmt.Sprint("image-", i%12)}
	}
	for i := range machines {
		s := spec(i, wire.High, 8)
		if i%3 == 0 {
			s.Priority, s.Kind, s.AllowSpot = wire.BestEffort, wire.JobArray, true
		}
		c.applyJobEventLocked(s.UID, watchcache.Entry{Job: &records.Job{Spec: s, Status: wire.JobQueued, Per: 80}, ModRevision: 1})
		m, _ := c.fleet.ApplyHeartbeat(&wire.Heartbeat{Host: fmt.Sprintf("m-%06d", i), MachineType: "g8", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: c.term}, *now)
		c.setCapacity(m)
		j := c.jobs.get(s.UID)
		tasks := []wire.TaskReport{}
		for task := range 8 {
			if task == 7 && i%10 == 0 {
				continue
			}
			a := &fleet.Attempt{JobUID: s.UID, TaskIndex: task, Number: 1, Resources: j.need, Image: s.Image}
			j.addAttempt(j.placement(task), a)
			c.fleet.AddAttempt(m, a, *now)
			c.fleet.MarkCommitted(a, *now)
			c.fleet.Commands(m, *now, true)
			tasks = append(tasks, wire.TaskReport{Task: a.TaskName(), Attempt: 1, Status: wire.TaskRunning})
		}
		c.fleet.ApplyHeartbeat(&wire.Heartbeat{Host: m.ID, MachineType: "g8", Zone: "a", Incarnation: 1, Sequence: 2, FencingToken: c.term, Tasks: tasks}, *now)
	}
	for i := range waiting {
		s := spec(1_000_000+i, wire.Standard, 96) // no machine has room for it
		s.TaskCount = 30
		c.applyJobEventLocked(s.UID, watchcache.Entry{Job: &records.Job{Spec: s, Status: wire.JobQueued, Per: 80}, ModRevision: 1})
	}
	return c
}

// All of a leader's round while jobs wait that no machine has room for: the view of the
// machines, the round, who is alive, spare room and rentals.
func BenchmarkLeaderRound(b *testing.B) {
	for _, machines := range []int{340, 1350, 4000, 6000} {
		for _, waiting := range []int{0, 50, 500} {
			b.Run(fmt.Sprintf("machines=%d/waiting=%d", machines, waiting), func(b *testing.B) {
				now := time.Now()
				c := largeFleet(machines, waiting, &now)
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					c.runCycle(time.Second / 3)
				}
			})
		}
	}
}
