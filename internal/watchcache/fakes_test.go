package watchcache

import (
	"context"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// fakeStore is a state store of job records that keeps all changes, or those after a revision.
type fakeStore struct {
	revision  uint64
	items     map[string]wire.KeyValue
	events    []wire.WatchEvent
	compacted uint64 // changes up to here are no longer kept
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

func (s *fakeStore) Watch(_ context.Context, _ string, after uint64, _ time.Duration) (wire.WatchResponse, error) {
	if after < s.compacted {
		return wire.WatchResponse{}, store.ErrCompacted
	}
	changes := wire.WatchResponse{Revision: s.revision}
	for _, event := range s.events {
		if event.ModRevision > after {
			changes.Events = append(changes.Events, event)
		}
	}
	return changes, nil
}

// slowStore is a state store whose reads show it as it was when they were
// executed and are answered later.
type slowStore struct {
	*fakeStore
	mu     sync.Mutex
	reads  int
	answer func(read int) time.Duration // when the read with this number is answered
}

func (s *slowStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (wire.WatchResponse, error) {
	s.mu.Lock()
	read := s.reads
	s.reads++
	changes, err := s.fakeStore.Watch(ctx, prefix, after, wait)
	s.mu.Unlock()
	select {
	case <-time.After(s.answer(read)):
		return changes, err
	case <-ctx.Done():
		return wire.WatchResponse{}, ctx.Err()
	}
}

// unpaced lets every read begin at once.
type unpaced struct{}

func (unpaced) Wait(context.Context) error { return nil }
