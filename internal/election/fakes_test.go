package election

import (
	"context"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// fakeStore is a state store that holds only the leader's key. Its watches never report a change.
type fakeStore struct {
	// rival is the leader's key as another node writes it just before the first commit; nil if no other node campaigns.
	rival *wire.KeyValue
	// commitErr is returned by commits. A commit is executed nevertheless if there is no leader.
	commitErr error
	// renewErr is returned by lease renewals.
	renewErr error

	mu       sync.Mutex
	leader   *wire.KeyValue // the leader's key; nil if there is no leader
	leases   uint64         // number of leases granted, which is also the newest lease's id
	renewals []time.Time    // when each renewal was requested
	revoked  []uint64       // ids of leases
	onRevoke func()         // called by RevokeLease unless nil
}

func (s *fakeStore) List(context.Context, string) ([]wire.KeyValue, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == nil {
		return nil, 1, nil
	}
	return []wire.KeyValue{*s.leader}, s.leader.ModRevision, nil
}

func (*fakeStore) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) (wire.WatchResponse, error) {
	<-ctx.Done()
	return wire.WatchResponse{Revision: after}, ctx.Err()
}

func (s *fakeStore) Get(_ context.Context, key string) (wire.KeyValue, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key != records.LeaderKey || s.leader == nil {
		return wire.KeyValue{}, false, nil
	}
	return *s.leader, true, nil
}

func (s *fakeStore) Commit(_ context.Context, tx wire.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rival != nil {
		s.leader, s.rival = s.rival, nil
	}
	if s.leader != nil {
		if s.commitErr != nil {
			return 0, s.commitErr
		}
		return 0, &store.ConflictError{Failed: []string{records.LeaderKey}}
	}
	change := tx.Changes[0]
	const revision = 7
	s.leader = &wire.KeyValue{Key: change.Set, Value: change.Value, ModRevision: revision, LeaseID: change.LeaseID}
	return revision, s.commitErr
}

func (s *fakeStore) GrantLease(context.Context, time.Duration) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases++
	return s.leases, nil
}

func (s *fakeStore) RenewLease(context.Context, uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewals = append(s.renewals, time.Now())
	return s.renewErr
}

func (s *fakeStore) RevokeLease(_ context.Context, leaseID uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked = append(s.revoked, leaseID)
	if s.onRevoke != nil {
		s.onRevoke()
	}
	return nil
}

// setRenewErr sets the error that renewals return from now on.
func (s *fakeStore) setRenewErr(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewErr = err
}

// renewalsSince counts the renewals that were requested after a time.
func (s *fakeStore) renewalsSince(from time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, at := range s.renewals {
		if at.After(from) {
			count++
		}
	}
	return count
}

// counts returns how many leases were granted and how many were revoked.
func (s *fakeStore) counts() (granted, revoked int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.leases), len(s.revoked)
}

// removeLeader removes the leader's key, as the store does when the key's lease ends.
func (s *fakeStore) removeLeader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = nil
}
