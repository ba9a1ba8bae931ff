package election

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/timeralign"
)

const (
	// renewalsPerTTL is how many times the leader's lease is renewed in each LeaseTTL.
	renewalsPerTTL = 4
	// throttledRenewalsPerTTL is how many renewals are attempted in each LeaseTTL while the state store refuses them
	// because it receives too many requests.
	throttledRenewalsPerTTL = 20
	// renewalTimeoutDivisor gives the timeout of one renewal: LeaseTTL divided by it.
	renewalTimeoutDivisor = 2
)

// leadTerm leads a term until its lease ends, this node observes a newer term, or the leadership is transferred. While
// the lease cannot be renewed, the term continues as LeadingUnconfirmed, so that it can survive an outage of the state
// store. That is safe because every commit compares the leader's key.
func (e *Elector) leadTerm(ctx context.Context, term, leaseID uint64) {
	termCtx, endTerm := context.WithCancel(ctx)
	defer endTerm()
	e.beginTerm(term, endTerm)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Lead(termCtx, term)
	}()
	began := time.Now()
	switch e.keepLease(termCtx, term, leaseID, endTerm) {
	case transferred:
		slog.Info("transferring the leadership to a better placed node", "term", term)
		endTerm()
		e.revokeLease(ctx, term, leaseID)
	case stalled:
		e.recordStall(term, time.Since(began))
		endTerm()
		e.revokeLease(ctx, term, leaseID)
	case termOver:
	}
	e.finishTerm(term)
	<-done
	e.endStall()
	e.notifyViewChanged()
}

// beginTerm records that this node leads a term, and the function that ends the term. If this node has already observed
// a newer term, beginTerm ends the term at once, and the view keeps the leader of the newer one.
func (e *Elector) beginTerm(term uint64, endTerm context.CancelFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ownTerm, e.endTerm = term, endTerm
	if e.view.Term > term {
		endTerm()
	} else {
		e.view.Term, e.view.Leader, e.view.ConfirmedTerm = term, e.Node, max(term, e.view.ConfirmedTerm)
	}
	e.setState(Leading, "elected")
}

// finishTerm records that this node's term has ended.
func (e *Elector) finishTerm(term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endTerm = nil
	if e.view.Leader == e.Node && e.view.Term == term {
		e.view.Leader = ""
	}
	e.setState(Following, "term ended")
}

// leaseOutcome is the reason why a lease is no longer renewed.
type leaseOutcome int

// The reasons. Unless the term is over, the caller of keepLease must end it.
const (
	termOver    leaseOutcome = iota
	transferred              // the leadership should be transferred to a better placed node
	stalled                  // the work of the term makes no progress
)

// keepLease renews the lease of a term until the term ends, the leadership should be transferred, or the term has
// stalled. If the state store reports that the lease has ended, keepLease calls endTerm.
func (e *Elector) keepLease(termCtx context.Context, term, leaseID uint64, endTerm context.CancelFunc) leaseOutcome {
	lastRenewed := time.Now() // when the latest successful renewal began
	stall := newStallDetector(e.Progress(), lastRenewed, e.stallBound())
	wait := e.Timers.UntilNext(lastRenewed, e.LeaseTTL/renewalsPerTTL)
	for termCtx.Err() == nil && timeralign.Sleep(termCtx, wait) {
		attemptedAt := time.Now()
		err := e.renewLease(termCtx, leaseID)
		wait = e.Timers.UntilNext(time.Now(), e.LeaseTTL/renewalsPerTTL)
		switch {
		case errors.Is(err, store.ErrThrottled):
			// The store works but limits its request rate: an earlier retry may succeed.
			wait = e.LeaseTTL / throttledRenewalsPerTTL
		case err == nil:
			lastRenewed = attemptedAt
			e.transition(Leading, "lease renewed")
		case errors.Is(err, store.ErrLeaseNotFound):
			slog.Info("leader's lease has ended: the term ends", "term", term)
			endTerm()
		}
		if time.Since(lastRenewed) > e.LeaseTTL {
			e.transition(LeadingUnconfirmed, "lease not renewed")
		}
		switch {
		case stall.isStalled(e.Progress(), time.Now()) && e.MayYield():
			return stalled
		case err == nil && e.TransferWanted():
			return transferred
		}
	}
	return termOver
}

// renewLease makes one attempt to renew the lease of this node's term.
func (e *Elector) renewLease(ctx context.Context, leaseID uint64) error {
	ctx, cancel := context.WithTimeout(store.WithUrgentLane(ctx), e.LeaseTTL/renewalTimeoutDivisor)
	defer cancel()
	return e.Store.RenewLease(ctx, leaseID)
}
