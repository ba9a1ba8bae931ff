package controller

import (
	"log/slog"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// The controller as the placementState of its placementWriter.
var _ placementState = (*Controller)(nil)

// wakeWriter lets the placement writer look for something to write.
func (c *Controller) wakeWriter() { notify(c.writer.wake) }

// nextBatch makes the next batch: launches, ends and the archiving of jobs that are done, of
// the highest priorities first; if there is nothing of that, it archives cancelled jobs, whose
// status is recorded already. It returns nil if there is nothing to write.
func (c *Controller) nextBatch() *batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var jobs, cancelled []*job
	for _, j := range c.jobs.byUID {
		switch {
		case j.outcomeUnknown || now.Before(j.writesDeferredUntil):
		case j.isOver() && (j.record.Status.Final() || j.cancelled):
			cancelled = append(cancelled, j)
		case j.isOver() || !j.record.Status.Final() && j.hasDuePlacement(now):
			jobs = append(jobs, j)
		}
	}
	limits := c.batchLimits(now)
	b := c.buildBatch(jobs, limits, now)
	if b.isEmpty() {
		limits.changes = max(4, limits.changes/2)
		b = c.buildBatch(cancelled, limits, now)
		b.background = true
	}
	if b.isEmpty() {
		return nil
	}
	return b
}

// batchLimits are the limits of a batch that is made now.
func (c *Controller) batchLimits(now time.Time) batchLimits {
	return batchLimits{
		changes:        c.maxBatchChanges(),
		placementBytes: c.maxPlacementBytes(),
		valueBytes:     c.Config.ValueBytes(),
		dense:          c.mayWriteDense(),
		singleJob:      now.Before(c.singleJobCommitsUntil),
		retryAfter:     c.endRecordDelay(),
	}
}

func (c *Controller) buildBatch(jobs []*job, limits batchLimits, now time.Time) *batch {
	sortForWriting(jobs, c.jobs.graph.HasOpenDependents)
	builder := newBatchBuilder(c.term, limits, now)
	builder.addJobs(jobs)
	return builder.batch
}

func (c *Controller) applyCommit(b *batch, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, write := range b.placements {
		c.applyPlacementCommit(write, revision, now)
	}
	for _, write := range b.jobs {
		c.applyJobCommit(write, revision, now)
	}
}

// applyPlacementCommit applies that a placement record is committed: its launches may be sent,
// and its ends be acknowledged.
func (c *Controller) applyPlacementCommit(write placementWrite, revision uint64, now time.Time) {
	p := write.placement
	if write.dropped {
		p.modRevision = 0
		return
	}
	p.modRevision = revision
	for _, a := range write.planned {
		c.fleet.MarkCommitted(a, now)
	}
	if p.changes == write.changes {
		p.setDirty(false)
	} else if len(p.plannedAttempts()) == 0 {
		p.due = now.Add(c.endRecordDelay()) // only ends came meanwhile
	}
	p.ended = slices.DeleteFunc(p.ended, func(a *fleet.Attempt) bool { return slices.Contains(write.ended, a) })
	for _, a := range write.ended {
		c.fleet.MarkEndRecorded(a, now)
	}
}

// applyJobCommit applies that the final status of a job is committed.
func (c *Controller) applyJobCommit(write jobWrite, revision uint64, now time.Time) {
	j := write.job
	c.markFinished(j.uid, write.status, now)
	if write.archived {
		slog.Info("job archived", "uid", j.uid)
		if c.jobs.get(j.uid) == j {
			c.dropJob(j, now)
		}
		return
	}
	record := *j.record
	record.Status = write.status
	j.record, j.modRevision = &record, revision
	c.recordEnds(j, now) // the record says that it is over: nothing of it is launched again
}

func (c *Controller) markOutcomeUnknown(b *batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, write := range b.placements {
		write.placement.outcomeUnknown = true
	}
	for j := range b.writtenJobs() {
		j.outcomeUnknown = true
	}
}

func (c *Controller) applyPlacementRevision(p *placement, modRevision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.modRevision, p.outcomeUnknown = modRevision, false
	p.setDirty(true)
}

func (c *Controller) applyReadJob(j *job, item wire.KeyValue, found bool) {
	c.mu.Lock()
	j.outcomeUnknown = false
	c.mu.Unlock()
	if !found {
		c.applyJobEvent(j.uid, watchcache.Entry{ModRevision: ^uint64(0)})
		return
	}
	c.applyJobRecord(j.uid, item)
}

// deferRejected deals with a batch that the state store rejects: some record of it is malformed
// or too large to it. Jobs are then written one by one for a worker lease, so that the one
// concerned holds up no other; it is itself left alone for as long.
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
