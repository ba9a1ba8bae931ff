package standby

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// outcome is what the fake state store does with a commit.
type outcome int

const (
	executed       outcome = iota // executed if its compares hold, and answered
	rejected                      // not executed, and answered with an error
	droppedAnswer                 // executed if its compares hold, but the answer is lost
	droppedRequest                // neither executed nor answered
	delayedRequest                // not answered, and executed later if its compares still hold
	outcomeCount                  // number of outcomes
)

// fakeStore is a fake state store that keeps its whole history.
type fakeStore struct {
	revision      uint64
	items         map[string]wire.KeyValue
	history       []wire.WatchEvent
	compactedUpTo uint64             // the store no longer has the changes before this revision or at it
	readErr       error              // returned by reads unless nil
	nextOutcome   outcome            // outcome of the next commit
	delayed       []wire.Transaction // commits that may still be executed
}

func newFakeStore() *fakeStore { return &fakeStore{items: map[string]wire.KeyValue{}} }

// elect writes the leader's key and returns its revision, which is the new term.
func (s *fakeStore) elect() uint64 {
	s.apply(wire.Transaction{Changes: []wire.Change{{Set: records.LeaderKey, Value: []byte(`{}`)}}})
	return s.revision
}

func (s *fakeStore) apply(tx wire.Transaction) bool {
	for _, compare := range tx.Compares {
		if s.items[compare.Key].ModRevision != compare.ModRevision {
			return false
		}
	}
	s.revision++
	for _, c := range tx.Changes {
		if c.Drop != "" {
			delete(s.items, c.Drop)
			s.history = append(s.history, wire.WatchEvent{Drop: c.Drop, ModRevision: s.revision})
			continue
		}
		s.items[c.Set] = wire.KeyValue{Key: c.Set, Value: c.Value, ModRevision: s.revision}
		s.history = append(s.history, wire.WatchEvent{Set: c.Set, Value: c.Value, ModRevision: s.revision})
	}
	return true
}

// executeDelayed executes one of the delayed commits if there are any and its compares still hold.
func (s *fakeStore) executeDelayed(i int) {
	if len(s.delayed) == 0 {
		return
	}
	i %= len(s.delayed)
	s.apply(s.delayed[i])
	s.delayed = slices.Delete(s.delayed, i, i+1)
}

func (s *fakeStore) Commit(_ context.Context, tx wire.Transaction) (uint64, error) {
	planned := s.nextOutcome
	s.nextOutcome = executed
	switch planned {
	case rejected:
		return 0, store.ErrRefused
	case droppedRequest:
		return 0, store.ErrOutcomeUnknown
	case delayedRequest:
		s.delayed = append(s.delayed, tx)
		return 0, store.ErrOutcomeUnknown
	}
	if !s.apply(tx) {
		return 0, &store.ConflictError{Failed: []string{"some"}}
	}
	if planned == droppedAnswer {
		return 0, store.ErrOutcomeUnknown
	}
	return s.revision, nil
}

func (s *fakeStore) Get(_ context.Context, key string) (wire.KeyValue, bool, error) {
	item, ok := s.items[key]
	return item, ok, s.readErr
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]wire.KeyValue, uint64, error) {
	var rows []wire.KeyValue
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, s.items[key])
		}
	}
	return rows, s.revision, s.readErr
}

func (s *fakeStore) Watch(_ context.Context, prefix string, after uint64, _ time.Duration) (wire.WatchResponse, error) {
	if s.readErr != nil {
		return wire.WatchResponse{}, s.readErr
	}
	if after < s.compactedUpTo {
		return wire.WatchResponse{}, store.ErrCompacted
	}
	response := wire.WatchResponse{Revision: s.revision}
	for _, event := range s.history {
		if event.ModRevision > after && strings.HasPrefix(event.Set+event.Drop, prefix) {
			response.Events = append(response.Events, event)
		}
	}
	return response, nil
}
