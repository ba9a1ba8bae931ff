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

// startRelease starts the release of a machine to the cloud. The machine gets no more launches from
// now on; releaseMachines carries out the release. c.mu is held.
func (c *Controller) startRelease(m *fleet.Machine, now time.Time, reason string) {
	c.fleet.MarkReleasing(m, now, reason)
	if c.releases.Start(m.ID) {
		notify(c.releaseWake)
	}
}

// releaseIdle starts the release of machines that have been idle for a while and that neither headroom
// nor a waiting task needs, the most expensive first. It releases a quarter of them in each cycle, since
// the next cycle may need some of the others. This is a share and not a fixed number, because a large
// fleet otherwise keeps unneeded machines for minutes: when one machine was released in each cycle, 250
// of 450 machines were idle. c.mu is held.
func (c *Controller) releaseIdle(shortfalls []sched.Shortfall, now time.Time) {
	var idle []*fleet.Machine
	c.fleet.Each(func(m *fleet.Machine) {
		if c.isReleasable(m, now) && !couldRunShortfall(m, shortfalls) {
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

// isReleasable reports whether a machine has been idle for long enough to be released and is not
// headroom. It must have been idle for half a boot time, since a boot is saved if the machine is needed
// again within that time. It must also be older than a boot time and a margin, since the cloud charges
// for at least a minute. c.mu is held.
func (c *Controller) isReleasable(m *fleet.Machine, now time.Time) bool {
	const bootMarginS = 10
	machineType := findMachineType(c.catalog, m.Type)
	if m.State != fleet.Ready || m.LiveCount() > 0 || c.headroomMachines[m.ID] || machineType == nil {
		return false
	}
	idleS, ageS := now.Sub(m.IdleSince).Seconds(), now.Sub(m.FirstSeen).Seconds()
	return idleS >= machineType.BootS/2 && ageS >= machineType.BootS+bootMarginS
}

// couldRunShortfall reports whether a task that no machine has room for could run on the machine if
// it were empty. Machines that no such task can use are released even while tasks wait: otherwise
// they could occupy the last capacity of the cloud forever.
func couldRunShortfall(m *fleet.Machine, shortfalls []sched.Shortfall) bool {
	return slices.ContainsFunc(shortfalls, func(shortfall sched.Shortfall) bool {
		return sched.IsEligible(shortfall.Job.Spec, m.Type, m.Zone, m.Spot) && m.Capacity.Fits(fleet.TaskResources(shortfall.Job.Spec))
	})
}

// releaseMachines carries out releases until ctx ends. For each machine it first commits a record,
// then sends the request until the cloud confirms it, and drops the record once no machine list can
// show the machine any more. autoscaler.Releases keeps track of the next step.
func (c *Controller) releaseMachines(ctx context.Context) {
	period := c.Config.HeartbeatInterval() / 3
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-c.releaseWake:
		case <-time.After(c.untilNext(period)):
		}
		for c.recordReleases(ctx) {
		}
		for c.sendReleases(ctx) {
		}
		c.forgetReleased(ctx)
	}
}

// recordReleases commits a record of as many machines to be released as fit one value. When a fleet
// lost a hundred machines at once, a commit for each machine delayed the launches that replaced their
// tasks. It returns false if there is no machine to record, or the commit failed.
func (c *Controller) recordReleases(ctx context.Context) bool {
	c.mu.Lock()
	record, found := c.releases.NextRecord(c.Config.MaxValueBytes())
	c.mu.Unlock()
	if !found {
		return false
	}
	_, err := c.Store.Commit(ctx, wire.Transaction{
		Compares: []wire.Compare{{Key: records.LeaderKey, ModRevision: c.term}, {Key: record.Key}},
		Changes:  []wire.Change{{Set: record.Key, Value: records.Encode(records.MachineReleases{Hosts: record.Hosts})}},
	})
	if err != nil {
		slog.Warn("machine releases cannot be recorded", "hosts", record.Hosts, "err", err)
		c.stepDownOnLeaderConflict(err) // locks c.mu itself
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.releases.AddRecorded(record)
		return true
	case errors.Is(err, store.ErrOutcomeUnknown):
		c.releases.AddUncertain(record)
	}
	return false
}

// sendReleases asks the cloud to release machines whose release is recorded. It returns false if there
// are none, or the cloud did not confirm the request.
func (c *Controller) sendReleases(ctx context.Context) bool {
	c.mu.Lock()
	hosts := c.releases.Unconfirmed(wire.MaxRelease)
	c.mu.Unlock()
	if len(hosts) == 0 {
		return false
	}
	if err := c.Cloud.Release(ctx, hosts); err != nil {
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
	notify(c.placementWake) // the tasks of these machines can be placed again
	return true
}

// forgetReleased drops the records of machines that have been gone for so long that no machine list
// can show them any more, and then forgets the machines.
func (c *Controller) forgetReleased(ctx context.Context) {
	c.mu.Lock()
	commit := c.planCleanup(c.now())
	c.mu.Unlock()
	if len(commit.tx.Changes) == 0 {
		return
	}
	if _, err := c.Store.Commit(store.WithBackgroundLane(ctx), commit.tx); err != nil {
		slog.Debug("records of released machines cannot be dropped", "err", err)
		c.stepDownOnLeaderConflict(err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, host := range commit.images {
		delete(c.recordedImages, host)
	}
	for _, host := range c.releases.Drop(commit.releases) {
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
// dropped only together with or after the image records of all its machines, because the leader
// forgets the machines when it drops the release record. c.mu is held.
func (c *Controller) planCleanup(now time.Time) cleanupCommit {
	maxChanges := max(minBatchChanges, c.maxBatchChanges()/3)
	retention := 6*c.Config.CloudListLag() + 3*c.Config.WorkerLease() // longer than any machine list can lag
	commit := cleanupCommit{tx: wire.Transaction{Compares: []wire.Compare{{Key: records.LeaderKey, ModRevision: c.term}}}}
	for _, record := range c.releases.Expired(now, retention) {
		if !c.addImageDrops(&commit, record, maxChanges) || len(commit.tx.Changes) >= maxChanges {
			break
		}
		commit.tx.Changes = append(commit.tx.Changes, wire.Change{Drop: record.Key})
		commit.releases = append(commit.releases, record.Key)
	}
	return commit
}

// addImageDrops adds to a commit the changes that drop the image records of a release record's machines.
// It returns false if the commit would have more than maxChanges changes. c.mu is held.
func (c *Controller) addImageDrops(commit *cleanupCommit, record autoscaler.ReleaseRecord, maxChanges int) bool {
	for _, host := range record.Hosts {
		if c.recordedImages[host].count == 0 {
			continue
		}
		if len(commit.tx.Changes) >= maxChanges {
			return false
		}
		commit.tx.Changes = append(commit.tx.Changes, wire.Change{Drop: records.ImagesKey(host)})
		commit.images = append(commit.images, host)
	}
	return true
}
