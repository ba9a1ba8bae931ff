// Package autoscaler decides how many machines of which type a fleet needs:
//
//   - Plan decides which machines to provision for tasks that fit on no machine.
//   - Arrivals computes how much headroom to keep for jobs that must start at once.
//   - Refusals records for which machine groups the cloud had no capacity, and when to request
//     them again.
//   - Requests holds the requests that the cloud has not answered yet.
//   - Releases tracks the steps through which a machine is released.
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

// MachineGroup is a group of like machines. A request to the cloud provisions machines of one group.
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

// Capacity returns the resources of an empty machine of a type.
func Capacity(t *wire.MachineType) fleet.Resources {
	return fleet.Resources{Cores: t.Cores, Gpus: t.Gpus, RAM: t.RAMGb}
}

// FitsAnyMachine reports whether a task of the job fits an empty on-demand machine of some type
// and zone that the job may use.
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

// Demand is the input of Plan: the tasks that need machines, and the limits on provisioning.
type Demand struct {
	// Shortfalls are the tasks that fit on no machine, in the order in which they are packed.
	Shortfalls []sched.Shortfall
	// MachinesByZone counts the fleet's machines in each zone; it may be nil.
	MachinesByZone map[string]int
	// Refused reports whether a group must not be requested now, because the cloud recently had no
	// capacity for it.
	Refused func(MachineGroup) bool
	// MaxRequests is the maximum number of requests in a plan, each for at most wire.MaxProvision
	// machines. A plan exceeds it if more groups than that are needed: each gets one request.
	MaxRequests int
	// IsOverdue reports whether planning has taken too long. Plan then leaves the remaining shortfalls to the next cycle.
	IsOverdue func() bool
}

// Plan decides what to provision for the demand. Tasks that do not fit on the machines planned so
// far get new ones, of the group with the lowest price per task. The requests are sorted by group;
// further requests for the same groups follow in the same order. left is the number of shortfalls that
// were not considered because planning took too long.
func Plan(catalog *wire.Catalog, demand Demand) (requests []Request, left int) {
	p := newPacking(catalog, demand)
	for i, shortfall := range demand.Shortfalls {
		if demand.IsOverdue() {
			left = len(demand.Shortfalls) - i
			break
		}
		p.pack(shortfall)
	}
	counts := map[MachineGroup]int{}
	for i := range p.bins {
		counts[p.bins[i].group]++
	}
	requests = make([]Request, 0, len(counts))
	for group, count := range counts {
		requests = append(requests, Request{group, count})
	}
	slices.SortFunc(requests, func(a, b Request) int { return a.compare(b.MachineGroup) })
	return splitRequests(requests, demand.MaxRequests), left
}

// splitRequests splits requests into ones of at most wire.MaxProvision machines, the most that the
// cloud accepts. Each group gets one request, even if these exceed the limit; then the groups get
// further requests in turn until the limit is reached. The remaining machines are left to the next
// scheduling cycle. splitRequests modifies wanted.
func splitRequests(wanted []Request, limit int) []Request {
	var requests []Request
	remaining := len(wanted)
	for firstPass := true; remaining > 0 && (firstPass || len(requests) < limit); firstPass = false {
		remaining = 0
		for i := range wanted {
			count := min(wanted[i].Count, wire.MaxProvision)
			if count == 0 || !firstPass && len(requests) >= limit {
				continue
			}
			requests = append(requests, Request{wanted[i].MachineGroup, count})
			wanted[i].Count -= count
			remaining += wanted[i].Count
		}
	}
	return requests
}

// cloneOrEmpty returns a copy of counts, or an empty map if counts is nil.
func cloneOrEmpty(counts map[string]int) map[string]int {
	if counts == nil {
		return map[string]int{}
	}
	return maps.Clone(counts)
}
