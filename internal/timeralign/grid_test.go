package timeralign

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The same inputs every run; -rapid.seed draws others.
func init() { _ = flag.Set("rapid.seed", "1") }

// Timers whose periods are multiples of the unit fire together: each wait ends on a
// multiple of its period, and no wait is longer than the period.
func TestPeriodsMeetOnTheGrid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		unit := time.Duration(rapid.Int64Range(1e6, 1e9).Draw(t, "unit"))
		multiple := rapid.Int64Range(1, 20).Draw(t, "multiple")
		now := time.Unix(0, rapid.Int64Range(0, 1<<62).Draw(t, "now"))
		grid, period := Grid{Unit: unit}, time.Duration(multiple)*unit
		wait := grid.UntilNext(now, period)
		if wait <= 0 || wait > period {
			t.Fatalf("waits %s for a period of %s", wait, period)
		}
		if off := now.Add(wait).UnixNano() % int64(period); off != 0 {
			t.Fatalf("ends %s past a multiple of %s", time.Duration(off), period)
		}
		limit := time.Duration(rapid.Int64Range(1, 1e10).Draw(t, "limit"))
		wait = grid.UntilLastWithin(now, limit)
		if wait > limit || wait < limit-unit {
			t.Fatalf("waits %s of at most %s with a unit of %s", wait, limit, unit)
		}
	})
}

// A period that an operator sets is kept if it is no multiple of the unit.
func TestOtherPeriodsAreNotAligned(t *testing.T) {
	now := time.Unix(1000, 12345)
	for _, tc := range []struct{ unit, period time.Duration }{
		{0, time.Second}, {100 * time.Millisecond, 130 * time.Millisecond}, {time.Second, 100 * time.Millisecond},
	} {
		if got := (Grid{Unit: tc.unit}).UntilNext(now, tc.period); got != tc.period {
			t.Errorf("a period of %s becomes %s on a grid of %s", tc.period, got, tc.unit)
		}
	}
}
