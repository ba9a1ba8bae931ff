package controller

import (
	"lotusstile.dev/lotusstile/internal/clusterversion"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// maxCommitBytes bounds the values of a commit. It leaves room for the frame of a commit in the
// largest body.
const maxCommitBytes = wire.MaxBody * 3 / 4

// maxCompares is how many compares a commit of so many changes may have: the state store takes
// four times as many as changes.
func maxCompares(changes int) int { return 4 * changes }

// maxBatchChanges is how many changes go into one commit: no more than the budget holds at
// once, or the commit would never find room.
func (c *Controller) maxBatchChanges() int {
	limits := c.Config.StateLimits()
	return min(limits.TxnOps, max(4, int(limits.WriteRps*store.RecordShare)))
}

// mayWriteDense reports whether all nodes can read densely listed placements.
func (c *Controller) mayWriteDense() bool { return c.Version.InForce() >= clusterversion.Pipelines }

// maxPlacementBytes is how large a placement record may be. The announced limit holds from when
// records can be written that fit it; the state store does not lower its own before.
func (c *Controller) maxPlacementBytes() int {
	if c.mayWriteDense() {
		return c.Config.ValueBytes()
	}
	return c.Config.CurrentValueBytes()
}
