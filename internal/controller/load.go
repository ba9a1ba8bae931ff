package controller

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"lotusstile.dev/lotusstile/internal/autoscaler"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// loadState rebuilds the state from the records. Until the state is loaded, heartbeats renew worker leases and are
// answered without commands. After a failure loadState can be called again: records that it has already applied are not
// applied twice.
func (c *Controller) loadState(ctx context.Context) error {
	if c.loader == nil {
		c.loader = newRecordLoader(&c.Options, c.term, c.failover)
	}
	stored, err := c.loader.read(ctx)
	if err != nil {
		return err
	}
	for _, row := range stored.jobs {
		var record records.Job
		if err := wire.Decode(row.Value, &record); err != nil {
			return fmt.Errorf("job record %s: %w", row.Key, err)
		}
		uid := strings.TrimPrefix(row.Key, records.JobPrefix)
		c.applyJobEvent(uid, watchcache.Entry{Job: &record, ModRevision: row.ModRevision})
	}
	return c.applyTermRecords(stored)
}

// applyTermRecords applies the records that a term begins with, except those of jobs, which must be applied before.
// Releases come before the hints on machines, which are not applied to machines that are being released. Attempts come
// before the hints on jobs, which refer to attempts.
func (c *Controller) applyTermRecords(stored *termRecords) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if err := c.applyReleaseRecords(stored.releases, now); err != nil {
		return err
	}
	c.applyImageRecords(stored.images, now)
	c.applyMachineHints(stored.hints, now)
	inherited := c.applyPlacementRecords(stored.placements, now)
	c.applyJobHints(stored.hints, now)
	for _, j := range c.jobs.byUID {
		c.jobs.markCountsChanged(j)
		j.suspectFromRecords()
		if j.record.Status == wire.JobAborted {
			j.eachAttempt(func(a *fleet.Attempt) { c.stopAttempt(a, 0, now, "job is cancelled") })
		}
	}
	if c.StandbySource != nil {
		c.StandbySource.Seed(c, stored.placements, stored.releases, stored.images)
	}
	c.countsRevisionDue = now.Add(c.Config.CancelTimeout())
	c.loaded = true
	c.loader = nil
	c.detector.Start(now)
	c.failover.recordLoaded(now, c.fleet.Len(), inherited)
	slog.Info("state loaded", "term", c.term, "jobs", len(c.jobs.byUID), "attempts", inherited,
		"returning", c.releases.Len(), "warm", stored.hints != nil)
	return nil
}

// applyReleaseRecords applies the records of releases that earlier terms have attempted: these machines may disappear
// at any time and are never used again. c.mu is held.
func (c *Controller) applyReleaseRecords(rows []wire.KeyValue, now time.Time) error {
	for _, row := range rows {
		var record records.MachineReleases
		if err := wire.Decode(row.Value, &record); err != nil {
			return fmt.Errorf("release record %s: %w", row.Key, err)
		}
		for _, id := range record.Hosts {
			c.fleet.MarkReleasing(c.fleet.GetOrAdd(id, now), now, "its release was attempted in an earlier term")
		}
		c.releases.Restore(autoscaler.ReleaseRecord{Key: row.Key, Hosts: record.Hosts})
	}
	return nil
}

// applyImageRecords applies the records of the images that machines have. A record that cannot be decoded is skipped: at
// worst its machine fetches an image that it already has. c.mu is held.
func (c *Controller) applyImageRecords(rows []wire.KeyValue, now time.Time) {
	for _, row := range rows {
		id := strings.TrimPrefix(row.Key, records.ImagesPrefix)
		var record records.Images
		if err := wire.Decode(row.Value, &record); err != nil {
			slog.Warn("image record cannot be decoded", "host", id, "err", err)
			continue
		}
		m := c.fleet.GetOrAdd(id, now)
		for _, name := range record.Names {
			m.Images[name] = now
		}
		c.fleet.MarkChanged(m)
		c.recordedImages[id] = recordedImages{len(record.Names), now}
	}
}

// applyPlacementRecords applies the placement records: every attempt that they list may be on its machine. It returns
// the number of these attempts. c.mu is held.
func (c *Controller) applyPlacementRecords(rows []wire.KeyValue, now time.Time) (inherited int) {
	for _, row := range rows {
		uid, index, ok := records.SplitPlacementKey(row.Key)
		j := c.jobs.get(uid)
		if !ok || j == nil {
			slog.Warn("placement record belongs to no job", "key", row.Key)
			continue
		}
		if j.placements[index] != nil {
			continue // an earlier call of loadState has applied this record
		}
		for _, placed := range j.loadPlacement(index, row) {
			a := &fleet.Attempt{
				JobUID:      uid,
				TaskIndex:   placed.Task,
				Number:      placed.Attempt,
				Incarnation: placed.Incarnation,
				Resources:   j.taskResources,
				Image:       j.record.Spec.Image,
				Inherited:   true,
			}
			j.addAttempt(j.placements[index], a)
			c.fleet.AddAttempt(c.fleet.GetOrAdd(placed.Host, now), a, now)
			inherited++
		}
	}
	return inherited
}
