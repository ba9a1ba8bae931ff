package controller

import (
	"context"
	"log/slog"
	"math"
	"time"

	"lotusstile.dev/lotusstile/internal/jobdag"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/wire"
)

// runTimeFactor is the factor by which a task is assumed to run longer than its owner expects. It
// applies when the time left until a deadline is computed.
const runTimeFactor = 1.5

// addToGraph adds a job that this leader did not know yet to the dependency graph. A job is ready
// only on positive evidence that the end of each job that it depends on is committed: the leader has
// read the record that says so, has committed it itself, or has read the final status. An unknown
// job is no such evidence, since it may have been cancelled. c.mu is held.
func (c *Controller) addToGraph(j *job, now time.Time) {
	spec := &j.record.Spec
	vertex := jobdag.Job{
		Dependencies:  spec.Dependencies,
		Level:         j.level,
		DueMs:         math.Inf(1),
		ExpectedRunMs: c.expectedDelayMs(spec),
	}
	if spec.DeadlineS != nil {
		vertex.DueMs = float64(j.record.AcceptedAtMs) + *spec.DeadlineS*1000
	}
	effects := c.jobs.graph.Add(j.uid, vertex)
	j.level, j.dueMs = c.jobs.graph.Urgency(j.uid)
	c.applyEffects(effects, now)
	if j.record.Status.Final() {
		c.markFinished(j.uid, j.record.Status, now)
	}
	if c.jobs.graph.Ready(j.uid) {
		c.markReady(j, now)
	}
}

// expectedDelayMs returns how long a job is expected to delay the jobs that depend on it, in
// milliseconds: its run time, plus a heartbeat interval each for its start and its end.
func (c *Controller) expectedDelayMs(spec *wire.JobSpec) float64 {
	return 1000 * (runTimeFactor*spec.ExpectedRunS + 2*c.Config.Cluster.Workers.ReportS)
}

// markFinished records that the final status of a job is committed, and updates the jobs that depend
// on it. c.mu is held.
func (c *Controller) markFinished(uid string, status wire.JobStatus, now time.Time) {
	c.jobs.addFinalStatus(uid, status)
	c.Observer.JobFinished(uid, status)
	state := jobdag.Done
	if status == wire.JobAborted {
		state = jobdag.Cancelled
	}
	c.applyEffects(c.jobs.graph.Finish(uid, state), now)
}

// markArchived records in the graph that a job's record no longer exists. c.mu is held.
func (c *Controller) markArchived(uid string) {
	c.jobs.graph.Archive(uid)
	c.wakeResolver()
}

// wakeResolver wakes runResolver if the graph needs the final status of a job. c.mu is held.
func (c *Controller) wakeResolver() {
	if c.jobs.graph.HasUnresolved() {
		notify(c.resolveWake)
	}
}

// updateUrgency lets jobs inherit the priority and the due time of those that depend on them, as of all changes of the
// graph since the last call. Scheduling cycles call it once, and not each change: a listing with thousands of jobs would
// otherwise change the same jobs again and again. c.mu is held.
func (c *Controller) updateUrgency() {
	for _, uid := range c.jobs.graph.UpdateUrgency() {
		if j := c.jobs.get(uid); j != nil {
			j.level, j.dueMs = c.jobs.graph.Urgency(uid)
			c.markMachinesChanged(j)
		}
	}
}

// applyEffects updates the jobs that are affected by a change of the graph. c.mu is held.
func (c *Controller) applyEffects(effects jobdag.Effects, now time.Time) {
	for _, uid := range effects.Ready {
		if j := c.jobs.get(uid); j != nil {
			c.markReady(j, now)
		}
	}
	for _, uid := range effects.Cancelled {
		if j := c.jobs.get(uid); j != nil {
			slog.Info("job cancelled: a job that it depends on is cancelled", "uid", uid)
			j.cancelled = true
			c.wakeWriter()
		}
	}
	c.wakeResolver()
}

// markReady makes a job ready, so that its tasks may be placed: all jobs that it depends on are done. c.mu
// is held.
func (c *Controller) markReady(j *job, now time.Time) {
	if j.ready || j.record.Status.Final() {
		return
	}
	j.ready = true
	if len(j.record.Spec.Dependencies) > 0 {
		// The job's waiting time and the objectives of its class count from now; its deadline does not.
		j.readySinceMs = now.UnixMilli()
		j.waitingSince = now
		slog.Info("job ready: all jobs that it depends on are done", "uid", j.uid)
	}
	c.arrivals.Observe(&j.record.Spec, now)
	notify(c.placementWake)
}

// runResolver reads the final statuses of archived jobs that other jobs depend on, until ctx ends.
func (c *Controller) runResolver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.resolveWake:
		}
		for !c.resolveFinalStatuses(ctx) {
			if !timeralign.Sleep(ctx, c.untilNext(c.Config.HeartbeatInterval()/3)) {
				return
			}
		}
	}
}

// resolveFinalStatuses reads the final statuses that the graph needs. It returns false, and must be
// called again, if one of them could not be read or does not exist yet.
func (c *Controller) resolveFinalStatuses(ctx context.Context) bool {
	c.mu.Lock()
	uids := c.jobs.graph.Unresolved()
	c.mu.Unlock()
	complete := true
	for _, uid := range uids {
		item, found, err := c.Store.Get(ctx, records.FinalKey(uid))
		if err != nil || !found {
			slog.Debug("final status is not available", "uid", uid, "found", found, "err", err)
			complete = false
			continue
		}
		var record records.Final
		if err := wire.Decode(item.Value, &record); err != nil {
			slog.Error("final status cannot be decoded", "uid", uid, "err", err)
			continue
		}
		c.mu.Lock()
		c.markFinished(uid, record.Status, c.now())
		c.mu.Unlock()
	}
	return complete
}
