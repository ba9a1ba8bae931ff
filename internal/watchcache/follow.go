package watchcache

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/wire"
)

// Reader is what a watch needs of the state store.
type Reader interface {
	// List reads all keys under a prefix and the revision to watch from.
	List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error)
	// Watch returns the changes after a revision. If there are none yet it waits up to wait.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (wire.WatchResponse, error)
}

// Handler receives the state of the keys that Follow watches. begun is when the read began that an
// update comes from: every commit before it is part of the update or of an earlier one.
type Handler interface {
	// Reset applies a whole listing, made at revision.
	Reset(items []wire.KeyValue, revision uint64, begun time.Time)
	// Apply applies the changes after the revision after.
	Apply(changes wire.WatchResponse, after uint64, begun time.Time)
}

// Follow brings a handler up to date with the keys under a prefix until ctx ends: it lists them,
// then watches, and lists them again when the store no longer has all changes since. A watch
// waits up to wait for a change; pause is the time between attempts after an error. Errors are
// logged and retried without end. All calls of the handler are made by the caller's goroutine.
func Follow(ctx context.Context, reader Reader, prefix string, wait, pause time.Duration, handler Handler) {
	for ctx.Err() == nil {
		begun := time.Now()
		items, revision, err := reader.List(ctx, prefix)
		if err != nil {
			slog.Debug("keys cannot be listed", "prefix", prefix, "err", err)
			timeralign.Sleep(ctx, pause)
			continue
		}
		handler.Reset(items, revision, begun)
		watchUntilCompacted(ctx, reader, prefix, revision, wait, pause, handler)
	}
}

// watchUntilCompacted passes the changes after a revision to a handler until the store no longer
// has all of them, or ctx ends.
func watchUntilCompacted(
	ctx context.Context, reader Reader, prefix string, revision uint64, wait, pause time.Duration, handler Handler,
) {
	for ctx.Err() == nil {
		begun := time.Now()
		changes, err := reader.Watch(ctx, prefix, revision, wait)
		if errors.Is(err, store.ErrCompacted) {
			return
		}
		if err != nil {
			slog.Debug("watch failed", "prefix", prefix, "err", err)
			timeralign.Sleep(ctx, pause)
			continue
		}
		handler.Apply(changes, revision, begun)
		revision = max(revision, changes.Revision)
	}
}

// KeysListableWithin returns how many keys one node can list within a time, from a state store that
// allows requestsPerSecond of all nodes.
func KeysListableWithin(requestsPerSecond float64, within time.Duration) int {
	return int(requestsPerSecond*store.RequestShare*within.Seconds()) * store.ListPageSize
}

// HandlerFuncs is a Handler of two functions, each called for one key at a time: OnListed for the
// keys of a listing, OnChanged for later changes. Either may be nil.
type HandlerFuncs struct {
	OnListed  func(event wire.WatchEvent)
	OnChanged func(event wire.WatchEvent)
}

// Reset calls OnListed for the keys of a listing. For a key that has been dropped since the listing
// before it calls nothing.
func (f HandlerFuncs) Reset(items []wire.KeyValue, _ uint64, _ time.Time) {
	if f.OnListed == nil {
		return
	}
	for _, item := range items {
		f.OnListed(wire.WatchEvent{Set: item.Key, Value: item.Value, ModRevision: item.ModRevision})
	}
}

// Apply calls OnChanged for each change.
func (f HandlerFuncs) Apply(changes wire.WatchResponse, _ uint64, _ time.Time) {
	if f.OnChanged == nil {
		return
	}
	for _, event := range changes.Events {
		f.OnChanged(event)
	}
}
