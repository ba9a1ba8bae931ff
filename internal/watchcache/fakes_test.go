package watchcache

import (
	"context"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// fakeStore is a state store of job records. It keeps only the changes after revision compactedUpTo.
type fakeStore struct {
	revision      uint64
	items         map[string]wire.KeyValue
	events        []wire.WatchEvent
	compactedUpTo uint64 // changes up to this revision are no longer kept
}

func newFakeStore() *fakeStore { return &fakeStore{items: map[string]wire.KeyValue{}} }

func (s *fakeStore) set(uid string, status wire.JobStatus) {
	s.revision++
	key := records.JobKey(uid)
	item := wire.KeyValue{Key: key, Value: records.Encode(records.Job{Status: status}), ModRevision: s.revision}
	s.items[key] = item
	s.events = append(s.events, wire.WatchEvent{Set: key, Value: item.Value, ModRevision: s.revision})
}

func (s *fakeStore) drop(uid string) {
	s.revision++
	delete(s.items, records.JobKey(uid))
	s.events = append(s.events, wire.WatchEvent{Drop: records.JobKey(uid), ModRevision: s.revision})
}

func (s *fakeStore) List(context.Context, string) ([]wire.KeyValue, uint64, error) {
	items := make([]wire.KeyValue, 0, len(s.items))
	for _, item := range s.items {
		items = append(items, item)
	}
	return items, s.revision, nil
}

func (s *fakeStore) Watch(_ context.Context, _ string, afterRevision uint64, _ time.Duration) (wire.WatchResponse, error) {
	if afterRevision < s.compactedUpTo {
		return wire.WatchResponse{}, store.ErrCompacted
	}
	changes := wire.WatchResponse{Revision: s.revision}
	for _, event := range s.events {
		if event.ModRevision > afterRevision {
			changes.Events = append(changes.Events, event)
		}
	}
	return changes, nil
}

// slowStore is a state store that executes a read at once and answers it later: the answer shows the
// store as it was when the read was executed.
type slowStore struct {
	*fakeStore
	mu    sync.Mutex
	reads int
	delay func(read int) time.Duration // returns the delay of the answer to the read with this number, from 0
}

func (s *slowStore) Watch(ctx context.Context, prefix string, afterRevision uint64, maxWait time.Duration) (wire.WatchResponse, error) {
	s.mu.Lock()
	read := s.reads
	s.reads++
	changes, err := s.fakeStore.Watch(ctx, prefix, afterRevision, maxWait)
	s.mu.Unlock()
	select {
	case <-time.After(s.delay(read)):
		return changes, err
	case <-ctx.Done():
		return wire.WatchResponse{}, ctx.Err()
	}
}

// noPacer is a Pacer that lets every read start at once.
type noPacer struct{}

func (noPacer) Wait(context.Context) error { return nil }
