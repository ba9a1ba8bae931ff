// Package aimd limits how often a client asks a service that other clients ask too. The rate
// follows additive increase, multiplicative decrease: it is cut when the service refuses a
// request for being asked too often, and grows back slowly while it answers. Clients that do the same
// come to share what the service can take (D. Chiu and R. Jain, "Analysis of the increase and
// decrease algorithms for congestion avoidance in computer networks", 1989).
package aimd

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// cutFactor is the part of the rate that is left after a cut.
	cutFactor = 0.5
	// minRateShare is the part of the highest rate below which no cut goes.
	minRateShare = 1. / 4
	// growthPerSecond is the part of the highest rate that the rate grows by in a second.
	growthPerSecond = 1. / 16
	// adjustInterval is how long one cut counts for all refusals: those of requests that were under
	// way when it was made say nothing new.
	adjustInterval = time.Second
	// burstSeconds is for how many seconds of the highest rate a client that was quiet may ask at once.
	burstSeconds = 0.5
)

// Limiter is a token bucket whose rate adapts. It is safe for concurrent use.
type Limiter struct {
	tokens  *rate.Limiter
	maxRate float64 // requests a second

	mu          sync.Mutex
	currentRate float64 // requests a second now
	lastCut     time.Time
	lastGrowth  time.Time // up to when growth is counted
	cuts        uint64
}

// BusyError means that a request cannot be sent within the time that its sender has. After
// says when there will be room.
type BusyError struct{ RetryAfter time.Duration }

func (e *BusyError) Error() string {
	return fmt.Sprintf("no request can be sent for %s", e.RetryAfter.Round(time.Millisecond))
}

// New makes a limiter that allows at most so many requests a second.
func New(mostPerSecond float64) *Limiter {
	burst := max(1, int(mostPerSecond*burstSeconds))
	return &Limiter{tokens: rate.NewLimiter(rate.Limit(mostPerSecond), burst), maxRate: mostPerSecond, currentRate: mostPerSecond}
}

// Wait waits for room for one request. If there will be none before ctx ends it returns a
// *BusyError at once and takes nothing.
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
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		reservation.Cancel()
		return ctx.Err()
	}
}

// OnThrottled notes that the service refused a request for being asked too often.
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

// OnAnswered notes that the service has carried out a request.
func (l *Limiter) OnAnswered(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.currentRate == l.maxRate || now.Sub(l.lastGrowth) < adjustInterval {
		return
	}
	l.setRate(now, min(l.maxRate, l.currentRate+l.maxRate*growthPerSecond*adjustInterval.Seconds()))
	l.lastGrowth = now
}

// set changes the rate. l.mu is held.
func (l *Limiter) setRate(now time.Time, perSecond float64) {
	l.currentRate = perSecond
	l.tokens.SetLimitAt(now, rate.Limit(perSecond))
}

// Rate is how many requests a second are allowed now.
func (l *Limiter) Rate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentRate
}

// Cuts counts how often the rate was cut.
func (l *Limiter) Cuts() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts
}
