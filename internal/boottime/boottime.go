// Package boottime learns how long machines take to come up, by type and zone. The cloud's
// catalog names a time for each type; what machines really take is a multiple of that, which
// changes with the hour. The logarithm of the multiple is taken as normally distributed, and its
// mean and variance are estimated from what was seen lately together with what the
// cloud's protocol lets expect, which counts as a few observations (a conjugate prior with
// exponential forgetting).
package boottime

import "math"

const (
	// priorSpread is the standard deviation of the logarithm before anything was seen: usually
	// a boot takes 0.6 to 1.5 times the catalog's time, two deviations to either side.
	priorSpread = 0.25
	// priorWeight is how many observations that counts as.
	priorWeight = 4
	// kept is the part of the weight of earlier observations that is left by each new one.
	kept = 0.9
)

// Deviations of the logarithm above its mean at which something is done: few machines that come
// up at all take longer.
const (
	likelyDeviations = 2 // a machine is counted on until then
	surelyDeviations = 5 // after that it is taken for one that never comes up
)

// Bounds of what is done, in multiples of the catalog's time: a boot is waited for at least as
// long as the catalog says, and no hour is so bad that machines which never come up are paid for
// much longer.
const (
	leastLikely, mostLikely = 1.2, 4
	leastSurely, mostSurely = 2.5, 6
)

// Group is machines that boot alike.
type Group struct{ Type, Zone string }

// sums are the discounted moments of the observations of a group.
type sums struct{ weight, first, second float64 }

// Model is what has been learned. The zero value is not usable: see New.
type Model struct{ groups map[Group]*sums }

// New makes a model that has seen nothing.
func New() *Model { return &Model{groups: map[Group]*sums{}} }

// Observe takes the boot of a machine that came up after tookS seconds, where the catalog says
// catalogS. Times that are not above 0 say nothing.
func (m *Model) Observe(g Group, tookS, catalogS float64) {
	if !(tookS > 0) || !(catalogS > 0) || math.IsInf(tookS, 1) {
		return
	}
	s := m.groups[g]
	if s == nil {
		s = &sums{}
		m.groups[g] = s
	}
	x := math.Log(tookS / catalogS)
	s.weight = kept*s.weight + 1
	s.first = kept*s.first + x
	s.second = kept*s.second + x*x
}

// estimate is the mean and the standard deviation of the logarithm of the multiple.
func (m *Model) estimate(g Group) (mean, spread float64) {
	s := m.groups[g]
	if s == nil {
		s = &sums{}
	}
	weight := priorWeight + s.weight
	mean = s.first / weight
	second := (priorWeight*priorSpread*priorSpread + s.second) / weight
	return mean, math.Sqrt(max(0, second-mean*mean))
}

// multiple is the multiple of the catalog's time that is so many deviations above the mean.
func (m *Model) multiple(g Group, deviations, least, most float64) float64 {
	mean, spread := m.estimate(g)
	return min(max(math.Exp(mean+deviations*spread), least), most)
}

// LikelyWithin is the multiple of the catalog's time within which a machine that comes up at all
// has likely done so.
func (m *Model) LikelyWithin(g Group) float64 {
	return m.multiple(g, likelyDeviations, leastLikely, mostLikely)
}

// SurelyWithin is the multiple after which a machine will not come up any more.
func (m *Model) SurelyWithin(g Group) float64 {
	return max(m.LikelyWithin(g), m.multiple(g, surelyDeviations, leastSurely, mostSurely))
}
