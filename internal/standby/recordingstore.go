package standby

import (
	"context"
	"errors"

	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// Store is the part of the state store's client that a controller needs.
type Store interface {
	watchcache.Reader
	Get(ctx context.Context, key string) (wire.KeyValue, bool, error)
	Commit(ctx context.Context, tx wire.Transaction) (uint64, error)
}

// RecordingStore is a Store that reports to a Source the outcome of every commit that changes followed records. It is
// safe for concurrent use.
type RecordingStore struct {
	Store
	source *Source
}

// NewRecordingStore returns a store for a controller. The source offers the controller's commits to its standbys.
func NewRecordingStore(s Store, source *Source) *RecordingStore { return &RecordingStore{s, source} }

// Get reads a key. If the key belongs to a followed record, Get also applies the result to the source, since the result
// is at least as new as the source's entry for the key.
func (r *RecordingStore) Get(ctx context.Context, key string) (wire.KeyValue, bool, error) {
	item, found, err := r.Store.Get(ctx, key)
	if err == nil && isRecord(key) {
		r.source.applyRead(key, item, found)
	}
	return item, found, err
}

// Commit commits a transaction. If it changes followed records, Commit reports its outcome to the source.
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

// comparedKeys returns those of the keys whose mod revisions the transaction compares. The other keys belong to
// hints, on which no decision depends: a machine's list of images is written without a compare of its own key.
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
