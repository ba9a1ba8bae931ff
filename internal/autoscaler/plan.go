// Package autoscaler decides how many machines of which type a fleet needs: which to provision
// for tasks that have no room (Plan), how much headroom to keep for work that must start at
// once (Arrivals), which machine groups to ask for again after the cloud had no capacity
// (Refusals), which requests are not answered yet (Requests), and through which steps a machine is
// released (Releases).
//
// Nothing here waits, calls the cloud or takes a lock: the controller does, and passes in what
// the decisions need. No type of the package is safe for concurrent use.
package autoscaler

import (
	"cmp"
	"maps"
	"slices"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/wire"
)

// MachineGroup is what one call to the cloud can provision: machines that are alike.
type MachineGroup struct {
	Type string
	Zone string
	Spot bool
}

// compare orders groups by type and zone, spot machines first.
func (g MachineGroup) compare(other MachineGroup) int {
	return cmp.Or(cmp.Compare(g.Type, other.Type), cmp.Compare(g.Zone, other.Zone), compareSpotFirst(g.Spot, other.Spot))
}

func compareSpotFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Request asks for Count machines of one group.
type Request struct {
	MachineGroup
	Count int
}

// Capacity returns what a machine of a type offers.
func Capacity(t *wire.MachineType) fleet.Resources {
	return fleet.Resources{Cores: t.Cores, Gpus: t.Gpus, RAM: t.RAMGb}
}

// FitsAnyMachine reports whether a task of the job fits an empty on-demand machine of some type
// and zone that it may use.
func FitsAnyMachine(catalog *wire.Catalog, spec *wire.JobSpec) bool {
	need := fleet.TaskResources(spec)
	for i := range catalog.MachineTypes {
		t := &catalog.MachineTypes[i]
		if !Capacity(t).Fits(need) {
			continue
		}
		for _, zone := range t.Zones {
			if sched.IsEligible(spec, t.Name, zone, false) {
				return true
			}
		}
	}
	return false
}

// Demand is what machines are provisioned for, and what limits them.
type Demand struct {
	// Shorts are the tasks that no machine has room for, in the order in which they are packed.
	Shorts []sched.Shortfall
	// MachinesByZone counts the machines of the fleet; it may be nil.
	MachinesByZone map[string]int
	// Refused reports whether the cloud has lately had no capacity for a group.
	Refused func(MachineGroup) bool
	// Calls is how many requests may be made at once, each for at most wire.MaxProvision
	// machines. Every group that is needed gets one, also if these are more.
	Calls int
}

// Plan decides what to provision for the demand. Each task gets a machine of the group with the
// lowest price per task. The requests are in a fixed order, by group.
func Plan(catalog *wire.Catalog, demand Demand) []Request {
	p := newPacking(catalog, demand)
	for _, short := range demand.Shorts {
		p.pack(short)
	}
	counts := map[MachineGroup]int{}
	for i := range p.bins {
		counts[p.bins[i].group]++
	}
	requests := make([]Request, 0, len(counts))
	for group, count := range counts {
		requests = append(requests, Request{group, count})
	}
	slices.SortFunc(requests, func(a, b Request) int { return a.compare(b.MachineGroup) })
	return splitIntoCalls(requests, demand.Calls)
}

// splitIntoCalls splits requests into ones that the cloud accepts in one call each: first one for
// each group, then more for the groups in turn until no calls are left. The rest waits for the
// next cycle. It changes wanted.
func splitIntoCalls(wanted []Request, calls int) []Request {
	var requests []Request
	left := len(wanted)
	for first := true; left > 0 && (first || len(requests) < calls); first = false {
		left = 0
		for i := range wanted {
			count := min(wanted[i].Count, wire.MaxProvision)
			if count == 0 || !first && len(requests) >= calls {
				continue
			}
			requests = append(requests, Request{wanted[i].MachineGroup, count})
			wanted[i].Count -= count
			left += wanted[i].Count
		}
	}
	return requests
}

// cloneOrEmpty returns a copy of the counts that can be written to, also of nil.
func cloneOrEmpty(counts map[string]int) map[string]int {
	if counts == nil {
		return map[string]int{}
	}
	return maps.Clone(counts)
}
