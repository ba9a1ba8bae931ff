// Package timeralign aligns the timers of a process, and sleeps with a context. Every wake-up of an
// idle process costs processor time, however little work follows. Timers that fire at the same time
// cost a single wake-up.
package timeralign

import "time"

// Grid is the sequence of times that timers are aligned to: all multiples of Unit since the Unix epoch
// by the wall clock. The zero Grid aligns nothing.
type Grid struct{ Unit time.Duration }

// tolerance is the largest change of a period by alignment, as a fraction of the period.
const tolerance = 0.01

// UntilNext returns how long periodic work has to wait from now to its next run. If period is within 1%
// of a multiple of Unit, that multiple is used as the period, and the wait ends at the next time that
// is a multiple of it since the Unix epoch: the wait is above 0 and at most the multiple. Any other
// period is returned unchanged.
func (g Grid) UntilNext(now time.Time, period time.Duration) time.Duration {
	if g.Unit <= 0 {
		return period
	}
	aligned := period.Round(g.Unit)
	if change := (aligned - period).Abs(); aligned <= 0 || float64(change) > tolerance*float64(period) {
		return period
	}
	return aligned - time.Duration(now.UnixNano()%int64(aligned))
}

// UntilLastWithin returns how long to wait from now to the last time on the grid that is within limit.
// The wait is at most limit, and shorter than it by less than Unit. If limit is not above Unit, or the
// Grid is zero, it returns limit.
func (g Grid) UntilLastWithin(now time.Time, limit time.Duration) time.Duration {
	if g.Unit <= 0 || limit <= g.Unit {
		return limit
	}
	return limit - time.Duration(now.Add(limit).UnixNano()%int64(g.Unit))
}
