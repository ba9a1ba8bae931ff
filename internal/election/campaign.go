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

// Durations as fractions of the time to live of the leader's lease: each is LeaseTTL divided by the constant.
const (
	// campaignJitterDivisor gives the upper bound of the random wait before a campaign. The wait keeps nodes from
	// campaigning at the same moment in every attempt.
	campaignJitterDivisor = 40
	// delayStepDivisor gives the wait before a campaign for each step of CampaignDelaySteps.
	delayStepDivisor = 8
	// deferDivisor gives the extra wait before a campaign while DeferToStandby is true. It is longer than the random
	// wait of either node, so that the node that is better prepared to lead campaigns first.
	deferDivisor = 16
	// retryJitterDivisor gives the upper bound of the random wait after a campaign that this node did not win.
	retryJitterDivisor = 8
	// watchPauseDivisor gives the pause before the election's keys are read again after a failed read.
	watchPauseDivisor = 8
)

// watchTimeoutTTLs is how long one watch request for the election's keys waits for a change, in multiples of LeaseTTL.
const watchTimeoutTTLs = 2

// Run takes part in elections until ctx ends. It returns after the goroutine that watches the election's keys has
// ended.
func (e *Elector) Run(ctx context.Context) {
	var watcher sync.WaitGroup
	defer watcher.Wait()
	watcher.Go(func() {
		watchcache.Follow(ctx, e.Store, records.ElectionPrefix, watchTimeoutTTLs*e.LeaseTTL, e.LeaseTTL/watchPauseDivisor, e)
	})
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-e.viewChanged:
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
		e.transition(Campaigning, "there is no leader")
		if term, leaseID, elected := e.campaign(ctx); elected {
			e.leadTerm(ctx, term, leaseID)
			continue
		}
		e.transition(Following, "not elected")
		timeralign.Sleep(ctx, jitter(e.LeaseTTL/retryJitterDivisor))
		e.notifyViewChanged()
	}
}

// jitter returns a random duration below limit.
func jitter(limit time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(limit))) }

// campaignDelay returns how long to wait before a campaign: nodes that are better placed or better prepared to lead
// campaign first, and equal nodes campaign at different times.
func (e *Elector) campaignDelay() time.Duration {
	delay := jitter(e.LeaseTTL/campaignJitterDivisor) + time.Duration(e.CampaignDelaySteps())*e.LeaseTTL/delayStepDivisor
	if e.DeferToStandby() {
		delay += e.LeaseTTL / deferDivisor
	}
	return delay
}

// campaign makes one attempt to become leader: it creates the leader's key, attached to a new lease. If elected is
// true, this node leads the returned term by the returned lease. If elected is false although a lease was granted,
// campaign revokes that lease, and updates the view with the leader if the state store answers.
func (e *Elector) campaign(ctx context.Context) (term, leaseID uint64, elected bool) {
	ctx = store.WithUrgentLane(ctx)
	leaseID, err := e.Store.GrantLease(ctx, e.LeaseTTL)
	if err != nil {
		slog.Debug("campaign got no lease from the state store", "err", err)
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
	slog.Debug("commit of a campaign returned an error", "err", err)
	if errors.Is(err, store.ErrOutcomeUnknown) {
		// The commit may have been executed. If it was, the leader's key is attached to this campaign's lease.
		if item, found, err := e.Store.Get(ctx, records.LeaderKey); err == nil && found && item.LeaseID == leaseID {
			return item.ModRevision, leaseID, true
		}
	}
	if err := e.Store.RevokeLease(ctx, leaseID); err != nil {
		slog.Debug("lease of a campaign that was not won could not be revoked", "err", err) // the lease expires by itself
	}
	e.readLeader(ctx)
	return 0, 0, false
}

// readLeader reads the leader's key after a campaign that this node did not win, and applies it to the view.
func (e *Elector) readLeader(ctx context.Context) {
	item, found, err := e.Store.Get(ctx, records.LeaderKey)
	if err != nil || !found {
		return // the watch will report the leader
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyRecord(item.Key, item.Value, item.ModRevision)
}
