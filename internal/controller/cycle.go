package controller

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/wire"
)

// cycleRequests holds the requests of a scheduling cycle to other systems. They are sent after the
// lock is released.
type cycleRequests struct {
	provision []wire.ProvisionRequest
	failover  *records.Failover // to be stored; set only by the first cycle that could place tasks
}

// runCycles runs a scheduling cycle every interval until ctx ends, and sends its requests.
func (c *Controller) runCycles(ctx context.Context) {
	var provisioning sync.WaitGroup
	defer provisioning.Wait()
	for {
		interval := time.Duration(c.Settings().IntervalS * float64(time.Second))
		c.expectCycle(interval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.untilNext(interval)):
		case <-c.placementWake:
			// There are tasks to place. The cycle starts after an eighth of an interval instead
			// of at its end, so that one cycle places tasks that arrive at about the same time.
			if !timeralign.Sleep(ctx, interval/8) {
				return
			}
		}
		requests := c.runCycle(interval)
		if requests.failover != nil {
			// Nothing waits for this write. It has its own timeout and may continue after the term
			// has ended.
			go c.storeFailoverRecord(context.WithoutCancel(ctx), *requests.failover)
		}
		for _, request := range requests.provision {
			provisioning.Go(func() { c.provisionMachines(ctx, request) })
		}
	}
}

// runCycle runs one scheduling cycle: it detects failures, plans placements and preemptions for
// the jobs of the window, applies the plan, and scales out and in. A cycle that overruns its
// interval applies nothing and halves the window. Until the catalog has been read, a cycle only
// detects failures.
func (c *Controller) runCycle(interval time.Duration) cycleRequests {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.detectFailures(interval, now)
	if c.catalog == nil {
		return cycleRequests{}
	}
	c.lastCycleAt = now
	s := c.newSnapshot(now, interval)
	plan := sched.Run(s.in)
	status := wire.CycleStatus{
		Waiting:   len(s.in.Jobs),
		Objective: plan.Objective,
		Reserved:  plan.ReservedFor,
		Short:     len(plan.Shortfalls),
	}
	took := c.now().Sub(now)
	status.TookMs = float64(took.Microseconds()) / 1000
	c.Observer.CycleFinished(took)
	status.Overrun = took > interval
	c.adjustWindow(took, interval)
	if status.Overrun {
		// As in the paper that docs/design.md names, a cycle that overran starts nothing and halves the window.
		c.lastCycle = status
		slog.Warn("scheduling cycle overran its interval", "term", c.term, "took", took.String(), "window", c.window)
		return cycleRequests{}
	}
	status.Started = c.launch(plan.Placements, &s, now)
	status.Stopped = len(plan.Preemptions)
	c.preempt(plan.Preemptions, &s, now)
	c.lastCycle = status
	requests := cycleRequests{failover: c.finishFailover(c.now())}
	c.stopIdleViewTracking(now)
	if status.Waiting > 0 {
		slog.Info("scheduling cycle finished", "term", c.term, "window", plan.JobsConsidered,
			"waiting", status.Waiting, "started", status.Started, "stopped", status.Stopped, "short", status.Short,
			"objective", math.Round(plan.Objective*100)/100, "reserved", plan.ReservedFor, "ms", status.TookMs)
	}
	requests.provision = c.scale(&s, plan, now)
	return requests
}

// detectFailures marks machines as suspected and releases those that are declared dead. If more than
// two intervals have passed since the last cycle, this process was paused: the leader then does not
// know which machines sent heartbeats during the pause, and restarts all timeouts. c.mu is held.
func (c *Controller) detectFailures(interval time.Duration, now time.Time) {
	sinceLast := now.Sub(c.lastCycleAt)
	if !c.lastCycleAt.IsZero() && sinceLast > max(interval, c.Config.HeartbeatInterval())*2 {
		slog.Warn("scheduling was paused, restarting all failure timeouts", "term", c.term, "for", sinceLast.String())
		c.detector.Reset(c.fleet, now)
	}
	c.pauseDetectionWhileStale(now)
	c.recordRenewalsByPeers(now)
	c.fleet.MarkSuspected(now)
	c.releaseDead(now)
	c.reviseUnconfirmedCounts(now)
}

// adjustWindow sets the number of jobs that the next cycle plans. It halves the number after an
// overrun and doubles it after a cycle that took less than half of its interval, up to the
// operators' setting. c.mu is held.
func (c *Controller) adjustWindow(took, interval time.Duration) {
	maxWindow := c.Settings().Window
	switch {
	case took > interval:
		c.window = max(1, min(c.window, maxWindow)/2)
		return
	case took < interval/2:
		c.window = min(maxWindow, c.window*2)
	}
	c.window = min(c.window, maxWindow)
}

// preempt stops the victims of a plan. A victim that saves checkpoints gets the time to save one
// if the preempting job can wait for that and still start in time. c.mu is held.
func (c *Controller) preempt(preemptions []sched.Preemption, s *snapshot, now time.Time) {
	for _, p := range preemptions {
		a := s.victim(p)
		if a == nil {
			continue
		}
		spec := &c.jobs.get(a.JobUID).record.Spec
		gracePeriodS := 0.0
		if spec.CheckpointIntervalS > 0 && spec.CheckpointOnStopS < p.StartSlackS {
			gracePeriodS = spec.CheckpointOnStopS + c.Config.Cluster.Workers.ReportS
		}
		slog.Info("task preempted", "task", a.TaskName(), "host", a.Machine.ID)
		c.stopAttempt(a, gracePeriodS, now, "preempted")
	}
}
