package controller

import (
	"math"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/autoscaler"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/wire"
)

// snapshot is what a round decides on.
type snapshot struct {
	in *sched.Input
	c  *Controller
}

// machine is the machine that a node of the round stands for; nil for a rental that is not
// answered yet.
func (p *snapshot) machine(node int) *fleet.Machine {
	if node >= p.in.View.SlotCount() {
		return nil
	}
	return p.c.fleet.Get(p.in.View.MachineID(node))
}

// victim is the attempt that a round stops; nil if there is none.
func (p *snapshot) victim(s sched.Preemption) (found *fleet.Attempt) {
	if m := p.machine(s.Node); m != nil {
		m.Each(func(a *fleet.Attempt) {
			if a.Serial == s.Serial {
				found = a
			}
		})
	}
	return found
}

// snapshot makes the snapshot of a round.
func (c *Controller) snapshot(now time.Time, interval time.Duration) *snapshot {
	c.refreshNodes(now)
	in := &sched.Input{Now: now, View: c.nodes.view, Window: c.window, ReserveAfterS: 10 * interval.Seconds(), PriorityWeights: sched.DefaultPriorityWeights, Teams: map[string]*sched.Team{}}
	for _, t := range c.Config.Cluster.Teams {
		team := &sched.Team{}
		team.Limit.Cores, team.Limit.Gpus = t.CpusMax, t.GpusMax
		team.Quota.Cores, team.Quota.Gpus = t.Cpus, t.Gpus
		in.Teams[t.Name] = team
	}
	in.WithinQuota = c.withinQuotas()
	in.PreemptOnlyBelow = 1 // nothing is displaced while nothing waits
	for _, j := range c.jobs.byUID {
		if t := in.Teams[j.record.Spec.Team]; t != nil {
			t.Used.Cores += float64(j.live) * j.need.Cores
			t.Used.Gpus += float64(j.live) * j.need.Gpus
			if in.WithinQuota != nil {
				stopping := float64(j.stoppingCount())
				t.Stopping.Cores += stopping * j.need.Cores
				t.Stopping.Gpus += stopping * j.need.Gpus
			}
		}
		if sj := c.waitingJob(j, in.WithinQuota[j.uid], now); sj != nil {
			in.PreemptOnlyBelow = max(in.PreemptOnlyBelow, sj.Level)
			if c.isOverdueToStart(j, now) {
				// It begins; the rest of its tasks wait their turn.
				first := *sj
				first.FirstTaskOverdue, first.PendingTasks = true, 1
				in.Jobs = append(in.Jobs, &first)
				if sj.PendingTasks--; sj.PendingTasks == 0 {
					continue
				}
			}
			in.Jobs = append(in.Jobs, sj)
		}
	}
	in.Nodes = c.requestedNodes()
	return &snapshot{in, c}
}

// requestedNodes is what is rented and not answered yet, as a round sees it.
func (c *Controller) requestedNodes() []sched.Node {
	var nodes []sched.Node
	c.requests.Each(func(r wire.ProvisionRequest) {
		room := autoscaler.Capacity(c.machineType(r.MachineType))
		n := sched.Node{ID: r.RequestID, Type: r.MachineType, Zone: r.Zone, Spot: r.Spot,
			Capacity: room, FreeAfterBoot: room, HourlyPrice: c.hourlyPrice(r.MachineType, r.Spot)}
		for range r.Count {
			nodes = append(nodes, n)
		}
	})
	return nodes
}

// waitingJob is a job as a round sees it, or nil if nothing of it can be placed
// now. guaranteed tells whether it lies within its team's guarantee.
func (c *Controller) waitingJob(j *job, withinQuota bool, now time.Time) *sched.Job {
	spec := &j.record.Spec
	waiting := c.placeableTasks(j, now)
	if waiting == 0 {
		return nil
	}
	if spec.Kind == wire.Gang && j.live > 0 {
		// A gang runs whole or not at all: the rest ends, and it starts anew.
		j.eachAttempt(func(a *fleet.Attempt) {
			c.stopAttempt(a, spec.CheckpointOnStopS+c.Config.Cluster.Workers.ReportS, now, "its gang is not whole")
		})
		return nil
	}
	byZone, known := map[string]int{}, true
	if j.live > 0 && (spec.SingleZone || spec.SpreadZones) {
		j.eachAttempt(func(a *fleet.Attempt) {
			byZone[a.Machine.Zone]++
			known = known && a.Machine.Zone != ""
		})
	}
	if !known {
		return nil // a zone that a task may be in is not known yet
	}
	sj := &sched.Job{Spec: spec, WithinQuota: withinQuota, Level: c.effectiveLevel(j, now), QueuedSinceMs: j.eligibleSinceMs, PendingTasks: waiting, LiveAttempts: j.live, LiveByZone: byZone,
		WaitedS: now.Sub(j.waitingSince).Seconds(), StartSlackS: c.slackSeconds(spec), LaxityS: c.laxitySeconds(j, now), AvoidedMachine: c.avoidedMachine(j, now)}
	// What a service has lost is down until it has its image again.
	sj.FetchDelaysStart = sj.StartSlackS < 0 || j.failedAttempts > 0 && spec.Kind == wire.Service
	sj.SpotUnavailable = spec.AllowSpot && c.isSpotExhausted(spec, now)
	boot := c.bootSeconds(spec)
	sj.WaitedPastBoot = sj.WaitedS > boot
	sj.CannotAwaitBoot = sj.WaitedPastBoot || sj.LaxityS < boot
	return sj
}

