package controller

import (
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/autoscaler"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/standby"
)

// applyMachineHints applies what the earlier leader knew of machines and of the cloud beyond its
// records. It proves nothing: that a machine exists and may get launches is only known by its
// heartbeats in this term. c.mu is held.
func (c *Controller) applyMachineHints(p *standby.Proven, now time.Time) {
	if p == nil {
		return
	}
	for i := range p.Machines {
		c.applyMachineHint(&p.Machines[i], now)
	}
	for _, r := range p.Leader.Refusals {
		group := autoscaler.MachineGroup{Type: r.Type, Zone: r.Zone, Spot: r.Spot}
		c.refusals.Restore(group, autoscaler.Refusal{Until: fromUnixMilli(r.UntilMs), Pause: time.Duration(r.PauseMs) * time.Millisecond})
	}
	for _, a := range p.Leader.Arrivals {
		spec := a.Job
		c.arrivals.Restore(a.Class, autoscaler.ClassArrivals{
			Spec:         &spec,
			Level:        spec.Priority.Level(),
			Jobs:         a.Count,
			TasksSquared: a.TasksSquare,
			At:           fromUnixMilli(a.AtMs),
		})
	}
	if w := p.Leader.Window; w > 0 {
		c.window = min(w, c.Settings().Window)
	}
}

// applyMachineHint applies the earlier leader's view of a machine. It does nothing to one that has
// sent a heartbeat in this term. c.mu is held.
func (c *Controller) applyMachineHint(v *standby.MachineView, now time.Time) {
	m := c.fleet.GetOrAdd(v.Host, now)
	if m.State != fleet.Booting {
		return
	}
	m.Address, m.Type, m.Zone, m.Spot = v.Address, v.Type, v.Zone, v.Spot
	m.IncarnationHint, m.SpotNotice, m.AvoidUntil = v.Incarnation, v.SpotNotice, fromUnixMilli(v.AvoidMs)
	if firstSeen := fromUnixMilli(v.FirstSeenMs); !firstSeen.IsZero() && firstSeen.Before(m.FirstSeen) {
		m.FirstSeen = firstSeen
	}
	for _, image := range v.Images {
		m.Images[image] = now
	}
	c.fleet.MarkChanged(m)
	c.setCapacity(m)
}

// applyJobHints applies what the earlier leader knew of jobs beyond its records. c.mu is held.
func (c *Controller) applyJobHints(p *standby.Proven, now time.Time) {
	if p == nil {
		return
	}
	for i := range p.Jobs {
		c.applyJobHint(&p.Jobs[i], now)
	}
}

// applyJobHint applies the earlier leader's view of a job. It does nothing for a job that has no
// record. c.mu is held.
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
	if since := fromUnixMilli(v.WaitMs); !since.IsZero() && since.Before(j.waitingSince) {
		j.waitingSince = since
	}
	for _, t := range tasks {
		if t.Task >= j.record.Spec.TaskCount {
			continue
		}
		if a := j.attempt(t.Task); a != nil && a.Number == t.Attempt {
			a.RunningSince = time.Unix(min(t.SinceS, now.Unix()), 0)
			c.fleet.MarkChanged(a.Machine)
		}
	}
}
