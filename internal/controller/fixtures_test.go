package controller

import (
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// addTestJob adds a queued job whose placement records cover tasksPerPlacement tasks each.
func (c *Controller) addTestJob(spec wire.JobSpec, tasksPerPlacement int) *job {
	record := &records.Job{Spec: spec, Status: wire.JobQueued, TasksPerPlacement: tasksPerPlacement}
	c.applyJobEventLocked(spec.UID, watchcache.Entry{Job: record, ModRevision: 1})
	return c.jobs.get(spec.UID)
}

// applyTestHeartbeat applies a heartbeat of a machine of type g8 in zone a that reports these tasks.
func (c *Controller) applyTestHeartbeat(host string, sequence uint64, now time.Time, tasks ...wire.TaskReport) *fleet.Machine {
	m, _ := c.fleet.ApplyHeartbeat(&wire.Heartbeat{
		Host:         host,
		MachineType:  "g8",
		Zone:         "a",
		Incarnation:  1,
		Sequence:     sequence,
		FencingToken: c.term,
		Tasks:        tasks,
	}, now)
	c.setCapacity(m)
	return m
}

// placeTestAttempt places the first attempt of a task on a machine, as if its placement record
// were committed.
func (c *Controller) placeTestAttempt(j *job, task int, m *fleet.Machine, now time.Time) *fleet.Attempt {
	a := &fleet.Attempt{JobUID: j.uid, TaskIndex: task, Number: 1, Resources: j.taskResources, Image: j.record.Spec.Image}
	j.addAttempt(j.placement(task), a)
	c.fleet.AddAttempt(m, a, now)
	c.fleet.MarkCommitted(a, now)
	return a
}
