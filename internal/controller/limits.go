package controller

import (
	"lotusstile.dev/lotusstile/internal/clusterversion"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// minBatchChanges is how many changes a commit may have however small the budget of writes is, as
// far as the state store accepts that many.
const minBatchChanges = 4

// maxCommitBytes limits the size of the values of a commit. It leaves a quarter of the largest body
// to keys, compares and encoding.
const maxCommitBytes = wire.MaxBody * 3 / 4

// maxCompares returns how many compares a commit with at most this many changes may have: the
// state store accepts four times as many compares as changes.
func maxCompares(changes int) int { return 4 * changes }

// maxBatchChanges returns how many changes go into one commit: no more than the budget of writes
// ever holds, or the commit would never be sent.
func (c *Controller) maxBatchChanges() int {
	limits := c.Config.StateLimits()
	return min(limits.TxnOps, max(minBatchChanges, int(limits.WriteRps*store.RecordWriteShare)))
}

// mayUseDenseEncoding reports whether all nodes can read densely listed placements.
func (c *Controller) mayUseDenseEncoding() bool { return c.Version.InForce() >= clusterversion.JobDAGs }

// maxPlacementBytes returns how large a placement record may be, in bytes. The announced lower
// limit applies once all nodes can read the dense records that fit it; the state store does not
// lower its own limit before.
func (c *Controller) maxPlacementBytes() int {
	if c.mayUseDenseEncoding() {
		return c.Config.MaxValueBytes()
	}
	return c.Config.CurrentMaxValueBytes()
}
