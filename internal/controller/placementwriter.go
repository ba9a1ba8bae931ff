package controller

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/wire"
)

// placementWriter commits the changes of a term's placements and jobs to the state store, one batch after the other.
// Apart from the channel that wakes it, it has no state of its own.
type placementWriter struct {
	config *config.Config
	store  Store
	term   uint64
	state  placementState
	wake   chan struct{} // there is something to write
}

// placementState is the state that a placementWriter writes. Its methods do their own locking. Controller implements
// them in commits.go.
type placementState interface {
	// nextBatch returns the next batch, or nil if there is nothing to write.
	nextBatch() *batch
	// applyCommit updates the state after a batch has been committed at a revision.
	applyCommit(b *batch, revision uint64)
	// markOutcomeUnknown excludes the records of a batch from later batches until they are read again.
	markOutcomeUnknown(b *batch)
	// applyPlacementRevision applies the revision at which a placement record was read; 0 if there is no record.
	applyPlacementRevision(p *placement, modRevision uint64)
	// applyReadJob applies a job's record that was just read; found is false if there is no record.
	applyReadJob(j *job, item wire.KeyValue, found bool)
	// deferRejected delays further writes of the records in a batch that the state store has rejected.
	deferRejected(b *batch, rejected *store.RejectedError)
	// stepDown ends the term.
	stepDown(reason string)
}

func newPlacementWriter(cfg *config.Config, stateStore Store, term uint64, state placementState) *placementWriter {
	return &placementWriter{config: cfg, store: stateStore, term: term, state: state, wake: make(chan struct{}, 1)}
}

// run commits batches until ctx ends.
func (w *placementWriter) run(ctx context.Context) {
	period := w.config.HeartbeatInterval() / 3
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		case <-time.After(w.config.TimerGrid().UntilNext(time.Now(), period)):
		}
		w.writeAll(ctx, period/2)
	}
}

// writeAll commits batches until there is nothing left to write. When commit returns false, writeAll pauses; after a
// background commit it returns instead, since what is left can wait.
func (w *placementWriter) writeAll(ctx context.Context, retryDelay time.Duration) {
	for ctx.Err() == nil {
		b := w.state.nextBatch()
		if b == nil {
			return
		}
		if w.commit(ctx, b) {
			continue
		}
		if b.background {
			return // a later call retries it, when the state store may have more capacity
		}
		timeralign.Sleep(ctx, retryDelay)
	}
}

// commit sends a batch and applies its outcome. It returns false if the writer should pause.
func (w *placementWriter) commit(ctx context.Context, b *batch) bool {
	commitCtx := ctx
	if b.background {
		commitCtx = store.WithBackgroundLane(ctx)
	}
	revision, err := w.store.Commit(commitCtx, b.tx)
	var conflict *store.ConflictError
	var rejected *store.RejectedError
	switch {
	case err == nil:
		w.state.applyCommit(b, revision)
		return true
	case errors.As(err, &conflict):
		slog.Info("commit failed: a compared key has changed", "term", w.term, "failed", conflict.Failed)
		if slices.Contains(conflict.Failed, records.LeaderKey) {
			w.state.stepDown("the leader's key has changed")
			return false
		}
		w.reread(ctx, b)
		return true
	case errors.Is(err, store.ErrOutcomeUnknown):
		slog.Warn("outcome of commit is unknown", "term", w.term, "err", err)
		w.reread(ctx, b)
		return false
	case errors.As(err, &rejected):
		w.state.deferRejected(b, rejected)
		return true
	case b.background:
		slog.Debug("background commit deferred", "term", w.term, "err", err)
		return false
	default:
		slog.Warn("commit failed", "term", w.term, "err", err)
		return false
	}
}

// reread reads the keys of a batch again after a conflict or an unknown outcome. Only this term writes placement
// records, so the controller's state is newer than a placement record that is read: only the record's revision is
// applied, and the state is written again. If the state store applies the first commit only after that, the compares of
// revisions let only one of the two commits succeed.
func (w *placementWriter) reread(ctx context.Context, b *batch) {
	w.state.markOutcomeUnknown(b)
	for _, write := range b.placements {
		p := write.placement
		item, found, err := w.get(ctx, records.PlacementKey(p.job.uid, p.index))
		if err != nil {
			return
		}
		if !found {
			item.ModRevision = 0
		}
		w.state.applyPlacementRevision(p, item.ModRevision)
	}
	for j := range b.writtenJobs() {
		item, found, err := w.get(ctx, records.JobKey(j.uid))
		if err != nil {
			return
		}
		w.state.applyReadJob(j, item, found)
	}
}

// get reads a key and retries until the state store answers. It fails only if ctx ends.
func (w *placementWriter) get(ctx context.Context, key string) (item wire.KeyValue, found bool, err error) {
	for {
		if item, found, err = w.store.Get(ctx, key); err == nil {
			return item, found, nil
		}
		if !timeralign.Sleep(ctx, w.config.HeartbeatInterval()/4) {
			return wire.KeyValue{}, false, context.Cause(ctx)
		}
	}
}
