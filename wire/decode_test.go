package wire

import (
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func genHeartbeat(t *rapid.T) Heartbeat {
	heartbeat := Heartbeat{
		Host:         rapid.StringMatching(`m-[0-9]{6}`).Draw(t, "host"),
		Address:      rapid.StringMatching(`[0-9.]{1,12}:[0-9]{1,5}`).Draw(t, "address"),
		MachineType:  "g8",
		Zone:         rapid.String().Draw(t, "zone"),
		Spot:         rapid.Bool().Draw(t, "spot"),
		Incarnation:  rapid.Uint64().Draw(t, "incarnation"),
		Sequence:     rapid.Uint64().Draw(t, "sequence"),
		FencingToken: rapid.Uint64().Draw(t, "token"),
		Tasks:        []TaskReport{},
	}
	if rapid.Bool().Draw(t, "warned") {
		warning := rapid.Float64Range(0, 1e3).Draw(t, "warning")
		heartbeat.SpotNoticeS = &warning
	}
	for range rapid.IntRange(0, 3).Draw(t, "tasks") {
		heartbeat.Tasks = append(heartbeat.Tasks, TaskReport{
			Task:         TaskName("run-000001", rapid.IntRange(0, 99).Draw(t, "task")),
			Attempt:      rapid.Uint64().Draw(t, "attempt"),
			Status:       rapid.SampledFrom([]TaskStatus{TaskFetching, TaskRunning, TaskEnded}).Draw(t, "status"),
			Checkpointed: rapid.Bool().Draw(t, "checkpointed"),
		})
	}
	return heartbeat
}

// Decode and encoding/json accept and reject the same heartbeats, with the same results: valid ones, ones
// with unknown fields, duplicate fields or null, and truncated or corrupted ones.
func TestDecodeAgreesWithEncodingJSON(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		data, err := json.Marshal(genHeartbeat(t))
		if err != nil {
			t.Fatal(err)
		}
		switch rapid.IntRange(0, 4).Draw(t, "change") {
		case 1:
			data = append([]byte(`{"Colour":{"a":[1,"x",null]},"Host":"other",`), data[1:]...)
		case 2:
			data = append([]byte(` {"Legs":null,"Yard":null,"WarningS":null,`), data[1:]...)
		case 3:
			data = data[:rapid.IntRange(0, len(data)).Draw(t, "cut")]
		case 4:
			at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
			data[at] = rapid.SampledFrom([]byte("0123456789{}[],:\"-. \xff")).Draw(t, "byte")
		}
		var want, got Heartbeat
		wantErr, gotErr := json.Unmarshal(data, &want), Decode(data, &got)
		if (wantErr == nil) != (gotErr == nil) {
			t.Fatalf("%s: got error %v, want %v as from encoding/json", data, gotErr, wantErr)
		}
		if wantErr != nil {
			return
		}
		accepted++
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("%s: got %+v, want %+v", data, got, want)
		}
	})
	if accepted == 0 {
		t.Error("got no accepted heartbeat, want some")
	}
}
