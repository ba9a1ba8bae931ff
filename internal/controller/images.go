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

// imageNote is how many images of a machine are recorded, and since when.
type imageNote struct {
	images int
	at     time.Time
}

// maxNotedImages is how many images of a machine are recorded at most.
const maxNotedImages = 16

// noteImages records which images machines have, so that a new leader knows
// where starts are quick. It loses nothing but time if it is late or fails.
func (c *Controller) noteImages(ctx context.Context) {
	for timeralign.Sleep(ctx, c.untilNext(c.Config.HeartbeatInterval())) {
		c.noteSomeImages(ctx)
	}
}

// noteSomeImages records the images of as many machines as one commit holds.
func (c *Controller) noteSomeImages(ctx context.Context) {
	tx, noted := c.imagesToNote()
	if len(tx.Changes) == 0 {
		return
	}
	if _, err := c.Store.Commit(store.Note(ctx), tx); err != nil {
		c.stepDownOnLeaderConflict(err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.Copy(c.recordedImages, noted)
}

// imagesToNote makes the next commit of machines' images.
func (c *Controller) imagesToNote() (tx wire.Transaction, noted map[string]imageNote) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	tx.Compares = []wire.Compare{{Key: records.LeaderKey, ModRevision: c.term}}
	noted = map[string]imageNote{}
	// A commit that is larger than the state service takes would be rejected, and nothing
	// ever be noted.
	most := min(max(1, int(c.Config.StateLimits().WriteRps/8)), c.maxBatchChanges())
	size := 0
	c.fleet.Each(func(m *fleet.Machine) {
		known := c.recordedImages[m.ID]
		if m.State != fleet.Ready || len(m.Images) <= known.images || now.Sub(known.at) <= c.Config.WorkerLease() || len(tx.Changes) >= most || size > maxCommitBytes {
			return
		}
		noted[m.ID] = imageNote{len(m.Images), now}
		names := slices.Sorted(maps.Keys(m.Images))
		names = records.FitNames(names[:min(len(names), maxNotedImages)], c.Config.ValueBytes())
		value := records.Encode(records.Images{Names: names})
		size += len(value)
		tx.Changes = append(tx.Changes, wire.Change{Set: records.ImagesKey(m.ID), Value: value})
	})
	return tx, noted
}
