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
// machine is at fault. A faulty job is backed off, for longer each time, and after a backoff starts
// with one task only. A faulty machine is quarantined for a while.

const (
	// evidenceLeases is the number of worker leases for which a failure counts as evidence.
	evidenceLeases = 12
	// A machine is quarantined for suspectQuarantineLeases worker leases when a task of a job that is
	// not suspect fails on it, and for faultyQuarantineLeases worker leases if it is estimated to be faulty.
	suspectQuarantineLeases, faultyQuarantineLeases = 1, 6
	// firstBackoffShare is the upper limit of a job's first backoff, as a fraction of a worker lease.
	// The limit doubles with each backoff, up to maxBackoffLeases worker leases.
	firstBackoffShare = 1. / 8
	maxBackoffLeases  = 3
	// maxBackoffDoublings prevents an overflow of the doubled limit.
	maxBackoffDoublings = 16
)

// attributeFailure adds the failure of a task to the evidence. It backs off the job if the evidence
// shows that the job is faulty, and quarantines the machine if the evidence shows that the machine is
// faulty. A machine without such evidence is quarantined for a short time, unless the job is suspect.
// c.mu is held.
func (c *Controller) attributeFailure(j *job, m *fleet.Machine, now time.Time) {
	lease := c.Config.WorkerLease()
	c.faultEvidence.RecordFailure(j.uid, m.ID, j.doneTasks > 0, now)
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

// backOff prevents a faulty job from being placed for a random time, whose upper limit doubles with
// each backoff. The time is random so that many jobs are not retried at once. During a backoff,
// backOff does nothing: tasks that fail then were started before it and are no new evidence. c.mu is
// held.
func (c *Controller) backOff(j *job, now time.Time) {
	if now.Before(j.backoffUntil) {
		return
	}
	lease := c.Config.WorkerLease()
	doublings := min(j.backoffs, maxBackoffDoublings)
	maxWait := min(maxBackoffLeases*lease, time.Duration(firstBackoffShare*float64(lease))<<doublings)
	wait := maxWait/2 + rand.N(maxWait/2)
	j.backoffs++
	j.suspect, j.backoffUntil = true, now.Add(wait)
	c.views.markJob(j.uid)
	slog.Info("job backed off", "uid", j.uid, "times", j.backoffs, "for", wait.String(),
		"fault_probability", c.faultEvidence.JobFaultProbability(j.uid))
}

// clearSuspicion records that a job is no longer suspect: one of its tasks is done or has run for long
// enough.
func (j *job) clearSuspicion() { j.suspect, j.backoffs = false, 0 }

// quarantineMachine prevents new attempts on a machine for the given duration. It does not shorten a
// quarantine that ends later. c.mu is held.
func (c *Controller) quarantineMachine(m *fleet.Machine, duration time.Duration, now time.Time) {
	if until := now.Add(duration); until.After(m.AvoidUntil) {
		m.AvoidUntil, m.Quarantined = until, true
		c.fleet.MarkChanged(m)
		slog.Info("machine quarantined", "host", m.ID, "for", duration.String(),
			"fault_probability", c.faultEvidence.MachineFaultProbability(m.ID))
	}
}

// endQuarantines ends the quarantine of each machine on which a faulty job has failed, unless the
// machine is estimated to be faulty itself. c.mu is held.
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

// startsWithOneTask reports whether a job starts with one task only: it is suspect, and its tasks
// need not start at the same time. When whole arrays were retried, they took capacity, image fetches
// and state store writes from other jobs, only to fail again.
func (j *job) startsWithOneTask() bool {
	return j.suspect && j.record.Spec.Kind == wire.JobArray
}

// hasTaskPastStartup reports whether a task of the job has run for longer than a worker lease. A task
// of a faulty job fails as it starts. c.mu is held.
func (c *Controller) hasTaskPastStartup(j *job, now time.Time) bool {
	lease, found := c.Config.WorkerLease(), false
	j.eachAttempt(func(a *fleet.Attempt) {
		found = found || a.State == fleet.Running && !a.RunningSince.IsZero() && now.Sub(a.RunningSince) > lease
	})
	return found
}

// placeableTasks returns how many of a job's waiting tasks may be placed now. It clears the suspicion
// of the job if one of the job's tasks has run for long enough. c.mu is held.
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
	return max(0, min(waiting, 1-j.liveAttempts))
}

// suspectFromRecords marks a job as suspect by its records alone, since a new leader has no other
// evidence of failures. An array is suspect if none of its tasks is done, and the number of its
// attempts that are over is at least two and at least its number of tasks. It then starts with one
// task, which costs little if the machines were at fault.
func (j *job) suspectFromRecords() {
	if j.record.Spec.Kind != wire.JobArray || j.doneTasks > 0 {
		return
	}
	endedAttempts := -j.liveAttempts
	for _, p := range j.placements {
		endedAttempts += int(p.nextAttempt) - 1
	}
	if endedAttempts >= max(2, j.record.Spec.TaskCount) {
		j.suspect = true
	}
}
