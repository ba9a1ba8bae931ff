// Package quota decides which jobs lie within the quotas of their teams. A job within its team's quota does
// not wait for other teams' jobs that are beyond their quotas: these are preempted for it, whatever their
// priority. The package keeps no state and does no I/O.
package quota

import (
	"cmp"
	"slices"
)

// Amount is a number of cores and GPUs.
type Amount struct{ Cores, Gpus float64 }

// Job holds the fields of an unfinished job that decide whether it lies within a quota.
type Job struct {
	UID        string
	Team       string
	Level      int    // priority level: jobs of a higher level come first
	AcceptedMs int64  // when it was accepted: earlier jobs come first
	Needs      Amount // sum of the requests of all its unfinished tasks
}

// roundingTolerance is how far an amount may exceed a quota and still count as within it, since sums of
// fractions of cores and GPUs are not exact.
const roundingTolerance = 1e-6

// fitsIn reports whether an amount fits into the remaining part of a quota.
func (a Amount) fitsIn(remaining Amount) bool {
	return a.Cores <= remaining.Cores+roundingTolerance && a.Gpus <= remaining.Gpus+roundingTolerance
}

func (a Amount) minus(other Amount) Amount {
	return Amount{Cores: a.Cores - other.Cores, Gpus: a.Gpus - other.Gpus}
}

// JobSet holds the UIDs of the jobs that lie within quotas.
type JobSet map[string]bool

// JobsWithinQuota returns the jobs that lie within the quotas of their teams. It takes the jobs of a team by
// priority, highest first, and within a priority by age, oldest first, as long as the sum of their needs
// fits into the quota. A job that does not fit is skipped, and the remaining quota goes to later jobs. If all
// unfinished jobs of a team fit, all of them are within the quota. A team without a quota, or with one of 0
// cores and 0 GPUs, has no job within its quota. If only one of the two is 0, jobs that need that resource
// are beyond the quota.
func JobsWithinQuota(quotas map[string]Amount, jobs []Job) JobSet {
	remaining := map[string]Amount{}
	for team, amount := range quotas {
		if amount != (Amount{}) {
			remaining[team] = amount
		}
	}
	within := JobSet{}
	if len(remaining) == 0 {
		return within
	}
	hasNoQuota := func(job Job) bool {
		_, found := remaining[job.Team]
		return !found
	}
	ordered := slices.DeleteFunc(slices.Clone(jobs), hasNoQuota)
	slices.SortFunc(ordered, func(a, b Job) int {
		return cmp.Or(cmp.Compare(b.Level, a.Level), cmp.Compare(a.AcceptedMs, b.AcceptedMs), cmp.Compare(a.UID, b.UID))
	})
	for _, job := range ordered {
		available := remaining[job.Team]
		if !job.Needs.fitsIn(available) {
			continue
		}
		remaining[job.Team] = available.minus(job.Needs)
		within[job.UID] = true
	}
	return within
}
