// Package provision decides which machines to rent and which to return. It is
// pure: the controller does the calls.
package provision

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/wire"
)

// MachineGroup is what a rental asks for.
type MachineGroup struct {
	Type string
	Zone string
	Spot bool
}

// Request asks for machines of one group.
type Request struct {
	MachineGroup
	Count int
}

type bin struct {
	group MachineGroup
	room  fleet.Resources
}

// Capacity is what a machine of a type offers.
func Capacity(r *wire.MachineType) fleet.Resources {
	return fleet.Resources{Cores: r.Cores, Gpus: r.Gpus, RAM: r.RAMGb}
}

// Fits reports whether a task of the job fits some machine that it may use.
func Fits(cat *wire.Catalog, w *wire.JobSpec) bool {
	for i := range cat.MachineTypes {
		r := &cat.MachineTypes[i]
		if !Capacity(r).Fits(fleet.TaskResources(w)) {
			continue
		}
		for _, y := range r.Zones {
			if sched.IsEligible(w, r.Name, y, false) {
				return true
			}
		}
	}
	return false
}

// Demand is what is to be rented for, and what bounds it.
type Demand struct {
	Shorts     []sched.Shortfall
	Population map[string]int          // machines of each zone
	Refused    func(MachineGroup) bool // groups that are passed over
	// Calls is how many rentals may be asked for at once, of wire.MaxProvision machines each at
	// most. Every group gets one at least.
	Calls int
}

// Plan decides what to rent for demand that no machine has room for, cheapest
// for the room it brings first.
func Plan(cat *wire.Catalog, demand Demand) []Request {
	p := packing{cat: cat, population: maps.Clone(demand.Population), refused: demand.Refused}
	if p.population == nil {
		p.population = map[string]int{}
	}
	p.least = leastNeed(demand.Shorts)
	for _, s := range demand.Shorts {
		p.pack(s)
	}
	counts := map[MachineGroup]int{}
	for _, b := range p.bins {
		counts[b.group]++
	}
	requests := make([]Request, 0, len(counts))
	for g, n := range counts {
		requests = append(requests, Request{g, n})
	}
	slices.SortFunc(requests, func(a, b Request) int {
		return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone), cmp.Compare(b2i(b.Spot), b2i(a.Spot)))
	})
	return inCalls(requests, demand.Calls)
}

// inCalls splits rents into as many as the cloud takes in one call each: one of each group
// first, and what is left of the calls in turn. What no call is left for waits for the next
// round.
func inCalls(wanted []Request, calls int) []Request {
	var requests []Request
	left := len(wanted)
	for first := true; left > 0 && (first || len(requests) < calls); first = false {
		left = 0
		for i := range wanted {
			n := min(wanted[i].Count, wire.MaxProvision)
			if n == 0 || !first && len(requests) >= calls {
				continue
			}
			requests = append(requests, Request{wanted[i].MachineGroup, n})
			wanted[i].Count -= n
			left += wanted[i].Count
		}
	}
	return requests
}

// packing fits what is short into machines that would be rented.
type packing struct {
	cat        *wire.Catalog
	population map[string]int
	refused    func(MachineGroup) bool
	least      fleet.Resources // nothing that is short needs less of anything
	bins       []bin
	open       []int // bins that have room for the least
}

// leastNeed is the least of each resource that any task that is short needs.
func leastNeed(shorts []sched.Shortfall) fleet.Resources {
	least := fleet.Resources{Cores: math.Inf(1), Gpus: math.Inf(1), RAM: math.Inf(1)}
	for _, s := range shorts {
		n := fleet.TaskResources(s.Job.Spec)
		least = fleet.Resources{Cores: min(least.Cores, n.Cores), Gpus: min(least.Gpus, n.Gpus), RAM: min(least.RAM, n.RAM)}
	}
	return least
}

// pack finds room for what a job is short of, in machines of the packing or new ones. Bins
// that are full are passed over for good: at thousands of tasks, looking at each bin for each
// task took longer than a round may.
func (p *packing) pack(s sched.Shortfall) {
	need := fleet.TaskResources(s.Job.Spec)
	zones := maps.Clone(s.Job.LiveByZone)
	if zones == nil {
		zones = map[string]int{}
	}
	left := s.Count
	p.open = slices.DeleteFunc(p.open, func(i int) bool {
		b := &p.bins[i]
		for left > 0 && b.room.Fits(need) && sched.IsEligible(s.Job.Spec, b.group.Type, b.group.Zone, b.group.Spot) && zoneOK(s.Job, zones, b.group.Zone) {
			b.room = b.room.Sub(need)
			zones[b.group.Zone]++
			left--
		}
		return !b.room.Fits(p.least)
	})
	for left > 0 {
		g, room, ok := cheapest(p.cat, s.Job, zones, left, p.population, p.refused)
		if !ok {
			return
		}
		b := bin{g, room}
		for left > 0 && b.room.Fits(need) && zoneOK(s.Job, zones, g.Zone) {
			b.room = b.room.Sub(need)
			zones[g.Zone]++
			left--
		}
		if b.room.Fits(p.least) {
			p.open = append(p.open, len(p.bins))
		}
		p.bins = append(p.bins, b)
		p.population[g.Zone]++
	}
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

func zoneOK(j *sched.Job, zones map[string]int, zone string) bool {
	if j.Spec.SpreadZones && zones[zone] >= (j.Spec.TaskCount+1)/2 {
		return false
	}
	if j.Spec.SingleZone {
		for y, n := range zones {
			if n > 0 && y != zone {
				return false
			}
		}
	}
	return true
}

// cheapest picks the group with the lowest price for each task that it would
// hold; among equals, the zone with the fewest machines.
func cheapest(cat *wire.Catalog, j *sched.Job, zones map[string]int, left int, pop map[string]int, refused func(MachineGroup) bool) (MachineGroup, fleet.Resources, bool) {
	best, bestCost, bestPop := MachineGroup{}, math.Inf(1), 0
	var room fleet.Resources
	need := fleet.TaskResources(j.Spec)
	for i := range cat.MachineTypes {
		r := &cat.MachineTypes[i]
		n := Capacity(r).CountFitting(need, left)
		if n == 0 {
			continue
		}
		for _, y := range r.Zones {
			if !zoneOK(j, zones, y) {
				continue
			}
			for _, spot := range []bool{true, false} {
				g := MachineGroup{r.Name, y, spot}
				if !sched.IsEligible(j.Spec, r.Name, y, spot) || refused(g) {
					continue
				}
				if j.Spec.AllowSpot && !spot && !j.WaitedPastBoot && !j.SpotUnavailable {
					continue // spot machines are many times cheaper: worth a wait
				}
				price := r.Hourly
				if spot {
					price = r.SpotHourly
				}
				cost := price / float64(n)
				if cost < bestCost || (cost == bestCost && pop[y] < bestPop) {
					best, bestCost, bestPop, room = g, cost, pop[y], Capacity(r)
				}
			}
		}
	}
	return best, room, !math.IsInf(bestCost, 1)
}

// Headroom is how many tasks of a class to keep room for: a standard deviation of
// what arrives while a machine boots. Jobs come by chance, and legs2 is the mean
// of their tasks squared: a few large jobs vary more than many small ones.
func Headroom(jobsPerS, tasks2, bootS float64) int {
	return int(math.Ceil(math.Sqrt(jobsPerS * bootS * tasks2)))
}
