package clusterversion

import (
	"context"
	"testing"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// fakeStore takes every commit and remembers it.
type fakeStore struct{ commits []wire.Transaction }

func (s *fakeStore) Commit(_ context.Context, tx wire.Transaction) (uint64, error) {
	s.commits = append(s.commits, tx)
	return 40, nil
}

// The version is raised once every member understands the newer one, by a commit that
// only the term's leader can make, and never falls.
func TestVersionIsRaisedOnceAllUnderstand(t *testing.T) {
	for _, tc := range []struct {
		name       string
		understood []Version
		want       Version
	}{
		{"one has said nothing", []Version{JobDAGs, Normalize(0)}, First},
		{"all have said it", []Version{JobDAGs, JobDAGs}, JobDAGs},
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
			guards := store.commits[0].Compares
			if guards[0] != (wire.Compare{Key: records.LeaderKey, ModRevision: 7}) || guards[1] != (wire.Compare{Key: records.VersionKey}) {
				t.Errorf("guarded by %v", guards)
			}
			if err := tracker.Raise(context.Background(), store, 7, []Version{First}); err != nil || len(store.commits) > 1 {
				t.Errorf("it is written again: %v", err)
			}
		})
	}
	tracker := NewTracker()
	record := func(version int) wire.WatchEvent {
		return wire.WatchEvent{Set: records.VersionKey, Value: records.Encode(records.ClusterVersion{Version: version}), ModRevision: uint64(version)}
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
