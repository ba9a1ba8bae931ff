package autoscaler

import (
	"slices"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
)

const valueBytes = 8 << 10

func TestReleasePassesFromStartToDrop(t *testing.T) {
	const retention = time.Minute
	now := time.Unix(10_000, 0)
	r := NewReleases(7)
	if !r.Start("m-2") || !r.Start("m-1") || r.Start("m-2") {
		t.Fatal("want Start to return true for a machine that is not being released, and false for one that is")
	}
	record, found := r.NextRecord(valueBytes)
	if want := []string{"m-1", "m-2"}; !found || !slices.Equal(record.Hosts, want) {
		t.Fatalf("got a record of %v (found %v), want %v", record.Hosts, found, want)
	}
	if hosts := r.Unconfirmed(10); len(hosts) > 0 {
		t.Errorf("got %v to release before their record is stored, want none", hosts)
	}
	r.AddRecorded(record)
	if _, found := r.NextRecord(valueBytes); found {
		t.Error("got a second record of the same machines, want none")
	}
	if hosts := r.Unconfirmed(1); !slices.Equal(hosts, []string{"m-1"}) {
		t.Errorf("got %v to release with a limit of 1, want m-1", hosts)
	}
	r.Confirm("m-1", now)
	if hosts := r.Unconfirmed(10); !slices.Equal(hosts, []string{"m-2"}) {
		t.Errorf("got %v to release after m-1 is confirmed, want m-2", hosts)
	}
	if expired := r.Expired(now.Add(retention+1), retention); len(expired) > 0 {
		t.Errorf("got expired records %v before the release of m-2 is confirmed, want none", expired)
	}
	r.Confirm("m-2", now)
	r.StillListed("m-2", now.Add(time.Second))
	r.StillListed("m-3", now) // not being released
	if expired := r.Expired(now.Add(retention+time.Second), retention); len(expired) > 0 {
		t.Errorf("got expired records %v within %s of the last machine list that shows m-2, want none", expired, retention)
	}
	if expired := r.Expired(now.Add(retention+time.Second+1), retention); len(expired) != 1 || expired[0].Key != record.Key {
		t.Errorf("got expired records %v, want only %s", expired, record.Key)
	}
	if hosts := r.Drop([]string{record.Key}); !slices.Equal(hosts, record.Hosts) || r.Len() != 0 {
		t.Errorf("got %v dropped and %d left, want %v and 0", hosts, r.Len(), record.Hosts)
	}
}

// If the outcome of a commit is unknown, the machines are recorded again under another key, and both
// records expire once the machines are gone.
func TestReleaseRecordOfUnknownOutcomeIsWrittenUnderAnotherKey(t *testing.T) {
	now := time.Unix(10_000, 0)
	r := NewReleases(7)
	r.Start("m-1")
	first, _ := r.NextRecord(valueBytes)
	r.AddUncertain(first)
	second, found := r.NextRecord(valueBytes)
	if !found || second.Key == first.Key || !slices.Equal(second.Hosts, first.Hosts) {
		t.Fatalf("got %+v (found %v) after %+v, want the same machines under another key", second, found, first)
	}
	if want := records.MachineReleasePrefix + "7-2"; second.Key != want {
		t.Errorf("got key %s, want %s", second.Key, want)
	}
	r.AddRecorded(second)
	r.Confirm("m-1", now)
	if expired := r.Expired(now.Add(2), 1); len(expired) != 2 {
		t.Errorf("got %d expired records, want 2", len(expired))
	}
}

func TestRestoredReleaseIsSentAgainWithoutAnotherRecord(t *testing.T) {
	r := NewReleases(8)
	record := ReleaseRecord{Key: records.MachineReleasePrefix + "7-1", Hosts: []string{"m-1", "m-2"}}
	r.Restore(record)
	r.Restore(record) // the state is loaded again after an error
	if _, found := r.NextRecord(valueBytes); found {
		t.Error("got a new record of restored machines, want none")
	}
	if hosts := r.Unconfirmed(10); !slices.Equal(hosts, record.Hosts) {
		t.Errorf("got %v to release, want %v", hosts, record.Hosts)
	}
	now := time.Unix(10_000, 0)
	for _, host := range record.Hosts {
		r.Confirm(host, now)
	}
	if expired := r.Expired(now.Add(2), 1); len(expired) != 1 {
		t.Errorf("got %d expired records, want 1", len(expired))
	}
}
