package wire

import (
	"encoding/json"
	"flag"
	"maps"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// sampleBodies returns bodies of the protocol by the name of their golden file. All their fields are set, except
// for the dependencies of a job and some fields of the status.
func sampleBodies() map[string]any {
	bodies := map[string]any{}
	for _, group := range []map[string]any{sampleJobs(), sampleWorkers(), sampleCloud(), sampleStateStore(), sampleAdmin()} {
		maps.Copy(bodies, group)
	}
	return bodies
}

func sampleJobs() map[string]any {
	deadline := 900.5
	return map[string]any{
		"work": JobSpec{
			UID:                 "run-000412",
			JobClass:            "train",
			Team:                "vision",
			Kind:                JobArray,
			Priority:            High,
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
			DeadlineS:           &deadline,
		},
		"job_view": JobView{UID: "run-000412", Status: JobRunning, Done: 3, Running: 13},
		"fault":    ErrorResponse{Error: "no capacity"},
	}
}

func sampleWorkers() map[string]any {
	notice := 30.5
	command := Command{Verb: Stop, Task: "run-000412/3", Attempt: 2, GracePeriodS: 10}
	return map[string]any{
		"report": Heartbeat{
			Host:         "m-000231",
			Address:      "10.1.0.232:9000",
			MachineType:  "g8",
			Zone:         "a",
			Spot:         true,
			Incarnation:  1,
			Sequence:     88,
			FencingToken: 41,
			SpotNoticeS:  &notice,
			Tasks:        []TaskReport{{Task: "run-000412/3", Attempt: 2, Status: TaskEnded, Cause: CauseStopped, Checkpointed: true}},
		},
		"orders":   Commands{FencingToken: 41, Commands: []Command{command}},
		"direct":   DirectCommands{FencingToken: 41, Incarnation: 1, Commands: []Command{command}},
		"redirect": Redirect{Leader: "stile-2"},
	}
}

func sampleCloud() map[string]any {
	return map[string]any{
		"catalog": Catalog{MachineTypes: []MachineType{{
			Name:         "g8",
			Cores:        96,
			Gpus:         8,
			RAMGb:        768,
			ImageCacheGb: 200,
			FetchGbPerS:  1,
			Hourly:       12,
			SpotHourly:   4.5,
			BootS:        45,
			Zones:        []string{"a"},
		}}},
		"rent":       ProvisionRequest{RequestID: "r-17", MachineType: "g8", Zone: "a", Spot: true, Count: 12},
		"host_names": HostNames{Hosts: []string{"m-000231"}},
		"host_list": HostList{More: true, Hosts: []ListedHost{{
			UID:         "m-000231",
			Address:     "10.1.0.232:9000",
			MachineType: "g8",
			Zone:        "a",
			Spot:        true,
			Status:      HostRunning,
			AgeS:        61.5,
		}}},
	}
}

func sampleStateStore() map[string]any {
	return map[string]any{
		"items": KeyValueList{
			KeyValues: []KeyValue{{Key: "a/b", Value: json.RawMessage(`{"x":1}`), ModRevision: 412, LeaseID: 7}},
			More:      true,
			Revision:  431,
		},
		"commit": Transaction{
			Compares: []Compare{{Key: "a/b", ModRevision: 1}},
			Changes:  []Change{{Set: "a/b", Value: json.RawMessage(`{}`), LeaseID: 7}, {Drop: "c/d"}},
		},
		"commit_reply": TransactionResponse{Revision: 432, Failed: []string{"a/b"}},
		"hold":         Lease{LeaseID: 7},
		"hold_request": LeaseRequest{TTLMs: 5000},
		"changes": WatchResponse{
			Revision: 433,
			Events:   []WatchEvent{{Set: "c/9", Value: json.RawMessage(`{}`), ModRevision: 433}, {Drop: "c/d", ModRevision: 432}},
		},
	}
}

func sampleAdmin() map[string]any {
	leader := LeadStatus{
		Term:   3,
		Loaded: true,
		Window: 200,
		LastCycle: CycleStatus{
			AgoS:      1,
			TookMs:    2,
			Waiting:   3,
			Started:   4,
			Stopped:   5,
			Short:     6,
			Objective: 7.5,
			Reserved:  "run-000001",
			Overrun:   true,
		},
		Machines: map[string]int{"ready": 4},
		Classes:  map[string]ClassStatus{"train": {Jobs: 1, Waiting: 2, Placed: 3}},
	}
	return map[string]any{
		"settings": Settings{ModRevision: 1, IntervalS: 0.5, Window: 200, Headroom: 2, Profiling: true},
		"status":   Status{Node: "stile-1", State: "following", Leader: "stile-0", Term: 12, SinceLastExecutedS: 0.2, Lead: &leader},
	}
}

// The keys and values on the wire stay the same, whatever the Go names are: each body is encoded as in
// its golden file, and decoding and encoding a golden file yields the same file.
func TestGoldenBodies(t *testing.T) {
	for name, value := range sampleBodies() {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join("testdata", "golden", name+".json")
			got, err := json.MarshalIndent(value, "", "  ")
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, '\n')
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
				t.Errorf("got %s\nwant %s", got, want)
			}
			checkDecoded(t, name, want)
		})
	}
}

// checkDecoded decodes a golden file with both decoders, and checks that encoding the result yields the
// same file.
func checkDecoded(t *testing.T, name string, golden []byte) {
	t.Helper()
	for decoder, decode := range map[string]func([]byte, any) error{"Decode": Decode, "encoding/json": json.Unmarshal} {
		decoded := emptyBody(t, name)
		if err := decode(golden, decoded); err != nil {
			t.Fatalf("%s: got error %v, want none", decoder, err)
		}
		again, err := json.MarshalIndent(decoded, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		if string(again)+"\n" != string(golden) {
			t.Errorf("decoded by %s and encoded again: got %s\nwant %s", decoder, again, golden)
		}
	}
}

func emptyBody(t *testing.T, name string) any {
	t.Helper()
	bodies := map[string]any{
		"work":         new(JobSpec),
		"job_view":     new(JobView),
		"fault":        new(ErrorResponse),
		"report":       new(Heartbeat),
		"orders":       new(Commands),
		"direct":       new(DirectCommands),
		"redirect":     new(Redirect),
		"catalog":      new(Catalog),
		"rent":         new(ProvisionRequest),
		"host_names":   new(HostNames),
		"host_list":    new(HostList),
		"items":        new(KeyValueList),
		"commit":       new(Transaction),
		"commit_reply": new(TransactionResponse),
		"hold":         new(Lease),
		"hold_request": new(LeaseRequest),
		"changes":      new(WatchResponse),
		"settings":     new(Settings),
		"status":       new(Status),
	}
	body, ok := bodies[name]
	if !ok {
		t.Fatalf("got no empty body for golden file %s, want one", name)
	}
	return body
}
