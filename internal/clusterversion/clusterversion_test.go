package clusterversion

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// fakeStore is a state store that accepts every commit and records it.
type fakeStore struct{ commits []wire.Transaction }

func (s *fakeStore) Commit(_ context.Context, tx wire.Transaction) (uint64, error) {
	s.commits = append(s.commits, tx)
	return 40, nil
}

// The version is raised once every member understands the newer version, by one commit that succeeds only
// for the leader of the term. A later call of Raise commits nothing.
func TestVersionIsRaisedOnceAllUnderstand(t *testing.T) {
	for _, tc := range []struct {
		name           string
		memberVersions []Version
		want           Version
	}{
		{"one has announced nothing", []Version{JobDAGs, Normalize(0)}, First},
		{"all have announced it", []Version{JobDAGs, JobDAGs}, JobDAGs},
		{"a later release is among them", []Version{Latest + 1, JobDAGs}, JobDAGs},
		{"a node alone", nil, JobDAGs},
	} {
		t.Run(tc.name, func(t *testing.T) {
			store, tracker := &fakeStore{}, NewTracker()
			if err := tracker.Raise(context.Background(), store, 7, tc.memberVersions); err != nil {
				t.Fatal(err)
			}
			if got := tracker.InForce(); got != tc.want {
				t.Errorf("version %d is in force, want %d", got, tc.want)
			}
			if tc.want == First {
				if len(store.commits) > 0 {
					t.Errorf("%d commits were made, want none", len(store.commits))
				}
				return
			}
			compares := store.commits[0].Compares
			if compares[0] != (wire.Compare{Key: records.LeaderKey, ModRevision: 7}) || compares[1] != (wire.Compare{Key: records.VersionKey}) {
				t.Errorf("the commit compares %v, want the leader of term 7 and no version record first", compares)
			}
			if err := tracker.Raise(context.Background(), store, 7, []Version{First}); err != nil || len(store.commits) > 1 {
				t.Errorf("after a second Raise: %d commits and error %v, want 1 commit and no error", len(store.commits), err)
			}
		})
	}
}

// Only the record at VersionKey changes the version in force, which never falls.
func TestVersionInForceFollowsItsRecord(t *testing.T) {
	tracker := NewTracker()
	versionEvent := func(version int) wire.WatchEvent {
		value := records.Encode(records.ClusterVersion{Version: version})
		return wire.WatchEvent{Set: records.VersionKey, Value: value, ModRevision: uint64(version)}
	}
	tracker.Apply(wire.WatchEvent{Set: records.SettingsKey, Value: records.Encode(records.ClusterVersion{Version: 9})})
	if tracker.InForce() != First {
		t.Errorf("after a change of another record, version %d is in force, want %d", tracker.InForce(), First)
	}
	for _, version := range []int{2, 1} {
		tracker.Apply(versionEvent(version))
		if tracker.InForce() != JobDAGs {
			t.Errorf("after a record of version %d, version %d is in force, want %d", version, tracker.InForce(), JobDAGs)
		}
	}
}

// leaseStore grants leases, and revokes them unless the context has ended.
type leaseStore struct {
	fakeStore
	revoked []uint64
}

func (*leaseStore) GrantLease(context.Context, time.Duration) (uint64, error) { return 7, nil }

func (*leaseStore) RenewLease(ctx context.Context, _ uint64) error { return ctx.Err() }

func (s *leaseStore) RevokeLease(ctx context.Context, leaseID uint64) error {
	if ctx.Err() == nil {
		s.revoked = append(s.revoked, leaseID)
	}
	return ctx.Err()
}

// A node that stops withdraws its announcement: otherwise the record would say until its lease ends that the node
// understands the version, although the next process there may be of an older release.
func TestAnnouncementIsRevokedWhenTheNodeStops(t *testing.T) {
	const ttl = 4 * time.Second
	for name, runFor := range map[string]time.Duration{"between renewals": 3*ttl + ttl/8, "at a renewal": 3 * ttl} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leases := &leaseStore{}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					NewTracker().Announce(ctx, leases, "n0", ttl)
				}()
				time.Sleep(runFor)
				cancel()
				<-done
				if len(leases.commits) == 0 || len(leases.revoked) != 1 {
					t.Errorf("%d announcements, revoked leases %v; want one revoked lease", len(leases.commits), leases.revoked)
				}
			})
		})
	}
}
