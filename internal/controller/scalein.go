package controller

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/autoscaler"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// startRelease starts to release a machine to the cloud. c.mu is held.
func (c *Controller) startRelease(m *fleet.Machine, now time.Time, reason string) {
	c.fleet.MarkReturning(m, now, reason)
	if c.releases.Start(m.ID) {
		notify(c.releaseWake)
	}
}

// releaseIdle releases machines that have had nothing to do for a while and that are not kept as
// headroom, the most expensive first. A part of them at a time: the next cycle sees what is left.
// It is a part and not a number, or what a large fleet no longer needs stays for minutes: one
// machine a cycle left 250 of 450 idle. c.mu is held.
func (c *Controller) releaseIdle(shorts []sched.Shortfall, now time.Time) {
	var idle []*fleet.Machine
	c.fleet.Each(func(m *fleet.Machine) {
		if c.isIdle(m, now) && !mayServe(m, shorts) {
			idle = append(idle, m)
		}
	})
	slices.SortFunc(idle, func(a, b *fleet.Machine) int {
		return cmp.Or(cmp.Compare(hourlyPrice(c.catalog, b.Type, b.Spot), hourlyPrice(c.catalog, a.Type, a.Spot)), cmp.Compare(b.ID, a.ID))
	})
	for _, m := range idle[:(len(idle)+3)/4] {
		c.startRelease(m, now, "idle")
	}
}

// isIdle reports whether a machine has had nothing to do for long enough to be released. A
// machine costs at least a minute; what is needed again within a fraction of a boot saves a boot.
func (c *Controller) isIdle(m *fleet.Machine, now time.Time) bool {
	const bootMarginS = 10
	machineType := findMachineType(c.catalog, m.Type)
	if m.State != fleet.Ready || m.LiveCount() > 0 || c.headroomMachines[m.ID] || machineType == nil {
		return false
	}
	idleS, ageS := now.Sub(m.IdleSince).Seconds(), now.Sub(m.FirstSeen).Seconds()
	return idleS >= machineType.BootS/2 && ageS >= machineType.BootS+bootMarginS
}

// mayServe reports whether a task that has no room may run on a machine once it is empty.
// Machines that no waiting task can use are released even while tasks wait: else they could hold
// the last capacity that the cloud has, for ever.
func mayServe(m *fleet.Machine, shorts []sched.Shortfall) bool {
	return slices.ContainsFunc(shorts, func(short sched.Shortfall) bool {
		return sched.IsEligible(short.Job.Spec, m.Type, m.Zone, m.Spot) && m.Capacity.Fits(fleet.TaskResources(short.Job.Spec))
	})
}

// releaseMachines releases machines: first the record, then the request, until the cloud
// confirms. The record is dropped once no list shows its machines any more.
func (c *Controller) releaseMachines(ctx context.Context) {
	pause := c.Config.HeartbeatInterval() / 3
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-c.releaseWake:
		case <-time.After(c.untilNext(pause)):
		}
		for c.recordReleases(ctx) {
		}
		for c.sendReleases(ctx) {
		}
		c.forgetReleased(ctx)
	}
}

// recordReleases records what is to be released, as many machines to a record as a value holds:
// when a fleet loses a hundred machines at once, a commit for each held up the launches that
// replace what they ran. It reports whether it recorded any.
func (c *Controller) recordReleases(ctx context.Context) bool {
	c.mu.Lock()
	record, found := c.releases.NextRecord(c.Config.MaxValueBytes())
	c.mu.Unlock()
	if !found {
		return false
	}
	_, err := c.Store.Commit(ctx, wire.Transaction{
		Compares: []wire.Compare{{Key: records.LeaderKey, ModRevision: c.term}, {Key: record.Key}},
		Changes:  []wire.Change{{Set: record.Key, Value: records.Encode(records.ScaleIns{Hosts: record.Hosts})}},
	})
	if err != nil {
		slog.Warn("machine releases cannot be recorded", "hosts", record.Hosts, "err", err)
		c.stepDownOnLeaderConflict(err) // takes the lock itself
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.releases.Recorded(record)
		return true
	case errors.Is(err, store.ErrOutcomeUnknown):
		c.releases.MayBeStored(record)
	}
	return false
}

// sendReleases asks the cloud to take back machines whose release is recorded. It reports
// whether the cloud did.
func (c *Controller) sendReleases(ctx context.Context) bool {
	c.mu.Lock()
	hosts := c.releases.Unconfirmed(wire.MaxReturn)
	c.mu.Unlock()
	if len(hosts) == 0 {
		return false
	}
	if err := c.Cloud.Return(ctx, hosts); err != nil {
		slog.Warn("machines cannot be released", "hosts", hosts, "err", err)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, host := range hosts {
		c.releases.Confirm(host, now)
		c.fleet.MarkGone(c.fleet.Get(host), now, "released")
	}
	notify(c.placementWake) // what they ran can be placed
	return true
}

// forgetReleased drops the records of machines that are gone for long enough that no list shows
// them, those of their images first.
func (c *Controller) forgetReleased(ctx context.Context) {
	c.mu.Lock()
	clean := c.planCleanup(c.now())
	c.mu.Unlock()
	if len(clean.tx.Changes) == 0 {
		return
	}
	if _, err := c.Store.Commit(store.WithBackgroundLane(ctx), clean.tx); err != nil {
		slog.Debug("records of released machines cannot be dropped", "err", err)
		c.stepDownOnLeaderConflict(err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, host := range clean.images {
		delete(c.recordedImages, host)
	}
	for _, host := range c.releases.Drop(clean.releases) {
		c.fleet.Forget(host)
	}
}

// cleanup is a commit that drops records of released machines.
type cleanup struct {
	tx       wire.Transaction
	images   []string // machines whose images' record it drops
	releases []string // keys of the records of releases that it drops
}

// planCleanup makes the next commit that drops records of released machines. A record of releases
// goes only after those of its machines' images. c.mu is held.
func (c *Controller) planCleanup(now time.Time) cleanup {
	ops := max(minBatchChanges, c.maxBatchChanges()/3)
	clean := cleanup{tx: wire.Transaction{Compares: []wire.Compare{{Key: records.LeaderKey, ModRevision: c.term}}}}
	for _, record := range c.releases.Expired(now, 6*c.Config.CloudListLag()+3*c.Config.WorkerLease()) {
		if !c.dropImages(&clean, record, ops) || len(clean.tx.Changes) >= ops {
			break
		}
		clean.tx.Changes = append(clean.tx.Changes, wire.Change{Drop: record.Key})
		clean.releases = append(clean.releases, record.Key)
	}
	return clean
}

// dropImages adds to a commit of at most ops changes what drops the images' records of a
// record's machines. It reports whether there was room for all of them.
func (c *Controller) dropImages(clean *cleanup, record autoscaler.ReleaseRecord, ops int) bool {
	for _, host := range record.Hosts {
		if c.recordedImages[host].images == 0 {
			continue
		}
		if len(clean.tx.Changes) >= ops {
			return false
		}
		clean.tx.Changes = append(clean.tx.Changes, wire.Change{Drop: records.ImagesKey(host)})
		clean.images = append(clean.images, host)
	}
	return true
}
