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

// Reader reads keys and their changes from the state store.
type Reader interface {
	// List returns all keys under a prefix and the revision from which to watch.
	List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error)
	// Watch returns the changes after a revision. If there are none yet, it waits for up to maxWait.
	Watch(ctx context.Context, prefix string, afterRevision uint64, maxWait time.Duration) (wire.WatchResponse, error)
}

// Handler receives the keys that Follow watches and their changes. startedAt is the start time of the read
// that returned them: every commit from before that time is part of this call or of an earlier one.
type Handler interface {
	// Reset applies a whole listing. The changes after revision follow in calls of Apply.
	Reset(items []wire.KeyValue, revision uint64, startedAt time.Time)
	// Apply applies the changes after afterRevision.
	Apply(changes wire.WatchResponse, afterRevision uint64, startedAt time.Time)
}

// Follow keeps a handler up to date with the keys under a prefix until ctx ends: it lists the keys and
// then watches them. If the store no longer has all changes since the listing, Follow lists them again.
// A watch waits for a change for up to maxWait. After an error, Follow logs it and tries again after
// retryDelay, without a limit. It calls the handler in the caller's goroutine only.
func Follow(ctx context.Context, reader Reader, prefix string, maxWait, retryDelay time.Duration, handler Handler) {
	for ctx.Err() == nil {
		startedAt := time.Now()
		items, revision, err := reader.List(ctx, prefix)
		if err != nil {
			slog.Debug("failed to list keys", "prefix", prefix, "err", err)
			timeralign.Sleep(ctx, retryDelay)
			continue
		}
		handler.Reset(items, revision, startedAt)
		watchUntilCompacted(ctx, reader, prefix, revision, maxWait, retryDelay, handler)
	}
}

// watchUntilCompacted passes the changes after a revision to a handler until the store no longer
// has all of them, or ctx ends.
func watchUntilCompacted(
	ctx context.Context, reader Reader, prefix string, revision uint64, maxWait, retryDelay time.Duration, handler Handler,
) {
	for ctx.Err() == nil {
		startedAt := time.Now()
		changes, err := reader.Watch(ctx, prefix, revision, maxWait)
		if errors.Is(err, store.ErrCompacted) {
			return
		}
		if err != nil {
			slog.Debug("failed to watch keys", "prefix", prefix, "err", err)
			timeralign.Sleep(ctx, retryDelay)
			continue
		}
		handler.Apply(changes, revision, startedAt)
		revision = max(revision, changes.Revision)
	}
}

// KeysListableWithin returns how many keys one node can list within a time, if the state store allows all
// nodes together requestsPerSecond.
func KeysListableWithin(requestsPerSecond float64, within time.Duration) int {
	return int(requestsPerSecond*store.RequestShare*within.Seconds()) * store.ListPageSize
}

// HandlerFuncs is a Handler that calls a function for each key: OnListed for each key of a listing,
// OnChanged for each later change. Either may be nil.
type HandlerFuncs struct {
	OnListed  func(event wire.WatchEvent)
	OnChanged func(event wire.WatchEvent)
}

// Reset calls OnListed for each key of a listing. It calls no function for a key that was dropped since
// the previous listing.
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
