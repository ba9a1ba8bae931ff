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

// machine returns the machine behind a node of the cycle, or nil if the node stands for a requested
// machine that is not provisioned yet.
func (s *snapshot) machine(node int) *fleet.Machine {
	if node >= s.in.View.SlotCount() {
		return nil
	}
	return s.fleet.Get(s.in.View.MachineID(node))
}

// victim returns the attempt that a preemption stops, or nil if there is none.
func (s *snapshot) victim(p sched.Preemption) (victim *fleet.Attempt) {
	if m := s.machine(p.Node); m != nil {
		m.EachAttempt(func(a *fleet.Attempt) {
			if a.Serial == p.Serial {
				victim = a
			}
		})
	}
	return victim
}

// newSnapshot makes the snapshot of a cycle. It also stops the live tasks of each gang that is
// incomplete. c.mu is held, and the catalog has been read.
func (c *Controller) newSnapshot(now time.Time, interval time.Duration) snapshot {
	c.updateUrgency()
	c.refreshNodes(now)
	in := &sched.Input{
		Now:              now,
		View:             c.nodes.view,
		Window:           c.window,
		ReserveAfterS:    10 * interval.Seconds(),
		PriorityWeights:  sched.DefaultPriorityWeights,
		Teams:            c.schedulerTeams(),
		WithinQuota:      c.withinQuotas(),
		PreemptOnlyBelow: 1, // the lowest level: nothing is preempted while no job waits
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

// addUsage adds the resources that a job uses to the usage of its team. If there are quotas, it also
// adds up how much of that belongs to attempts that are being stopped.
func addUsage(team *sched.Team, j *job, hasQuotas bool) {
	team.Used.Cores += float64(j.liveAttempts) * j.taskResources.Cores
	team.Used.Gpus += float64(j.liveAttempts) * j.taskResources.Gpus
	if hasQuotas {
		stopping := float64(j.stoppingCount())
		team.Stopping.Cores += stopping * j.taskResources.Cores
		team.Stopping.Gpus += stopping * j.taskResources.Gpus
	}
}

// appendWaiting appends a waiting job to jobs. If the first task of the job is overdue, it appends
// two entries: one for that task, which goes before the tasks of other jobs, and one for the rest.
// c.mu is held.
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

// requestedNodes returns a node for each machine that is requested and not provisioned yet. c.mu is
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
// now. withinQuota tells whether the job is within its team's quota. c.mu is held.
func (c *Controller) schedulerJob(j *job, withinQuota bool, u *urgency, now time.Time) *sched.Job {
	spec := &j.record.Spec
	pending := c.placeableTasks(j, now)
	if pending == 0 {
		return nil
	}
	if spec.Kind == wire.Gang && j.liveAttempts > 0 {
		// A gang is all-or-nothing: if some of its tasks wait, for example because their attempts have
		// ended, the others are stopped and the whole gang starts again.
		j.eachAttempt(func(a *fleet.Attempt) {
			c.stopAttempt(a, spec.CheckpointOnStopS+c.Config.Cluster.Workers.ReportS, now, "its gang is incomplete")
		})
		return nil
	}
	liveByZone, allZonesKnown := map[string]int{}, true
	if j.liveAttempts > 0 && (spec.SingleZone || spec.SpreadZones) {
		j.eachAttempt(func(a *fleet.Attempt) {
			liveByZone[a.Machine.Zone]++
			allZonesKnown = allZonesKnown && a.Machine.Zone != ""
		})
	}
	if !allZonesKnown {
		return nil // the zone of a machine that may run one of its tasks is not known yet
	}
	sj := &sched.Job{
		Spec:           spec,
		WithinQuota:    withinQuota,
		Level:          u.effectiveLevel(j, now),
		QueuedSinceMs:  j.readySinceMs,
		PendingTasks:   pending,
		LiveAttempts:   j.liveAttempts,
		LiveByZone:     liveByZone,
		HasStarted:     j.hasStarted(),
		WaitedS:        now.Sub(j.waitingSince).Seconds(),
		StartSlackS:    u.startSlackS(spec),
		LaxityS:        u.laxityS(j, now),
		AvoidedMachine: c.avoidedMachine(j, now),
	}
	// A restarted replica serves no requests until its image is fetched.
	sj.FetchDelaysStart = sj.StartSlackS < 0 || j.failedAttempts > 0 && spec.Kind == wire.Service
	sj.SpotUnavailable = spec.AllowSpot && c.isSpotExhausted(spec, now)
	bootS := u.fastestBootS(spec)
	sj.WaitedPastBoot = sj.WaitedS > bootS
	sj.CannotAwaitBoot = sj.WaitedPastBoot || sj.LaxityS < bootS
	return sj
}

// overdueStartLeases is the number of worker leases after which the first task of a large array
// goes before the tasks of other jobs of its priority.
const overdueStartLeases = 10

// isOverdueToStart reports whether a job is an array that is large for its class, has been eligible
// for a long time, and has not run any task. Users expect arrays of any size to begin within four
// minutes, and large arrays have the most work left once they have begun. Without this rule, only one in
// nine of the largest arrays began in time when jobs queued for minutes at their team's limit. c.mu is held.
func (c *Controller) isOverdueToStart(j *job, now time.Time) bool {
	spec := &j.record.Spec
	return spec.Kind == wire.JobArray && !j.hasRun && j.doneTasks == 0 && j.liveAttempts == 0 &&
		now.Sub(time.UnixMilli(j.readySinceMs)) > overdueStartLeases*c.Config.WorkerLease() &&
		c.arrivals.IsLarge(spec)
}

// avoidedMachine returns the ID of the machine that a job recently failed on, or "" if there is none
// or more than one. A job that failed on several machines is probably at fault itself; if it avoided
// them all, new machines would be provisioned for it. c.mu is held.
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

// isSpotExhausted reports whether the cloud has recently refused every group of spot machines that
// may run the job. Such a job does not wait for spot machines, since waiting would only delay its start.
// Refusals expire, and the groups are then requested again. c.mu is held.
func (c *Controller) isSpotExhausted(spec *wire.JobSpec, now time.Time) bool {
	for i := range c.catalog.MachineTypes {
		machineType := &c.catalog.MachineTypes[i]
		if !holdsTask(machineType, spec) {
			continue
		}
		for _, zone := range machineType.Zones {
			group := autoscaler.MachineGroup{Type: machineType.Name, Zone: zone, Spot: true}
			if sched.IsEligible(spec, machineType.Name, zone, true) && !c.refusals.InBackoff(group, now) {
				return false
			}
		}
	}
	return true
}
