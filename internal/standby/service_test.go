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

// outcome is what a fake state store does with a commit.
type outcome int

const (
	carriedOut outcome = iota
	refused
	droppedAnswer  // carried out, and the answer is lost
	droppedRequest // neither
	lateRequest    // the answer is lost, and it is carried out later if its compares still hold
	outcomes
)

// service is a fake state store that keeps its whole history.
type service struct {
	revision    uint64
	items       map[string]wire.KeyValue
	log         []wire.WatchEvent
	oldestKnown uint64 // changes up to here are no longer kept
	down        error
	next        outcome // of the next commit
	late        []wire.Transaction
}

func newService() *service { return &service{items: map[string]wire.KeyValue{}} }

// elect makes a new term.
func (s *service) elect() uint64 {
	s.apply(wire.Transaction{Changes: []wire.Change{{Set: records.LeaderKey, Value: []byte(`{}`)}}})
	return s.revision
}

func (s *service) apply(tx wire.Transaction) bool {
	for _, compare := range tx.Compares {
		if s.items[compare.Key].ModRevision != compare.ModRevision {
			return false
		}
	}
	s.revision++
	for _, c := range tx.Changes {
		if c.Drop != "" {
			delete(s.items, c.Drop)
			s.log = append(s.log, wire.WatchEvent{Drop: c.Drop, ModRevision: s.revision})
			continue
		}
		s.items[c.Set] = wire.KeyValue{Key: c.Set, Value: c.Value, ModRevision: s.revision}
		s.log = append(s.log, wire.WatchEvent{Set: c.Set, Value: c.Value, ModRevision: s.revision})
	}
	return true
}

// deliverLate carries out one of the commits that are delayed, if there are any.
func (s *service) deliverLate(i int) {
	if len(s.late) == 0 {
		return
	}
	i %= len(s.late)
	s.apply(s.late[i])
	s.late = slices.Delete(s.late, i, i+1)
}

func (s *service) Commit(_ context.Context, tx wire.Transaction) (uint64, error) {
	how := s.next
	s.next = carriedOut
	switch how {
	case refused:
		return 0, store.ErrRefused
	case droppedRequest:
		return 0, store.ErrOutcomeUnknown
	case lateRequest:
		s.late = append(s.late, tx)
		return 0, store.ErrOutcomeUnknown
	}
	if !s.apply(tx) {
		return 0, &store.ConflictError{Failed: []string{"some"}}
	}
	if how == droppedAnswer {
		return 0, store.ErrOutcomeUnknown
	}
	return s.revision, nil
}

func (s *service) Get(_ context.Context, key string) (wire.KeyValue, bool, error) {
	item, ok := s.items[key]
	return item, ok, s.down
}

func (s *service) List(_ context.Context, under string) ([]wire.KeyValue, uint64, error) {
	var rows []wire.KeyValue
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, under) {
			rows = append(rows, s.items[key])
		}
	}
	return rows, s.revision, s.down
}

func (s *service) Watch(_ context.Context, under string, after uint64, _ time.Duration) (wire.WatchResponse, error) {
	if s.down != nil {
		return wire.WatchResponse{}, s.down
	}
	if after < s.oldestKnown {
		return wire.WatchResponse{}, store.ErrCompacted
	}
	response := wire.WatchResponse{Revision: s.revision}
	for _, event := range s.log {
		if event.ModRevision > after && strings.HasPrefix(event.Set+event.Drop, under) {
			response.Events = append(response.Events, event)
		}
	}
	return response, nil
}
