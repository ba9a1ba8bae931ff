package controller

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// What follows from tasks that fail. Who is at fault is a matter of evidence (package faultattribution). A
// job that is mistaken is held back ever longer, and then tried with one task; a machine that is
// faulty is passed over for a while.

const (
	// evidenceLeases is for how many leases a failure counts.
	evidenceLeases = 12
	// suspectMachineLeases and faultyMachineLeases are for how many leases a machine is passed over that a
	// task has failed on, and one that is faulty by all that is known.
	suspectMachineLeases, faultyMachineLeases = 1, 6
	// firstBackoffShare of a lease is the longest that a job is held back for the first time. It
	// doubles each time, up to maxBackoffLeases.
	firstBackoffShare = 1. / 8
	maxBackoffLeases  = 3
)

// attributeFailure takes the failure of a task into the evidence, and acts on what that says.
func (c *Controller) attributeFailure(j *job, m *fleet.Machine, now time.Time) {
	c.evidence.RecordFailure(j.uid, m.ID, j.done > 0, now)
	maps.DeleteFunc(j.failedOn, func(_ string, at time.Time) bool { return now.Sub(at) > evidenceLeases*c.Config.WorkerLease() })
	j.failedOn[m.ID] = now
	if c.evidence.IsJobFaulty(j.uid) {
		c.backOff(j, now)
		c.releaseQuarantined(j)
	}
	switch {
	case c.evidence.IsMachineFaulty(m.ID):
		c.quarantineMachine(m, faultyMachineLeases*c.Config.WorkerLease(), now)
	case !j.suspect:
		c.quarantineMachine(m, suspectMachineLeases*c.Config.WorkerLease(), now)
	}
}

// backOff lets a mistaken job wait, longer each time, so that many do not come back together. Tasks of
// it that fail meanwhile were started before and say nothing new.
func (c *Controller) backOff(j *job, now time.Time) {
	if now.Before(j.backoffUntil) {
		return
	}
	lease := c.Config.WorkerLease()
	most := min(maxBackoffLeases*lease, time.Duration(firstBackoffShare*float64(lease))<<min(j.backoffs, 16))
	wait := most/2 + rand.N(most/2)
	j.backoffs++
	j.suspect, j.backoffUntil = true, now.Add(wait)
	c.views.markJob(j.uid)
	slog.Info("job held back", "uid", j.uid, "times", j.backoffs, "for", wait.String(), "mistaken", c.evidence.JobFaultProbability(j.uid))
}

// clearSuspicion ends the suspicion against a job: a task of it works.
func (j *job) clearSuspicion() { j.suspect, j.backoffs = false, 0 }

// quarantineMachine keeps launches from a machine for a while.
func (c *Controller) quarantineMachine(m *fleet.Machine, rest time.Duration, now time.Time) {
	if until := now.Add(rest); until.After(m.AvoidUntil) {
		m.AvoidUntil, m.Quarantined = until, true
		c.fleet.MarkChanged(m)
		slog.Info("machine quarantined", "host", m.ID, "for", rest.String(), "faulty", c.evidence.MachineFaultProbability(m.ID))
	}
}

// releaseQuarantined takes back machines that were passed over for the failures of a job which is
// at fault itself.
func (c *Controller) releaseQuarantined(j *job) {
	for _, id := range c.evidence.MachinesFailedOn(j.uid) {
		m := c.fleet.Get(id)
		if m == nil || !m.Quarantined || c.evidence.IsMachineFaulty(id) {
			continue
		}
		m.AvoidUntil, m.Quarantined = time.Time{}, false
		c.fleet.MarkChanged(m)
	}
}

// startsWithOneTask reports whether a job starts with one task only: it is suspected, and its tasks need
// not start together. Whole arrays that were tried again took room, images and changes of the
// state service from others, only to fail.
func (j *job) startsWithOneTask() bool {
	return j.suspect && j.record.Spec.Kind == wire.JobArray && !j.record.Spec.SingleZone
}

// hasProvenTask reports whether a task of the job has run for a lease: a mistaken one fails as it starts.
func (c *Controller) hasProvenTask(j *job, now time.Time) bool {
	completed := false
	j.eachAttempt(func(a *fleet.Attempt) {
		completed = completed || a.State == fleet.Running && !a.RunningSince.IsZero() && now.Sub(a.RunningSince) > c.Config.WorkerLease()
	})
	return completed
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

// suspectFromRecords is what a new leader can tell of a job from its records alone: if nothing of
// it is done, and yet it has been tried as often as it has tasks, and twice at least, it may be
// mistaken. It is tried with one task then; if others were to blame, that costs little.
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
