package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/wire"
)

// recordedImages is how many images of a machine are recorded, and when they were recorded.
type recordedImages struct {
	count      int
	recordedAt time.Time
}

// maxRecordedImages is how many images of a machine are recorded at most.
const maxRecordedImages = 16

// imageWriteDivisor limits a commit of images to this fraction, as one in so many, of the writes
// that the state store accepts in a second: launches need the others.
const imageWriteDivisor = 8

// recordImages records periodically which images machines have, until ctx ends, so that a new
// leader knows where tasks start quickly. If a record is late or missing, only time is lost.
func (c *Controller) recordImages(ctx context.Context) {
	for timeralign.Sleep(ctx, c.untilNext(c.Config.HeartbeatInterval())) {
		c.commitImageBatch(ctx)
	}
}

// commitImageBatch records the images of as many machines as fit one commit.
func (c *Controller) commitImageBatch(ctx context.Context) {
	tx, recorded := c.imagesToRecord()
	if len(tx.Changes) == 0 {
		return
	}
	if _, err := c.Store.Commit(store.WithBackgroundLane(ctx), tx); err != nil {
		c.stepDownOnLeaderConflict(err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.Copy(c.recordedImages, recorded)
}

// imagesToRecord makes the next commit of machines' images.
func (c *Controller) imagesToRecord() (tx wire.Transaction, recorded map[string]recordedImages) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	tx.Compares = []wire.Compare{{Key: records.LeaderKey, ModRevision: c.term}}
	recorded = map[string]recordedImages{}
	// A commit that is larger than the state store takes would be rejected, and no image
	// would ever be recorded.
	maxChanges := min(max(1, int(c.Config.StateLimits().WriteRps/imageWriteDivisor)), c.maxBatchChanges())
	size := 0
	c.fleet.Each(func(m *fleet.Machine) {
		if len(tx.Changes) >= maxChanges || size > maxCommitBytes || !c.hasUnrecordedImages(m, now) {
			return
		}
		recorded[m.ID] = recordedImages{len(m.Images), now}
		names := slices.Sorted(maps.Keys(m.Images))
		names = records.FitNames(names[:min(len(names), maxRecordedImages)], c.Config.MaxValueBytes())
		value := records.Encode(records.Images{Names: names})
		size += len(value)
		tx.Changes = append(tx.Changes, wire.Change{Set: records.ImagesKey(m.ID), Value: value})
	})
	return tx, recorded
}

// hasUnrecordedImages reports whether the images of a machine are to be recorded again: it has
// more than are recorded, and its last record is older than a worker lease. c.mu is held.
func (c *Controller) hasUnrecordedImages(m *fleet.Machine, now time.Time) bool {
	known := c.recordedImages[m.ID]
	return m.State == fleet.Ready && len(m.Images) > known.count && now.Sub(known.recordedAt) > c.Config.WorkerLease()
}