// effectiveLevel is the level at which a job competes for room. That of a job which needs it
// counts once what is left of the time that the users give either is no longer than a
// new machine takes: until then its stages can wait for room like others of their own
// rank, and stop nobody's work.
func (c *Controller) effectiveLevel(j *job, now time.Time) int {
	spec := &j.record.Spec
	own := spec.Priority.Level()
	if j.level <= own {
		return own
	}
	left := min(c.laxitySeconds(j, now), c.slackSeconds(spec)-now.Sub(j.waitingSince).Seconds())
	if left > c.bootSeconds(spec) {
		return own
	}
	return j.level
}

// overdueStartLeases is after how many leases the first task of a large array goes before
// the tasks of others of its rank.
const overdueStartLeases = 10

// isOverdueToStart reports whether nothing of an array has run yet although it came
// long ago, and it is larger than its class usually is. Users look for a beginning
// of these, too, after four minutes, and they have the most left to do once they
// have begun; in a queue of minutes at their team's limit, one of nine began in time.
// An array that starts whole has no first task.
func (c *Controller) isOverdueToStart(j *job, now time.Time) bool {
	s := &j.record.Spec
	return s.Kind == wire.JobArray && !s.SingleZone && !j.hasRun && j.done == 0 && j.live == 0 &&
		now.Sub(time.UnixMilli(j.eligibleSinceMs)) > overdueStartLeases*c.Config.WorkerLease() &&
		c.arrivals.IsLarge(s)
}

// avoidedMachine names the machine that a job failed on lately. A job that failed on
// several machines is at fault itself. If it went on avoiding machines, new
// ones would be rented for it.
func (c *Controller) avoidedMachine(j *job, now time.Time) string {
	if len(j.failedOn) == 1 {
		for id, at := range j.failedOn {
			if now.Sub(at) < 6*c.Config.WorkerLease() {
				return id
			}
		}
	}
	return ""
}

// isSpotExhausted reports whether the cloud had no spot machine left that may run the
// job when it was last asked: work that waited for one was only late. From time
// to time the refusals run out, and it is asked again.
func (c *Controller) isSpotExhausted(w *wire.JobSpec, now time.Time) bool {
	for i := range c.catalog.MachineTypes {
		r := &c.catalog.MachineTypes[i]
		if !autoscaler.Capacity(r).Fits(fleet.TaskResources(w)) {
			continue
		}
		for _, zone := range r.Zones {
			if sched.IsEligible(w, r.Name, zone, true) && !c.refusals.IsPaused(autoscaler.MachineGroup{Type: r.Name, Zone: zone, Spot: true}, now) {
				return false
			}
		}
	}
	return true
}

// hourlyPrice is what a machine costs per hour.
func (c *Controller) hourlyPrice(machineType string, spot bool) float64 {
	r := c.machineType(machineType)
	switch {
	case r == nil:
		return 0
	case spot:
		return r.SpotHourly
	}
	return r.Hourly
}

// laxitySeconds is how long a job can still wait and be done by its deadline, or by the
// next time that the users set for its class, if it runs half as long again as
// its owner expects. Work without either counts as due a few boots after nothing of
// it ran any more, so that age decides among its like. An array past the last of its
// times gives way to those in time when it loses its last task: counted by its whole
// age, it went before them, and at a team's limit fewer were in time.
func (c *Controller) laxitySeconds(j *job, now time.Time) float64 {
	s := &j.record.Spec
	age := float64(now.UnixMilli()-j.eligibleSinceMs) / 1000
	left := (j.dueMs - float64(now.UnixMilli())) / 1000
	for _, o := range c.Config.Cluster.Objectives {
		if o.Kind == "finished" && o.Class == s.JobClass && o.WithinS > age {
			left = min(left, o.WithinS-age)
		}
	}
	if math.IsInf(left, 1) || s.Kind != wire.JobArray {
		return 4*c.bootSeconds(s) - now.Sub(j.waitingSince).Seconds()
	}
	fetch := 0.0
	for i := range c.catalog.MachineTypes {
		if r := &c.catalog.MachineTypes[i]; r.FetchGbPerS > 0 {
			fetch = max(fetch, s.ImageGb/r.FetchGbPerS)
		}
	}
	return left - fetch - runAllowance*s.ExpectedRunS
}

// bootSeconds is how long the quickest machine that may run a task of the job boots.
func (c *Controller) bootSeconds(w *wire.JobSpec) float64 {
	boot := math.Inf(1)
	for i := range c.catalog.MachineTypes {
		if r := &c.catalog.MachineTypes[i]; autoscaler.Capacity(r).Fits(fleet.TaskResources(w)) && (len(w.MachineTypes) == 0 || slices.Contains(w.MachineTypes, r.Name)) {
			boot = min(boot, r.BootS)
		}
	}
	return boot
}

// slackSeconds is how long after a launch is decided a start is still within the time
// that the users set for the job's class, if the machine must fetch the image
// first. The rate that the catalog gives is met give or take a third.
func (c *Controller) slackSeconds(w *wire.JobSpec) float64 {
	slack := math.Inf(1)
	for _, o := range c.Config.Cluster.Objectives {
		if o.Kind != "wait" || o.Class != w.JobClass {
			continue
		}
		for i := range c.catalog.MachineTypes {
			r := &c.catalog.MachineTypes[i]
			if autoscaler.Capacity(r).Fits(fleet.TaskResources(w)) && r.FetchGbPerS > 0 {
				slack = min(slack, o.WithinS-w.ImageGb/r.FetchGbPerS*4/3-c.Config.Cluster.Workers.ReportS)
			}
		}
	}
	return slack
}
