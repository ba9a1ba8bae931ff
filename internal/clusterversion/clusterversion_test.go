package clusterversion

import (
	"context"
	"testing"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// fakeStore executes every commit and records it.
type fakeStore struct{ commits []wire.Transaction }

func (s *fakeStore) Commit(_ context.Context, tx wire.Transaction) (uint64, error) {
	s.commits = append(s.commits, tx)
	return 40, nil
}

// The version is raised once every member understands the newer one, by a commit that
// only the term's leader can make, and only once.
func TestVersionIsRaisedOnceAllUnderstand(t *testing.T) {
	for _, tc := range []struct {
		name       string
		understood []Version
		want       Version
	}{
		{"one has announced nothing", []Version{JobDAGs, Normalize(0)}, First},
		{"all have announced it", []Version{JobDAGs, JobDAGs}, JobDAGs},
		{"a later release is among them", []Version{Latest + 1, JobDAGs}, JobDAGs},
		{"a node alone", nil, JobDAGs},
	} {
		t.Run(tc.name, func(t *testing.T) {
			store, tracker := &fakeStore{}, NewTracker()
			if err := tracker.Raise(context.Background(), store, 7, tc.understood); err != nil {
				t.Fatal(err)
			}
			if got := tracker.InForce(); got != tc.want {
				t.Errorf("version %d is in force, want %d", got, tc.want)
			}
			if tc.want == First {
				if len(store.commits) > 0 {
					t.Error("the version is written")
				}
				return
			}
			compares := store.commits[0].Compares
			if compares[0] != (wire.Compare{Key: records.LeaderKey, ModRevision: 7}) || compares[1] != (wire.Compare{Key: records.VersionKey}) {
				t.Errorf("the commit compares %v", compares)
			}
			if err := tracker.Raise(context.Background(), store, 7, []Version{First}); err != nil || len(store.commits) > 1 {
				t.Errorf("it is written again: %v", err)
			}
		})
	}
}

// The version in force follows its record alone, and never falls.
func TestVersionInForceFollowsItsRecord(t *testing.T) {
	tracker := NewTracker()
	record := func(version int) wire.WatchEvent {
		value := records.Encode(records.ClusterVersion{Version: version})
		return wire.WatchEvent{Set: records.VersionKey, Value: value, ModRevision: uint64(version)}
	}
	tracker.Apply(wire.WatchEvent{Set: records.SettingsKey, Value: records.Encode(records.ClusterVersion{Version: 9})})
	if tracker.InForce() != First {
		t.Error("another record is taken for the version")
	}
	for _, version := range []int{2, 1} {
		tracker.Apply(record(version))
		if tracker.InForce() != JobDAGs {
			t.Errorf("after a record of version %d, %d is in force", version, tracker.InForce())
		}
	}
}
