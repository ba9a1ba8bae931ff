// Package timeralign lets periodic work of a process fall on common moments. Every
// wake-up of an idle process costs processor time of its own, whatever is done
// then: what wakes it together costs one.
package timeralign

import "time"

// Grid is a sequence of moments, Unit apart. The zero Grid aligns nothing.
type Grid struct{ Unit time.Duration }

// tolerance is the part of a period by which alignment may change it.
const tolerance = 0.01

// UntilNext is how long to wait so that work of a period falls on multiples of the
// period. A period that is no multiple of the unit is waited for in full.
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

// UntilLastWithin is how long to wait to end on the grid: at most limit, and less by no more
// than a unit.
func (g Grid) UntilLastWithin(now time.Time, limit time.Duration) time.Duration {
	if g.Unit <= 0 || limit <= g.Unit {
		return limit
	}
	return limit - time.Duration(now.Add(limit).UnixNano()%int64(g.Unit))
}
