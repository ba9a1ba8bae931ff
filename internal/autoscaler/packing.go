package autoscaler

import (
	"math"
	"slices"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/wire"
)

// packing assigns tasks that fit on no machine of the fleet to bins: machines that would be
// provisioned.
type packing struct {
	catalog        *wire.Catalog
	machinesByZone map[string]int // machines of the fleet and bins
	refused        func(MachineGroup) bool
	minNeed        fleet.Resources // lower bound of each resource that a task requests
	bins           []bin
	open           []int // indexes of the bins whose free resources are at least minNeed
	// binsByGroup counts the bins of each group. None has more than maxBinsPerGroup: more machines would not be
	// requested in this cycle.
	binsByGroup     map[MachineGroup]int
	maxBinsPerGroup int
	steps           int // bins examined and made
}

// bin is a machine that would be provisioned, with the resources that no task uses yet.
type bin struct {
	group MachineGroup
	free  fleet.Resources
}

func newPacking(catalog *wire.Catalog, demand Demand) *packing {
	return &packing{
		catalog:        catalog,
		machinesByZone: cloneOrEmpty(demand.MachinesByZone),
		refused:        demand.Refused,
		minNeed:        minTaskNeed(demand.Shortfalls),

		binsByGroup:     map[MachineGroup]int{},
		maxBinsPerGroup: wire.MaxProvision * max(1, demand.MaxRequests),
	}
}

// minTaskNeed returns, for each resource, the smallest amount that any task of the shortfalls
// requests.
func minTaskNeed(shortfalls []sched.Shortfall) fleet.Resources {
	smallest := fleet.Resources{Cores: math.Inf(1), Gpus: math.Inf(1), RAM: math.Inf(1)}
	for _, shortfall := range shortfalls {
		need := fleet.TaskResources(shortfall.Job.Spec)
		smallest = fleet.Resources{
			Cores: min(smallest.Cores, need.Cores),
			Gpus:  min(smallest.Gpus, need.Gpus),
			RAM:   min(smallest.RAM, need.RAM),
		}
	}
	return smallest
}

// pack assigns the tasks of a shortfall to open bins first, then to new ones. It drops tasks for
// which no machine may be provisioned, and those for which more machines would be needed than are
// requested in a cycle. It skips full bins: with thousands of tasks, examining every bin for every
// task took longer than a scheduling cycle may take.
func (p *packing) pack(shortfall sched.Shortfall) {
	job := shortfall.Job
	need := fleet.TaskResources(job.Spec)
	tasksByZone := cloneOrEmpty(job.LiveByZone)
	left := shortfall.Count
	fill := func(b *bin) {
		p.steps++
		tasks := b.free.CountFitting(need, min(left, zoneAllowance(job, tasksByZone, b.group.Zone)))
		b.free = b.free.Sub(need.Times(tasks))
		tasksByZone[b.group.Zone] += tasks
		left -= tasks
	}
	p.open = slices.DeleteFunc(p.open, func(i int) bool {
		p.steps++
		b := &p.bins[i]
		if left > 0 && b.free.Fits(need) && sched.IsEligible(job.Spec, b.group.Type, b.group.Zone, b.group.Spot) {
			fill(b)
		}
		return !b.free.Fits(p.minNeed)
	})
	for left > 0 {
		b, found := p.cheapest(job, tasksByZone, left)
		if !found || p.binsByGroup[b.group] >= p.maxBinsPerGroup {
			return
		}
		fill(&b)
		if b.free.Fits(p.minNeed) {
			p.open = append(p.open, len(p.bins))
		}
		p.bins = append(p.bins, b)
		p.binsByGroup[b.group]++
		p.machinesByZone[b.group.Zone]++
	}
}

// zoneAllowance returns how many more tasks of a job may run in zone, given the number of its tasks in
// each zone.
func zoneAllowance(job *sched.Job, tasksByZone map[string]int, zone string) int {
	if job.Spec.SingleZone {
		for other, tasks := range tasksByZone {
			if tasks > 0 && other != zone {
				return 0
			}
		}
	}
	if job.Spec.SpreadZones {
		return max(0, (job.Spec.TaskCount+1)/2-tasksByZone[zone])
	}
	return math.MaxInt
}

// cheapest returns an empty bin of the group with the lowest price per task. The price of a machine is
// divided among the tasks that fit on it, but at most maxTasks. Among groups of equal price it chooses
// one in the zone with the fewest machines. found is false if no group may be provisioned.
func (p *packing) cheapest(job *sched.Job, tasksByZone map[string]int, maxTasks int) (best bin, found bool) {
	bestCost, bestZoneMachines := math.Inf(1), 0
	need := fleet.TaskResources(job.Spec)
	for i := range p.catalog.MachineTypes {
		t := &p.catalog.MachineTypes[i]
		capacity := Capacity(t)
		fitting := capacity.CountFitting(need, maxTasks)
		if fitting == 0 {
			continue
		}
		p.eachUsableGroup(job, tasksByZone, t, func(group MachineGroup, price float64) {
			cost, zoneMachines := price/float64(fitting), p.machinesByZone[group.Zone]
			if cost < bestCost || (cost == bestCost && zoneMachines < bestZoneMachines) {
				best, bestCost, bestZoneMachines = bin{group, capacity}, cost, zoneMachines
			}
		})
	}
	return best, !math.IsInf(bestCost, 1)
}

// eachUsableGroup calls fn for every group of a machine type that may be provisioned for the
// job, with its hourly price.
func (p *packing) eachUsableGroup(
	job *sched.Job, tasksByZone map[string]int, t *wire.MachineType, fn func(group MachineGroup, price float64),
) {
	for _, zone := range t.Zones {
		if zoneAllowance(job, tasksByZone, zone) == 0 {
			continue
		}
		for _, spot := range [...]bool{true, false} {
			group := MachineGroup{t.Name, zone, spot}
			if !sched.IsEligible(job.Spec, t.Name, zone, spot) || p.refused(group) {
				continue
			}
			if job.Spec.AllowSpot && !spot && !job.WaitedPastBoot && !job.SpotUnavailable {
				continue // spot machines are many times cheaper: the job waits for one first
			}
			price := t.Hourly
			if spot {
				price = t.SpotHourly
			}
			fn(group, price)
		}
	}
}
