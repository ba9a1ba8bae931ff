// Package aimd limits how often a client sends requests to a service that it shares with others. The
// rate follows additive increase, multiplicative decrease: it is cut when the service refuses a
// request because it gets too many, and grows back slowly while the service answers. Clients that all
// follow this rule converge to fair shares of the service's capacity (D. Chiu and R. Jain, "Analysis
// of the increase and decrease algorithms for congestion avoidance in computer networks", 1989).
package aimd

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lotusstile.dev/lotusstile/internal/timeralign"
)

const (
	// cutFactor is the fraction of the current rate that remains after a cut.
	cutFactor = 0.5
	// minRateShare is the lowest rate, as a fraction of the highest. No cut goes below it.
	minRateShare = 1. / 4
	// growthPerSecond is the fraction of the highest rate by which the rate grows each second.
	growthPerSecond = 1. / 16
	// adjustInterval is the minimum time between two cuts, and between two steps of growth. All
	// refusals in that time lead to a single cut: requests sent before the cut were sent at the old
	// rate, so their refusals say nothing about the new one.
	adjustInterval = time.Second
	// burstSeconds sizes the burst: a client that was idle may send at once as many requests as the
	// highest rate allows in this time.
	burstSeconds = 0.5
)

// Limiter is a token bucket whose rate adapts to the service's refusals. It is safe for concurrent use.
type Limiter struct {
	tokens  *rate.Limiter
	maxRate float64 // requests a second

	mu          sync.Mutex
	currentRate float64 // requests a second
	lastCut     time.Time
	lastGrowth  time.Time // the last step of growth, or the last cut if that is later
	cuts        uint64
}

// BusyError means that a request was not sent, because the rate does not allow it before its
// deadline.
type BusyError struct {
	RetryAfter time.Duration // how long until the rate allows the request
}

// Error says how long until the rate allows the request.
func (e *BusyError) Error() string {
	return fmt.Sprintf("rate limited: no request may be sent for another %s", e.RetryAfter.Round(time.Millisecond))
}

// New returns a limiter that starts at its highest rate, maxRate requests a second.
func New(maxRate float64) *Limiter {
	burst := max(1, int(maxRate*burstSeconds))
	return &Limiter{
		tokens:      rate.NewLimiter(rate.Limit(maxRate), burst),
		maxRate:     maxRate,
		currentRate: maxRate,
	}
}

// Wait waits until the rate allows one more request. If that is after ctx's deadline, Wait returns a
// *BusyError at once and takes no token. If ctx ends while Wait is waiting, it returns ctx's error.
func (l *Limiter) Wait(ctx context.Context) error {
	now := time.Now()
	reservation := l.tokens.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if deadline, ok := ctx.Deadline(); ok && now.Add(delay).After(deadline) {
		reservation.CancelAt(now)
		return &BusyError{RetryAfter: delay}
	}
	if delay <= 0 {
		return nil
	}
	if !timeralign.Sleep(ctx, delay) {
		reservation.Cancel()
		return ctx.Err()
	}
	return nil
}

// OnThrottled cuts the rate. Call it when the service refuses a request because it gets too many.
func (l *Limiter) OnThrottled(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.lastCut) < adjustInterval {
		return
	}
	l.lastCut, l.lastGrowth = now, now
	l.cuts++
	l.setRate(now, max(l.currentRate*cutFactor, l.maxRate*minRateShare))
}

// OnAnswered lets the rate grow back. Call it when the service has executed a request.
func (l *Limiter) OnAnswered(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.currentRate == l.maxRate || now.Sub(l.lastGrowth) < adjustInterval {
		return
	}
	l.setRate(now, min(l.maxRate, l.currentRate+l.maxRate*growthPerSecond*adjustInterval.Seconds()))
	l.lastGrowth = now
}

// setRate changes the current rate; no other function does. l.mu is held.
func (l *Limiter) setRate(now time.Time, perSecond float64) {
	l.currentRate = perSecond
	l.tokens.SetLimitAt(now, rate.Limit(perSecond))
}

// Rate returns how many requests a second are allowed now.
func (l *Limiter) Rate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentRate
}

// Cuts returns how often the rate has been cut since the limiter was made. A cut at the lowest rate
// counts too.
func (l *Limiter) Cuts() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts
}
