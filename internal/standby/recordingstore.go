package standby

import (
	"context"
	"errors"

	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// Store is what a controller needs of the state store.
type Store interface {
	watchcache.Reader
	Get(ctx context.Context, key string) (wire.KeyValue, bool, error)
	Commit(ctx context.Context, tx wire.Transaction) (uint64, error)
}

// RecordingStore is a Store that reports the outcome of every commit to a Source. It is safe for
// concurrent use.
type RecordingStore struct {
	Store
	source *Source
}

// NewRecordingStore returns the store of a controller whose commits the source offers to its standby.
func NewRecordingStore(s Store, source *Source) *RecordingStore { return &RecordingStore{s, source} }

// Get reads a key, and applies the record to the source: the record is at least as new as the one that
// the source has.
func (r *RecordingStore) Get(ctx context.Context, key string) (wire.KeyValue, bool, error) {
	item, found, err := r.Store.Get(ctx, key)
	if err == nil && isRecord(key) {
		r.source.applyRead(key, item, found)
	}
	return item, found, err
}

// Commit commits a transaction and applies its outcome to the source.
func (r *RecordingStore) Commit(ctx context.Context, tx wire.Transaction) (uint64, error) {
	keys := recordKeys(tx)
	if len(keys) == 0 {
		return r.Store.Commit(ctx, tx)
	}
	id := r.source.beginCommit()
	revision, err := r.Store.Commit(ctx, tx)
	switch {
	case err == nil:
		r.source.commitSucceeded(id, tx, keys, revision)
	case errors.Is(err, store.ErrOutcomeUnknown):
		r.source.commitUnknown(id, comparedKeys(tx, keys))
	default:
		r.source.commitFailed(id)
	}
	return revision, err
}

// recordKeys returns the keys of followed records that a transaction changes.
func recordKeys(tx wire.Transaction) []string {
	var keys []string
	for _, change := range tx.Changes {
		if key := change.Set + change.Drop; isRecord(key) {
			keys = append(keys, key)
		}
	}
	return keys
}

// comparedKeys returns those of the keys whose mod revision the transaction compares. The others are
// keys of hints, on which no decision depends: a machine's images are written without a compare of
// their own.
func comparedKeys(tx wire.Transaction, keys []string) []string {
	compared := map[string]bool{}
	for _, compare := range tx.Compares {
		compared[compare.Key] = true
	}
	var found []string
	for _, key := range keys {
		if compared[key] {
			found = append(found, key)
		}
	}
	return found
}
