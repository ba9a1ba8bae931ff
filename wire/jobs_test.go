package wire

import (
	"encoding/json"
	"flag"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A fixed seed, so that every run draws the same inputs; the flag -rapid.seed sets another one.
func init() { _ = flag.Set("rapid.seed", "1") }

func genJobSpec(t *rapid.T) JobSpec {
	spec := JobSpec{
		UID:          "run-" + rapid.StringMatching(`[0-9]{6,9}`).Draw(t, "uid"),
		JobClass:     rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "class"),
		Team:         rapid.StringMatching(`[a-z-]{1,8}`).Draw(t, "team"),
		Kind:         rapid.SampledFrom([]JobKind{JobArray, Service}).Draw(t, "kind"),
		Priority:     rapid.SampledFrom([]Priority{Critical, High, Standard, BestEffort}).Draw(t, "priority"),
		TaskCount:    rapid.IntRange(1, MaxTasks).Draw(t, "tasks"),
		Cores:        float64(rapid.IntRange(1, 64).Draw(t, "cores")),
		Gpus:         float64(rapid.IntRange(0, 8).Draw(t, "gpus")),
		RAMGb:        rapid.Float64Range(0, 1e6).Draw(t, "ram"),
		Image:        rapid.StringMatching(`img-[0-9]{2}`).Draw(t, "image"),
		ImageGb:      rapid.Float64Range(0, 1e3).Draw(t, "imageGb"),
		AllowSpot:    rapid.Bool().Draw(t, "spot"),
		SpreadZones:  rapid.Bool().Draw(t, "spreadZones"),
		ExpectedRunS: rapid.Float64Range(0, 1e6).Draw(t, "expected"),
	}
	if rapid.Bool().Draw(t, "hasDeadline") {
		deadline := rapid.Float64Range(0, 1e6).Draw(t, "deadline")
		spec.DeadlineS = &deadline
	}
	if rapid.Bool().Draw(t, "hasMachineTypes") {
		spec.MachineTypes = []string{"g8", "g4"}
	}
	return spec
}

func TestJobSpecRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := genJobSpec(t)
		data, err := json.Marshal(spec)
		if err != nil {
			t.Fatal(err)
		}
		got, err := ParseJobSpec(data)
		if err != nil {
			t.Fatalf("%s: got error %v, want none", data, err)
		}
		again, _ := json.Marshal(got)
		if string(again) != string(data) {
			t.Fatalf("got %s, want %s", again, data)
		}
	})
}

// A body is malformed if a required field is missing, null or of the wrong type.
func TestJobSpecWithoutARequiredFieldIsRefused(t *testing.T) {
	required := []string{"Uid", "Berth", "Crew", "Shape", "Rank", "Legs", "Cores", "Gpus", "RamGb", "Rollout", "ImageGb",
		"Together", "Scatter", "Standby", "ExpectS", "MarkS", "StowS"}
	rapid.Check(t, func(t *rapid.T) {
		data, _ := json.Marshal(genJobSpec(t))
		var fields map[string]any
		if err := json.Unmarshal(data, &fields); err != nil {
			t.Fatal(err)
		}
		field := rapid.SampledFrom(required).Draw(t, "field")
		switch rapid.IntRange(0, 2).Draw(t, "how") {
		case 0:
			delete(fields, field)
		case 1:
			fields[field] = nil
		case 2:
			fields[field] = []int{1}
		}
		bad, _ := json.Marshal(fields)
		if _, err := ParseJobSpec(bad); err == nil {
			t.Fatalf("got no error for %s, want one", bad)
		}
	})
}

func TestJobSpecOutOfRangeIsRefused(t *testing.T) {
	good := `{"Uid":"run-000412","Berth":"train","Crew":"vision","Shape":"sweep","Rank":"high","Legs":16,` +
		`"Cores":8.0,"Gpus":1.0,"RamGb":64.0,"Rollout":"img-07","ImageGb":6.2,"Rigs":null,"Yard":null,` +
		`"Together":false,"Scatter":false,"Standby":false,"ExpectS":0,"MarkS":0,"StowS":0,"DueS":null}`
	if _, err := ParseJobSpec([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, replacement := range [][2]string{
		{`"run-000412"`, `"job-000412"`}, {`"run-000412"`, `"run-12"`}, {`"run-000412"`, `"run-00041x"`},
		{`"sweep"`, `"loop"`}, {`"high"`, `"top"`}, {`"Legs":16`, `"Legs":0`}, {`"Legs":16`, `"Legs":1.5`},
		{`"Legs":16`, `"Legs":100001`}, {`"Cores":8.0`, `"Cores":-1`}, {`"ImageGb":6.2`, `"ImageGb":-1`},
		{`"Rigs":null`, `"Rigs":[]`}, {`"Yard":null`, `"Yard":""`}, {`"DueS":null`, `"DueS":-3`},
		{`"Legs":16,`, ``}, {`"Cores":8.0,`, ``}, {`"Together":false,`, ``}, {`"Scatter":false,`, ``}, {`"Standby":false,`, ``},
		{`"ExpectS":0,`, ``}, {`"MarkS":0,`, ``}, {`"StowS":0,`, ``}, {`"Crew":"vision",`, ``},
		{`"Cores":8.0`, `"Cores":1e300`}, {`"Cores":8.0`, `"Cores":"8"`},
		{`{"Uid"`, `[{"Uid"`}, {`"DueS":null}`, `"DueS":null`},
	} {
		bad := strings.Replace(good, replacement[0], replacement[1], 1)
		if bad == good {
			t.Fatalf("got no occurrence of %s in the valid body, want one", replacement[0])
		}
		if _, err := ParseJobSpec([]byte(bad)); err == nil {
			t.Errorf("got no error for %s, want one", bad)
		}
	}
}

func TestTaskNamesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		uid, task := "run-000001", rapid.IntRange(0, MaxTasks).Draw(t, "task")
		gotUID, gotTask, ok := SplitTaskName(TaskName(uid, task))
		if !ok || gotUID != uid || gotTask != task {
			t.Fatalf("got %s, %d, %v; want %s, %d, true", gotUID, gotTask, ok, uid, task)
		}
	})
	for _, bad := range []string{"", "run-000001", "/1", "run-000001/", "run-000001/-1", "run-000001/01", "run-000001/x"} {
		if _, _, ok := SplitTaskName(bad); ok {
			t.Errorf("got %q accepted as a task name, want it rejected", bad)
		}
	}
}
