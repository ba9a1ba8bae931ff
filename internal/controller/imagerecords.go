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

// recordedImages describes a machine's last image record, and when the record was written or loaded.
type recordedImages struct {
	count      int // the machine's images when this leader wrote the record; of a loaded record, the images in it
	recordedAt time.Time
}

// maxRecordedImages is the maximum number of images in a machine's record.
const maxRecordedImages = 16

// imageWriteDivisor limits the image records in one commit: there are at most as many as the writes
// per second that the state store accepts, divided by imageWriteDivisor. Launches need the other writes.
const imageWriteDivisor = 8

// recordImages periodically records which images the machines have, until ctx ends, so that a new
// leader knows where tasks start quickly. A late or missing record only delays task starts.
func (c *Controller) recordImages(ctx context.Context) {
	for timeralign.Sleep(ctx, c.untilNext(c.Config.HeartbeatInterval())) {
		c.commitImageBatch(ctx)
	}
}

// commitImageBatch commits the image records of as many machines as fit one commit.
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

// imagesToRecord returns the next commit of image records, and what it records of each machine, by
// machine ID.
func (c *Controller) imagesToRecord() (tx wire.Transaction, recorded map[string]recordedImages) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	tx.Compares = []wire.Compare{{Key: records.LeaderKey, ModRevision: c.term}}
	recorded = map[string]recordedImages{}
	// The state store would reject a larger commit each time, and no image would ever be
	// recorded.
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

// hasUnrecordedImages reports whether the images of a machine are to be recorded: the machine has more
// images than at its last record, which is older than a worker lease. c.mu is held.
func (c *Controller) hasUnrecordedImages(m *fleet.Machine, now time.Time) bool {
	last := c.recordedImages[m.ID]
	return m.State == fleet.Ready && len(m.Images) > last.count && now.Sub(last.recordedAt) > c.Config.WorkerLease()
}
