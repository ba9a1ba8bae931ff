package controller

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/autoscaler"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/standby"
)

// changedViews notes of which machines and jobs the standby's views are out of date. While no
// standby asks, nothing is noted.
type changedViews struct {
	enabled     bool
	collectedAt time.Time // when they were last taken
	machines    map[string]bool
	jobs        map[string]bool
}

// trackedLeaderLeases is for how many of the hold's times changes are noted after a standby has asked.
const trackedLeaderLeases = 4

func (v *changedViews) markMachine(host string) {
	if v.enabled {
		v.machines[host] = true
	}
}

func (v *changedViews) markJob(uid string) {
	if v.enabled {
		v.jobs[uid] = true
	}
}

// DrainChangedViews returns views that have changed since they were last taken: see
// standby.Views.
func (c *Controller) DrainChangedViews(most int) (entries []*standby.Entry, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if !c.views.enabled || now.Sub(c.views.collectedAt) > trackedLeaderLeases*c.Config.LeaderLeaseTTL() {
		c.trackAllViews()
	}
	c.views.collectedAt = now
	add := func(e *standby.Entry, err error) {
		if err != nil {
			slog.Error("view not made", "err", err)
			return
		}
		entries = append(entries, e)
	}
	for host := range c.views.machines {
		if len(entries) >= most {
			return entries, true
		}
		delete(c.views.machines, host)
		add(c.machineEntry(host))
	}
	for uid := range c.views.jobs {
		if len(entries) >= most {
			return entries, true
		}
		delete(c.views.jobs, uid)
		add(c.jobEntry(uid))
	}
	add(c.leaderView().Entry())
	return entries, false
}

// trackAllViews begins to note changes, with everything. c.mu is held.
func (c *Controller) trackAllViews() {
	c.views = changedViews{enabled: true, machines: map[string]bool{}, jobs: map[string]bool{}}
	c.fleet.Each(func(m *fleet.Machine) { c.views.machines[m.ID] = true })
	for uid := range c.jobs.byUID {
		c.views.jobs[uid] = true
	}
}

// stopIdleViewTracking ends the noting of changes once no standby has asked for a while. c.mu is
// held.
func (c *Controller) stopIdleViewTracking(now time.Time) {
	if c.views.enabled && now.Sub(c.views.collectedAt) > trackedLeaderLeases*c.Config.LeaderLeaseTTL() {
		c.views = changedViews{}
	}
}

func unixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromUnixMilli(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

func (c *Controller) machineEntry(host string) (*standby.Entry, error) {
	m := c.fleet.Get(host)
	if m == nil || m.State == fleet.Gone {
		return standby.DroppedMachineView(host), nil
	}
	v := standby.MachineView{Host: host, Address: m.Address, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Incarnation: m.Incarnation,
		FirstSeenMs: unixMilli(m.FirstSeen), AvoidMs: unixMilli(m.AvoidUntil), SpotNotice: m.SpotNotice,
		Images: slices.Sorted(maps.Keys(m.Images))}
	if m.State == fleet.Ready {
		v.FencingToken = c.term
	}
	return v.Entry()
}

func (c *Controller) jobEntry(uid string) (*standby.Entry, error) {
	j := c.jobs.get(uid)
	if j == nil {
		return standby.DroppedJobView(uid), nil
	}
	v := standby.JobView{UID: uid, HasRun: j.hasRun, BackoffCount: j.backoffs, NotBeforeMs: unixMilli(j.backoffUntil), WaitMs: unixMilli(j.waitingSince)}
	var running []standby.RunningTask
	j.eachAttempt(func(a *fleet.Attempt) {
		if !a.RunningSince.IsZero() {
			running = append(running, standby.RunningTask{Task: a.TaskIndex, Attempt: a.Number, SinceS: a.RunningSince.Unix()})
		}
	})
	slices.SortFunc(running, func(a, b standby.RunningTask) int { return cmp.Compare(a.Task, b.Task) })
	if err := v.SetRunning(running); err != nil {
		return nil, err
	}
	return v.Entry()
}

func (c *Controller) leaderView() *standby.LeaderView {
	v := &standby.LeaderView{Window: c.window}
	c.refusals.Each(func(g autoscaler.MachineGroup, r autoscaler.Refusal) {
		v.Refusals = append(v.Refusals, standby.Refusal{
			Type:    g.Type,
			Zone:    g.Zone,
			Spot:    g.Spot,
			UntilMs: unixMilli(r.Until),
			PauseMs: r.Pause.Milliseconds(),
		})
	})
	c.arrivals.Each(func(class string, a *autoscaler.ClassArrivals) {
		v.Arrivals = append(v.Arrivals, standby.Arrival{
			Class:       class,
			Job:         *a.Spec,
			Count:       a.Jobs,
			TasksSquare: a.TasksSquared,
			AtMs:        unixMilli(a.At),
		})
	})
	return v
}

// applyMachineHints takes what the leader before knew of machines. Nothing of it says that a
// machine is there, reports, or may be launched on: only its reports in this term do. c.mu
// is held.
func (c *Controller) applyMachineHints(p *standby.Proven, now time.Time) {
	if p == nil {
		return
	}
	for i := range p.Machines {
		v := &p.Machines[i]
		m := c.fleet.GetOrAdd(v.Host, now)
		if m.State != fleet.Booting {
			continue
		}
		m.Address, m.Type, m.Zone, m.Spot = v.Address, v.Type, v.Zone, v.Spot
		m.IncarnationHint, m.SpotNotice, m.AvoidUntil = v.Incarnation, v.SpotNotice, fromUnixMilli(v.AvoidMs)
		if born := fromUnixMilli(v.FirstSeenMs); !born.IsZero() && born.Before(m.FirstSeen) {
			m.FirstSeen = born
		}
		for _, image := range v.Images {
			m.Images[image] = now
		}
		c.fleet.MarkChanged(m)
		c.setCapacity(m)
	}
	for _, r := range p.Leader.Refusals {
		group := autoscaler.MachineGroup{Type: r.Type, Zone: r.Zone, Spot: r.Spot}
		c.refusals.Restore(group, autoscaler.Refusal{Until: fromUnixMilli(r.UntilMs), Pause: time.Duration(r.PauseMs) * time.Millisecond})
	}
	for _, a := range p.Leader.Arrivals {
		job := a.Job
		c.arrivals.Restore(a.Class, autoscaler.ClassArrivals{
			Spec:         &job,
			Level:        job.Priority.Level(),
			Jobs:         a.Count,
			TasksSquared: a.TasksSquare,
			At:           fromUnixMilli(a.AtMs),
		})
	}
	if w := p.Leader.Window; w > 0 {
		c.window = min(w, c.Settings().Window)
	}
}

// applyJobHints takes what the leader before knew of jobs. c.mu is held.
func (c *Controller) applyJobHints(p *standby.Proven, now time.Time) {
	if p == nil {
		return
	}
	for i := range p.Jobs {
		v := &p.Jobs[i]
		j := c.jobs.get(v.UID)
		if j == nil {
			continue
		}
		tasks, err := v.RunningTasks()
		if err != nil {
			slog.Warn("running tasks are not known", "err", err)
			continue
		}
		j.hasRun, j.backoffs, j.backoffUntil = j.hasRun || v.HasRun, max(j.backoffs, v.BackoffCount), fromUnixMilli(v.NotBeforeMs)
		j.suspect = j.suspect || j.backoffs > 0
		if from := fromUnixMilli(v.WaitMs); !from.IsZero() && from.Before(j.waitingSince) {
			j.waitingSince = from
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
}
