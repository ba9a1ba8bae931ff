package sched

import (
	"cmp"
	"slices"

	"lotusstile.dev/lotusstile/wire"
)

// SortQueue sorts jobs by these criteria in order: jobs within their team's quota first, highest priority,
// least laxity, oldest job, lowest UID. Within a priority there are two exceptions. Overdue first tasks of
// arrays go before all other jobs, the oldest job first. Arrays that can no longer meet their deadline go
// last until they have waited for maxYieldS seconds.
func SortQueue(jobs []*Job, maxYieldS float64) {
	slices.SortFunc(jobs, func(a, b *Job) int { return compareQueued(a, b, maxYieldS) })
}

func compareQueued(a, b *Job, maxYieldS float64) int {
	if order := cmp.Or(compareTrueFirst(a.WithinQuota, b.WithinQuota), cmp.Compare(b.Level, a.Level)); order != 0 {
		return order
	}
	if !a.FirstTaskOverdue || !b.FirstTaskOverdue {
		order := cmp.Or(
			compareTrueFirst(a.FirstTaskOverdue, b.FirstTaskOverdue),
			compareTrueFirst(!yieldsToOthers(a, maxYieldS), !yieldsToOthers(b, maxYieldS)),
			cmp.Compare(a.LaxityS, b.LaxityS),
		)
		if order != 0 {
			return order
		}
	}
	return cmp.Or(cmp.Compare(a.QueuedSinceMs, b.QueuedSinceMs), cmp.Compare(a.Spec.UID, b.Spec.UID))
}

// yieldsToOthers reports whether a job goes after the others of its priority: an array that can no longer
// meet its deadline, and has waited for less than maxYieldS seconds.
func yieldsToOthers(job *Job, maxYieldS float64) bool {
	return job.LaxityS < 0 && job.Spec.Kind == wire.JobArray && job.WaitedS < maxYieldS
}

// compareTrueFirst is a comparison that sorts true before false.
func compareTrueFirst(a, b bool) int { return boolToInt(b) - boolToInt(a) }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
