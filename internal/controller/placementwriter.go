package controller

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// batch is one commit of the writer and what follows from it.
type batch struct {
	tx         wire.Transaction
	background bool // nothing waits for it
	placements []placementWrite
	jobs       []jobWrite
}

// jobWrite is a job's final status in a batch.
type jobWrite struct {
	job      *job
	status   wire.JobStatus
	archived bool // its record is dropped as well
}

type placementWrite struct {
	placement *placement
	changes   int
	planned   []*fleet.Attempt
	ended     []*fleet.Attempt
	dropped   bool
}

// maxCommitBytes leaves room for the frame of a commit in the largest body.
const maxCommitBytes = wire.MaxBody * 3 / 4

// runWriter commits what changed, batch by batch.
func (c *Controller) runWriter(ctx context.Context) {
	ticker := c.Config.HeartbeatInterval() / 3
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-c.writerWake:
		case <-time.After(c.untilNext(ticker)):
		}
		for ctx.Err() == nil {
			b := c.nextBatch()
			if b == nil {
				break
			}
			if c.commit(ctx, b) {
				continue
			}
			if b.background {
				break // later, when records leave more room
			}
			timeralign.Sleep(ctx, ticker/2)
		}
	}
}

// nextBatch makes the next batch: what launches, ends and archives jobs that are
// done, of the highest ranks first; if there is nothing of that, it archives
// withdrawn jobs, whose status is recorded already. It returns nil if there is
// nothing to write.
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
	ops := c.maxBatchChanges()
	b := c.buildBatch(jobs, now, ops)
	if len(b.tx.Changes) == 0 {
		b = c.buildBatch(cancelled, now, max(4, ops/2))
		b.background = true
	}
	if len(b.tx.Changes) == 0 {
		return nil
	}
	return b
}

// maxBatchChanges is how many changes go into one commit: no more than the budget
// holds at once, or the commit would never find room.
func (c *Controller) maxBatchChanges() int {
	limits := c.Config.StateLimits()
	return min(limits.TxnOps, max(4, int(limits.WriteRps*store.RecordShare)))
}

// buildBatch puts into one commit of at most ops changes what has room of what jobs
// have to write.
func (c *Controller) buildBatch(jobs []*job, now time.Time, ops int) *batch {
	b := &batch{tx: wire.Transaction{Compares: []wire.Compare{{Key: records.LeaderKey, ModRevision: c.term}}}}
	// Ends that others wait for go first: they hold up whole pipelines.
	holdsUp := func(j *job) bool { return j.isOver() && c.jobs.graph.HasOpenDependents(j.uid) }
	slices.SortFunc(jobs, func(x, y *job) int {
		if holds := holdsUp(x); holds != holdsUp(y) {
			if holds {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.level, x.level), cmp.Compare(x.uid, y.uid))
	})
	size := 0
	for _, j := range jobs {
		if now.Before(c.singleJobCommitsUntil) && len(b.tx.Changes) > 0 {
			break
		}
		if j.isOver() {
			c.archive(b, j, ops)
			continue
		}
		needsJob := false
		for _, p := range j.placements {
			if !p.dirty || p.outcomeUnknown || p.due.After(now) || len(b.tx.Changes) >= ops || size > maxCommitBytes || len(b.tx.Compares)+2 > maxCompares(ops) {
				continue
			}
			w := placementWrite{placement: p, changes: p.changes, planned: p.plannedAttempts(), ended: slices.Clone(p.ended)}
			value := c.encodePlacement(p, now)
			if value == nil {
				continue
			}
			size += len(value)
			key := records.PlacementKey(j.uid, p.index)
			b.tx.Compares = append(b.tx.Compares, wire.Compare{Key: key, ModRevision: p.modRevision})
			b.tx.Changes = append(b.tx.Changes, wire.Change{Set: key, Value: value})
			b.placements = append(b.placements, w)
			needsJob = needsJob || len(w.planned) > 0 || p.modRevision == 0
		}
		if needsJob {
			// A withdrawal changes this stamp: nothing is launched after it. And a
			// piece is written for the first time only while its job has a record:
			// a commit that is carried out late would bring it back after the job
			// and all its pieces were dropped, and its absence is no guard then.
			b.tx.Compares = append(b.tx.Compares, wire.Compare{Key: records.JobKey(j.uid), ModRevision: j.modRevision})
		}
	}
	return b
}

