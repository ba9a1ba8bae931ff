package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// pendingReturn is a machine that is being returned.
type pendingReturn struct {
	recorded bool      // in a returns' record
	goneAt   time.Time // when the cloud confirmed, or last listed it after that
}

// returnsRecord is a record that lists machines whose return is attempted.
type returnsRecord struct {
	key   string
	hosts []string
}

// startReturn starts the return of a machine.
func (c *Controller) startReturn(m *fleet.Machine, now time.Time, why string) {
	c.fleet.MarkReturning(m, now, why)
	if c.returns[m.ID] == nil {
		c.returns[m.ID] = &pendingReturn{}
		notify(c.returnsWake)
	}
}

// returning returns machines: first the record, then the request, until the
// cloud confirms; the record goes once no list shows its machines any more.
func (c *Controller) returning(ctx context.Context) {
	pause := c.Config.HeartbeatInterval() / 3
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-c.returnsWake:
		case <-time.After(c.untilNext(pause)):
		}
		for c.recordReturns(ctx) {
		}
		for c.sendReturns(ctx) {
		}
		c.forgetReturned(ctx)
	}
}

// recordReturns records what is to be returned, as many machines to a record as
// a value holds: when a fleet loses a hundred machines at once, a change for
// each held up the launches that replace what they ran. It reports whether it
// recorded any.
func (c *Controller) recordReturns(ctx context.Context) bool {
	c.mu.Lock()
	var hosts []string
	for id, r := range c.returns {
		if !r.recorded {
			hosts = append(hosts, id)
		}
	}
	if len(hosts) == 0 {
		c.mu.Unlock()
		return false
	}
	slices.Sort(hosts)
	hosts = records.FitNames(hosts, c.Config.ValueBytes())
	// A key is used once: were it written again, a late transaction could put
	// an older list in the place of a newer one.
	c.returnKeys++
	rec := returnsRecord{fmt.Sprintf("%s%d-%d", records.ReturnsPrefix, c.term, c.returnKeys), hosts}
	c.mu.Unlock()
	_, err := c.Store.Commit(ctx, wire.Transaction{
		Compares: []wire.Compare{{Key: records.LeaderKey, ModRevision: c.term}, {Key: rec.key}},
		Changes:  []wire.Change{{Set: rec.key, Value: records.Encode(records.Returns{Hosts: hosts})}},
	})
	if err != nil {
		slog.Warn("returns not recorded", "hosts", hosts, "err", err)
		c.stepDownOnLeaderConflict(err) // takes the lock itself
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil || errors.Is(err, store.ErrUnknown) {
		c.returnsRecords = append(c.returnsRecords, rec) // to be dropped in the end
	}
	if err != nil {
		return false
	}
	for _, id := range hosts {
		c.returns[id].recorded = true
	}
	return true
}

// sendReturns asks the cloud to take back what is recorded. It reports whether
// the cloud did.
func (c *Controller) sendReturns(ctx context.Context) bool {
	c.mu.Lock()
	var hosts []string
	for id, r := range c.returns {
		if r.recorded && r.goneAt.IsZero() {
			hosts = append(hosts, id)
		}
	}
	c.mu.Unlock()
	if len(hosts) == 0 {
		return false
	}
	slices.Sort(hosts)
	hosts = hosts[:min(len(hosts), wire.MaxReturn)]
	if err := c.Cloud.Return(ctx, hosts); err != nil {
		slog.Warn("return failed", "hosts", hosts, "err", err)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, id := range hosts {
		c.returns[id].goneAt = now
		c.fleet.MarkGone(c.fleet.Get(id), now, "returned")
	}
	notify(c.placementWake) // what they ran can be placed
	return true
}

// forgetReturned drops the records of machines that are gone for long enough
// that no list shows them, those of their images first.
func (c *Controller) forgetReturned(ctx context.Context) {
	keep := 6*c.Config.ListLag() + 3*c.Config.WorkerLease()
	ops := max(4, c.maxBatchChanges()/3)
	c.mu.Lock()
	now := c.now()
	over := func(id string) bool {
		r := c.returns[id]
		return r == nil || !r.goneAt.IsZero() && now.Sub(r.goneAt) > keep
	}
	tx := wire.Transaction{Compares: []wire.Compare{{Key: records.LeaderKey, ModRevision: c.term}}}
	var plain, done []string // machines whose images, and records, this drops
	for _, rec := range c.returnsRecords {
		if slices.ContainsFunc(rec.hosts, func(id string) bool { return !over(id) }) {
			continue
		}
		left := false
		for _, id := range rec.hosts {
			if c.recordedImages[id].images == 0 {
				continue
			}
			if left = len(tx.Changes) >= ops; left {
				break
			}
			tx.Changes = append(tx.Changes, wire.Change{Drop: records.ImagesKey(id)})
			plain = append(plain, id)
		}
		if left || len(tx.Changes) >= ops {
			break
		}
		tx.Changes = append(tx.Changes, wire.Change{Drop: rec.key})
		done = append(done, rec.key)
	}
	c.mu.Unlock()
	if len(tx.Changes) == 0 {
		return
	}
	if _, err := c.Store.Commit(store.Note(ctx), tx); err != nil {
		slog.Debug("returned machines not forgotten", "err", err)
		c.stepDownOnLeaderConflict(err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range plain {
		delete(c.recordedImages, id)
	}
	c.returnsRecords = slices.DeleteFunc(c.returnsRecords, func(rec returnsRecord) bool {
		if !slices.Contains(done, rec.key) {
			return false
		}
		for _, id := range rec.hosts {
			delete(c.returns, id)
			c.fleet.Forget(id)
		}
		return true
	})
}
