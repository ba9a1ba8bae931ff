package boottime

import (
	"flag"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// The same inputs every run; -rapid.seed draws others.
func init() { _ = flag.Set("rapid.seed", "1") }

var group = Group{"g8", "a"}

// Before anything is seen, what is expected is the protocol's usual range.
func TestExpectedBeforeAnythingIsSeen(t *testing.T) {
	m := New()
	if likely, surely := m.LikelyWithin(group), m.SurelyWithin(group); math.Abs(likely-1.65) > 0.1 || math.Abs(surely-3.5) > 0.1 {
		t.Errorf("likely within %.2f, surely within %.2f", likely, surely)
	}
}

// Whatever the hour is like, after some boots most that follow come up within what is called
// likely, what is called sure is no less, other groups learn nothing, and once boots are usual
// again it is forgotten.
func TestHourIsLearnedAndForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		factor := rapid.Float64Range(0.05, 2.3).Draw(t, "factor")
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		const catalogS = 45
		boot := func(factor float64) float64 { return catalogS * factor * math.Exp(r.NormFloat64()*priorSpread) }
		m := New()
		for range 15 {
			m.Observe(group, boot(factor), catalogS)
		}
		late, likely := 0, m.LikelyWithin(group)
		for range 200 {
			if boot(factor) > likely*catalogS {
				late++
			}
		}
		if late > 40 && likely < mostLikely {
			t.Fatalf("%d of 200 boots take longer than %.2f times the catalog's, at %.2f times as long", late, likely, factor)
		}
		if m.SurelyWithin(group) < likely || likely < leastLikely || m.SurelyWithin(group) > mostSurely {
			t.Fatalf("likely within %.2f, surely within %.2f", likely, m.SurelyWithin(group))
		}
		if other := m.LikelyWithin(Group{"g8", "b"}); math.Abs(other-1.65) > 0.1 {
			t.Fatalf("another zone is expected within %.2f", other)
		}
		for range 60 {
			m.Observe(group, boot(1), catalogS)
		}
		if likely := m.LikelyWithin(group); likely > 2.6 {
			t.Fatalf("after usual boots again it is %.2f", likely)
		}
	})
}

// Malformed times are passed over.
func TestTimesThatSayNothing(t *testing.T) {
	m := New()
	for _, took := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		m.Observe(group, took, 45)
	}
	m.Observe(group, 45, 0)
	if got := m.LikelyWithin(group); math.Abs(got-1.65) > 0.1 {
		t.Errorf("likely within %v", got)
	}
}
