// Package quota decides which jobs lie within the quotas of their teams. Such a job does not wait for
// work of other teams: that work is preempted for it if it is beyond the quota of its own team, whatever
// its priority. The package is pure and does no I/O.
package quota

import (
	"cmp"
	"slices"
)

// Amount is a number of cores and GPUs.
type Amount struct{ Cores, Gpus float64 }

// Job is an unfinished job as quotas see it.
type Job struct {
	UID        string
	Team       string
	Level      int    // priority level: higher goes first
	AcceptedMs int64  // when it was accepted: earlier goes first
	Needs      Amount // sum over all its unfinished tasks
}

// roundingTolerance is how much more than a quota counts as within it: sums of fractions of cores and GPUs
// are not exact.
const roundingTolerance = 1e-6

// fitsIn reports whether an amount fits what is left of a quota.
func (a Amount) fitsIn(left Amount) bool {
	return a.Cores <= left.Cores+roundingTolerance && a.Gpus <= left.Gpus+roundingTolerance
}

func (a Amount) minus(other Amount) Amount {
	return Amount{Cores: a.Cores - other.Cores, Gpus: a.Gpus - other.Gpus}
}

// Set is the jobs that lie within quotas, by UID.
type Set map[string]bool

// JobsWithinQuota returns the jobs that lie within the quotas of their teams: of each team those of the
// highest priority, and of a priority the oldest, as long as the sum of their needs fits. If all
// unfinished jobs of a team fit, all of them are within. A job that does not fit is passed over, and the
// rest of the quota goes to later ones. A team without a quota, or with one of 0 cores and 0 GPUs, has no
// job within; where only one of the two is 0, jobs that need that resource are beyond the quota.
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
	hasNoQuota := func(job Job) bool {
		_, has := left[job.Team]
		return !has
	}
	ordered := slices.DeleteFunc(slices.Clone(jobs), hasNoQuota)
	slices.SortFunc(ordered, func(a, b Job) int {
		return cmp.Or(cmp.Compare(b.Level, a.Level), cmp.Compare(a.AcceptedMs, b.AcceptedMs), cmp.Compare(a.UID, b.UID))
	})
	for _, job := range ordered {
		rest := left[job.Team]
		if !job.Needs.fitsIn(rest) {
			continue
		}
		left[job.Team] = rest.minus(job.Needs)
		within[job.UID] = true
	}
	return within
}
