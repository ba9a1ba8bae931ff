// Package fakestore is a fake of the state store, written from its published protocol: a consistent
// key-value store with transactions, leases and watches. It can simulate outages, and limits on the size
// and the rate of requests. Get, Items and Keys read it for checks, unaffected by these faults.
package fakestore

import (
	"slices"
	"strings"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// Store is a fake state store. It is an http.Handler and safe for concurrent use.
type Store struct {
	// OnCommit, if set, is called for every transaction just before it is applied. The store is locked
	// meanwhile, so OnCommit must not call the store. Set it before the store serves requests.
	OnCommit func(tx wire.Transaction)

	mu          sync.Mutex
	revision    uint64
	lastLeaseID uint64
	items       map[string]wire.KeyValue
	events      []wire.WatchEvent
	leases      map[uint64]*lease
	waiters     map[chan struct{}]bool // closed at the next change
	down        bool
	limits      limiter
}

// lease is a lease that expires at expiresAt unless it is renewed before.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// New returns an empty store without limits.
func New() *Store {
	return &Store{items: map[string]wire.KeyValue{}, leases: map[uint64]*lease{}, waiters: map[chan struct{}]bool{}}
}

// SetDown begins or ends an outage. Leases do not expire during one, and have their full time to live
// again when it ends.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.down = down
	for _, l := range s.leases {
		l.expiresAt = time.Now().Add(l.ttl)
	}
}

// Get reads a key, unaffected by simulated faults.
func (s *Store) Get(key string) (wire.KeyValue, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	return item, ok
}

// Items lists all items under a prefix at one revision, in no order, unaffected by simulated faults.
func (s *Store) Items(prefix string) []wire.KeyValue {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []wire.KeyValue
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	return items
}

// Keys lists all keys under a prefix in order, unaffected by simulated faults.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keysAfter(prefix, "")
}

// keysAfter lists the keys under a prefix that come after a key, in order. s.mu is held.
func (s *Store) keysAfter(prefix, after string) []string {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// expireLeases ends the leases that were not renewed in time, except in an outage. s.mu is held.
func (s *Store) expireLeases() {
	if s.down {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes the keys that are attached to it. s.mu is held.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.LeaseID == id {
			s.revision++
			delete(s.items, key)
			s.publish(wire.WatchEvent{Drop: key, ModRevision: s.revision})
		}
	}
}

// publish appends a change to the events and wakes all open watches. s.mu is held.
func (s *Store) publish(event wire.WatchEvent) {
	s.events = append(s.events, event)
	for waiter := range s.waiters {
		delete(s.waiters, waiter)
		close(waiter)
	}
}

// failedCompares lists the keys whose compares fail. s.mu is held.
func (s *Store) failedCompares(compares []wire.Compare) (failed []string) {
	for _, compare := range compares {
		if s.items[compare.Key].ModRevision != compare.ModRevision {
			failed = append(failed, compare.Key)
		}
	}
	return failed
}

// apply applies the changes of a transaction under one revision. s.mu is held.
func (s *Store) apply(changes []wire.Change) {
	if len(changes) > 0 {
		s.revision++
	}
	for _, change := range changes {
		if change.Drop != "" {
			if _, ok := s.items[change.Drop]; ok {
				delete(s.items, change.Drop)
				s.publish(wire.WatchEvent{Drop: change.Drop, ModRevision: s.revision})
			}
			continue
		}
		s.items[change.Set] = wire.KeyValue{
			Key:         change.Set,
			Value:       change.Value,
			ModRevision: s.revision,
			LeaseID:     change.LeaseID,
		}
		s.publish(wire.WatchEvent{Set: change.Set, Value: change.Value, ModRevision: s.revision})
	}
}

// eventsAfter lists the changes under a prefix after a revision. s.mu is held.
func (s *Store) eventsAfter(prefix string, after uint64) (events []wire.WatchEvent) {
	for _, event := range s.events {
		isSet := event.Set != "" && strings.HasPrefix(event.Set, prefix)
		isDrop := event.Drop != "" && strings.HasPrefix(event.Drop, prefix)
		if event.ModRevision > after && (isSet || isDrop) {
			events = append(events, event)
		}
	}
	return events
}
