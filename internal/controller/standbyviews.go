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

// changedViews tracks the machines and jobs whose views at the warm standby are out of date. It tracks nothing while no
// warm standby asks for views.
type changedViews struct {
	enabled   bool
	drainedAt time.Time // when a warm standby last asked for views
	machines  map[string]bool
	jobs      map[string]bool
}

// viewTrackingLeases is the number of leader leases for which changes are tracked after a warm standby has last asked
// for views.
const viewTrackingLeases = 4

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

// isIdle reports whether no warm standby has asked for views for longer than limit.
func (v *changedViews) isIdle(now time.Time, limit time.Duration) bool {
	return now.Sub(v.drainedAt) > limit
}

// DrainChangedViews returns the views of machines and jobs that have changed since they were last returned, up to limit
// of them, and whether there are more. If there are no more, the leader's own view is added at the end. See
// standby.Views. It locks the controller itself.
func (c *Controller) DrainChangedViews(limit int) (entries []*standby.Entry, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if !c.views.enabled || c.views.isIdle(now, c.viewTrackingTime()) {
		c.trackAllViews()
	}
	c.views.drainedAt = now
	add := func(e *standby.Entry, err error) {
		if err != nil {
			slog.Error("view cannot be encoded", "err", err)
			return
		}
		entries = append(entries, e)
	}
	for host := range c.views.machines {
		if len(entries) >= limit {
			return entries, true
		}
		delete(c.views.machines, host)
		add(c.machineEntry(host))
	}
	for uid := range c.views.jobs {
		if len(entries) >= limit {
			return entries, true
		}
		delete(c.views.jobs, uid)
		add(c.jobEntry(uid))
	}
	add(c.leaderView().Entry())
	return entries, false
}

// viewTrackingTime returns how long changes are tracked after a warm standby has last asked for views.
func (c *Controller) viewTrackingTime() time.Duration {
	return viewTrackingLeases * c.Config.LeaderLeaseTTL()
}

// trackAllViews begins to track changes and marks all machines and jobs as changed. c.mu is held.
func (c *Controller) trackAllViews() {
	c.views = changedViews{enabled: true, machines: map[string]bool{}, jobs: map[string]bool{}}
	c.fleet.Each(func(m *fleet.Machine) { c.views.machines[m.ID] = true })
	for uid := range c.jobs.byUID {
		c.views.jobs[uid] = true
	}
}

// stopIdleViewTracking ends the tracking of changes if no warm standby has asked for views for viewTrackingTime. c.mu is
// held.
func (c *Controller) stopIdleViewTracking(now time.Time) {
	if c.views.enabled && c.views.isIdle(now, c.viewTrackingTime()) {
		c.views = changedViews{}
	}
}

// unixMilli returns a time in Unix milliseconds, and 0 for the zero time.
func unixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// fromUnixMilli is the reverse of unixMilli.
func fromUnixMilli(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// machineEntry encodes the view of a machine, or the removal of the view if the machine is gone. c.mu is held.
func (c *Controller) machineEntry(host string) (*standby.Entry, error) {
	m := c.fleet.Get(host)
	if m == nil || m.State == fleet.Gone {
		return standby.DroppedMachineView(host), nil
	}
	v := standby.MachineView{
		Host:         host,
		Address:      m.Address,
		Type:         m.Type,
		Zone:         m.Zone,
		Spot:         m.Spot,
		Incarnation:  m.Incarnation,
		FirstSeenMs:  unixMilli(m.FirstSeen),
		AvoidUntilMs: unixMilli(m.AvoidUntil),
		SpotNotice:   m.SpotNotice,
		Images:       slices.Sorted(maps.Keys(m.Images)),
	}
	if m.State == fleet.Ready {
		v.FencingToken = c.term
	}
	return v.Entry()
}

// jobEntry encodes the view of a job, or the removal of the view if the job no longer exists. c.mu is held.
func (c *Controller) jobEntry(uid string) (*standby.Entry, error) {
	j := c.jobs.get(uid)
	if j == nil {
		return standby.DroppedJobView(uid), nil
	}
	v := standby.JobView{
		UID:            uid,
		HasRun:         j.hasRun,
		BackoffCount:   j.backoffs,
		NotBeforeMs:    unixMilli(j.backoffUntil),
		WaitingSinceMs: unixMilli(j.waitingSince),
	}
	var running []standby.RunningTask
	j.eachAttempt(func(a *fleet.Attempt) {
		if !a.RunningSince.IsZero() {
			running = append(running, standby.RunningTask{Task: a.TaskIndex, Attempt: a.Number, StartedS: a.RunningSince.Unix()})
		}
	})
	slices.SortFunc(running, func(a, b standby.RunningTask) int { return cmp.Compare(a.Task, b.Task) })
	if err := v.SetRunning(running); err != nil {
		return nil, err
	}
	return v.Entry()
}

// leaderView returns the view of what the leader knows besides machines and jobs. c.mu is held.
func (c *Controller) leaderView() *standby.LeaderView {
	v := &standby.LeaderView{Window: c.window}
	c.refusals.Each(func(group autoscaler.MachineGroup, refusal autoscaler.Refusal) {
		v.Refusals = append(v.Refusals, standby.CapacityRefusal{
			Type:    group.Type,
			Zone:    group.Zone,
			Spot:    group.Spot,
			UntilMs: unixMilli(refusal.Until),
			PauseMs: refusal.Backoff.Milliseconds(),
		})
	})
	c.arrivals.Each(func(class string, a *autoscaler.ClassArrivals) {
		v.Arrivals = append(v.Arrivals, standby.ArrivalStats{
			Class:       class,
			Job:         *a.Spec,
			Count:       a.Jobs,
			TasksSquare: a.TasksSquared,
			AtMs:        unixMilli(a.At),
		})
	})
	return v
}
