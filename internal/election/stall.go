package election

import (
	"log/slog"
	"time"
)

// A leader whose work has stalled, for example in a computation that holds its lock, could renew its lease for as
// long as its process lives, and nothing would be scheduled meanwhile. keepLease therefore watches Options.Progress, and
// ends a term that makes none.
//
// The cause may lie in the records, so that each leader meets it. Two rules keep the service from going from bad
// to worse then. A term ends only if MayYield says that other nodes can lead and still renew the workers' leases; and
// each stalled term doubles the bound of this node's next terms.

const (
	// stallTTLs is how long a term may make no progress, in multiples of LeaseTTL.
	stallTTLs = 3
	// maxStallDoublings limits how often stalled terms double that bound.
	maxStallDoublings = 4
	// steadyTTLs is how long a term must last, in multiples of LeaseTTL, so that earlier stalled terms no longer count.
	steadyTTLs = 64
)

// stallDetector tells when a term has made no progress for too long. A pause of the process also stops the progress,
// but the renewals with it: it takes as many observations without progress as there are renewals in a LeaseTTL.
type stallDetector struct {
	bound        time.Duration
	progress     uint64
	progressedAt time.Time
	observations int // since progressedAt
}

func newStallDetector(progress uint64, now time.Time, bound time.Duration) *stallDetector {
	return &stallDetector{bound: bound, progress: progress, progressedAt: now}
}

// isStalled observes the progress and reports whether there has been none for too long.
func (d *stallDetector) isStalled(progress uint64, now time.Time) bool {
	if progress != d.progress {
		d.progress, d.progressedAt, d.observations = progress, now, 0
		return false
	}
	d.observations++
	return d.observations >= renewalsPerTTL && now.Sub(d.progressedAt) > d.bound
}

// stallBound returns how long this node's next term may make no progress.
func (e *Elector) stallBound() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return stallTTLs * e.LeaseTTL << min(e.stalledTerms, maxStallDoublings)
}

// Stalled reports whether a term of this node has ended because it made no progress, and its work has not ended yet.
func (e *Elector) Stalled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stalled
}

// recordStall records that the term that this node leads has stalled. Earlier stalled terms no longer count if this one
// lasted for long.
func (e *Elector) recordStall(term uint64, lasted time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if lasted > steadyTTLs*e.LeaseTTL {
		e.stalledTerms = 0
	}
	e.stalledTerms++
	e.stalled = true
	slog.Error("term ends: the leader's work makes no progress", "term", term, "lasted", lasted.String(), "stalled_terms", e.stalledTerms)
}

// endStall records that the work of a stalled term has ended.
func (e *Elector) endStall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = false
}
