package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/provision"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/wire"
)

// arrivals measures how often jobs of a class come, with old ones fading.
type arrivals struct {
	spec         *wire.JobSpec
	level        int
	count        float64 // jobs, each less the longer ago it came
	tasksSquared float64 // tasks of a job, squared, on the mean
	at           time.Time
}

// fade is how long ago a job must have come to count as little as 1/e. It is
// a few boots: spare room is for what comes while a machine boots.
func (a *arrivals) fade(now time.Time, overS float64) {
	a.count *= math.Exp(-now.Sub(a.at).Seconds() / overS)
	a.at = now
}

const arrivalFadeS = 6 // times the users' longest wait for a machine: see fadeS

// fadeS is the time over which arrivals fade.
func (c *Controller) fadeS() float64 { return arrivalFadeS * 2 * c.Config.WorkerLease().Seconds() }

// arrived notes a new job.
func (c *Controller) arrived(j *job, now time.Time) {
	s, tasks := &j.record.Spec, float64(j.record.Spec.TaskCount)
	a := c.arrivalsByClass[s.JobClass]
	if a == nil {
		a = &arrivals{at: now, tasksSquared: tasks * tasks}
		c.arrivalsByClass[s.JobClass] = a
	}
	a.spec, a.level = s, s.Priority.Level()
	a.tasksSquared += (tasks*tasks - a.tasksSquared) / 8
	a.fade(now, c.fadeS())
	a.count++
}

// headroom makes phantom tasks of the classes that must start at once: the room
// they need is kept, or rented, beyond what waits.
func (c *Controller) headroom(now time.Time) []*sched.Job {
	var jobs []*sched.Job
	factor := c.Settings().Headroom
	for _, a := range c.arrivalsByClass {
		if a.level < wire.High.Level() || factor == 0 {
			continue
		}
		a.fade(now, c.fadeS())
		perS := a.count / c.fadeS()
		n := int(math.Ceil(factor * float64(provision.Headroom(perS, a.tasksSquared, c.bootSeconds(a.spec)))))
		spec := *a.spec // of all phantoms of the class
		spec.UID, spec.TaskCount, spec.Kind, spec.SingleZone, spec.SpreadZones = "", 1, wire.JobArray, false, false
		fetch := c.slackSeconds(a.spec) < 0
		for i := range n {
			jobs = append(jobs, &sched.Job{Spec: &spec, Level: a.level, QueuedSinceMs: int64(i), PendingTasks: 1, LiveByZone: map[string]int{}, FetchDelaysStart: fetch})
		}
	}
	return jobs
}

// provision rents for what has no room and marks idle machines for return.
func (c *Controller) provision(p *snapshot, plan *sched.Plan, now time.Time) []*provisionRequest {
	settled := now.Sub(c.steady) > c.Config.WorkerLease()
	headroom := c.planHeadroom(p, plan, now)
	// A new leader waits until the machines have reported before it decides
	// that there are too few or too many.
	if !settled && len(c.pendingRequests) == 0 && c.fleet.Len() > 0 && c.silentMachines() {
		return nil
	}
	population := map[string]int{}
	c.fleet.Each(func(m *fleet.Machine) { population[m.Zone]++ })
	shorts := append(append([]sched.Shortfall{}, plan.Shortfalls...), headroom.Shortfalls...)
	provisionRequests := provision.Plan(c.catalog, provision.Demand{Shorts: shorts, Population: population, Calls: c.provisionCalls(),
		Refused: func(g provision.MachineGroup) bool { return now.Before(c.refused[g].until) }})
	var out []*provisionRequest
	for _, r := range provisionRequests {
		out = append(out, c.book(r))
	}
	if settled {
		c.idle(plan.Shortfalls, now)
	}
	return out
}

// planHeadroom plans for the work that must start at once when it comes, with the room that a
// round has left, and keeps the machines that it would use.
func (c *Controller) planHeadroom(p *snapshot, plan *sched.Plan, now time.Time) *sched.Plan {
	in := &sched.Input{Now: now, View: p.in.View, Nodes: p.in.Nodes, Previous: plan, PreemptOnlyBelow: p.in.PreemptOnlyBelow,
		Window: math.MaxInt, ReserveAfterS: math.Inf(1), Jobs: c.headroom(now), Teams: map[string]*sched.Team{}}
	for name := range p.in.Teams {
		in.Teams[name] = &sched.Team{}
	}
	headroom, retained := &sched.Plan{}, map[string]bool{}
	if len(in.Jobs) > 0 {
		headroom = sched.Run(in)
	}
	for _, place := range headroom.Placements {
		if m := p.machine(place.Node); m != nil {
			retained[m.ID] = true
		}
	}
	c.setHeadroomMachines(retained)
	return headroom
}

// provisionShare is the share of the cloud's calls of a round's interval that rentals may take.
const provisionShare = 0.25

// provisionCalls is how many rentals a round may ask for.
func (c *Controller) provisionCalls() int {
	return int(provisionShare * c.Config.Cluster.Cloud.Rps * c.Settings().IntervalS)
}

// silentMachines reports whether machines that may run tasks have not reported yet.
func (c *Controller) silentMachines() bool {
	found := false
	c.fleet.Each(func(m *fleet.Machine) {
		found = found || (m.State == fleet.Booting && m.LiveCount() > 0) || m.State == fleet.Confirming
	})
	return found
}

// idle returns machines that have had nothing to do for a while and that are
// not kept as spare room, the dearest first. A part of them at a time: the next
// round sees what is left. It is a part and not a number, or what a large fleet
// no longer needs stays for minutes: one machine a round left 250 of 450 idle.
func (c *Controller) idle(shorts []sched.Shortfall, now time.Time) {
	// Machines that what waits cannot use are returned even while work waits:
	// else they could hold the last capacity that the cloud has, for ever.
	wanted := func(m *fleet.Machine) bool {
		return slices.ContainsFunc(shorts, func(s sched.Shortfall) bool {
			return sched.IsEligible(s.Job.Spec, m.Type, m.Zone, m.Spot) && m.Capacity.Fits(fleet.TaskResources(s.Job.Spec))
		})
	}
	var idle []*fleet.Machine
	c.fleet.Each(func(m *fleet.Machine) {
		r := c.machineType(m.Type)
		if m.State != fleet.Ready || m.LiveCount() > 0 || c.headroomMachines[m.ID] || r == nil || wanted(m) {
			return
		}
		// A machine costs at least a minute; what comes back within a
		// fraction of a boot saves a boot.
		if now.Sub(m.IdleSince).Seconds() < r.BootS/2 || now.Sub(m.FirstSeen).Seconds() < r.BootS+10 {
			return
		}
		idle = append(idle, m)
	})
	slices.SortFunc(idle, func(a, b *fleet.Machine) int {
		return cmp.Or(cmp.Compare(c.hourlyPrice(b.Type, b.Spot), c.hourlyPrice(a.Type, a.Spot)), cmp.Compare(b.ID, a.ID))
	})
	for _, m := range idle[:(len(idle)+3)/4] {
		c.startReturn(m, now, "idle")
	}
}
