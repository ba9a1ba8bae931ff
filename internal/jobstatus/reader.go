// Package jobstatus answers polls of a job's status, at any node and never with a status
// older than the one that was true when the request came. docs/safety.md ("What users
// are told") argues why an answer never goes back.
package jobstatus

import (
	"context"
	"errors"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// Options are what a Reader reads from.
type Options struct {
	Store *store.Client
	// Jobs is this node's copy of the jobs that are not archived.
	Jobs *watchcache.Cache
	// LinearizableReader brings Jobs up to date; concurrent callers share one read.
	LinearizableReader *watchcache.LinearizableReader
	// MemoryMb is the memory of this node in MiB; a share of it caches final statuses.
	MemoryMb float64
	// Counts returns how many tasks of a job are done and running by the leader's last counts;
	// zeros if they are not known.
	Counts func(uid string) (done, running int)
}

// Reader reads the statuses of jobs. It is safe for concurrent use.
type Reader struct {
	store        *store.Client
	jobs         *watchcache.Cache
	linearizable *watchcache.LinearizableReader // of jobs
	finals       finalStatuses
	counts       func(uid string) (done, running int)
}

// NewReader returns a reader.
func NewReader(o Options) *Reader {
	return &Reader{
		store:        o.Store,
		jobs:         o.Jobs,
		linearizable: o.LinearizableReader,
		finals:       newFinalStatuses(o.MemoryMb),
		counts:       o.Counts,
	}
}

// Final returns the final status of a job if this node knows it without reading.
func (r *Reader) Final(uid string) (wire.JobStatus, bool) { return r.finals.get(uid) }

// RecordFinal caches a job's final status. It must be committed already: answers rely on it.
func (r *Reader) RecordFinal(uid string, status wire.JobStatus) { r.finals.add(uid, status) }

// Read answers a poll from this node's copy of the jobs, brought up to date by a read
// that began after the request; concurrent polls share one. A cached final status is answered
// without a read, since it never changes. The result is false if the job was never accepted.
func (r *Reader) Read(ctx context.Context, uid string) (wire.JobView, bool, error) {
	if status, ok := r.finals.get(uid); ok {
		return wire.JobView{UID: uid, Status: status}, true, nil
	}
	switch err := r.linearizable.Refresh(ctx); {
	case errors.Is(err, watchcache.ErrNotSynced) || errors.Is(err, store.ErrCompacted):
		return r.Lookup(ctx, uid)
	case err != nil:
		return wire.JobView{}, false, err
	}
	if entry, ok := r.jobs.Job(uid); ok {
		view, err := r.view(ctx, uid, entry.Job)
		return view, err == nil, err
	}
	// Usually it is archived. If it is not, it was never accepted, or its record is missing
	// from the copy for a reason that only the records themselves show.
	if view, found, err := r.readFinal(ctx, uid); found || err != nil {
		return view, found, err
	}
	never, err := r.neverAccepted(ctx, uid)
	if never || err != nil {
		return wire.JobView{UID: uid}, false, err
	}
	return r.Lookup(ctx, uid)
}

// neverAccepted reports whether a job has neither a record nor a final status at one moment:
// that is so only if it was not accepted before. It is a transaction that changes nothing: two
// reads could miss a job that is archived between them, and take one request more for each
// poll of a job that nobody has submitted.
func (r *Reader) neverAccepted(ctx context.Context, uid string) (bool, error) {
	_, err := r.store.Commit(ctx, wire.Transaction{Compares: []wire.Compare{{Key: records.JobKey(uid)}, {Key: records.FinalKey(uid)}}})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return false, nil
	}
	return err == nil, err
}

// Lookup reads the status of a job from its own records. The result is false if the job
// was never accepted.
func (r *Reader) Lookup(ctx context.Context, uid string) (wire.JobView, bool, error) {
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
		// Archiving writes the final status in the same commit that drops the
		// record: a job without a record has one, or never was.
		return r.readFinal(ctx, uid)
	}
	var job records.Job
	if err := wire.Decode(item.Value, &job); err != nil {
		return view, false, err
	}
	if len(job.Spec.Dependencies) > 0 && !job.Status.Final() {
		// Its dependencies are looked up in this node's copy.
		if err := r.linearizable.Refresh(ctx); err != nil {
			return view, false, err
		}
	}
	view, err = r.view(ctx, uid, &job)
	return view, err == nil, err
}

// view makes the answer for a job whose record was read after the request came. If the job has
// dependencies, this node's copy of the jobs must be as new. A job that depends on a cancelled
// one is cancelled from then on, and stays so: it has no task, and its record can only
// become that of a cancelled job.
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
	view.Done, view.Running = r.counts(uid)
	if view.Running > 0 {
		view.Status = wire.JobRunning
	}
	// Reading and counting take time: if a final status was recorded here meanwhile, by this
	// node or on a peer's announcement, an older status must not be answered.
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
