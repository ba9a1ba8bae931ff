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

// Controller is the placementState of its placementWriter.
var _ placementState = (*Controller)(nil)

// wakeWriter wakes the placement writer, which then asks for the next batch. It may be called with
// or without c.mu.
func (c *Controller) wakeWriter() { notify(c.writer.wake) }

// nextBatch makes the next batch. The batch holds launches, ends of attempts, and the archiving of jobs that are over,
// with the highest priorities first. If there are none of these, the batch archives jobs whose final status users can
// see already. nextBatch returns nil if there is nothing to write.
func (c *Controller) nextBatch() *batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var jobs, finished []*job
	for _, j := range c.jobs.byUID {
		switch {
		case j.outcomeUnknown || now.Before(j.writesDeferredUntil):
		case j.isOver() && (j.record.Status.Final() || j.cancelled):
			finished = append(finished, j)
		case j.isOver() || !j.record.Status.Final() && j.hasDuePlacement(now):
			jobs = append(jobs, j)
		}
	}
	limits := c.batchLimits(now)
	b := c.buildBatch(jobs, limits, now)
	if b.isEmpty() {
		// Nobody waits for these writes: a smaller commit leaves more of the write budget to others.
		limits.changes = max(minBatchChanges, limits.changes/2)
		b = c.buildBatch(finished, limits, now)
		b.background = true
	}
	if b.isEmpty() {
		return nil
	}
	return b
}

// batchLimits returns the limits of a batch that is made now. c.mu is held.
func (c *Controller) batchLimits(now time.Time) batchLimits {
	return batchLimits{
		changes:        c.maxBatchChanges(),
		placementBytes: c.maxPlacementBytes(),
		valueBytes:     c.Config.MaxValueBytes(),
		allowDense:     c.mayUseDenseForm(),
		singleJob:      now.Before(c.singleJobCommitsUntil),
		retryAfter:     c.endRecordDelay(),
	}
}

// buildBatch makes a batch of the records of jobs under the given limits. The batch may be empty. c.mu is held.
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

// applyPlacementCommit updates a placement whose record is committed: from now on its launches may be sent to the
// workers, and its ended attempts may be acknowledged. c.mu is held.
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
	if p.changeCount == write.changeCount {
		p.setDirty(false)
	} else if len(p.plannedAttempts()) == 0 {
		p.due = now.Add(c.endRecordDelay()) // only ends of attempts have been added during the commit
	}
	p.ended = slices.DeleteFunc(p.ended, func(a *fleet.Attempt) bool { return slices.Contains(write.ended, a) })
	for _, a := range write.ended {
		c.fleet.MarkEndRecorded(a, now)
	}
}

// applyJobCommit updates a job whose final status is committed. c.mu is held.
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
	c.acknowledgeEnds(j, now) // the final status is recorded, so no task of the job is launched again
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
		// A job without a record is archived. The event has the highest possible revision, so that it is not ignored as
		// outdated.
		c.applyJobEvent(j.uid, watchcache.Entry{ModRevision: ^uint64(0)})
		return
	}
	c.applyJobRecord(j.uid, item)
}

// deferRejected handles a batch that the state store has rejected as malformed or too large. If the batch holds several
// jobs, batches hold one job each for the time of a worker lease, so that the job whose record is rejected is found and
// does not delay the others. If the batch holds one job, nothing of that job is written for a worker lease.
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
