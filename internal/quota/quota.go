// Package quota decides which jobs lie within the guarantees of their teams. Such a job does
// not wait for work of other teams: that is stopped for it if it is beyond the guarantee of its own
// team, whatever its rank. It is pure and does no I/O.
package quota

import (
	"cmp"
	"slices"
)

// Amount is cores and GPUs.
type Amount struct{ Cores, Gpus float64 }

// Job is an unfinished job as guarantees see it.
type Job struct {
	UID        string
	Team       string
	Level      int    // of its rank: higher goes first
	AcceptedMs int64  // when it was accepted: earlier goes first
	Needs      Amount // of all its unfinished tasks together
}

// rounding is how much more than a guarantee counts as within it.
const rounding = 1e-6

// fitsIn reports whether an amount fits what is left of a guarantee. A guarantee of 0 is none:
// what needs any of it is beyond.
func (a Amount) fitsIn(left Amount) bool {
	return a.Cores <= left.Cores+rounding && a.Gpus <= left.Gpus+rounding
}

// Set is the jobs that lie within guarantees, by id. Teams that no job of is in it may be absent.
type Set map[string]bool

// JobsWithinQuota finds the jobs that lie within the guarantees of their teams: of each team those of the
// highest ranks, and of a rank the oldest, as far as they fit together. If all unfinished jobs of
// a team fit, all of them are within. One that does not fit leaves what is left to others.
func JobsWithinQuota(quotas map[string]Amount, jobs []Job) Set {
	left := map[string]Amount{}
	for team, amount := range quotas {
		if amount != (Amount{}) {
			left[team] = amount
		}
	}
	within := Set{}
	if len(left) == 0 {
		return within
	}
	ordered := slices.DeleteFunc(slices.Clone(jobs), func(j Job) bool { _, has := left[j.Team]; return !has })
	slices.SortFunc(ordered, func(a, b Job) int {
		return cmp.Or(cmp.Compare(b.Level, a.Level), cmp.Compare(a.AcceptedMs, b.AcceptedMs), cmp.Compare(a.UID, b.UID))
	})
	for _, j := range ordered {
		rest := left[j.Team]
		if !j.Needs.fitsIn(rest) {
			continue
		}
		left[j.Team] = Amount{rest.Cores - j.Needs.Cores, rest.Gpus - j.Needs.Gpus}
		within[j.UID] = true
	}
	return within
}
