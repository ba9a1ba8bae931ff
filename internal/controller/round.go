package controller

import (
	"context"
	"log/slog"
	"math"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/wire"
)

// runRounds runs a round every interval.
func (c *Controller) runRounds(ctx context.Context) {
	for {
		interval := time.Duration(c.Settings().IntervalS * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.untilNext(interval)):
		case <-c.placementWake:
			// A job came: it need not wait for the interval to pass, only long
			// enough for others that come with it.
			if !timeralign.Sleep(ctx, interval/8) {
				return
			}
		}
		for _, r := range c.runRound(interval) {
			go c.provisionMachines(ctx, r)
		}
	}
}

// runRound looks over the window once. It returns the rentals to ask for.
func (c *Controller) runRound(interval time.Duration) []wire.ProvisionRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if !c.lastRoundAt.IsZero() && now.Sub(c.lastRoundAt) > max(interval, c.Config.HeartbeatInterval())*2 {
		slog.Warn("stood still", "term", c.term, "for", now.Sub(c.lastRoundAt).String())
		c.detector.Reset(c.fleet, now)
	}
	c.pauseDetectionWhileStale(now)
	c.renewFromPeers(now)
	c.fleet.MarkSuspected(now)
	c.releaseDead(now)
	if c.catalog == nil {
		return nil
	}
	c.lastRoundAt = now
	p := c.snapshot(now, interval)
	plan := sched.Run(p.in)
	info := wire.RoundStatus{Waiting: len(p.in.Jobs), Objective: plan.Objective, Reserved: plan.ReservedFor, Short: len(plan.Shortfalls)}
	took := c.now().Sub(now)
	info.TookMs = float64(took.Microseconds()) / 1000
	c.Observer.CycleFinished(took)
	most := c.Settings().Window
	switch {
	case took > interval:
		// As in the paper: an overrun starts nothing and halves the window.
		info.Overrun = true
		c.window = max(1, min(c.window, most)/2)
		c.lastRound = info
		slog.Warn("round overran", "term", c.term, "took", took.String(), "window", c.window)
		return nil
	case took < interval/2:
		c.window = min(most, c.window*2)
	}
	c.window = min(c.window, most)
	info.Started = c.planLaunches(plan, p, now)
	info.Stopped = len(plan.Preemptions)
	for _, s := range plan.Preemptions {
		a := p.victim(s)
		if a == nil {
			continue
		}
		gracePeriod := 0.0
		if v := c.jobs.get(a.JobUID).record.Spec; v.CheckpointIntervalS > 0 && v.CheckpointOnStopS < s.StartSlackS {
			gracePeriod = v.CheckpointOnStopS + c.Config.Cluster.Workers.ReportS
		}
		slog.Info("preempted", "leg", a.TaskName(), "host", a.Machine.ID)
		c.stopAttempt(a, gracePeriod, now, "preempted")
	}
	c.lastRound = info
	c.reportFailover(c.now())
	c.stopIdleViewTracking(now)
	if info.Waiting > 0 {
		slog.Info("round", "term", c.term, "window", plan.JobsConsidered, "waiting", info.Waiting, "started", info.Started,
			"stopped", info.Stopped, "short", info.Short, "objective", math.Round(plan.Objective*100)/100, "reserved", plan.ReservedFor, "ms", info.TookMs)
	}
	return c.scale(p, plan, now)
}

// maxTasksPerMachine is how many tasks a machine may have: a hundred bytes each is what a
// report takes for one.
const maxTasksPerMachine = wire.MaxBody / 100

// reportableTasks is how many tasks of a place its machine can report beside those that it
// has, ended ones that it has not been told to reap included: a worker whose report does not
// fit a body is answered by nobody, and its lease ends with all its tasks. Of an array as many start
// as fit; a gang starts whole or not at all.
func reportableTasks(m *fleet.Machine, place sched.Placement) int {
	room := max(0, maxTasksPerMachine-m.AttemptCount())
	if place.Job.Spec.Kind == wire.Gang && place.Count > room {
		return 0
	}
	return min(place.Count, room)
}

// planLaunches turns the places of a plan into planned attempts, within the write
// budget; what overflows waits for a later round. Only what is going to be
// written counts against it: pieces of withdrawn jobs are not written again, and
// those called off at the end of an outage kept 400 other jobs waiting, with nothing
// placed for 12 s. What a piece that is to be written anyway takes on costs nothing.
func (c *Controller) planLaunches(plan *sched.Plan, snapshot *snapshot, now time.Time) int {
	budget := max(1, int(c.Config.StateLimits().WriteRps))
	for _, j := range c.jobs.byUID {
		if j.dirtyPlacements == 0 || j.record.Status.Final() {
			continue
		}
		for _, p := range j.placements {
			if p.dirty && !p.due.After(now) {
				budget--
			}
		}
	}
	started := 0
	for _, pl := range plan.Placements {
		j := c.jobs.get(pl.Job.Spec.UID)
		m := snapshot.machine(pl.Node)
		if m == nil || budget <= 0 && !j.hasDuePlacement(now) {
			continue
		}
		for _, task := range j.nextWaitingTasks(reportableTasks(m, pl)) {
			p := j.placement(task)
			if !p.hasRoom(task, m, c.maxPlacementBytes()) {
				j.freedTasks = append(j.freedTasks, task)
				continue // until others of its piece have ended
			}
			if !p.dirty || p.due.After(now) {
				budget--
			}
			a := &fleet.Attempt{JobUID: j.uid, TaskIndex: task, Number: p.nextAttempt, Resources: j.need, Image: j.record.Spec.Image}
			if j.record.Spec.Kind == wire.Gang {
				a.Number = j.gangAttempt()
			}
			p.nextAttempt = max(p.nextAttempt, a.Number+1)
			j.addAttempt(p, a)
			p.markChanged(now)
			c.fleet.AddAttempt(m, a, now)
			started++
		}
	}
	if started > 0 {
		c.wakeWriter()
	}
	return started
}
