package controller

import (
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// applyJobEvent applies a change of a job's record. It is the listener of the job cache, and is also
// called for records that the controller has read itself. Events may be late, repeated or out of
// order: only an event with a newer mod revision changes a job. An entry without a job means that
// the record no longer exists.
func (c *Controller) applyJobEvent(uid string, e watchcache.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyJobEventLocked(uid, e)
}

// applyJobRecord applies a job's record that has just been read from the state store.
func (c *Controller) applyJobRecord(uid string, item wire.KeyValue) {
	var record records.Job
	if err := wire.Decode(item.Value, &record); err != nil {
		slog.Error("job record cannot be decoded", "uid", uid, "err", err)
		return
	}
	c.applyJobEvent(uid, watchcache.Entry{Job: &record, ModRevision: item.ModRevision})
}

// applyJobEventLocked does the work of applyJobEvent. c.mu is held.
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

// addJob adds a job that this leader did not know yet. c.mu is held.
func (c *Controller) addJob(j *job, now time.Time) {
	c.jobs.add(j)
	spec := &j.record.Spec
	slog.Info("job added", "uid", j.uid, "class", spec.JobClass, "tasks", spec.TaskCount, "gpus", spec.Gpus,
		"image", spec.Image, "status", string(j.record.Status))
	c.addToGraph(j, now)
}

// updateJob applies a newer record of a job. c.mu is held.
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

// dropJob removes a job that is archived. c.mu is held.
func (c *Controller) dropJob(j *job, now time.Time) {
	c.markMachinesChanged(j)
	c.jobs.remove(j)
	c.views.markJob(j.uid)
	c.markArchived(j.uid)
	j.eachAttempt(func(a *fleet.Attempt) { c.stopAttempt(a, 0, now, "job is archived") })
	c.acknowledgeEnds(j, now)
}

// acknowledgeEnds allows the ends of a job's attempts to be acknowledged to workers without a placement
// record: the job's own record shows that the job is over, so none of its tasks is started again.
// c.mu is held.
func (c *Controller) acknowledgeEnds(j *job, now time.Time) {
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

// AttemptChanged updates an attempt's job after a change of the attempt's state. The fleet calls it
// for every change, with c.mu held.
func (c *Controller) AttemptChanged(a *fleet.Attempt, from fleet.AttemptState, reason string) {
	logAttemptChange(a, from, reason)
	if a.State == fleet.Committed {
		c.endAnswerWait(a.Machine)
	}
	c.views.markJob(a.JobUID)
	if a.State == fleet.Running {
		c.views.markMachine(a.Machine.ID) // the machine has the image now
	}
	j := c.jobs.get(a.JobUID)
	if j == nil {
		if a.State == fleet.Ended {
			c.fleet.MarkEndRecorded(a, c.now()) // the attempt's job is archived: there is nothing to record
		}
		return
	}
	j.hasRun = j.hasRun || a.State == fleet.Running
	c.jobs.markCountsChanged(j)
	p := j.placement(a.TaskIndex)
	if from < fleet.Ended && !a.Live() && p.live[a.TaskIndex] == a {
		j.removeAttempt(p, a)
		if j.liveAttempts == 0 {
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

// endRecordDelay returns how long the end of an attempt may stay unrecorded, so that one write covers
// several ends of the same placement. Until it is recorded, the worker keeps reporting the task as
// ended, and a new leader would learn of the end from that report. When each end was written
// immediately, ends used more of the state store's write budget than all launches.
func (c *Controller) endRecordDelay() time.Duration { return 2 * c.Config.HeartbeatInterval() }

// applyAttemptEnd applies the end of an attempt to its job. c.mu is held.
func (c *Controller) applyAttemptEnd(j *job, p *placement, a *fleet.Attempt) {
	now := c.now()
	switch a.EndCause {
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
		// No task of a job with a final status is launched again, so the worker may forget the
		// attempt before its end is recorded.
		c.fleet.MarkEndRecorded(a, now)
		return
	}
	p.ended = append(p.ended, a)
}