// archive adds to a batch what brings a job nearer to its end: its pieces are dropped and
// its final status takes the place of its record, in one commit if a commit holds that, else
// over several.
func (c *Controller) archive(b *batch, j *job, ops int) {
	if j.hasUnknownPlacement() {
		return
	}
	const recordChanges = 2 // the record is dropped, the final status set
	changes := j.storedPlacements() + recordChanges
	room := ops - len(b.tx.Changes)
	switch {
	case changes > ops:
		c.archiveInParts(b, j, ops)
	case changes <= room && len(b.tx.Compares)+changes <= maxCompares(ops):
		c.archiveWhole(b, j)
	}
}

// archiveWhole adds to a batch all that is left to do for a job that is over.
func (c *Controller) archiveWhole(b *batch, j *job) {
	status := j.finalStatus()
	jobGuard := wire.Compare{Key: records.JobKey(j.uid), ModRevision: j.modRevision}
	b.tx.Compares = append(b.tx.Compares, jobGuard, wire.Compare{Key: records.FinalKey(j.uid), ModRevision: 0})
	b.tx.Changes = append(b.tx.Changes, wire.Change{Drop: jobGuard.Key},
		wire.Change{Set: records.FinalKey(j.uid), Value: records.Encode(records.Final{Status: status})})
	for _, p := range j.placements {
		if p.modRevision != 0 {
			b.dropPlacement(p)
		}
	}
	b.jobs = append(b.jobs, jobWrite{j, status, true})
}

// archiveInParts adds to a batch a part of what is left to do for a job that has more pieces
// than one commit may drop. Its record is given the final status first, since users wait for
// that; its pieces are dropped later, as many at a time as there is room for. Only what a
// batch really writes counts against its room: an array of 25,000 tasks whose 295 pieces were
// all counted, in a service that takes 96 conditions, was never called done.
func (c *Controller) archiveInParts(b *batch, j *job, ops int) {
	hasRoom := func() bool { return len(b.tx.Changes) < ops && len(b.tx.Compares) < maxCompares(ops) }
	if !hasRoom() {
		return
	}
	if !j.record.Status.Final() {
		status := j.finalStatus()
		rec := *j.record
		rec.Finish(status, c.Config.ValueBytes())
		key := records.JobKey(j.uid)
		b.tx.Compares = append(b.tx.Compares, wire.Compare{Key: key, ModRevision: j.modRevision})
		b.tx.Changes = append(b.tx.Changes, wire.Change{Set: key, Value: records.Encode(rec)})
		b.jobs = append(b.jobs, jobWrite{j, status, false})
		return
	}
	for _, p := range j.placements {
		if p.modRevision != 0 && hasRoom() {
			b.dropPlacement(p)
		}
	}
}

// maxCompares is how many conditions a commit of so many changes may have: the state service
// takes four times as many as changes.
func maxCompares(ops int) int { return 4 * ops }

func (b *batch) dropPlacement(p *placement) {
	key := records.PlacementKey(p.job.uid, p.index)
	b.tx.Compares = append(b.tx.Compares, wire.Compare{Key: key, ModRevision: p.modRevision})
	b.tx.Changes = append(b.tx.Changes, wire.Change{Drop: key})
	b.placements = append(b.placements, placementWrite{placement: p, changes: p.changes, dropped: true})
}

