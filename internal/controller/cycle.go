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

// cycleRequests is what a scheduling cycle asks other systems for, once the lock is given up.
type cycleRequests struct {
	provision []wire.ProvisionRequest
	failover  *records.Takeover // to be stored, after the first cycle that could place tasks
}

// runCycles runs a scheduling cycle every interval until ctx ends, and sends what it asks for.
func (c *Controller) runCycles(ctx context.Context) {
	var provisioning sync.WaitGroup
	defer provisioning.Wait()
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
		requests := c.runCycle(interval)
		if requests.failover != nil {
			// Nobody waits for it: it ends by its own time limit, also after the term.
			go c.storeFailoverRecord(context.WithoutCancel(ctx), *requests.failover)
		}
		for _, request := range requests.provision {
			provisioning.Go(func() { c.provisionMachines(ctx, request) })
		}
	}
}

// runCycle judges who is alive, decides over the window of jobs and applies what it decides.
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
	status := wire.RoundStatus{
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
		// As in the paper: an overrun starts nothing and halves the window.
		c.lastCycle = status
		slog.Warn("scheduling cycle overran its interval", "term", c.term, "took", took.String(), "window", c.window)
		return cycleRequests{}
	}
	status.Started = c.launch(plan.Placements, s, now)
	status.Stopped = len(plan.Preemptions)
	c.preempt(plan.Preemptions, s, now)
	c.lastCycle = status
	requests := cycleRequests{failover: c.finishFailover(c.now())}
	c.stopIdleViewTracking(now)
	if status.Waiting > 0 {
		slog.Info("scheduling cycle finished", "term", c.term, "window", plan.JobsConsidered,
			"waiting", status.Waiting, "started", status.Started, "stopped", status.Stopped, "short", status.Short,
			"objective", math.Round(plan.Objective*100)/100, "reserved", plan.ReservedFor, "ms", status.TookMs)
	}
	requests.provision = c.scale(s, plan, now)
	return requests
}

// detectFailures judges which machines are suspected or dead. A cycle that comes late shows that
// this process was paused: it then does not know who sent heartbeats meanwhile.
func (c *Controller) detectFailures(interval time.Duration, now time.Time) {
	sinceLast := now.Sub(c.lastCycleAt)
	if !c.lastCycleAt.IsZero() && sinceLast > max(interval, c.Config.HeartbeatInterval())*2 {
		slog.Warn("scheduling was paused", "term", c.term, "for", sinceLast.String())
		c.detector.Reset(c.fleet, now)
	}
	c.pauseDetectionWhileStale(now)
	c.renewFromPeers(now)
	c.fleet.MarkSuspected(now)
	c.releaseDead(now)
}

// adjustWindow sets how many jobs the next cycle looks at: half as many after an overrun, twice
// as many after a cycle that took less than half of its interval.
func (c *Controller) adjustWindow(took, interval time.Duration) {
	largest := c.Settings().Window
	switch {
	case took > interval:
		c.window = max(1, min(c.window, largest)/2)
		return
	case took < interval/2:
		c.window = min(largest, c.window*2)
	}
	c.window = min(c.window, largest)
}

// preempt stops the victims of a plan. Those that save checkpoints may do so if what preempts
// them can wait for that.
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
