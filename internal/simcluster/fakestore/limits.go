package fakestore

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"lotusstile.dev/lotusstile/wire"
)

// comparesPerChange is how many compares a transaction may have for each change that the limit TxnOps allows.
const comparesPerChange = 4

// Limits are the limits of the state store on requests. A field that is 0 sets no limit.
type Limits struct {
	ValueBytes int
	TxnOps     int
	WriteRps   float64 // changes per second
	Rps        float64 // requests per second
}

// limiter enforces the limits in force and records rejections. The store's lock guards it.
type limiter struct {
	Limits
	writes   *rate.Limiter
	requests *rate.Limiter
	rejected []string // keys of transactions that were over a size limit
}

// SetLimits puts limits into force at once, without notice to the store's clients.
func (s *Store) SetLimits(limits Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.Limits = limits
	s.limits.writes = newRateLimiter(limits.WriteRps)
	s.limits.requests = newRateLimiter(limits.Rps)
}

// RejectedKeys lists the keys of the transactions that were rejected with 400 for their size.
func (s *Store) RejectedKeys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.limits.rejected)
}

// newRateLimiter returns a limiter whose bursts may be as large as the amount that it allows per second, or nil if
// there is no limit.
func newRateLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// isOverRequestRate reports whether a request is over the rate of requests, and counts it.
func (l *limiter) isOverRequestRate() bool { return l.requests != nil && !l.requests.Allow() }

// isOverWriteRate reports whether a transaction is over the rate of changes, and counts them.
func (l *limiter) isOverWriteRate(tx wire.Transaction) bool {
	return l.writes != nil && len(tx.Changes) > 0 && !l.writes.AllowN(time.Now(), len(tx.Changes))
}

// rejectOversized reports whether a transaction is over a size limit, and records its keys if it is.
func (l *limiter) rejectOversized(tx wire.Transaction) bool {
	oversized := l.TxnOps > 0 && (len(tx.Changes) > l.TxnOps || len(tx.Compares) > comparesPerChange*l.TxnOps)
	for _, change := range tx.Changes {
		oversized = oversized || l.ValueBytes > 0 && len(change.Value) > l.ValueBytes
	}
	if !oversized {
		return false
	}
	for _, change := range tx.Changes {
		l.rejected = append(l.rejected, change.Set+change.Drop)
	}
	return true
}
