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
	// cutTo is the part of the rate that is left after a cut.
	cutTo = 0.5
	// leastShare is the part of the highest rate below which no cut goes.
	leastShare = 1. / 4
	// growPerSecond is the part of the highest rate that the rate grows by in a second.
	growPerSecond = 1. / 16
	// cutEvery is how long one cut counts for all refusals: those of requests that were under
	// way when it was made say nothing new.
	cutEvery = time.Second
	// burstS is for how many seconds of the highest rate a client that was quiet may ask at once.
	burstS = 0.5
)

// Limiter is a token bucket whose rate adapts. It is safe for concurrent use.
type Limiter struct {
	tokens *rate.Limiter
	most   float64 // requests a second

	mu      sync.Mutex
	allowed float64 // requests a second now
	cut     time.Time
	grown   time.Time // up to when growth is counted
	cuts    uint64
}

// BusyError means that a request cannot be sent within the time that its sender has. After
// says when there will be room.
type BusyError struct{ After time.Duration }

func (e *BusyError) Error() string {
	return fmt.Sprintf("no request can be sent for %s", e.After.Round(time.Millisecond))
}

// New makes a limiter that allows at most so many requests a second.
func New(mostPerSecond float64) *Limiter {
	burst := max(1, int(mostPerSecond*burstS))
	return &Limiter{tokens: rate.NewLimiter(rate.Limit(mostPerSecond), burst), most: mostPerSecond, allowed: mostPerSecond}
}

// Wait waits for room for one request. If there will be none before ctx ends it returns a
// *BusyError at once and takes nothing.
func (l *Limiter) Wait(ctx context.Context) error {
	now := time.Now()
	reservation := l.tokens.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if deadline, ok := ctx.Deadline(); ok && now.Add(delay).After(deadline) {
		reservation.CancelAt(now)
		return &BusyError{After: delay}
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

// Refused notes that the service refused a request for being asked too often.
func (l *Limiter) Refused(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.cut) < cutEvery {
		return
	}
	l.cut, l.grown = now, now
	l.cuts++
	l.set(now, max(l.allowed*cutTo, l.most*leastShare))
}

// Answered notes that the service has carried out a request.
func (l *Limiter) Answered(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allowed == l.most || now.Sub(l.grown) < cutEvery {
		return
	}
	l.set(now, min(l.most, l.allowed+l.most*growPerSecond*cutEvery.Seconds()))
	l.grown = now
}

// set changes the rate. l.mu is held.
func (l *Limiter) set(now time.Time, perSecond float64) {
	l.allowed = perSecond
	l.tokens.SetLimitAt(now, rate.Limit(perSecond))
}

// Allowed is how many requests a second are allowed now.
func (l *Limiter) Allowed() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allowed
}

// Cuts counts how often the rate was cut.
func (l *Limiter) Cuts() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts
}
