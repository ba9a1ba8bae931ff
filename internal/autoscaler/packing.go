package autoscaler

import (
	"math"
	"slices"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/wire"
)

// packing fits tasks that have no room into machines that would be provisioned.
type packing struct {
	catalog        *wire.Catalog
	machinesByZone map[string]int // the fleet's and those of bins
	refused        func(MachineGroup) bool
	least          fleet.Resources // a lower bound of each resource for all tasks that are short
	bins           []bin
	open           []int // indexes of bins that have room for least
}

// bin is a machine that would be provisioned and the room that is left on it.
type bin struct {
	group MachineGroup
	room  fleet.Resources
}

func newPacking(catalog *wire.Catalog, demand Demand) *packing {
	return &packing{
		catalog:        catalog,
		machinesByZone: cloneOrEmpty(demand.MachinesByZone),
		refused:        demand.Refused,
		least:          leastNeed(demand.Shorts),
	}
}

// leastNeed returns the least amount of each resource that a task that is short requests.
func leastNeed(shorts []sched.Shortfall) fleet.Resources {
	least := fleet.Resources{Cores: math.Inf(1), Gpus: math.Inf(1), RAM: math.Inf(1)}
	for _, short := range shorts {
		need := fleet.TaskResources(short.Job.Spec)
		least = fleet.Resources{
			Cores: min(least.Cores, need.Cores),
			Gpus:  min(least.Gpus, need.Gpus),
			RAM:   min(least.RAM, need.RAM),
		}
	}
	return least
}

// pack finds room for the tasks that a job is short of, in open bins first, then in new ones. Tasks
// for which no machine may be provisioned are left out. Bins that are full are not looked at
// again: at thousands of tasks, looking at each bin for each task took longer than a scheduling
// cycle may.
func (p *packing) pack(short sched.Shortfall) {
	job := short.Job
	need := fleet.TaskResources(job.Spec)
	tasksByZone := cloneOrEmpty(job.LiveByZone)
	left := short.Count
	fill := func(b *bin) {
		for left > 0 && b.room.Fits(need) && zoneAllowed(job, tasksByZone, b.group.Zone) {
			b.room = b.room.Sub(need)
			tasksByZone[b.group.Zone]++
			left--
		}
	}
	p.open = slices.DeleteFunc(p.open, func(i int) bool {
		b := &p.bins[i]
		if left > 0 && b.room.Fits(need) && sched.IsEligible(job.Spec, b.group.Type, b.group.Zone, b.group.Spot) {
			fill(b)
		}
		return !b.room.Fits(p.least)
	})
	for left > 0 {
		b, found := p.cheapest(job, tasksByZone, left)
		if !found {
			return
		}
		fill(&b)
		if b.room.Fits(p.least) {
			p.open = append(p.open, len(p.bins))
		}
		p.bins = append(p.bins, b)
		p.machinesByZone[b.group.Zone]++
	}
}

// zoneAllowed reports whether a job whose tasks are in these zones may have another one in zone.
func zoneAllowed(job *sched.Job, tasksByZone map[string]int, zone string) bool {
	if job.Spec.SpreadZones && tasksByZone[zone] >= (job.Spec.TaskCount+1)/2 {
		return false
	}
	if job.Spec.SingleZone {
		for other, tasks := range tasksByZone {
			if tasks > 0 && other != zone {
				return false
			}
		}
	}
	return true
}

// cheapest returns an empty machine of the group with the lowest price per task, if at most this
// many tasks run on it; among equals, of the zone with the fewest machines. found is false if no
// group may be provisioned.
func (p *packing) cheapest(job *sched.Job, tasksByZone map[string]int, tasks int) (best bin, found bool) {
	bestCost, bestZoneMachines := math.Inf(1), 0
	need := fleet.TaskResources(job.Spec)
	for i := range p.catalog.MachineTypes {
		t := &p.catalog.MachineTypes[i]
		capacity := Capacity(t)
		fitting := capacity.CountFitting(need, tasks)
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
		if !zoneAllowed(job, tasksByZone, zone) {
			continue
		}
		for _, spot := range [...]bool{true, false} {
			group := MachineGroup{t.Name, zone, spot}
			if !sched.IsEligible(job.Spec, t.Name, zone, spot) || p.refused(group) {
				continue
			}
			if job.Spec.AllowSpot && !spot && !job.WaitedPastBoot && !job.SpotUnavailable {
				continue // spot machines are many times cheaper: worth a wait
			}
			price := t.Hourly
			if spot {
				price = t.SpotHourly
			}
			fn(group, price)
		}
	}
}
