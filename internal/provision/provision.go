// Package provision decides which machines to rent and which to return. It is
// pure: the controller does the calls.
package provision

import (
	"cmp"
	"math"
	"slices"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/wire"
)

// Group is what a rental asks for.
type Group struct {
	Type string
	Zone string
	Spot bool
}

// Rent asks for machines of one group.
type Rent struct {
	Group
	Count int
}

type bin struct {
	group Group
	room  fleet.Res
}

// Cap is what a machine of a type offers.
func Cap(r *wire.Rig) fleet.Res { return fleet.Res{Cores: r.Cores, Gpus: r.Gpus, RAM: r.RAMGb} }

// Fits reports whether a task of the job fits some machine that it may use.
func Fits(cat *wire.Catalog, w *wire.Work) bool {
	for i := range cat.Rigs {
		r := &cat.Rigs[i]
		if !Cap(r).Holds(fleet.Need(w)) {
			continue
		}
		for _, y := range r.Yards {
			if sched.Allowed(w, r.Sku, y, false) {
				return true
			}
		}
	}
	return false
}

// Rents decides what to rent for demand that no machine has room for, cheapest
// for the room it brings first. population is how many machines each zone has;
// refused groups are passed over.
func Rents(cat *wire.Catalog, shorts []sched.Short, population map[string]int, refused func(Group) bool) []Rent {
	var bins []bin
	pop := map[string]int{}
	for y, n := range population {
		pop[y] = n
	}
	for _, s := range shorts {
		need := fleet.Need(s.Job.Spec)
		yards := map[string]int{}
		for y, n := range s.Job.ByZone {
			yards[y] = n
		}
		for left := s.Count; left > 0; {
			if i := slices.IndexFunc(bins, func(b bin) bool {
				return b.room.Holds(need) && sched.Allowed(s.Job.Spec, b.group.Type, b.group.Zone, b.group.Spot) && yardOK(s.Job, yards, b.group.Zone)
			}); i >= 0 {
				bins[i].room = bins[i].room.Sub(need)
				yards[bins[i].group.Zone]++
				left--
				continue
			}
			g, room, ok := cheapest(cat, s.Job, yards, left, pop, refused)
			if !ok {
				break
			}
			bins = append(bins, bin{g, room})
			pop[g.Zone]++
		}
	}
	counts := map[Group]int{}
	for _, b := range bins {
		counts[b.group]++
	}
	rents := make([]Rent, 0, len(counts))
	for g, n := range counts {
		rents = append(rents, Rent{g, min(n, wire.MaxRent)})
	}
	slices.SortFunc(rents, func(a, b Rent) int {
		return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone), cmp.Compare(b.Count, a.Count))
	})
	return rents
}

func yardOK(j *sched.Job, yards map[string]int, yard string) bool {
	if j.Spec.Scatter && yards[yard] >= (j.Spec.Legs+1)/2 {
		return false
	}
	if j.Spec.Together {
		for y, n := range yards {
			if n > 0 && y != yard {
				return false
			}
		}
	}
	return true
}

// cheapest picks the group with the lowest price for each task that it would
// hold; among equals, the zone with the fewest machines.
func cheapest(cat *wire.Catalog, j *sched.Job, yards map[string]int, left int, pop map[string]int, refused func(Group) bool) (Group, fleet.Res, bool) {
	best, bestCost, bestPop := Group{}, math.Inf(1), 0
	var room fleet.Res
	need := fleet.Need(j.Spec)
	for i := range cat.Rigs {
		r := &cat.Rigs[i]
		n := Cap(r).Count(need, left)
		if n == 0 {
			continue
		}
		for _, y := range r.Yards {
			if !yardOK(j, yards, y) {
				continue
			}
			for _, standby := range []bool{true, false} {
				g := Group{r.Sku, y, standby}
				if !sched.Allowed(j.Spec, r.Sku, y, standby) || refused(g) {
					continue
				}
				if j.Spec.Standby && !standby && !j.Tired && !j.Dear {
					continue // spot machines are many times cheaper: worth a wait
				}
				price := r.Hourly
				if standby {
					price = r.LowPrice
				}
				cost := price / float64(n)
				if cost < bestCost || (cost == bestCost && pop[y] < bestPop) {
					best, bestCost, bestPop, room = g, cost, pop[y], Cap(r)
				}
			}
		}
	}
	return best, room, !math.IsInf(bestCost, 1)
}

// Spare is how many tasks of a class to keep room for: a standard deviation of
// what arrives while a machine boots. Jobs come by chance, and legs2 is the mean
// of their tasks squared: a few large jobs vary more than many small ones.
func Spare(jobsPerS, legs2, bootS float64) int {
	return int(math.Ceil(math.Sqrt(jobsPerS * bootS * legs2)))
}
