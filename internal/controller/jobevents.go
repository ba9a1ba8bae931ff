package controller

import (
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// applyJobEvent applies a change of a job's record.
func (c *Controller) applyJobEvent(uid string, e watchcache.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyJobEventLocked(uid, e)
}

// applyJobRecord applies a job's record as just read.
func (c *Controller) applyJobRecord(uid string, item wire.KeyValue) {
	var record records.Job
	if err := wire.Decode(item.Value, &record); err != nil {
		slog.Error("job record cannot be decoded", "uid", uid, "err", err)
		return
	}
	c.applyJobEvent(uid, watchcache.Entry{Job: &record, ModRevision: item.ModRevision})
}

// applyJobEventLocked is applyJobEvent with c.mu held.
func (c *Controller) applyJobEventLocked(uid string, e watchcache.Entry) {
	now := c.now()
	j := c.jobs.get(uid)
	switch {
	case e.Job == nil:
		if j != nil && e.ModRevision >= j.modRevision {
			c.dropJob(j, now)
		}
	case j == nil:
		c.addJob(newJob(uid, e, now), now)
	case e.ModRevision > j.modRevision:
		c.updateJob(j, e, now)
	}
}

// addJob adds a job that is new here.
func (c *Controller) addJob(j *job, now time.Time) {
	c.jobs.add(j)
	spec := &j.record.Spec
	slog.Info("job added", "uid", j.uid, "class", spec.JobClass, "tasks", spec.TaskCount, "gpus", spec.Gpus,
		"image", spec.Image, "status", string(j.record.Status))
	c.addToGraph(j, now)
}

// updateJob applies a newer record of a job.
func (c *Controller) updateJob(j *job, e watchcache.Entry, now time.Time) {
	wasFinal := j.record.Status.Final()
	j.record, j.modRevision = e.Job, e.ModRevision
	if wasFinal {
		return
	}
	if e.Job.Status == wire.JobAborted {
		slog.Info("job cancelled", "uid", j.uid)
		j.eachAttempt(func(a *fleet.Attempt) { c.stopAttempt(a, 0, now, "job is cancelled") })
		c.wakeWriter()
	}
	if e.Job.Status.Final() {
		c.markFinished(j.uid, e.Job.Status, now)
	}
}

// dropJob forgets a job that is archived.
func (c *Controller) dropJob(j *job, now time.Time) {
	c.markMachinesChanged(j)
	c.jobs.remove(j)
	c.views.markJob(j.uid)
	c.markArchived(j.uid)
	j.eachAttempt(func(a *fleet.Attempt) { c.stopAttempt(a, 0, now, "job is archived") })
	c.recordEnds(j, now)
}

// recordEnds lets workers forget the attempts of a job that have ended: the job is over by its own
// record, so their ends need none.
func (c *Controller) recordEnds(j *job, now time.Time) {
	for _, p := range j.placements {
		for _, a := range p.ended {
			c.fleet.MarkEndRecorded(a, now)
		}
		p.ended = nil
	}
}

// logAttemptChange logs a change of an attempt's state, or that the attempt was added.
func logAttemptChange(a *fleet.Attempt, from fleet.AttemptState, reason string) {
	if from == a.State {
		slog.Info("attempt added", "task", a.TaskName(), "attempt", a.Number, "host", a.Machine.ID,
			"state", a.State.String(), "reason", reason)
		return
	}
	slog.Info("attempt state changed", "task", a.TaskName(), "attempt", a.Number, "host", a.Machine.ID,
		"from", from.String(), "to", a.State.String(), "reason", reason)
}

// AttemptChanged updates the jobs by a change of an attempt's state. The fleet calls it for every
// change, with c.mu held.
func (c *Controller) AttemptChanged(a *fleet.Attempt, from fleet.AttemptState, reason string) {
	logAttemptChange(a, from, reason)
	if a.State == fleet.Committed {
		c.endAnswerWait(a.Machine)
	}
	c.views.markJob(a.JobUID)
	if a.State == fleet.Running {
		c.views.markMachine(a.Machine.ID) // it has the image now
	}
	j := c.jobs.get(a.JobUID)
	if j == nil {
		if a.State == fleet.Ended {
			c.fleet.MarkEndRecorded(a, c.now()) // its job is archived: there is nothing to record
		}
		return
	}
	j.hasRun = j.hasRun || a.State == fleet.Running
	c.jobs.markCountsChanged(j)
	p := j.placement(a.TaskIndex)
	if from < fleet.Ended && !a.Live() && p.live[a.TaskIndex] == a {
		j.removeAttempt(p, a)
		if j.live == 0 {
			j.waitingSince = c.now()
		}
		p.markChanged(c.now().Add(c.endRecordDelay()))
	}
	if a.State == fleet.Ended {
		c.applyAttemptEnd(j, p, a)
	}
	if !a.Live() && j.isOver() {
		c.wakeWriter()
	}
}

// endRecordDelay is how long the record of an end may wait for more ends of its placement.
// Until then the worker reports the task as ended, and a new leader would learn of it from
// there. Each end written at once took more of the state store's budget of changes than all
// launches.
func (c *Controller) endRecordDelay() time.Duration { return 2 * c.Config.HeartbeatInterval() }

// applyAttemptEnd applies the end of an attempt to its job.
func (c *Controller) applyAttemptEnd(j *job, p *placement, a *fleet.Attempt) {
	now := c.now()
	switch a.Cause {
	case wire.CauseDone:
		j.markDone(p, a.TaskIndex)
		c.faultEvidence.RecordSuccess(j.uid, a.Machine.ID)
		j.clearSuspicion()
	case wire.CauseError:
		c.attributeFailure(j, a.Machine, now)
	case wire.CauseNoRoom, wire.CauseInUse, wire.CauseNoSuch:
		j.failedOn[a.Machine.ID] = now
	}
	if j.record.Status.Final() {
		// Nothing of a cancelled job is ever launched again, so its end need not be recorded
		// before the worker may forget it.
		c.fleet.MarkEndRecorded(a, now)
		return
	}
	p.ended = append(p.ended, a)
}
