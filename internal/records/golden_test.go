package records

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"lotusstile.dev/lotusstile/wire"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// The keys and the JSON names of stored records stay the same even if Go names change, so that a new
// release can read what an older one has written.
func TestGoldenRecords(t *testing.T) {
	deadlineS := 900.5
	spec := wire.JobSpec{
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
	}
	placement := Placement{
		NextAttempt: 3,
		DoneBits:    []byte{5},
		Live:        []PlacedAttempt{{Task: 1, Attempt: 2, Host: "m-1", Incarnation: 4}},
	}
	for name, record := range map[string]struct{ value, empty any }{
		"leader":  {Leader{Node: "n"}, new(Leader)},
		"job":     {Job{Spec: spec, Status: wire.JobQueued, AcceptedAtMs: 1, TasksPerPlacement: 85}, new(Job)},
		"final":   {Final{Status: wire.JobDone}, new(Final)},
		"returns": {MachineReleases{Hosts: []string{"m-1"}}, new(MachineReleases)},
		"images":  {Images{Names: []string{"img-07"}}, new(Images)},
		"kept":    {RenewedLeases{Hosts: []string{"m-1"}}, new(RenewedLeases)},
		"piece":   {placement, new(Placement)},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join("testdata", "golden", name+".json")
			got := append(Encode(record.value), '\n')
			if *update {
				if err := os.WriteFile(path, got, 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if string(got) != string(want) {
				t.Errorf("encoded as %s, want %s", got, want)
			}
			for decoder, decode := range map[string]func([]byte, any) error{"wire.Decode": wire.Decode, "encoding/json": json.Unmarshal} {
				if err := decode(want, record.empty); err != nil {
					t.Fatalf("%s: %v", decoder, err)
				}
				if reencoded := append(Encode(record.empty), '\n'); string(reencoded) != string(want) {
					t.Errorf("decoded by %s and encoded again as %s, want %s", decoder, reencoded, want)
				}
			}
		})
	}
	for _, tc := range []struct{ key, want string }{
		{JobKey("run-000412"), "j/run-000412"},
		{FinalKey("run-000412"), "f/run-000412"},
		{ImagesKey("m-1"), "i/m-1"},
		{PlacementKey("run-000412", 7), "p/run-000412/000007"},
		{ReleaseKey("n1"), "o/release/n1"},
		{LeaderKey, "e/leader"},
		{TermKey, "e/term"},
		{FailoverKey, "t/last"},
		{SettingsKey, "o/settings"},
		{VersionKey, "o/version"},
		{MachineReleasePrefix, "r/"},
		{RenewedLeasesPrefix, "k/"},
	} {
		if tc.key != tc.want {
			t.Errorf("key %s, want %s", tc.key, tc.want)
		}
	}
}
