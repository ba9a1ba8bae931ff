package election

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// Waits as parts of the lease's time to live: LeaseTTL divided by the constant.
const (
	// campaignJitterDivisor bounds the random wait before a campaign, which keeps nodes from
	// colliding at every attempt.
	campaignJitterDivisor = 40
	// delayStepDivisor gives the wait for each step of CampaignDelaySteps.
	delayStepDivisor = 8
	// deferDivisor gives the time by which a node lets one go first that is better prepared to
	// lead: longer than the random wait of either.
	deferDivisor = 16
	// retryJitterDivisor bounds the random wait after a campaign that this node did not win.
	retryJitterDivisor = 8
	// watchPauseDivisor gives the pause of the watch after a failed read.
	watchPauseDivisor = 8
)

// watchTTLs is how long one watch of the election's keys waits for a change, in units of LeaseTTL.
const watchTTLs = 2

// Run takes part in elections until ctx ends. It returns once the watch of the election's keys
// has ended too.
func (e *Elector) Run(ctx context.Context) {
	var watch sync.WaitGroup
	defer watch.Wait()
	watch.Go(func() {
		watchcache.Follow(ctx, e.Store, records.ElectionPrefix, watchTTLs*e.LeaseTTL, e.LeaseTTL/watchPauseDivisor, e)
	})
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-e.changed:
		case <-time.After(e.LeaseTTL):
		}
		if view := e.View(); !view.Synced || view.Leader != "" {
			continue
		}
		if !timeralign.Sleep(ctx, e.campaignDelay()) {
			return
		}
		if e.View().Leader != "" {
			continue
		}
		e.transition(Campaigning, "nobody leads")
		if term, leaseID, elected := e.campaign(ctx); elected {
			e.leadTerm(ctx, term, leaseID)
			continue
		}
		e.transition(Following, "not elected")
		timeralign.Sleep(ctx, jitter(e.LeaseTTL/retryJitterDivisor))
		e.notifyChanged()
	}
}

// jitter returns a random duration below limit.
func jitter(limit time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(limit))) }

// campaignDelay returns how long to wait before a campaign, so that better placed and better
// prepared nodes go first and equal ones do not collide.
func (e *Elector) campaignDelay() time.Duration {
	delay := jitter(e.LeaseTTL/campaignJitterDivisor) + time.Duration(e.CampaignDelaySteps())*e.LeaseTTL/delayStepDivisor
	if e.DeferToStandby() {
		delay += e.LeaseTTL / deferDivisor
	}
	return delay
}

// campaign makes one attempt to become leader: it creates the leader's key on a new lease. If
// elected is true the term and the lease are this node's. Otherwise a lease that was granted is
// revoked, and the view shows who leads as far as the state store answers.
func (e *Elector) campaign(ctx context.Context) (term, leaseID uint64, elected bool) {
	ctx = store.WithUrgentLane(ctx)
	leaseID, err := e.Store.GrantLease(ctx, e.LeaseTTL)
	if err != nil {
		slog.Debug("no lease was granted for a campaign", "err", err)
		return 0, 0, false
	}
	record := records.Encode(records.Leader{Node: e.Node})
	term, err = e.Store.Commit(ctx, wire.Transaction{
		Compares: []wire.Compare{{Key: records.LeaderKey, ModRevision: 0}},
		Changes: []wire.Change{
			{Set: records.LeaderKey, Value: record, LeaseID: leaseID},
			{Set: records.TermKey, Value: record},
		},
	})
	if err == nil {
		return term, leaseID, true
	}
	slog.Debug("campaign was not won", "err", err)
	if errors.Is(err, store.ErrOutcomeUnknown) {
		// The commit may have been executed: the key is then attached to this campaign's lease.
		if item, found, err := e.Store.Get(ctx, records.LeaderKey); err == nil && found && item.LeaseID == leaseID {
			return item.ModRevision, leaseID, true
		}
	}
	if err := e.Store.RevokeLease(ctx, leaseID); err != nil {
		slog.Debug("lease of a campaign that was not won could not be revoked", "err", err) // it expires by itself
	}
	e.readLeader(ctx)
	return 0, 0, false
}

// readLeader reads who leads after a campaign that this node did not win.
func (e *Elector) readLeader(ctx context.Context) {
	item, found, err := e.Store.Get(ctx, records.LeaderKey)
	if err != nil || !found {
		return // the watch will show it
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyRecord(item.Key, item.Value, item.ModRevision)
}
