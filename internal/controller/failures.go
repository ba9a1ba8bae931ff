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
	// suspectLeases and faultyLeases are for how many leases a machine is passed over that a
	// task has failed on, and one that is faulty by all that is known.
	suspectLeases, faultyLeases = 1, 6
	// firstBackoffShare of a lease is the longest that a job is held back for the first time. It
	// doubles each time, up to maxBackoffLeases.
	firstBackoffShare = 1. / 8
	maxBackoffLeases  = 3
)

// attributeFailure takes the failure of a task into the evidence, and acts on what that says.
func (c *Controller) attributeFailure(j *job, m *fleet.Machine, now time.Time) {
	c.evidence.Failed(j.uid, m.ID, j.done > 0, now)
	maps.DeleteFunc(j.avoid, func(_ string, at time.Time) bool { return now.Sub(at) > evidenceLeases*c.Config.WorkerLease() })
	j.avoid[m.ID] = now
	if c.evidence.SurelyMistaken(j.uid) {
		c.backOff(j, now)
		c.clearMachines(j)
	}
	switch {
	case c.evidence.SurelyFaulty(m.ID):
		c.passOver(m, faultyLeases*c.Config.WorkerLease(), now)
	case !j.suspect:
		c.passOver(m, suspectLeases*c.Config.WorkerLease(), now)
	}
}

// backOff lets a mistaken job wait, longer each time, so that many do not come back together. Tasks of
// it that fail meanwhile were started before and say nothing new.
func (c *Controller) backOff(j *job, now time.Time) {
	if now.Before(j.backoffUntil) {
		return
	}
	lease := c.Config.WorkerLease()
	most := min(maxBackoffLeases*lease, time.Duration(firstBackoffShare*float64(lease))<<min(j.fails, 16))
	wait := most/2 + rand.N(most/2)
	j.fails++
	j.suspect, j.backoffUntil = true, now.Add(wait)
	c.views.job(j.uid)
	slog.Info("job is held back", "uid", j.uid, "times", j.fails, "for", wait.String(), "mistaken", c.evidence.Mistaken(j.uid))
}

// trust ends the suspicion against a job: a task of it works.
func (j *job) trust() { j.suspect, j.fails = false, 0 }

// passOver keeps launches from a machine for a while.
func (c *Controller) passOver(m *fleet.Machine, rest time.Duration, now time.Time) {
	if until := now.Add(rest); until.After(m.AvoidUntil) {
		m.AvoidUntil, m.Quarantined = until, true
		c.fleet.MarkChanged(m)
		slog.Info("machine passed over", "host", m.ID, "for", rest.String(), "faulty", c.evidence.Faulty(m.ID))
	}
}

// clearMachines takes back machines that were passed over for the failures of a job which is
// at fault itself.
func (c *Controller) clearMachines(j *job) {
	for _, id := range c.evidence.Machines(j.uid) {
		m := c.fleet.Get(id)
		if m == nil || !m.Quarantined || c.evidence.SurelyFaulty(id) {
			continue
		}
		m.AvoidUntil, m.Quarantined = time.Time{}, false
		c.fleet.MarkChanged(m)
	}
}

// probes reports whether a job starts with one task only: it is suspected, and its tasks need
// not start together. Whole arrays that were tried again took room, images and changes of the
// state service from others, only to fail.
func (j *job) probes() bool {
	return j.suspect && j.rec.Spec.Kind == wire.JobArray && !j.rec.Spec.SingleZone
}

// completed reports whether a task of the job has run for a lease: a mistaken one fails as it starts.
func (c *Controller) completed(j *job, now time.Time) bool {
	completed := false
	j.each(func(a *fleet.Attempt) {
		completed = completed || a.State == fleet.Running && !a.RunningSince.IsZero() && now.Sub(a.RunningSince) > c.Config.WorkerLease()
	})
	return completed
}

// mayPlace is how many of the waiting tasks of a job may be placed now.
func (c *Controller) mayPlace(j *job, now time.Time) int {
	waiting := j.waiting()
	if waiting == 0 || now.Before(j.backoffUntil) {
		return 0
	}
	if !j.probes() {
		return waiting
	}
	if c.completed(j, now) {
		j.trust()
		return waiting
	}
	return max(0, min(waiting, 1-j.live))
}

// suspectByRecords is what a new leader can tell of a job from its records alone: if nothing of
// it is done, and yet it has been tried as often as it has tasks, and twice at least, it may be
// mistaken. It is tried with one task then; if others were to blame, that costs little.
func (j *job) suspectByRecords() {
	if j.rec.Spec.Kind != wire.JobArray || j.done > 0 {
		return
	}
	attempts := -j.live
	for _, p := range j.placements {
		attempts += int(p.next) - 1
	}
	if attempts >= max(2, j.rec.Spec.TaskCount) {
		j.suspect = true
	}
}
