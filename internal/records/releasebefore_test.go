package records_test

import (
	"encoding/json"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/clusterversion"
	"lotusstile.dev/lotusstile/internal/election"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// storedByPreviousRelease returns what the previous release wrote to the state store, by key. That
// release's own encoders wrote testdata/release-before.json, which must not be written again.
func storedByPreviousRelease(t *testing.T) map[string]wire.KeyValue {
	t.Helper()
	data, err := os.ReadFile("testdata/release-before.json")
	if err != nil {
		t.Fatal(err)
	}
	var stored []struct {
		Key   string
		Value json.RawMessage
	}
	if err := json.Unmarshal(data, &stored); err != nil {
		t.Fatal(err)
	}
	items := map[string]wire.KeyValue{}
	for i, item := range stored {
		items[item.Key] = wire.KeyValue{Key: item.Key, Value: item.Value, ModRevision: uint64(i + 1)}
	}
	return items
}

// itemsUnder returns the items under a prefix, as a listing does.
func itemsUnder(items map[string]wire.KeyValue, prefix string) []wire.KeyValue {
	var listed []wire.KeyValue
	for _, key := range slices.Sorted(maps.Keys(items)) {
		if strings.HasPrefix(key, prefix) {
			listed = append(listed, items[key])
		}
	}
	return listed
}

// decode decodes the record under a key.
func decode[T any](t *testing.T, items map[string]wire.KeyValue, key string) T {
	t.Helper()
	var record T
	if err := wire.Decode(items[key].Value, &record); err != nil {
		t.Errorf("%s: %v", key, err)
	}
	return record
}

// wantArrayJob returns the job run-000412 as the previous release stored it.
func wantArrayJob() records.Job {
	deadlineS := 900.5
	return records.Job{
		Spec: wire.JobSpec{
			UID:                 "run-000412",
			JobClass:            "train",
			Team:                "vision",
			Kind:                wire.JobArray,
			Priority:            wire.High,
			TaskCount:           16,
			Cores:               8,
			Gpus:                1,
			RAMGb:               64,
			Image:               "img-07",
			ImageGb:             6.2,
			MachineTypes:        []string{"g8"},
			Zone:                "a",
			SingleZone:          true,
			SpreadZones:         true,
			AllowSpot:           true,
			ExpectedRunS:        240,
			CheckpointIntervalS: 30,
			CheckpointOnStopS:   4,
			DeadlineS:           &deadlineS,
			Dependencies:        []string{"run-000411"},
		},
		Status:            wire.JobQueued,
		AcceptedAtMs:      1_800_000_000_000,
		TasksPerPlacement: 85,
	}
}

// Jobs, placements and the smaller records of the previous release decode with the value of every field,
// and encode again to the same bytes that the previous release wrote.
func TestRecordsOfThePreviousReleaseAreRead(t *testing.T) {
	items := storedByPreviousRelease(t)
	attempts := []records.PlacedAttempt{
		{Task: 1, Attempt: 2, Host: "m-000001", Incarnation: 4},
		{Task: 2, Attempt: 1, Host: "m-000002", Incarnation: 1},
		{Task: 3, Attempt: 1, Host: "m-000001", Incarnation: 4},
	}
	placement := records.Placement{NextAttempt: 3, DoneBits: []byte{5}, Live: attempts}
	for _, number := range []int{0, 1} { // in the plain and in the dense form
		key := records.PlacementKey("run-000412", number)
		got, err := records.DecodePlacement(items[key].Value)
		if err != nil || !reflect.DeepEqual(got, placement) {
			t.Errorf("%s is decoded as %+v (error %v), want %+v", key, got, err, placement)
		}
		const limitForPlain, limitForDense = 8192, 1
		reencoded := records.EncodePlacement(got, []int{limitForPlain, limitForDense}[number], true)
		if string(reencoded) != string(items[key].Value) {
			t.Errorf("%s is encoded again as %s, want %s", key, reencoded, items[key].Value)
		}
	}
	failover := records.Failover{
		Term:         7,
		Node:         "n2",
		Warm:         true,
		FollowedTerm: 6,
		Position:     5,
		Digest:       "ab",
		AgeMs:        10,
		Changes:      2,
		Machines:     2,
		Attempts:     3,
		ElectedMs:    100,
		LoadedMs:     200,
		ReadyMs:      300,
		DecidedMs:    400,
	}
	for _, tc := range []struct {
		key       string
		got, want any
	}{
		{"j/run-000412", decode[records.Job](t, items, records.JobKey("run-000412")), wantArrayJob()},
		{"f/run-000411", decode[records.Final](t, items, "f/run-000411"), records.Final{Status: wire.JobDone}},
		{"r/6-0", decode[records.MachineReleases](t, items, "r/6-0"), records.MachineReleases{Hosts: []string{"m-000003", "m-000004"}}},
		{"i/m-000001", decode[records.Images](t, items, "i/m-000001"), records.Images{Names: []string{"img-07", "img-08"}}},
		{"k/n1/0", decode[records.RenewedLeases](t, items, "k/n1/0"), records.RenewedLeases{Hosts: []string{"m-000005"}}},
		{"t/last", decode[records.Failover](t, items, records.FailoverKey), failover},
		{"e/leader", decode[records.Leader](t, items, records.LeaderKey), records.Leader{Node: "n2"}},
	} {
		if !reflect.DeepEqual(tc.got, tc.want) {
			t.Errorf("%s is decoded as %+v, want %+v", tc.key, tc.got, tc.want)
		}
		if reencoded := records.Encode(tc.got); string(reencoded) != string(items[tc.key].Value) {
			t.Errorf("%s is encoded again as %s, want %s", tc.key, reencoded, items[tc.key].Value)
		}
	}
}

// The parts of a node that read the store can start from what the previous release wrote: the watch cache
// has the jobs and their cancellations, the election has the leader and its term, the settings of the
// operators are valid, and the cluster version is in force.
func TestNodeStartsFromRecordsOfThePreviousRelease(t *testing.T) {
	items := storedByPreviousRelease(t)
	now := time.Now()

	cache := watchcache.New()
	cache.Reset(itemsUnder(items, records.JobPrefix), uint64(len(items)), now)
	if entry, _ := cache.Job("run-000412"); cache.Len() != 2 || entry.Job == nil || !reflect.DeepEqual(*entry.Job, wantArrayJob()) {
		t.Errorf("the cache has %d jobs, want 2; run-000412 is %+v, want %+v", cache.Len(), entry.Job, wantArrayJob())
	}
	if cancelled, _ := cache.Cancelled([]string{"run-000412", "run-000413"}); cancelled["run-000412"] || !cancelled["run-000413"] {
		t.Errorf("cancelled jobs are %v, want run-000413 only", cancelled)
	}

	elector := election.New(election.Options{Node: "n1", LeaseTTL: time.Second})
	elector.Reset(itemsUnder(items, records.ElectionPrefix), uint64(len(items)), now)
	term := max(items[records.LeaderKey].ModRevision, items[records.TermKey].ModRevision)
	if view := elector.View(); view != (election.View{Leader: "n2", Term: term, ConfirmedTerm: term, Synced: true}) {
		t.Errorf("the view of the election is %+v, want leader n2 with confirmed term %d, synced", view, term)
	}

	settings := records.DefaultSettings(3)
	if err := json.Unmarshal(items[records.SettingsKey].Value, &settings); err != nil {
		t.Fatal(err)
	}
	if err := records.ValidateSettings(settings); err != nil {
		t.Errorf("settings %+v are invalid: %v", settings, err)
	}
	if want := (wire.Settings{IntervalS: 0.5, Window: 300, Headroom: 1.5, Profiling: true}); settings != want {
		t.Errorf("settings are %+v, want %+v", settings, want)
	}

	version := clusterversion.NewTracker()
	version.Apply(wire.WatchEvent{Set: records.VersionKey, Value: items[records.VersionKey].Value, ModRevision: 1})
	if got := version.InForce(); got != clusterversion.JobDAGs {
		t.Errorf("cluster version %d is in force, want %d", got, clusterversion.JobDAGs)
	}
}
