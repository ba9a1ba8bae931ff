package controller

import (
	"time"

	"lotusstile.dev/lotusstile/internal/autoscaler"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/wire"
)

// snapshot is the input of a scheduling cycle. It is valid while c.mu is held.
type snapshot struct {
	in      *sched.Input
	fleet   *fleet.Fleet
	urgency urgency
}

// machine returns the machine of a node of the cycle; nil if the node is a machine that is
// requested and not provisioned yet.
func (s *snapshot) machine(node int) *fleet.Machine {
	if node >= s.in.View.SlotCount() {
		return nil
	}
	return s.fleet.Get(s.in.View.MachineID(node))
}

// victim returns the attempt that a preemption stops; nil if there is none.
func (s *snapshot) victim(p sched.Preemption) (victim *fleet.Attempt) {
	if m := s.machine(p.Node); m != nil {
		m.Each(func(a *fleet.Attempt) {
			if a.Serial == p.Serial {
				victim = a
			}
		})
	}
	return victim
}

// newSnapshot makes the snapshot of a cycle. It also stops the tasks of gangs that are not whole.
// c.mu is held, and the catalog has been read.
func (c *Controller) newSnapshot(now time.Time, interval time.Duration) snapshot {
	c.refreshNodes(now)
	in := &sched.Input{
		Now:              now,
		View:             c.nodes.view,
		Window:           c.window,
		ReserveAfterS:    10 * interval.Seconds(),
		PriorityWeights:  sched.DefaultPriorityWeights,
		Teams:            c.schedulerTeams(),
		WithinQuota:      c.withinQuotas(),
		PreemptOnlyBelow: 1, // nothing is preempted while nothing waits
	}
	s := snapshot{in: in, fleet: c.fleet, urgency: c.urgency()}
	for _, j := range c.jobs.byUID {
		if team := in.Teams[j.record.Spec.Team]; team != nil {
			addUsage(team, j, in.WithinQuota != nil)
		}
		if sj := c.schedulerJob(j, in.WithinQuota[j.uid], &s.urgency, now); sj != nil {
			in.PreemptOnlyBelow = max(in.PreemptOnlyBelow, sj.Level)
			in.Jobs = c.appendWaiting(in.Jobs, j, sj, now)
		}
	}
	in.Nodes = c.requestedNodes()
	return s
}

// schedulerTeams returns the teams with their limits and quotas.
func (c *Controller) schedulerTeams() map[string]*sched.Team {
	teams := map[string]*sched.Team{}
	for _, t := range c.Config.Cluster.Teams {
		team := &sched.Team{}
		team.Limit.Cores, team.Limit.Gpus = t.CpusMax, t.GpusMax
		team.Quota.Cores, team.Quota.Gpus = t.Cpus, t.Gpus
		teams[t.Name] = team
	}
	return teams
}

// addUsage adds to a team the resources that a job of it uses; if there are quotas, also how much
// of that belongs to attempts that are being stopped.
func addUsage(team *sched.Team, j *job, hasQuotas bool) {
	team.Used.Cores += float64(j.live) * j.need.Cores
	team.Used.Gpus += float64(j.live) * j.need.Gpus
	if hasQuotas {
		stopping := float64(j.stoppingCount())
		team.Stopping.Cores += stopping * j.need.Cores
		team.Stopping.Gpus += stopping * j.need.Gpus
	}
}

// appendWaiting appends a job that waits. If its first task is overdue, it appends two entries: one
// for that task, which goes before others, and one for the rest. c.mu is held.
func (c *Controller) appendWaiting(jobs []*sched.Job, j *job, sj *sched.Job, now time.Time) []*sched.Job {
	if c.isOverdueToStart(j, now) {
		first := *sj
		first.FirstTaskOverdue, first.PendingTasks = true, 1
		jobs = append(jobs, &first)
		if sj.PendingTasks--; sj.PendingTasks == 0 {
			return jobs
		}
	}
	return append(jobs, sj)
}

// requestedNodes returns the machines that are requested and not provisioned yet, as nodes. c.mu is
// held.
func (c *Controller) requestedNodes() []sched.Node {
	var nodes []sched.Node
	c.requests.Each(func(r wire.ProvisionRequest) {
		capacity := autoscaler.Capacity(findMachineType(c.catalog, r.MachineType))
		node := sched.Node{
			ID:            r.RequestID,
			Type:          r.MachineType,
			Zone:          r.Zone,
			Spot:          r.Spot,
			Capacity:      capacity,
			FreeAfterBoot: capacity,
			HourlyPrice:   hourlyPrice(c.catalog, r.MachineType, r.Spot),
		}
		for range r.Count {
			nodes = append(nodes, node)
		}
	})
	return nodes
}

