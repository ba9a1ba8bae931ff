package controller

import (
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/autoscaler"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/standby"
)

// applyMachineHints applies what the earlier leader knew of machines and of the cloud beyond its records. Hints prove
// nothing: only a machine's heartbeat in this term shows that the machine exists and may get launches. c.mu is held.
func (c *Controller) applyMachineHints(proven *standby.ProvenCopy, now time.Time) {
	if proven == nil {
		return
	}
	for i := range proven.Machines {
		c.applyMachineHint(&proven.Machines[i], now)
	}
	for _, r := range proven.Leader.Refusals {
		group := autoscaler.MachineGroup{Type: r.Type, Zone: r.Zone, Spot: r.Spot}
		c.refusals.Restore(group, autoscaler.Refusal{Until: fromUnixMilli(r.UntilMs), Backoff: time.Duration(r.PauseMs) * time.Millisecond})
	}
	for _, arrival := range proven.Leader.Arrivals {
		spec := arrival.Job
		c.arrivals.Restore(arrival.Class, autoscaler.ClassArrivals{
			Spec:         &spec,
			Level:        spec.Priority.Level(),
			Jobs:         arrival.Count,
			TasksSquared: arrival.TasksSquare,
			At:           fromUnixMilli(arrival.AtMs),
		})
	}
	if w := proven.Leader.Window; w > 0 {
		c.window = min(w, c.Settings().Window)
	}
}

// applyMachineHint applies the earlier leader's view of a machine, unless the machine is being released or has sent a
// heartbeat in this term. c.mu is held.
func (c *Controller) applyMachineHint(view *standby.MachineView, now time.Time) {
	m := c.fleet.GetOrAdd(view.Host, now)
	if m.State != fleet.Booting {
		return
	}
	m.Address, m.Type, m.Zone, m.Spot = view.Address, view.Type, view.Zone, view.Spot
	m.IncarnationHint, m.SpotNotice, m.AvoidUntil = view.Incarnation, view.SpotNotice, fromUnixMilli(view.AvoidUntilMs)
	if firstSeen := fromUnixMilli(view.FirstSeenMs); !firstSeen.IsZero() && firstSeen.Before(m.FirstSeen) {
		m.FirstSeen = firstSeen
	}
	for _, image := range view.Images {
		m.Images[image] = now
	}
	c.fleet.MarkChanged(m)
	c.setCapacity(m)
}

// applyJobHints applies what the earlier leader knew of jobs beyond its records. c.mu is held.
func (c *Controller) applyJobHints(proven *standby.ProvenCopy, now time.Time) {
	if proven == nil {
		return
	}
	for i := range proven.Jobs {
		c.applyJobHint(&proven.Jobs[i], now)
	}
}

// applyJobHint applies the earlier leader's view of a job. It does nothing for a job that has no record. c.mu is held.
func (c *Controller) applyJobHint(v *standby.JobView, now time.Time) {
	j := c.jobs.get(v.UID)
	if j == nil {
		return
	}
	tasks, err := v.RunningTasks()
	if err != nil {
		slog.Warn("running tasks in a view cannot be decoded", "uid", v.UID, "err", err)
		return
	}
	j.hasRun, j.backoffs, j.backoffUntil = j.hasRun || v.HasRun, max(j.backoffs, v.BackoffCount), fromUnixMilli(v.NotBeforeMs)
	j.suspect = j.suspect || j.backoffs > 0
	if since := fromUnixMilli(v.WaitingSinceMs); !since.IsZero() && since.Before(j.waitingSince) {
		j.waitingSince = since
	}
	for _, task := range tasks {
		if task.Task >= j.record.Spec.TaskCount {
			continue
		}
		if a := j.attempt(task.Task); a != nil && a.Number == task.Attempt {
			a.RunningSince = time.Unix(min(task.StartedS, now.Unix()), 0)
			c.fleet.MarkChanged(a.Machine)
		}
	}
}
