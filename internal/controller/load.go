package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"lotusstile.dev/lotusstile/internal/autoscaler"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/standby"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// maxProofAttempts is how often a warm standby's copy is checked before all records are listed
// instead, if the state service does not answer.
const maxProofAttempts = 3

// termRecords is what a term begins with.
type termRecords struct {
	jobs, placements, returns, images []wire.KeyValue
	hints                             *standby.Proven // nil if all records were listed
}

// loadState rebuilds the picture from the records. Until it is loaded, reports keep
// their leases and get no orders.
func (c *Controller) loadState(ctx context.Context) error {
	recs, err := c.readRecords(ctx)
	if err != nil {
		return err
	}
	for _, row := range recs.jobs {
		var rec records.Job
		if err := wire.Decode(row.Value, &rec); err != nil {
			return fmt.Errorf("job record %s: %w", row.Key, err)
		}
		c.applyJobEvent(strings.TrimPrefix(row.Key, records.JobPrefix), watchcache.Entry{Job: &rec, ModRevision: row.ModRevision})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if err := c.applyReturnRecords(recs.returns, now); err != nil {
		return err
	}
	c.applyImageRecords(recs.images, now)
	c.applyMachineHints(recs.hints, now)
	inherited := c.applyPlacementRecords(recs.placements, now)
	c.applyJobHints(recs.hints, now)
	for _, j := range c.jobs.byUID {
		c.jobs.markCountsChanged(j)
		j.suspectFromRecords()
		if j.record.Status == wire.JobAborted {
			j.eachAttempt(func(a *fleet.Attempt) { c.stopAttempt(a, 0, now, "withdrawn") })
		}
	}
	if c.Source != nil {
		c.Source.Seed(c, recs.placements, recs.returns, recs.images)
	}
	c.loaded = true
	c.listings = nil
	c.detector.Start(now)
	c.failover.recordLoaded(now, c.fleet.Len(), inherited)
	slog.Info("picture loaded", "term", c.term, "jobs", len(c.jobs.byUID), "attempts", inherited, "returning", c.releases.Len(), "warm", recs.hints != nil)
	return nil
}

// readRecords takes the records from what this node has followed, if that can be proven,
// or lists them. A listing of this term stays valid while others are tried again: only this
// term changes what it lists, but for jobs, whose changes the mirror tells. When a service that
// got too many requests refused one of four listings in turn, all four were read anew for 12 s.
func (c *Controller) readRecords(ctx context.Context) (*termRecords, error) {
	if c.Prove != nil && c.proofAttempts < maxProofAttempts {
		recs, err := c.provenRecords(ctx)
		if err == nil {
			return recs, nil
		}
		c.failover.recordCold(err)
		if !isFinalProofError(err) {
			c.proofAttempts++
			return nil, err
		}
		c.proofAttempts = maxProofAttempts
		slog.Info("all records are listed", "term", c.term, "why", err)
	}
	if c.listings == nil {
		c.listings = map[string][]wire.KeyValue{}
	}
	for _, under := range []string{records.JobPrefix, records.PlacementPrefix, records.ReturnsPrefix, records.ImagesPrefix} {
		if _, known := c.listings[under]; known {
			continue
		}
		rows, _, err := c.Store.List(ctx, under)
		if err != nil {
			return nil, err
		}
		c.listings[under] = rows
	}
	recs := &termRecords{jobs: c.listings[records.JobPrefix], placements: c.listings[records.PlacementPrefix],
		returns: c.listings[records.ReturnsPrefix], images: c.listings[records.ImagesPrefix]}
	return recs, nil
}

// isFinalProofError reports whether trying the proof again is of no use.
func isFinalProofError(err error) bool {
	for _, final := range []error{standby.ErrNoCopy, standby.ErrDigest, standby.ErrTooFarBehind, standby.ErrUndecodable} {
		if errors.Is(err, final) {
			return true
		}
	}
	return false
}

// provenRecords takes what this node has followed, once it is proven, and brings the
// mirror of jobs, whose every entry the picture has, up to date by a read of this term.
func (c *Controller) provenRecords(ctx context.Context) (*termRecords, error) {
	proven, err := c.Prove(ctx, c.term)
	if err != nil {
		return nil, err
	}
	if err := c.JobCache.Refresh(ctx, c.Store); err != nil {
		return nil, err
	}
	c.failover.recordWarm(proven)
	return &termRecords{placements: proven.Placements, returns: proven.Returns, images: proven.Images, hints: proven}, nil
}

// applyReturnRecords takes records of returns that an earlier term has attempted. c.mu is held.
func (c *Controller) applyReturnRecords(rows []wire.KeyValue, now time.Time) error {
	for _, row := range rows {
		var rec records.Returns
		if err := wire.Decode(row.Value, &rec); err != nil {
			return fmt.Errorf("record of returns %s: %w", row.Key, err)
		}
		for _, id := range rec.Hosts {
			c.fleet.MarkReturning(c.fleet.GetOrAdd(id, now), now, "return was attempted in an earlier term")
		}
		c.releases.Restore(autoscaler.ReleaseRecord{Key: row.Key, Hosts: rec.Hosts})
	}
	return nil
}

// applyImageRecords takes records of machines' images. c.mu is held.
func (c *Controller) applyImageRecords(rows []wire.KeyValue, now time.Time) {
	for _, row := range rows {
		id := strings.TrimPrefix(row.Key, records.ImagesPrefix)
		var rec records.Images
		if err := wire.Decode(row.Value, &rec); err != nil {
			slog.Warn("images cannot be read", "host", id, "err", err)
			continue
		}
		m := c.fleet.GetOrAdd(id, now)
		for _, name := range rec.Names {
			m.Images[name] = now
		}
		c.fleet.MarkChanged(m)
		c.recordedImages[id] = recordedImages{len(rec.Names), now}
	}
}

// applyPlacementRecords takes records of placements and returns how many attempts they list. c.mu is
// held.
func (c *Controller) applyPlacementRecords(rows []wire.KeyValue, now time.Time) (inherited int) {
	for _, row := range rows {
		uid, n, ok := records.SplitPlacementKey(row.Key)
		j := c.jobs.get(uid)
		if !ok || j == nil {
			slog.Warn("placement without a job", "key", row.Key)
			continue
		}
		if j.placements[n] != nil {
			continue // an earlier try at loading got this far
		}
		for _, pl := range j.loadPlacement(n, row) {
			m := c.fleet.GetOrAdd(pl.Host, now)
			a := &fleet.Attempt{JobUID: uid, TaskIndex: pl.Task, Number: pl.Attempt, Incarnation: pl.Incarnation, Resources: j.need,
				Image: j.record.Spec.Image, Inherited: true}
			j.addAttempt(j.placements[n], a)
			c.fleet.AddAttempt(m, a, now)
			inherited++
		}
	}
	return inherited
}
