package controller

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// This file reacts to tasks that fail. Package faultattribution estimates whether the job or the
// machine is at fault. A faulty job is backed off for longer each time, and then starts with one
// task; a faulty machine is quarantined for a while.

const (
	// evidenceLeases is for how many worker leases a failure counts.
	evidenceLeases = 12
	// suspectQuarantineLeases and faultyQuarantineLeases are for how many worker leases a machine is
	// quarantined on which a task has failed, and one that is estimated to be faulty.
	suspectQuarantineLeases, faultyQuarantineLeases = 1, 6
	// firstBackoffShare is the longest first backoff of a job, as a share of a worker lease. The
	// longest backoff doubles each time, up to maxBackoffLeases.
	firstBackoffShare = 1. / 8
	maxBackoffLeases  = 3
	// maxBackoffDoublings keeps the doubling from overflowing.
	maxBackoffDoublings = 16
)

// attributeFailure adds the failure of a task to the evidence. It backs the job off or quarantines
// the machine, whichever the evidence calls faulty; a machine is quarantined for a short time even
// without that, unless the job is suspected already. c.mu is held.
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
		c.quarantineMachine(m, faultyQuarantineLeases*lease, now)
	case !j.suspect:
		c.quarantineMachine(m, suspectQuarantineLeases*lease, now)
	}
}

// backOff keeps a faulty job from being placed for a random time, longer each time, so that many
// jobs are not retried at once. It does nothing during a backoff: tasks that fail then were started
// before and are no new evidence. c.mu is held.
func (c *Controller) backOff(j *job, now time.Time) {
	if now.Before(j.backoffUntil) {
		return
	}
	lease := c.Config.WorkerLease()
	doublings := min(j.backoffs, maxBackoffDoublings)
	longest := min(maxBackoffLeases*lease, time.Duration(firstBackoffShare*float64(lease))<<doublings)
	wait := longest/2 + rand.N(longest/2)
	j.backoffs++
	j.suspect, j.backoffUntil = true, now.Add(wait)
	c.views.markJob(j.uid)
	slog.Info("job held back", "uid", j.uid, "times", j.backoffs, "for", wait.String(),
		"fault_probability", c.faultEvidence.JobFaultProbability(j.uid))
}

// clearSuspicion ends the suspicion against a job, of which a task is done or has run long enough.
func (j *job) clearSuspicion() { j.suspect, j.backoffs = false, 0 }

// quarantineMachine keeps new attempts from a machine for a while. A quarantine that ends later
// stays as it is. c.mu is held.
func (c *Controller) quarantineMachine(m *fleet.Machine, duration time.Duration, now time.Time) {
	if until := now.Add(duration); until.After(m.AvoidUntil) {
		m.AvoidUntil, m.Quarantined = until, true
		c.fleet.MarkChanged(m)
		slog.Info("machine quarantined", "host", m.ID, "for", duration.String(),
			"fault_probability", c.faultEvidence.MachineFaultProbability(m.ID))
	}
}

// endQuarantines ends the quarantine of the machines on which a faulty job has failed, but not of
// machines that are estimated to be faulty themselves. c.mu is held.
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
// tasks need not start at the same time. When whole arrays were retried, they took room, image
// fetches and changes of the state store from other jobs, only to fail.
func (j *job) startsWithOneTask() bool {
	return j.suspect && j.record.Spec.Kind == wire.JobArray && !j.record.Spec.SingleZone
}

// hasTaskPastStartup reports whether a task of the job has run for longer than a worker lease: one of a
// faulty job fails as it starts. c.mu is held.
func (c *Controller) hasTaskPastStartup(j *job, now time.Time) bool {
	lease, proven := c.Config.WorkerLease(), false
	j.eachAttempt(func(a *fleet.Attempt) {
		proven = proven || a.State == fleet.Running && !a.RunningSince.IsZero() && now.Sub(a.RunningSince) > lease
	})
	return proven
}

// placeableTasks returns how many of the waiting tasks of a job may be placed now. It ends the
// suspicion against a job of which a task has run for long enough. c.mu is held.
func (c *Controller) placeableTasks(j *job, now time.Time) int {
	waiting := j.waitingCount()
	if waiting == 0 || now.Before(j.backoffUntil) {
		return 0
	}
	if !j.startsWithOneTask() {
		return waiting
	}
	if c.hasTaskPastStartup(j, now) {
		j.clearSuspicion()
		return waiting
	}
	return max(0, min(waiting, 1-j.live))
}

// suspectFromRecords marks a job as suspect from its records alone, for a new leader, which has no
// evidence of failures: none of its tasks is done, although it has had as many attempts as tasks,
// and two at least, that are over. It starts with one task then; if machines were at fault, that
// costs little.
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
