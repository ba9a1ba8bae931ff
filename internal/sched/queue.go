package sched

import (
	"cmp"
	"slices"

	"lotusstile.dev/lotusstile/wire"
)

// SortQueue sorts jobs by whether their team's quota covers them, then by priority, then by laxity,
// then age, then UID. Arrays that can no longer meet their deadline let the rest of their priority
// pass until they have waited for patienceS seconds. First tasks of arrays that should have begun go
// first within their priority, those of the oldest job before others.
func SortQueue(jobs []*Job, patienceS float64) {
	slices.SortFunc(jobs, func(a, b *Job) int { return compareQueued(a, b, patienceS) })
}

func compareQueued(a, b *Job, patienceS float64) int {
	if order := cmp.Or(compareTrueFirst(a.WithinQuota, b.WithinQuota), cmp.Compare(b.Level, a.Level)); order != 0 {
		return order
	}
	if !a.FirstTaskOverdue || !b.FirstTaskOverdue {
		order := cmp.Or(
			compareTrueFirst(a.FirstTaskOverdue, b.FirstTaskOverdue),
			compareTrueFirst(!yieldsToOthers(a, patienceS), !yieldsToOthers(b, patienceS)),
			cmp.Compare(a.LaxityS, b.LaxityS),
		)
		if order != 0 {
			return order
		}
	}
	return cmp.Or(cmp.Compare(a.QueuedSinceMs, b.QueuedSinceMs), cmp.Compare(a.Spec.UID, b.Spec.UID))
}

// yieldsToOthers reports whether a job lets the rest of its priority pass: it is late anyway, and has
// not waited too long.
func yieldsToOthers(job *Job, patienceS float64) bool {
	return job.LaxityS < 0 && job.Spec.Kind == wire.JobArray && job.WaitedS < patienceS
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int { return boolToInt(b) - boolToInt(a) }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
