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
	// renewalsPerTTL is how often the leader's lease is renewed in its time to live.
	renewalsPerTTL = 4
	// throttledRenewalsPerTTL is how many attempts there are in that time while the state store
	// refuses them because it gets too many requests.
	throttledRenewalsPerTTL = 20
	// renewalTimeoutDivisor of the time to live gives the time-out of one renewal.
	renewalTimeoutDivisor = 2
)

// leadTerm leads a term until its lease ends, a newer term is seen, or the leadership is
// transferred. While the lease cannot be renewed the term goes on unconfirmed: it may outlive an
// outage of the state store, and every commit compares the leader's key.
func (e *Elector) leadTerm(ctx context.Context, term, leaseID uint64) {
	termCtx, endTerm := context.WithCancel(ctx)
	defer endTerm()
	e.beginTerm(term, endTerm)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Lead(termCtx, term)
	}()
	if transfer := e.keepLease(termCtx, term, leaseID, endTerm); transfer {
		endTerm()
		e.revokeForTransfer(ctx, term, leaseID)
	}
	e.finishTerm(term)
	<-done
	e.notifyChanged()
}

// beginTerm records that this node leads a term; endTerm is what ends it. A term that is not the
// newest one ends at once.
func (e *Elector) beginTerm(term uint64, endTerm context.CancelFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ownTerm, e.endTerm = term, endTerm
	e.view.Term, e.view.Leader, e.view.ConfirmedTerm = max(term, e.view.Term), e.Node, max(term, e.view.ConfirmedTerm)
	if e.view.Term > term {
		endTerm()
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

// keepLease renews the lease of a term until the term ends, or until the leadership should be
// transferred: then it returns true, and the caller ends the term. It calls endTerm once the state
// store says that the lease has ended.
func (e *Elector) keepLease(termCtx context.Context, term, leaseID uint64, endTerm context.CancelFunc) (transfer bool) {
	renewed := time.Now() // the start of the latest renewal that succeeded
	wait := e.Timers.UntilNext(renewed, e.LeaseTTL/renewalsPerTTL)
	for termCtx.Err() == nil && timeralign.Sleep(termCtx, wait) {
		begun := time.Now()
		err := e.renewLease(termCtx, leaseID)
		wait = e.Timers.UntilNext(time.Now(), e.LeaseTTL/renewalsPerTTL)
		switch {
		case errors.Is(err, store.ErrThrottled):
			// The store is well: another attempt may find room in its limits.
			wait = e.LeaseTTL / throttledRenewalsPerTTL
		case err == nil:
			renewed = begun
			e.transition(Leading, "lease renewed")
		case errors.Is(err, store.ErrLeaseNotFound):
			slog.Info("the leader's lease has ended, so the term ends", "term", term)
			endTerm()
		}
		if time.Since(renewed) > e.LeaseTTL {
			e.transition(LeadingUnconfirmed, "lease not renewed")
		}
		if err == nil && e.TransferWanted() {
			return true
		}
	}
	return false
}

// renewLease makes one attempt to renew the lease of this node's term.
func (e *Elector) renewLease(ctx context.Context, leaseID uint64) error {
	ctx, cancel := context.WithTimeout(store.WithUrgentLane(ctx), e.LeaseTTL/renewalTimeoutDivisor)
	defer cancel()
	return e.Store.RenewLease(ctx, leaseID)
}
