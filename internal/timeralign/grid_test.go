package timeralign

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed gives the same inputs in every run; set -rapid.seed for others.
func init() { _ = flag.Set("rapid.seed", "1") }

// Timers whose periods are multiples of the unit fire together: each wait ends on a multiple of its
// period and is at most the period.
func TestPeriodsMeetOnTheGrid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		unit := time.Duration(rapid.Int64Range(1e6, 1e9).Draw(t, "unit"))
		multiple := rapid.Int64Range(1, 20).Draw(t, "multiple")
		now := time.Unix(0, rapid.Int64Range(0, 1<<62).Draw(t, "now"))
		grid, period := Grid{Unit: unit}, time.Duration(multiple)*unit
		wait := grid.UntilNext(now, period)
		if wait <= 0 || wait > period {
			t.Fatalf("UntilNext returned %s for a period of %s, want above 0 and at most the period", wait, period)
		}
		if remainder := now.Add(wait).UnixNano() % int64(period); remainder != 0 {
			t.Fatalf("the wait ends %s after a multiple of %s, want 0s", time.Duration(remainder), period)
		}
		limit := time.Duration(rapid.Int64Range(1, 1e10).Draw(t, "limit"))
		wait = grid.UntilLastWithin(now, limit)
		if wait > limit || wait < limit-unit {
			t.Fatalf("got a wait of %s, want at most the limit %s and at least the limit less a unit of %s", wait, limit, unit)
		}
	})
}

// A period that an operator sets is kept if it is not within 1% of a multiple of the unit.
func TestOtherPeriodsAreNotAligned(t *testing.T) {
	now := time.Unix(1000, 12345)
	for _, tc := range []struct{ unit, period time.Duration }{
		{0, time.Second}, {100 * time.Millisecond, 130 * time.Millisecond}, {time.Second, 100 * time.Millisecond},
	} {
		if got := (Grid{Unit: tc.unit}).UntilNext(now, tc.period); got != tc.period {
			t.Errorf("UntilNext returned %s on a grid of %s, want the period %s", got, tc.unit, tc.period)
		}
	}
}