// commit sends a batch and takes its outcome into the picture. It returns
// false if the writer should pause.
func (c *Controller) commit(ctx context.Context, b *batch) bool {
	sctx := ctx
	if b.background {
		sctx = store.Note(ctx)
	}
	revision, err := c.Store.Commit(sctx, b.tx)
	var conflict *store.ConflictError
	var rejected *store.RejectedError
	switch {
	case err == nil:
		c.applyCommit(b, revision)
		return true
	case errors.As(err, &conflict):
		slog.Info("commit conflicts", "term", c.term, "failed", conflict.Failed)
		if slices.Contains(conflict.Failed, records.LeaderKey) {
			c.stepDown("the leader's key has changed")
			return false
		}
		c.rereadRecords(ctx, b)
		return true
	case errors.Is(err, store.ErrUnknown):
		slog.Warn("commit's outcome is unknown", "term", c.term, "err", err)
		c.rereadRecords(ctx, b)
		return false
	case errors.As(err, &rejected):
		c.deferRejected(b, rejected)
		return true
	case b.background:
		slog.Debug("left for later", "term", c.term, "err", err)
		return false
	default:
		slog.Warn("commit refused", "term", c.term, "err", err)
		return false
	}
}

func (c *Controller) applyCommit(b *batch, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, w := range b.placements {
		w.placement.modRevision = revision
		if w.dropped {
			w.placement.modRevision = 0
			continue
		}
		for _, a := range w.planned {
			c.fleet.Commit(a, now)
		}
		if w.placement.changes == w.changes {
			w.placement.setDirty(false)
		} else if len(w.placement.plannedAttempts()) == 0 {
			w.placement.due = now.Add(c.endRecordDelay()) // only ends came meanwhile
		}
		w.placement.ended = slices.DeleteFunc(w.placement.ended, func(a *fleet.Attempt) bool { return slices.Contains(w.ended, a) })
		for _, a := range w.ended {
			c.fleet.Record(a, now)
		}
	}
	for _, w := range b.jobs {
		j := w.job
		c.markFinished(j.uid, w.status, now)
		if w.archived {
			slog.Info("job archived", "uid", j.uid)
			if c.jobs.get(j.uid) == j {
				c.dropJob(j, now)
			}
			continue
		}
		rec := *j.record
		rec.Status = w.status
		j.record, j.modRevision = &rec, revision
		c.recordEnds(j, now) // the record says that it is over: nothing of it is launched again
	}
}

// rereadRecords learns how the keys of a batch stand after a conflict or an unknown
// outcome. The pieces' records are this term's own: only their stamps are
// taken, and the picture, which is newer, is written again. What a late commit
// of this term may still do, the stamps guard against.
func (c *Controller) rereadRecords(ctx context.Context, b *batch) {
	c.mu.Lock()
	for _, w := range b.placements {
		w.placement.outcomeUnknown = true
	}
	jobs := b.writtenJobs()
	for j := range jobs {
		j.outcomeUnknown = true
	}
	c.mu.Unlock()
	get := func(key string) (wire.KeyValue, bool, bool) {
		for {
			item, found, err := c.Store.Get(ctx, key)
			if err == nil {
				return item, found, true
			}
			if !timeralign.Sleep(ctx, c.Config.HeartbeatInterval()/4) {
				return wire.KeyValue{}, false, false
			}
		}
	}
	for _, w := range b.placements {
		item, found, ok := get(records.PlacementKey(w.placement.job.uid, w.placement.index))
		if !ok {
			return
		}
		c.mu.Lock()
		if !found {
			item.ModRevision = 0
		}
		w.placement.modRevision, w.placement.outcomeUnknown = item.ModRevision, false
		w.placement.setDirty(true)
		c.mu.Unlock()
	}
	for j := range jobs {
		item, found, ok := get(records.JobKey(j.uid))
		if !ok {
			return
		}
		c.mu.Lock()
		j.outcomeUnknown = false
		c.mu.Unlock()
		if !found {
			c.applyJobEvent(j.uid, watchcache.Entry{ModRevision: ^uint64(0)})
			continue
		}
		c.applyJobRecord(j.uid, item)
	}
}
