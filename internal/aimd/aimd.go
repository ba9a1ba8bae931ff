// Package aimd limits how often a client sends requests to a service that it shares with others. The
// rate follows additive increase, multiplicative decrease: it is cut when the service refuses a
// request for being asked too often, and grows back slowly while it answers. Clients that do the same
// come to share the service's capacity (D. Chiu and R. Jain, "Analysis of the increase and
// decrease algorithms for congestion avoidance in computer networks", 1989).
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
	// cutFactor is the part of the current rate that is left after a cut.
	cutFactor = 0.5
	// minRateShare is the part of the highest rate that is left whatever is cut.
	minRateShare = 1. / 4
	// growthPerSecond is the part of the highest rate that the rate grows by in a second.
	growthPerSecond = 1. / 16
	// adjustInterval is the least time between two cuts, and between two steps of growth. One cut
	// is the reaction to all refusals in that time: requests that were sent before the cut were
	// sent at the old rate, so their refusals say nothing about the new one.
	adjustInterval = time.Second
	// burstSeconds, in seconds of the highest rate, is how many requests a client that was idle may
	// send at once.
	burstSeconds = 0.5
)

// Limiter is a token bucket whose rate adapts. It is safe for concurrent use.
type Limiter struct {
	tokens  *rate.Limiter
	maxRate float64 // requests a second

	mu          sync.Mutex
	currentRate float64 // requests a second
	lastCut     time.Time
	lastGrowth  time.Time // the last step of growth, or the last cut if that is later
	cuts        uint64
}

// BusyError means that a request cannot be sent within the time that its sender has. It was not
// sent.
type BusyError struct {
	RetryAfter time.Duration // when there will be room
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("no request can be sent for %s", e.RetryAfter.Round(time.Millisecond))
}

// New makes a limiter that starts at its highest rate, in requests a second.
func New(maxRate float64) *Limiter {
	burst := max(1, int(maxRate*burstSeconds))
	return &Limiter{
		tokens:      rate.NewLimiter(rate.Limit(maxRate), burst),
		maxRate:     maxRate,
		currentRate: maxRate,
	}
}

// Wait waits for room for one request. If there will be none before ctx's deadline it returns a
// *BusyError at once and takes no token; if ctx ends while it waits it returns ctx's error.
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

// OnThrottled cuts the rate: the service refused a request for being asked too often.
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

// OnAnswered lets the rate grow back: the service executed a request.
func (l *Limiter) OnAnswered(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.currentRate == l.maxRate || now.Sub(l.lastGrowth) < adjustInterval {
		return
	}
	l.setRate(now, min(l.maxRate, l.currentRate+l.maxRate*growthPerSecond*adjustInterval.Seconds()))
	l.lastGrowth = now
}

// setRate is the one function that changes the rate. l.mu is held.
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
