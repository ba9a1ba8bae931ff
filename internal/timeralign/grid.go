// Package timeralign aligns the timers of a process, and waits with a context. Every wake-up of an
// idle process costs processor time, however little is done then; timers that fire at the same
// moment cost one wake-up.
package timeralign

import "time"

// Grid is a sequence of moments, Unit apart, that timers are aligned to. The moments are multiples of
// Unit since the Unix epoch by the wall clock. The zero Grid aligns nothing.
type Grid struct{ Unit time.Duration }

// tolerance is the part of a period by which alignment may change it at most.
const tolerance = 0.01

// UntilNext returns how long to wait from now so that periodic work falls on multiples of its period.
// For a period within 1% of a multiple of the unit, that multiple counts as the period, and the wait
// is above 0 and at most as long. Any other period is returned as it is.
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

// UntilLastWithin returns how long to wait from now to end on the grid, as late as limit allows: at
// most limit, and less by no more than a unit.
func (g Grid) UntilLastWithin(now time.Time, limit time.Duration) time.Duration {
	if g.Unit <= 0 || limit <= g.Unit {
		return limit
	}
	return limit - time.Duration(now.Add(limit).UnixNano()%int64(g.Unit))
}
