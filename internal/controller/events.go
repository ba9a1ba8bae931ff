package controller

import (
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// jobEvent takes a change of a job's record into the picture.
func (c *Controller) jobEvent(uid string, e watchcache.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takeJob(uid, e)
}

func (c *Controller) takeJob(uid string, e watchcache.Entry) {
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
		wasFinal := j.rec.Status.Final()
		j.rec, j.modRevision = e.Job, e.ModRevision
		if !wasFinal && e.Job.Status == wire.JobAborted {
			slog.Info("job withdrawn", "uid", uid)
			j.each(func(a *fleet.Attempt) { c.stop(a, 0, now, "withdrawn") })
			c.wakeWriter()
		}
		if !wasFinal && e.Job.Status.Final() {
			c.finished(uid, e.Job.Status, now)
		}
	}
}

// dropJob forgets a job that is archived.
func (c *Controller) dropJob(j *job, now time.Time) {
	c.touchJob(j)
	delete(c.jobs, j.uid)
	c.views.job(j.uid)
	c.archived(j.uid)
	j.each(func(a *fleet.Attempt) { c.stop(a, 0, now, "job is archived") })
	c.recordEnds(j, now)
}

// recordEnds lets workers reap all that has ended of a job which is over by its record.
func (c *Controller) recordEnds(j *job, now time.Time) {
	for _, p := range j.placements {
		for _, a := range p.ended {
			c.fleet.MarkEndRecorded(a, now)
		}
		p.ended = nil
	}
}

// AttemptChanged keeps the jobs in step with their attempts.
func (c *Controller) AttemptChanged(a *fleet.Attempt, from fleet.AttemptState, why string) {
	slog.Info("attempt", "leg", a.TaskName(), "try", a.Number, "host", a.Machine.ID, "from", from.String(), "to", a.State.String(), "why", why)
	if a.State == fleet.Committed {
		c.answerNow(a.Machine)
	}
	c.views.job(a.JobUID)
	if a.State == fleet.Running {
		c.views.machine(a.Machine.ID) // it has the image now
	}
	j := c.jobs[a.JobUID]
	if j == nil {
		if a.State == fleet.Ended {
			c.fleet.MarkEndRecorded(a, c.now()) // its job is archived: nothing to record
		}
		return
	}
	j.begun = j.begun || a.State == fleet.Running
	c.countsChanged(j)
	p := j.placement(a.TaskIndex)
	if from < fleet.Ended && !a.Live() && p.live[a.TaskIndex] == a {
		delete(p.live, a.TaskIndex)
		j.live--
		j.freed = append(j.freed, a.TaskIndex)
		if a.Cause != wire.CauseDone {
			j.failedAttempts++
		}
		if j.live == 0 {
			j.waitFrom = c.now()
		}
		p.touch(c.now().Add(c.endsWait()))
	}
	if a.State == fleet.Ended {
		c.ended(j, p, a)
	}
	if !a.Live() && c.over(j) {
		c.wakeWriter()
	}
}

// endsWait is how long the record of an end may wait for more of its piece.
// Until then the task is reported as ended, and a new leader would learn of it
// from there. Each end written at once took more of the state service's budget
// of changes than all launches.
func (c *Controller) endsWait() time.Duration { return 2 * c.Config.HeartbeatInterval() }

// ended takes the end of an attempt into its job.
func (c *Controller) ended(j *job, p *placement, a *fleet.Attempt) {
	now := c.now()
	i := a.TaskIndex % j.rec.Per
	switch a.Cause {
	case wire.CauseDone:
		if !p.done.DoneBit(i) {
			p.done.SetDone(i)
			j.done++
		}
		c.evidence.Completed(j.uid, a.Machine.ID)
		j.trust()
	case wire.CauseError:
		c.attributeFailure(j, a.Machine, now)
	case wire.CauseNoRoom, wire.CauseInUse, wire.CauseNoSuch:
		j.avoid[a.Machine.ID] = now
	}
	if j.rec.Status.Final() {
		// Nothing of a withdrawn job is ever launched again, so its end need
		// not be recorded before it is reaped.
		c.fleet.MarkEndRecorded(a, now)
		return
	}
	p.ended = append(p.ended, a)
}
