package controller

import (
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// applyJobEvent takes a change of a job's record into the picture.
func (c *Controller) applyJobEvent(uid string, e watchcache.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyJobEventLocked(uid, e)
}

func (c *Controller) applyJobEventLocked(uid string, e watchcache.Entry) {
	now := c.now()
	j := c.jobs[uid]
	switch {
	case e.Job == nil:
		if j != nil && e.ModRevision >= j.modRevision {
			c.dropJob(j, now)
		}
	case j == nil:
		j = newJob(uid, e, now)
		c.jobs[uid] = j
		slog.Info("job", "uid", uid, "berth", e.Job.Spec.JobClass, "legs", e.Job.Spec.TaskCount, "gpus", e.Job.Spec.Gpus, "image", e.Job.Spec.Image, "status", string(e.Job.Status))
		c.addToGraph(j, now)
	case e.ModRevision > j.modRevision:
		wasFinal := j.record.Status.Final()
		j.record, j.modRevision = e.Job, e.ModRevision
		if !wasFinal && e.Job.Status == wire.JobAborted {
			slog.Info("job withdrawn", "uid", uid)
			j.eachAttempt(func(a *fleet.Attempt) { c.stopAttempt(a, 0, now, "withdrawn") })
			c.wakeWriter()
		}
		if !wasFinal && e.Job.Status.Final() {
			c.markFinished(uid, e.Job.Status, now)
		}
	}
}

// dropJob forgets a job that is archived.
func (c *Controller) dropJob(j *job, now time.Time) {
	c.markMachinesChanged(j)
	delete(c.jobs, j.uid)
	c.views.markJob(j.uid)
	c.markArchived(j.uid)
	j.eachAttempt(func(a *fleet.Attempt) { c.stopAttempt(a, 0, now, "job is archived") })
	c.recordEnds(j, now)
}

// recordEnds lets workers reap all that has ended of a job which is over by its record.
func (c *Controller) recordEnds(j *job, now time.Time) {
	for _, p := range j.placements {
		for _, a := range p.ended {
			c.fleet.Record(a, now)
		}
		p.ended = nil
	}
}

// AttemptChanged keeps the jobs in step with their attempts.
func (c *Controller) AttemptChanged(a *fleet.Attempt, from fleet.AttemptState, why string) {
	slog.Info("attempt", "leg", a.Name(), "try", a.Number, "host", a.Machine.ID, "from", from.String(), "to", a.State.String(), "why", why)
	if a.State == fleet.Committed {
		c.endAnswerWait(a.Machine)
	}
	c.views.markJob(a.UID)
	if a.State == fleet.Running {
		c.views.markMachine(a.Machine.ID) // it has the image now
	}
	j := c.jobs[a.UID]
	if j == nil {
		if a.State == fleet.Ended {
			c.fleet.Record(a, c.now()) // its job is archived: nothing to record
		}
		return
	}
	j.hasRun = j.hasRun || a.State == fleet.Running
	c.markCountsChanged(j)
	p := j.placement(a.Task)
	if from < fleet.Ended && !a.Live() && p.live[a.Task] == a {
		delete(p.live, a.Task)
		j.live--
		j.freedTasks = append(j.freedTasks, a.Task)
		if a.Cause != wire.CauseDone {
			j.failedAttempts++
		}
		if j.live == 0 {
			j.waitingSince = c.now()
		}
		p.markChanged(c.now().Add(c.endRecordDelay()))
	}
	if a.State == fleet.Ended {
		c.applyAttemptEnd(j, p, a)
	}
	if !a.Live() && c.isOver(j) {
		c.wakeWriter()
	}
}

// endRecordDelay is how long the record of an end may wait for more of its piece.
// Until then the task is reported as ended, and a new leader would learn of it
// from there. Each end written at once took more of the state service's budget
// of changes than all launches.
func (c *Controller) endRecordDelay() time.Duration { return 2 * c.Config.HeartbeatInterval() }

// applyAttemptEnd takes the end of an attempt into its job.
func (c *Controller) applyAttemptEnd(j *job, p *placement, a *fleet.Attempt) {
	now := c.now()
	i := a.Task % j.record.Per
	switch a.Cause {
	case wire.CauseDone:
		if !p.done.DoneBit(i) {
			p.done.SetDone(i)
			j.done++
		}
		c.evidence.RecordSuccess(j.uid, a.Machine.ID)
		j.clearSuspicion()
	case wire.CauseError:
		c.attributeFailure(j, a.Machine, now)
	case wire.CauseNoRoom, wire.CauseInUse, wire.CauseNoSuch:
		j.failedOn[a.Machine.ID] = now
	}
	if j.record.Status.Final() {
		// Nothing of a withdrawn job is ever launched again, so its end need
		// not be recorded before it is reaped.
		c.fleet.Record(a, now)
		return
	}
	p.ended = append(p.ended, a)
}
