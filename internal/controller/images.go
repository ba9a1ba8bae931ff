package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/ledger"
	"lotusstile.dev/lotusstile/internal/store"
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
	for sleep(ctx, c.untilNext(c.Config.ReportEvery())) {
		c.mu.Lock()
		now := c.now()
		tx := wire.Commit{Guards: []wire.Guard{{Key: ledger.LeaderKey, Stamp: c.term}}}
		noted := map[string]imageNote{}
		most := max(1, int(c.Config.StateLimits().WriteRps/8))
		c.fleet.Each(func(m *fleet.Machine) {
			if m.State == fleet.Ready && len(m.Images) > c.noted[m.ID].images && now.Sub(c.noted[m.ID].at) > c.Config.Lease() && len(tx.Apply) < most {
				noted[m.ID] = imageNote{len(m.Images), now}
				names := slices.Sorted(maps.Keys(m.Images))
				tx.Apply = append(tx.Apply, wire.Change{Set: ledger.ImagesKey(m.ID), Value: ledger.Encode(ledger.Images{Names: ledger.FitNames(names[:min(len(names), maxNotedImages)], c.Config.ValueBytes())})})
			}
		})
		c.mu.Unlock()
		if len(tx.Apply) == 0 {
			continue
		}
		if _, err := c.Store.Commit(store.Note(ctx), tx); err != nil {
			c.checkDeposed(err)
			continue
		}
		c.mu.Lock()
		maps.Copy(c.noted, noted)
		c.mu.Unlock()
	}
}
