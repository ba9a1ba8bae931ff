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

// startRelease starts to release a machine to the cloud: it gets no more launches from now on, and
// releaseMachines does the rest. c.mu is held.
func (c *Controller) startRelease(m *fleet.Machine, now time.Time, reason string) {
	c.fleet.MarkReturning(m, now, reason)
	if c.releases.Start(m.ID) {
		notify(c.releaseWake)
	}
}

// releaseIdle releases machines that have been idle for a while and that are not headroom, the
// most expensive first. It releases a quarter of them in each cycle, since the next cycle may need
// some of the rest. It is a share and not a number: when one machine was released in each cycle, a
// large fleet kept machines that it did not need for minutes, 250 of 450 idle. c.mu is held.
func (c *Controller) releaseIdle(shorts []sched.Shortfall, now time.Time) {
	var idle []*fleet.Machine
	c.fleet.Each(func(m *fleet.Machine) {
		if c.isReleasable(m, now) && !couldRunShortfall(m, shorts) {
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

// isReleasable reports whether a machine has been idle for long enough to be released: half of a boot,
// since a machine that is needed again by then saves a boot. It must also be older than a boot and
// a margin, since the cloud charges a minute at least. c.mu is held.
func (c *Controller) isReleasable(m *fleet.Machine, now time.Time) bool {
	const bootMarginS = 10
	machineType := findMachineType(c.catalog, m.Type)
	if m.State != fleet.Ready || m.LiveCount() > 0 || c.headroomMachines[m.ID] || machineType == nil {
		return false
	}
	idleS, ageS := now.Sub(m.IdleSince).Seconds(), now.Sub(m.FirstSeen).Seconds()
	return idleS >= machineType.BootS/2 && ageS >= machineType.BootS+bootMarginS
}

// couldRunShortfall reports whether a task that has no room could run on the machine if it were empty.
// Machines that no waiting task can use are released even while tasks wait: otherwise they could
// occupy the last capacity that the cloud has, for ever.
func couldRunShortfall(m *fleet.Machine, shorts []sched.Shortfall) bool {
	return slices.ContainsFunc(shorts, func(short sched.Shortfall) bool {
		return sched.IsEligible(short.Job.Spec, m.Type, m.Zone, m.Spot) && m.Capacity.Fits(fleet.TaskResources(short.Job.Spec))
	})
}

// releaseMachines carries out releases until ctx ends. For each machine it commits a record first,
// then sends the request until the cloud confirms it, and drops the record once no machine list
// can show the machine any more. autoscaler.Releases keeps which step comes next.
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

// recordReleases commits a record of machines that are to be released, as many as fit one value:
// when a fleet lost a hundred machines at once, a commit for each delayed the launches that
// replaced their tasks. It returns false if there are none, or the commit failed.
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

// sendReleases requests the release of machines whose release is recorded. It returns false if there
// are none, or the cloud did not confirm it.
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
	notify(c.placementWake) // their tasks can be placed again
	return true
}

// forgetReleased drops the records of machines that have been gone for so long that no machine list
// can show them, and then forgets the machines.
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

// cleanupCommit is a commit that drops records of released machines.
type cleanupCommit struct {
	tx       wire.Transaction
	images   []string // machines whose image records it drops
	releases []string // keys of the release records that it drops
}

// planCleanup makes the next commit that drops records of released machines. A release record is
// dropped only after, or together with, the image records of all its machines: with it the leader
// forgets them. c.mu is held.
func (c *Controller) planCleanup(now time.Time) cleanupCommit {
	maxChanges := max(minBatchChanges, c.maxBatchChanges()/3)
	keep := 6*c.Config.CloudListLag() + 3*c.Config.WorkerLease() // longer than any machine list can lag
	clean := cleanupCommit{tx: wire.Transaction{Compares: []wire.Compare{{Key: records.LeaderKey, ModRevision: c.term}}}}
	for _, record := range c.releases.Expired(now, keep) {
		if !c.addImageDrops(&clean, record, maxChanges) || len(clean.tx.Changes) >= maxChanges {
			break
		}
		clean.tx.Changes = append(clean.tx.Changes, wire.Change{Drop: record.Key})
		clean.releases = append(clean.releases, record.Key)
	}
	return clean
}

// addImageDrops adds to a commit of at most maxChanges changes those that drop the image records of a
// release record's machines. It returns false if there was no room for all of them. c.mu is held.
func (c *Controller) addImageDrops(clean *cleanupCommit, record autoscaler.ReleaseRecord, maxChanges int) bool {
	for _, host := range record.Hosts {
		if c.recordedImages[host].count == 0 {
			continue
		}
		if len(clean.tx.Changes) >= maxChanges {
			return false
		}
		clean.tx.Changes = append(clean.tx.Changes, wire.Change{Drop: records.ImagesKey(host)})
		clean.images = append(clean.images, host)
	}
	return true
}
