package autoscaler

import (
	"slices"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
)

const valueBytes = 8 << 10

func TestReleasePassesFromStartToDrop(t *testing.T) {
	const keep = time.Minute
	now := time.Unix(10_000, 0)
	r := NewReleases(7)
	if !r.Start("m-2") || !r.Start("m-1") || r.Start("m-2") {
		t.Fatal("Start does not tell the first start of a machine from a second one")
	}
	record, found := r.NextRecord(valueBytes)
	if want := []string{"m-1", "m-2"}; !found || !slices.Equal(record.Hosts, want) {
		t.Fatalf("the record lists %v, want %v", record.Hosts, want)
	}
	if hosts := r.Unconfirmed(10); len(hosts) > 0 {
		t.Errorf("%v may be released before their record is stored", hosts)
	}
	r.Recorded(record)
	if _, found := r.NextRecord(valueBytes); found {
		t.Error("machines are recorded twice")
	}
	if hosts := r.Unconfirmed(1); !slices.Equal(hosts, []string{"m-1"}) {
		t.Errorf("%v are released at once, with a limit of one", hosts)
	}
	r.Confirm("m-1", now)
	if hosts := r.Unconfirmed(10); !slices.Equal(hosts, []string{"m-2"}) {
		t.Errorf("%v are released again", hosts)
	}
	if expired := r.Expired(now.Add(keep+1), keep); len(expired) > 0 {
		t.Error("a record expires while a machine on it is not confirmed to be gone")
	}
	r.Confirm("m-2", now)
	r.StillListed("m-2", now.Add(time.Second))
	r.StillListed("m-3", now) // not being released
	if expired := r.Expired(now.Add(keep+time.Second), keep); len(expired) > 0 {
		t.Error("a record expires within the time that it is kept after the last list with its machine")
	}
	if expired := r.Expired(now.Add(keep+time.Second+1), keep); len(expired) != 1 || expired[0].Key != record.Key {
		t.Errorf("the expired records are %v", expired)
	}
	if hosts := r.Drop([]string{record.Key}); !slices.Equal(hosts, record.Hosts) || r.Len() != 0 {
		t.Errorf("%v are forgotten, %d are left", hosts, r.Len())
	}
}

// A key is used once, also if the outcome of its commit is unknown; that record is dropped in the
// end as well.
func TestReleaseRecordOfUnknownOutcomeIsWrittenUnderAnotherKey(t *testing.T) {
	now := time.Unix(10_000, 0)
	r := NewReleases(7)
	r.Start("m-1")
	first, _ := r.NextRecord(valueBytes)
	r.MayBeStored(first)
	second, found := r.NextRecord(valueBytes)
	if !found || second.Key == first.Key || !slices.Equal(second.Hosts, first.Hosts) {
		t.Fatalf("after %+v comes %+v", first, second)
	}
	if want := records.ScaleInPrefix + "7-2"; second.Key != want {
		t.Errorf("the key is %s, want %s", second.Key, want)
	}
	r.Recorded(second)
	r.Confirm("m-1", now)
	if expired := r.Expired(now.Add(2), 1); len(expired) != 2 {
		t.Errorf("%d records expire, want 2", len(expired))
	}
}

func TestRestoredReleaseIsSentAgainWithoutAnotherRecord(t *testing.T) {
	r := NewReleases(8)
	record := ReleaseRecord{Key: records.ScaleInPrefix + "7-1", Hosts: []string{"m-1", "m-2"}}
	r.Restore(record)
	r.Restore(record) // a second attempt to load it
	if _, found := r.NextRecord(valueBytes); found {
		t.Error("restored machines are recorded again")
	}
	if hosts := r.Unconfirmed(10); !slices.Equal(hosts, record.Hosts) {
		t.Errorf("%v are released, want %v", hosts, record.Hosts)
	}
	now := time.Unix(10_000, 0)
	for _, host := range record.Hosts {
		r.Confirm(host, now)
	}
	if expired := r.Expired(now.Add(2), 1); len(expired) != 1 {
		t.Errorf("%d records expire, want 1", len(expired))
	}
}
