package controller

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// What follows from tasks that fail. Whether the job or the machine is at fault is a matter of
// evidence: see package faultattribution. A faulty job is held back ever longer, and then tried
// with one task; a faulty machine is quarantined for a while.

const (
	// evidenceLeases is for how many worker leases a failure counts.
	evidenceLeases = 12
	// suspectMachineLeases and faultyMachineLeases are for how many worker leases a machine is
	// quarantined that a task has failed on, and one that is faulty by all that is known.
	suspectMachineLeases, faultyMachineLeases = 1, 6
	// firstBackoffShare of a worker lease is the longest that a job is held back for the first
	// time. It doubles each time, up to maxBackoffLeases.
	firstBackoffShare = 1. / 8
	maxBackoffLeases  = 3
)

// attributeFailure adds the failure of a task to the evidence, and acts on what that says.
func (c *Controller) attributeFailure(j *job, m *fleet.Machine, now time.Time) {
	lease := c.Config.WorkerLease()
	c.faultEvidence.RecordFailure(j.uid, m.ID, j.done > 0, now)
	maps.DeleteFunc(j.failedOn, func(_ string, at time.Time) bool { return now.Sub(at) > evidenceLeases*lease })
	j.failedOn[m.ID] = now
	if c.faultEvidence.IsJobFaulty(j.uid) {
		c.backOff(j, now)
		c.endQuarantines(j)
	}
	switch {
	case c.faultEvidence.IsMachineFaulty(m.ID):
		c.quarantineMachine(m, faultyMachineLeases*lease, now)
	case !j.suspect:
		c.quarantineMachine(m, suspectMachineLeases*lease, now)
	}
}

// backOff holds a faulty job back, longer each time and by chance, so that many do not come back
// together. Tasks of it that fail meanwhile were started before and say nothing new.
func (c *Controller) backOff(j *job, now time.Time) {
	if now.Before(j.backoffUntil) {
		return
	}
	lease := c.Config.WorkerLease()
	longest := min(maxBackoffLeases*lease, time.Duration(firstBackoffShare*float64(lease))<<min(j.backoffs, 16))
	wait := longest/2 + rand.N(longest/2)
	j.backoffs++
	j.suspect, j.backoffUntil = true, now.Add(wait)
	c.views.markJob(j.uid)
	slog.Info("job held back", "uid", j.uid, "times", j.backoffs, "for", wait.String(),
		"fault_probability", c.faultEvidence.JobFaultProbability(j.uid))
}

// clearSuspicion ends the suspicion against a job: a task of it works.
func (j *job) clearSuspicion() { j.suspect, j.backoffs = false, 0 }

// quarantineMachine keeps launches from a machine for a while.
func (c *Controller) quarantineMachine(m *fleet.Machine, duration time.Duration, now time.Time) {
	if until := now.Add(duration); until.After(m.AvoidUntil) {
		m.AvoidUntil, m.Quarantined = until, true
		c.fleet.MarkChanged(m)
		slog.Info("machine quarantined", "host", m.ID, "for", duration.String(),
			"fault_probability", c.faultEvidence.MachineFaultProbability(m.ID))
	}
}

// endQuarantines ends the quarantine of machines for the failures of a job which is at fault
// itself, but for machines that are faulty by all that is known.
func (c *Controller) endQuarantines(j *job) {
	for _, id := range c.faultEvidence.MachinesFailedOn(j.uid) {
		m := c.fleet.Get(id)
		if m == nil || !m.Quarantined || c.faultEvidence.IsMachineFaulty(id) {
			continue
		}
		m.AvoidUntil, m.Quarantined = time.Time{}, false
		c.fleet.MarkChanged(m)
	}
}

// startsWithOneTask reports whether a job starts with one task only: it is suspected, and its
// tasks need not start together. Whole arrays that were tried again took room, images and changes
// of the state store from others, only to fail.
func (j *job) startsWithOneTask() bool {
	return j.suspect && j.record.Spec.Kind == wire.JobArray && !j.record.Spec.SingleZone
}

// hasProvenTask reports whether a task of the job has run for longer than a worker lease: one of
// a faulty job fails as it starts.
func (c *Controller) hasProvenTask(j *job, now time.Time) bool {
	lease, proven := c.Config.WorkerLease(), false
	j.eachAttempt(func(a *fleet.Attempt) {
		proven = proven || a.State == fleet.Running && !a.RunningSince.IsZero() && now.Sub(a.RunningSince) > lease
	})
	return proven
}

// placeableTasks is how many of the waiting tasks of a job may be placed now.
func (c *Controller) placeableTasks(j *job, now time.Time) int {
	waiting := j.waitingCount()
	if waiting == 0 || now.Before(j.backoffUntil) {
		return 0
	}
	if !j.startsWithOneTask() {
		return waiting
	}
	if c.hasProvenTask(j, now) {
		j.clearSuspicion()
		return waiting
	}
	return max(0, min(waiting, 1-j.live))
}

// suspectFromRecords suspects a job by what a new leader can tell from its records alone: if
// nothing of it is done, and yet it has been tried as often as it has tasks, and twice at least,
// it may be faulty. It is tried with one task then; if machines were at fault, that costs little.
func (j *job) suspectFromRecords() {
	if j.record.Spec.Kind != wire.JobArray || j.done > 0 {
		return
	}
	attempts := -j.live
	for _, p := range j.placements {
		attempts += int(p.nextAttempt) - 1
	}
	if attempts >= max(2, j.record.Spec.TaskCount) {
		j.suspect = true
	}
}
