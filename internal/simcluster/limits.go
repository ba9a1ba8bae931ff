package simcluster

import (
	"time"

	"golang.org/x/time/rate"

	"lotusstile.dev/lotusstile/wire"
)

// Limits is what the state service takes. Zero fields are no limit.
type Limits struct {
	ValueBytes int
	TxnOps     int
	WriteRps   float64
	Rps        float64
}

// stateLimits is the limits in force and what came of them.
type stateLimits struct {
	Limits
	writes   *rate.Limiter
	requests *rate.Limiter
	rejected []string // keys of commits that were answered 400
}

// SetLimits brings limits into force, without notice.
func (s *State) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.Limits = l
	s.limits.writes, s.limits.requests = limiterOf(l.WriteRps), limiterOf(l.Rps)
}

// limiterOf allows bursts of one second's worth; without a limit there is none.
func limiterOf(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// tooMany reports whether a request is over the rate of requests. s.mu is held.
func (s *State) tooMany() bool { return s.limits.requests != nil && !s.limits.requests.Allow() }

// Rejected lists the keys of commits that were over the limits.
func (s *State) Rejected() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.limits.rejected...)
}

// tooLarge reports whether a commit is over a limit. s.mu is held.
func (s *State) tooLarge(tx wire.Transaction) bool {
	limits := &s.limits
	over := limits.TxnOps > 0 && (len(tx.Changes) > limits.TxnOps || len(tx.Compares) > 4*limits.TxnOps)
	for _, change := range tx.Changes {
		over = over || limits.ValueBytes > 0 && len(change.Value) > limits.ValueBytes
	}
	if !over {
		return false
	}
	for _, change := range tx.Changes {
		limits.rejected = append(limits.rejected, change.Set+change.Drop)
	}
	return true
}

// tooFast reports whether a commit is over the rate of changes. s.mu is held.
func (s *State) tooFast(tx wire.Transaction) bool {
	return s.limits.writes != nil && len(tx.Changes) > 0 && !s.limits.writes.AllowN(time.Now(), len(tx.Changes))
}
