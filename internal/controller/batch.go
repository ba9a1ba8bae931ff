package controller

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// batch is one commit of the placement writer, and what has to be updated when it succeeds.
type batch struct {
	tx         wire.Transaction
	background bool // the commit may be delayed: no user or task waits for it
	placements []placementWrite
	jobs       []jobWrite
}

// placementWrite is the state of a placement at the time when its batch was made.
type placementWrite struct {
	placement   *placement
	changeCount int              // placement.changeCount at that time
	planned     []*fleet.Attempt // attempts whose launch the batch records
	ended       []*fleet.Attempt // attempts whose end the batch records
	dropped     bool             // the batch drops the placement's record
}

// jobWrite is a job's final status in a batch.
type jobWrite struct {
	job      *job
	status   wire.JobStatus
	archived bool // the batch drops the job's record as well
}

func (b *batch) isEmpty() bool { return len(b.tx.Changes) == 0 }

func (b *batch) compare(key string, modRevision uint64) {
	b.tx.Compares = append(b.tx.Compares, wire.Compare{Key: key, ModRevision: modRevision})
}

func (b *batch) set(key string, value json.RawMessage) {
	b.tx.Changes = append(b.tx.Changes, wire.Change{Set: key, Value: value})
}

func (b *batch) drop(key string) {
	b.tx.Changes = append(b.tx.Changes, wire.Change{Drop: key})
}

// dropPlacement adds the removal of a placement record.
func (b *batch) dropPlacement(p *placement) {
	key := records.PlacementKey(p.job.uid, p.index)
	b.compare(key, p.modRevision)
	b.drop(key)
	b.placements = append(b.placements, placementWrite{placement: p, changeCount: p.changeCount, dropped: true})
}

// writtenJobs returns the jobs that a batch writes or drops a record of.
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

// batchLimits are the limits of one batch.
type batchLimits struct {
	changes        int  // the maximum number of changes in the commit
	placementBytes int  // the maximum size of a placement record
	valueBytes     int  // the maximum size of any other value
	allowDense     bool // placement records may have the dense form
	singleJob      bool // the batch holds records of one job only
	// retryAfter is how long to wait before a placement record that was too large is tried again.
	retryAfter time.Duration
}

// batchBuilder makes a batch of the records of jobs that are to be written. Every batch compares the mod revision of
// the leader's key with the term, so that no batch is applied after another node has become the leader.
type batchBuilder struct {
	batch          *batch
	limits         batchLimits
	now            time.Time
	placementBytes int // the size of the placement records so far
}

func newBatchBuilder(term uint64, limits batchLimits, now time.Time) *batchBuilder {
	b := &batchBuilder{batch: &batch{}, limits: limits, now: now}
	b.batch.compare(records.LeaderKey, term)
	return b
}

// sortForWriting sorts jobs in the order in which they are added to a batch: first the jobs that are over and that other
// jobs depend on, since whole pipelines wait for their final status, then all others by priority.
func sortForWriting(jobs []*job, hasOpenDependents func(uid string) bool) {
	blocksOthers := func(j *job) bool { return j.isOver() && hasOpenDependents(j.uid) }
	slices.SortFunc(jobs, func(x, y *job) int {
		if blocks := blocksOthers(x); blocks != blocksOthers(y) {
			if blocks {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.level, x.level), cmp.Compare(x.uid, y.uid))
	})
}

// addJobs adds the records of jobs, in the given order, as long as the batch has room.
func (b *batchBuilder) addJobs(jobs []*job) {
	for _, j := range jobs {
		switch {
		case b.limits.singleJob && !b.batch.isEmpty():
			return
		case j.isOver():
			b.archive(j)
		default:
			b.addPlacements(j)
		}
	}
}

// hasRoomForPlacement reports whether the batch has room for another placement record and two compares: one of that
// record and one of its job.
func (b *batchBuilder) hasRoomForPlacement() bool {
	return len(b.batch.tx.Changes) < b.limits.changes && b.placementBytes <= maxCommitBytes &&
		len(b.batch.tx.Compares)+2 <= maxCompares(b.limits.changes)
}

