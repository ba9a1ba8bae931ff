package controller

import (
	"encoding/json"
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/clusterversion"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
)

// mayWriteDense reports whether all nodes can read densely listed placements.
func (c *Controller) mayWriteDense() bool { return c.Version.InForce() >= clusterversion.Pipelines }

// maxPlacementBytes is how large the record of a piece may be. The announced limit holds from
// when records can be written that fit it; the service does not lower its own before.
func (c *Controller) maxPlacementBytes() int {
	if c.mayWriteDense() {
		return c.Config.ValueBytes()
	}
	return c.Config.CurrentValueBytes()
}

// encodePlacement makes the record of a piece, or nil if it fits no value: one that was
// written under a higher limit is written again once enough of its tasks have ended.
func (c *Controller) encodePlacement(p *placement, now time.Time) json.RawMessage {
	value := records.EncodePlacement(p.record(), c.maxPlacementBytes(), c.mayWriteDense())
	if len(value) > c.maxPlacementBytes() {
		slog.Warn("placement does not fit a record yet", "uid", p.job.uid, "piece", p.index, "bytes", len(value))
		p.due = now.Add(c.endRecordDelay())
		return nil
	}
	return value
}

// deferRejected deals with a batch that the state service rejects: some record of it is
// malformed or too large to it. Jobs are then written one by one for a while, so that
// the one concerned holds up no other; it is itself left alone for a lease.
func (c *Controller) deferRejected(b *batch, rejected *store.RejectedError) {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.now().Add(c.Config.WorkerLease())
	slog.Error("commit rejected", "term", c.term, "keys", rejected.Keys, "detail", rejected.Detail)
	jobs := b.writtenJobs()
	if len(jobs) > 1 {
		c.singleJobCommitsUntil = until
		return
	}
	for j := range jobs {
		j.writesDeferredUntil = until
	}
}

// writtenJobs is the jobs that a batch writes anything of.
func (b *batch) writtenJobs() map[*job]bool {
	jobs := map[*job]bool{}
	for _, write := range b.placements {
		jobs[write.placement.job] = true
	}
	for _, write := range b.jobs {
		jobs[write.job] = true
	}
	return jobs
}
