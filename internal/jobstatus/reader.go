// Package jobstatus answers what the status of a job is, at any node and never with
// anything older than what was true when the question came. docs/safety.md ("What users
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
	// Refresher brings Jobs up to date; questions that come together share one read.
	Refresher *watchcache.LinearizableReader
	// MemoryMb is the memory of this node in MiB; a share of it keeps final statuses.
	MemoryMb float64
	// Counts returns how many tasks of a job are done and running, as far as the leader tells.
	Counts func(uid string) (done, running int)
}

// Reader reads the statuses of jobs.
type Reader struct {
	store     *store.Client
	jobs      *watchcache.Cache
	refresher *watchcache.LinearizableReader
	finals    finalStatuses
	counts    func(uid string) (done, running int)
}

// NewReader returns a reader.
func NewReader(o Options) *Reader {
	return &Reader{
		store:     o.Store,
		jobs:      o.Jobs,
		refresher: o.Refresher,
		finals:    newFinalStatuses(o.MemoryMb),
		counts:    o.Counts,
	}
}

// Final returns the final status of a job if this node knows it without reading.
func (r *Reader) Final(uid string) (wire.JobStatus, bool) { return r.finals.get(uid) }

// RecordFinal keeps a job's final status, which is committed.
func (r *Reader) RecordFinal(uid string, status wire.JobStatus) { r.finals.add(uid, status) }

// Read answers a poll from this node's copy of the jobs, brought up to date by a read
// that began after the question; polls that come together share one. A final status is
// cached for ever. The result is false if the job was never accepted.
func (r *Reader) Read(ctx context.Context, uid string) (wire.JobView, bool, error) {
	if status, ok := r.finals.get(uid); ok {
		return wire.JobView{UID: uid, Status: status}, true, nil
	}
	switch err := r.refresher.Refresh(ctx); {
	case errors.Is(err, watchcache.ErrNotSynced) || errors.Is(err, store.ErrCompacted):
		return r.Lookup(ctx, uid)
	case err != nil:
		return wire.JobView{}, false, err
	}
	if entry, ok := r.jobs.Job(uid); ok {
		view, err := r.view(ctx, uid, entry.Job)
		return view, err == nil, err
	}
	// It is archived, as a rule. If it is not, it was never accepted, or its record
	// is not in the copy for a reason that only the records themselves tell.
	if view, found, err := r.readFinal(ctx, uid); found || err != nil {
		return view, found, err
	}
	never, err := r.neverAccepted(ctx, uid)
	if never || err != nil {
		return wire.JobView{UID: uid}, false, err
	}
	return r.Lookup(ctx, uid)
}

// neverAccepted reports whether a job has neither a record nor a final status at one moment,
// which only a job has that was not accepted before. It is a transaction that changes nothing: two
// reads could miss a job that is archived between them, and take one request more for each
// question about a job that nobody has submitted.
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
		// The jobs that it needs are looked up in this node's copy.
		if err := r.refresher.Refresh(ctx); err != nil {
			return view, false, err
		}
	}
	view, err = r.view(ctx, uid, &job)
	return view, err == nil, err
}

// view makes the answer for a job whose record was read after the question, as was
// this node's copy of the jobs if it waits for others. A job that needs a cancelled one
// is cancelled from then on, and stays so: it has no task, and its record can only
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
	// Reading and counting take time: a final status that was announced meanwhile,
	// here or by a peer, is not answered with something older.
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