// addPlacements adds the placement records of a job that are due.
func (b *batchBuilder) addPlacements(j *job) {
	compareJob := false
	for _, p := range j.placements {
		if !p.isDue(b.now) || !b.hasRoomForPlacement() {
			continue
		}
		write := placementWrite{placement: p, changeCount: p.changeCount, planned: p.plannedAttempts(), ended: slices.Clone(p.ended)}
		value := b.encodePlacement(p)
		if value == nil {
			continue
		}
		b.placementBytes += len(value)
		key := records.PlacementKey(j.uid, p.index)
		b.batch.compare(key, p.modRevision)
		b.batch.set(key, value)
		b.batch.placements = append(b.batch.placements, write)
		compareJob = compareJob || len(write.planned) > 0 || p.modRevision == 0
	}
	if compareJob {
		// A cancellation changes the revision of the job's record, so this compare prevents launches after it. It also
		// ensures that a placement is written for the first time only while its job has a record. Otherwise a commit
		// that the state store applies late, after the job and all its placements were dropped, would bring the
		// placement back, since the compare for the placement's absence succeeds then.
		b.batch.compare(records.JobKey(j.uid), j.modRevision)
	}
}

// encodePlacement returns the value of a placement record, or nil if the value is larger than the limit. This happens to a
// record that was first written under a higher limit. Writing it is retried every limits.retryAfter, until enough of
// its tasks have ended.
func (b *batchBuilder) encodePlacement(p *placement) json.RawMessage {
	value := records.EncodePlacement(p.record(), b.limits.placementBytes, b.limits.allowDense)
	if len(value) > b.limits.placementBytes {
		slog.Warn("placement record is too large to be written", "uid", p.job.uid, "placement", p.index, "bytes", len(value))
		p.due = b.now.Add(b.limits.retryAfter)
		return nil
	}
	return value
}

// archive adds changes that archive a job that is over: its placement records are dropped, and its final status
// replaces its record. This takes one commit if all changes fit into one, and several commits otherwise.
func (b *batchBuilder) archive(j *job) {
	if j.hasUnknownOutcome() {
		return
	}
	const recordChanges = 2 // the job's record is dropped, and its final status is set
	changes := j.storedPlacements() + recordChanges
	room := b.limits.changes - len(b.batch.tx.Changes)
	switch {
	case changes > b.limits.changes:
		b.archiveInBatches(j)
	case changes <= room && len(b.batch.tx.Compares)+changes <= maxCompares(b.limits.changes):
		b.archiveInOneBatch(j)
	}
}

// archiveInOneBatch adds all changes that archive a job.
func (b *batchBuilder) archiveInOneBatch(j *job) {
	status := j.finalStatus()
	jobKey, finalKey := records.JobKey(j.uid), records.FinalKey(j.uid)
	b.batch.compare(jobKey, j.modRevision)
	b.batch.compare(finalKey, 0)
	b.batch.drop(jobKey)
	b.batch.set(finalKey, records.Encode(records.Final{Status: status}))
	for _, p := range j.placements {
		if p.modRevision != 0 {
			b.batch.dropPlacement(p)
		}
	}
	b.batch.jobs = append(b.batch.jobs, jobWrite{job: j, status: status, archived: true})
}

// archiveInBatches adds some of the changes that archive a job with more placement records than one commit may drop.
// The final status is written into the job's record first, since users wait for it. The placement records are dropped
// by later batches, as many at a time as there is room for. Only the changes in a batch count against its limits: when
// all placements of a job counted, an array of 25,000 tasks with 295 placements never became done on a state store
// that accepts 96 compares.
func (b *batchBuilder) archiveInBatches(j *job) {
	hasRoom := func() bool {
		return len(b.batch.tx.Changes) < b.limits.changes && len(b.batch.tx.Compares) < maxCompares(b.limits.changes)
	}
	if !hasRoom() {
		return
	}
	if !j.record.Status.Final() {
		status := j.finalStatus()
		record := *j.record
		record.SetFinal(status, b.limits.valueBytes)
		key := records.JobKey(j.uid)
		b.batch.compare(key, j.modRevision)
		b.batch.set(key, records.Encode(record))
		b.batch.jobs = append(b.batch.jobs, jobWrite{job: j, status: status})
		return
	}
	for _, p := range j.placements {
		if p.modRevision != 0 && hasRoom() {
			b.batch.dropPlacement(p)
		}
	}
}
