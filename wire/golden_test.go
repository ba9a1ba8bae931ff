package wire

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew")

// sample has a value in every field of every body of the protocol.
func sample() map[string]any {
	due, warning := 900.5, 30.5
	order := Order{Verb: Stop, Leg: "run-000412/3", Try: 2, LeewayS: 10}
	leader := LeadStatus{Term: 3, Loaded: true, Window: 200, Round: RoundStatus{AgoS: 1, TookMs: 2, Waiting: 3, Started: 4, Stopped: 5, Short: 6, Objective: 7.5, Reserved: "run-000001", Overrun: true},
		Machines: map[string]int{"ready": 4}, Classes: map[string]ClassStatus{"train": {Jobs: 1, Waiting: 2, Placed: 3}}}
	return map[string]any{
		"work": Work{UID: "run-000412", Berth: "train", Crew: "vision", Shape: Sweep, Rank: High, Legs: 16, Cores: 8, Gpus: 1, RAMGb: 64, Rollout: "img-07",
			ImageGb: 6.2, Rigs: []string{"g8"}, Yard: "a", Together: true, Scatter: true, Standby: true, ExpectS: 240, MarkS: 30, StowS: 4, DueS: &due},
		"job_view": JobView{UID: "run-000412", Status: JobRunning, Done: 3, Running: 13},
		"fault":    Fault{Error: "no capacity"},
		"report": Report{Host: "m-000231", Address: "10.1.0.232:9000", MachineType: "g8", Zone: "a", Spot: true, Session: 1, Sequence: 88, Token: 41, WarningS: &warning,
			Tasks: []TaskReport{{Task: "run-000412/3", Try: 2, Status: TaskEnded, Cause: CauseStopped, Kept: true}}},
		"orders":       Orders{Baton: 41, Orders: []Order{order}},
		"direct":       Direct{Token: 41, Session: 1, Orders: []Order{order}},
		"redirect":     Redirect{Dispatcher: "stile-2"},
		"catalog":      Catalog{MachineTypes: []MachineType{{Name: "g8", Cores: 96, Gpus: 8, RAMGb: 768, LocalGb: 200, PullGbPerS: 1, Hourly: 12, LowPrice: 4.5, BootS: 45, Zones: []string{"a"}}}},
		"rent":         RentRequest{Booking: "r-17", MachineType: "g8", Zone: "a", Spot: true, HowMany: 12},
		"host_names":   HostNames{Hosts: []string{"m-000231"}},
		"host_list":    HostList{Hosts: []ListedHost{{UID: "m-000231", Address: "10.1.0.232:9000", MachineType: "g8", Zone: "a", Spot: true, Status: HostRunning, AgeS: 61.5}}, More: true},
		"items":        Items{Rows: []Item{{Key: "a/b", Value: json.RawMessage(`{"x":1}`), Stamp: 412, Permit: 7}}, More: true, Epoch: 431},
		"commit":       Commit{Guards: []Guard{{Key: "a/b", Stamp: 1}}, Apply: []Change{{Set: "a/b", Value: json.RawMessage(`{}`), Permit: 7}, {Drop: "c/d"}}},
		"commit_reply": CommitReply{Epoch: 432, Failed: []string{"a/b"}},
		"hold":         Hold{Permit: 7},
		"hold_request": HoldRequest{TTLMs: 5000},
		"changes":      Changes{Epoch: 433, News: []News{{Set: "c/9", Value: json.RawMessage(`{}`), Stamp: 433}, {Drop: "c/d", Stamp: 432}}},
		"settings":     Settings{Stamp: 1, IntervalS: 0.5, Window: 200, Spare: 2, Profiling: true},
		"status":       Status{Node: "stile-1", State: "following", Leader: "stile-0", Term: 12, Proof: 0.2, Lead: &leader},
	}
}

// The keys and values that travel stay as they are, whatever the Go names are: each
// body is encoded as in its golden file, and what is decoded from there is encoded
// the same.
func TestGoldenBodies(t *testing.T) {
	for name, value := range sample() {
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
				t.Errorf("encoded as %s\nwant %s", got, want)
			}
			checkDecoded(t, name, want)
		})
	}
}

// checkDecoded decodes a golden file by both decoders and encodes the result.
func checkDecoded(t *testing.T, name string, golden []byte) {
	t.Helper()
	for decoder, decode := range map[string]func([]byte, any) error{"Decode": Decode, "encoding/json": json.Unmarshal} {
		empty := emptyBody(t, name)
		if err := decode(golden, empty); err != nil {
			t.Fatalf("%s: %v", decoder, err)
		}
		again, err := json.MarshalIndent(empty, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		if string(again)+"\n" != string(golden) {
			t.Errorf("%s decodes to %s\nwant %s", decoder, again, golden)
		}
	}
}

func emptyBody(t *testing.T, name string) any {
	t.Helper()
	bodies := map[string]any{
		"work": new(Work), "job_view": new(JobView), "fault": new(Fault), "report": new(Report), "orders": new(Orders), "direct": new(Direct),
		"redirect": new(Redirect), "catalog": new(Catalog), "rent": new(RentRequest), "host_names": new(HostNames), "host_list": new(HostList),
		"items": new(Items), "commit": new(Commit), "commit_reply": new(CommitReply), "hold": new(Hold), "hold_request": new(HoldRequest),
		"changes": new(Changes), "settings": new(Settings), "status": new(Status),
	}
	body, ok := bodies[name]
	if !ok {
		t.Fatalf("no empty body for %s", name)
	}
	return body
}