// schedulerJob returns the scheduler's view of a job, or nil if none of its tasks can be placed
// now. withinQuota says whether the job lies within its team's quota. c.mu is held.
func (c *Controller) schedulerJob(j *job, withinQuota bool, u *urgency, now time.Time) *sched.Job {
	spec := &j.record.Spec
	pending := c.placeableTasks(j, now)
	if pending == 0 {
		return nil
	}
	if spec.Kind == wire.Gang && j.live > 0 {
		// A gang runs whole or not at all: if some of its tasks have ended, the others are
		// stopped, and it starts again.
		j.eachAttempt(func(a *fleet.Attempt) {
			c.stopAttempt(a, spec.CheckpointOnStopS+c.Config.Cluster.Workers.ReportS, now, "its gang is not whole")
		})
		return nil
	}
	liveByZone, known := map[string]int{}, true
	if j.live > 0 && (spec.SingleZone || spec.SpreadZones) {
		j.eachAttempt(func(a *fleet.Attempt) {
			liveByZone[a.Machine.Zone]++
			known = known && a.Machine.Zone != ""
		})
	}
	if !known {
		return nil // a zone that a task may be in is not known yet
	}
	sj := &sched.Job{
		Spec:           spec,
		WithinQuota:    withinQuota,
		Level:          u.effectiveLevel(j, now),
		QueuedSinceMs:  j.eligibleSinceMs,
		PendingTasks:   pending,
		LiveAttempts:   j.live,
		LiveByZone:     liveByZone,
		WaitedS:        now.Sub(j.waitingSince).Seconds(),
		StartSlackS:    u.startSlack(spec),
		LaxityS:        u.laxity(j, now),
		AvoidedMachine: c.avoidedMachine(j, now),
	}
	// A replica that is started again serves nobody until its image is fetched.
	sj.FetchDelaysStart = sj.StartSlackS < 0 || j.failedAttempts > 0 && spec.Kind == wire.Service
	sj.SpotUnavailable = spec.AllowSpot && c.isSpotExhausted(spec, now)
	boot := u.boot(spec)
	sj.WaitedPastBoot = sj.WaitedS > boot
	sj.CannotAwaitBoot = sj.WaitedPastBoot || sj.LaxityS < boot
	return sj
}

// overdueStartLeases is the number of worker leases after which the first task of a large array
// goes before the tasks of other jobs of its priority.
const overdueStartLeases = 10

// isOverdueToStart reports whether no task of a job has run although it has been eligible for long,
// and the job is a large array of its class. Users expect these, too, to begin within four minutes,
// and these have the most left to do once they have begun; in a queue of minutes at their team's
// limit, one of nine began in time. An array in a single zone starts whole and has no first task.
// c.mu is held.
func (c *Controller) isOverdueToStart(j *job, now time.Time) bool {
	spec := &j.record.Spec
	return spec.Kind == wire.JobArray && !spec.SingleZone && !j.hasRun && j.done == 0 && j.live == 0 &&
		now.Sub(time.UnixMilli(j.eligibleSinceMs)) > overdueStartLeases*c.Config.WorkerLease() &&
		c.arrivals.IsLarge(spec)
}

// avoidedMachine returns the ID of the only machine that a job failed on lately, or "". A job that
// failed on several machines is at fault itself: if it avoided all of them, new ones would be
// provisioned for it. c.mu is held.
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

// isSpotExhausted reports whether the cloud has lately refused every group of spot machines that
// may run the job: when work waited for spot machines in that state, it was only late. Refusals
// expire, and the groups are requested again. c.mu is held.
func (c *Controller) isSpotExhausted(spec *wire.JobSpec, now time.Time) bool {
	for i := range c.catalog.MachineTypes {
		machineType := &c.catalog.MachineTypes[i]
		if !holdsTask(machineType, spec) {
			continue
		}
		for _, zone := range machineType.Zones {
			group := autoscaler.MachineGroup{Type: machineType.Name, Zone: zone, Spot: true}
			if sched.IsEligible(spec, machineType.Name, zone, true) && !c.refusals.IsPaused(group, now) {
				return false
			}
		}
	}
	return true
}
