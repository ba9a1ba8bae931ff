// Package jobstatus answers polls of a job's status on any node, never with a status older than the one
// that was true when the request arrived. docs/safety.md ("What users are told") argues why later answers
// never return to an earlier status.
package jobstatus

import (
	"context"
	"errors"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// Options are the sources and limits of a Reader.
type Options struct {
	Store *store.Client
	// Jobs is this node's copy of the jobs that are not archived.
	Jobs *watchcache.Cache
	// LinearizableReader brings Jobs up to date. Concurrent callers share one read.
	LinearizableReader *watchcache.LinearizableReader
	// MemoryMb is the memory of this node in MiB, of which a share is used to cache final statuses.
	MemoryMb float64
	// Counts returns the task counts of a job as the leader last knew them.
	Counts func(uid string) peer.TaskCounts
}

// Reader reads the statuses of jobs. It is safe for concurrent use.
type Reader struct {
	store        *store.Client
	jobs         *watchcache.Cache
	linearizable *watchcache.LinearizableReader // brings jobs up to date
	finals       finalStatuses
	counts       recordedCounts
}

// NewReader returns a reader with an empty cache of final statuses.
func NewReader(o Options) *Reader {
	return &Reader{
		store:        o.Store,
		jobs:         o.Jobs,
		linearizable: o.LinearizableReader,
		finals:       newFinalStatuses(o.MemoryMb),
		counts:       newRecordedCounts(o.Store, o.Counts, o.MemoryMb),
	}
}

// CachedFinal returns the final status of a job if this node has cached it.
func (r *Reader) CachedFinal(uid string) (wire.JobStatus, bool) { return r.finals.get(uid) }

// RecordFinal caches a job's final status. The status must be committed already, since answers rely on it.
func (r *Reader) RecordFinal(uid string, status wire.JobStatus) { r.finals.add(uid, status) }

// Read answers a poll from this node's copy of the jobs, after a read that began after the request has
// brought the copy up to date. Concurrent polls share one such read. A cached final status is returned
// without a read, since it never changes. The result is false if the job was never accepted.
func (r *Reader) Read(ctx context.Context, uid string) (wire.JobView, bool, error) {
	if status, ok := r.finals.get(uid); ok {
		return wire.JobView{UID: uid, Status: status}, true, nil
	}
	switch err := r.linearizable.Refresh(ctx); {
	case errors.Is(err, watchcache.ErrNotSynced) || errors.Is(err, store.ErrCompacted):
		return r.ReadFromStore(ctx, uid)
	case err != nil:
		return wire.JobView{}, false, err
	}
	if entry, ok := r.jobs.Job(uid); ok {
		view, err := r.view(ctx, uid, entry.Job)
		return view, err == nil, err
	}
	// The job is usually archived. Otherwise it was never accepted, or it has a record that the copy
	// lacks. Only the records in the state store show which is the case, and why.
	if view, found, err := r.readFinal(ctx, uid); found || err != nil {
		return view, found, err
	}
	never, err := r.neverAccepted(ctx, uid)
	if never || err != nil {
		return wire.JobView{UID: uid}, false, err
	}
	return r.ReadFromStore(ctx, uid)
}

// neverAccepted reports whether a job has neither a record nor a final status at a single moment, which is
// true only of a job that was not accepted before. It uses a transaction without changes: two separate
// reads could miss a job that is archived between them, and would cost one more request for each poll of a
// job that was never submitted.
func (r *Reader) neverAccepted(ctx context.Context, uid string) (bool, error) {
	_, err := r.store.Commit(ctx, wire.Transaction{Compares: []wire.Compare{{Key: records.JobKey(uid)}, {Key: records.FinalKey(uid)}}})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return false, nil
	}
	return err == nil, err
}

// ReadFromStore reads the status of a job from its own records in the state store. The result is false if the
// job was never accepted.
func (r *Reader) ReadFromStore(ctx context.Context, uid string) (wire.JobView, bool, error) {
	view := wire.JobView{UID: uid}
	if status, ok := r.finals.get(uid); ok {
		view.Status = status
		return view, true, nil
	}
	item, found, err := r.store.Get(ctx, records.JobKey(uid))
	if err != nil {
		return view, false, err
	}
	if !found {
		// Archiving writes the final status in the commit that deletes the record, so a job without
		// a record has a final status or was never accepted.
		return r.readFinal(ctx, uid)
	}
	var job records.Job
	if err := wire.Decode(item.Value, &job); err != nil {
		return view, false, err
	}
	if len(job.Spec.Dependencies) > 0 && !job.Status.Final() {
		// The view depends on the job's dependencies, which are looked up in this node's copy of the jobs.
		if err := r.linearizable.Refresh(ctx); err != nil {
			return view, false, err
		}
	}
	view, err = r.view(ctx, uid, &job)
	return view, err == nil, err
}

// view returns the answer for a job whose record was read after the request arrived. If the job has
// dependencies, this node's copy of the jobs must have been brought up to date after the request too. A job
// that depends on a cancelled job is reported as aborted from then on. That status is final: the job has no
// task, and its record can only become that of a cancelled job. The error is ErrCountsUnknown if it is not known
// whether a task of the job runs.
func (r *Reader) view(ctx context.Context, uid string, job *records.Job) (wire.JobView, error) {
	view := wire.JobView{UID: uid, Status: job.Status}
	if !job.Status.Final() {
		cancelled, err := r.dependencyCancelled(ctx, job.Spec.Dependencies, map[string]bool{})
		if err != nil {
			return view, err
		}
		if cancelled {
			view.Status = wire.JobAborted
		}
	}
	if view.Status.Final() {
		r.finals.add(uid, view.Status)
		return view, nil
	}
	counts, err := r.counts.read(ctx, uid)
	if err != nil {
		return view, err
	}
	view.Done, view.Running = counts.Done, counts.Running
	if view.Running > 0 {
		view.Status = wire.JobRunning
	}
	// Reading and counting take time. If this node has recorded a final status meanwhile, of its own or
	// from a peer's announcement, it must not answer with an older status.
	if status, ok := r.finals.get(uid); ok {
		return wire.JobView{UID: uid, Status: status}, nil
	}
	return view, nil
}

// readFinal reads the final status of an archived job.
func (r *Reader) readFinal(ctx context.Context, uid string) (wire.JobView, bool, error) {
	view := wire.JobView{UID: uid}
	item, found, err := r.store.Get(ctx, records.FinalKey(uid))
	if err != nil || !found {
		return view, false, err
	}
	var final records.Final
	if err := wire.Decode(item.Value, &final); err != nil {
		return view, false, err
	}
	r.finals.add(uid, final.Status)
	view.Status = final.Status
	return view, true, nil
}
