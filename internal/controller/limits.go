package controller

import (
	"lotusstile.dev/lotusstile/internal/clusterversion"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// minBatchChanges is the number of changes that a commit may have even if the write budget is smaller, provided that the
// state store accepts that many.
const minBatchChanges = 4

// maxCommitBytes limits the total size of the values in a commit. It leaves a quarter of the largest request body for
// keys, compares and encoding.
const maxCommitBytes = wire.MaxBody * 3 / 4

// maxCompares returns how many compares a commit may have if the state store accepts this many changes: it accepts four
// times as many compares.
func maxCompares(changes int) int { return 4 * changes }

// maxBatchChanges returns how many changes a commit may have. A commit with more changes than the write budget can ever
// hold would never be sent.
func (c *Controller) maxBatchChanges() int {
	limits := c.Config.StateLimits()
	return min(limits.TxnOps, max(minBatchChanges, int(limits.WriteRps*store.RecordWriteShare)))
}

// mayUseDenseForm reports whether all nodes can read the dense form of placement records.
func (c *Controller) mayUseDenseForm() bool { return c.Version.InForce() >= clusterversion.JobDAGs }

// maxPlacementBytes returns the largest size of a placement record in bytes. If the settings announce a lower
// limit, that limit applies as soon as all nodes can read the dense form, in which placement records fit the
// lower limit. The state store does not enforce the lower limit before then.
func (c *Controller) maxPlacementBytes() int {
	if c.mayUseDenseForm() {
		return c.Config.MaxValueBytes()
	}
	return c.Config.CurrentMaxValueBytes()
}
