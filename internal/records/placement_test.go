package records

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"lotusstile.dev/lotusstile/wire"
)

// attemptGen draws attempts as a leader may have to record them.
var attemptGen = rapid.Custom(func(t *rapid.T) PlacedAttempt {
	return PlacedAttempt{
		Task:        rapid.IntRange(0, wire.MaxTasks).Draw(t, "task"),
		Attempt:     rapid.Uint64().Draw(t, "attempt"),
		Host:        rapid.StringMatching(`m-[0-9a-z"<]{1,20}`).Draw(t, "host"),
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
	}
})

// A placement record in the dense form is read as what was written, and it takes no more than is
// computed before a task is placed.
func TestDensePlacementsAreReadAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		placement := Placement{
			NextAttempt: rapid.Uint64().Draw(t, "next"),
			DoneBits:    rapid.SliceOfN(rapid.Byte(), 0, 11).Draw(t, "done"),
			Live:        rapid.SliceOfN(attemptGen, 0, 85).Draw(t, "live"),
		}
		if len(placement.DoneBits) == 0 {
			placement.DoneBits = nil
		}
		const smallest = 1
		value := EncodePlacement(placement, smallest, true)
		got, err := DecodePlacement(value)
		if err != nil {
			t.Fatal(err)
		}
		if len(got.Live) != len(placement.Live) || len(got.Live) > 0 && !reflect.DeepEqual(got, placement) {
			t.Fatalf("read as %+v, want %+v", got, placement)
		}
		plain, tasks := true, 85
		bytes := 0
		for _, placed := range placement.Live {
			plain = plain && !strings.ContainsAny(placed.Host, `"<`)
			bytes += DenseAttemptBytes(placed, tasks)
		}
		if limit := 2048; plain && bytes <= DenseAttemptsRoom(limit, tasks) && len(value) > limit {
			t.Fatalf("%d attempts take %d bytes", len(placement.Live), len(value))
		}
	})
}

// A whole placement record on machines with names of usual length fits a quarter of the value that
// it was laid out for, each of its tasks on a machine of its own.
func TestWholePlacementFitsLowerLimit(t *testing.T) {
	const current, lowest = 8 << 10, 2 << 10
	tasks := TasksPerPlacement(current, lowest)
	if tasks != TasksPerPlacement(current, current) {
		t.Errorf("%d tasks to a record, %d before the limit was announced", tasks, TasksPerPlacement(current, current))
	}
	placement := Placement{NextAttempt: 3}
	room := DenseAttemptsRoom(lowest, tasks)
	for i := range tasks {
		placed := PlacedAttempt{Task: 2*tasks + i, Attempt: 1, Host: fmt.Sprintf("m-%06d", i), Incarnation: 1}
		placement.MarkDone(i)
		placement.Live = append(placement.Live, placed)
		room -= DenseAttemptBytes(placed, tasks)
	}
	if value := EncodePlacement(placement, lowest, true); len(value) > lowest || room < 0 {
		t.Errorf("%d tasks take %d bytes, %d are computed to be left", tasks, len(value), room)
	}
}

// placement1 and attempt1 are a placement record as releases before cluster version 2 know it.
type (
	placement1 struct {
		Next uint64     `json:"N"`
		Done []byte     `json:"D,omitempty"`
		Live []attempt1 `json:"A,omitempty"`
	}
	attempt1 struct {
		Leg   int    `json:"L"`
		Try   uint64 `json:"T"`
		Host  string `json:"H"`
		Shift uint64 `json:"S"`
	}
)

// As long as an older release may read it, a placement record is written as that release knows it,
// also if it does not fit.
func TestPlacementsAreReadByOlderReleases(t *testing.T) {
	placement := Placement{NextAttempt: 3, DoneBits: []byte{5}, Live: []PlacedAttempt{{1, 2, "m-1", 4}, {2, 1, "m-2", 1}}}
	var got placement1
	if err := json.Unmarshal(EncodePlacement(placement, 1, false), &got); err != nil {
		t.Fatal(err)
	}
	if want := (placement1{3, []byte{5}, []attempt1{{1, 2, "m-1", 4}, {2, 1, "m-2", 1}}}); !reflect.DeepEqual(got, want) {
		t.Errorf("an older release reads %+v, want %+v", got, want)
	}
}

// The record of a job that was accepted under a higher limit can be finished under a
// lower one, and still has what a leader needs to end its tasks.
func TestOversizedJobsCanBeFinished(t *testing.T) {
	const limit = 2 << 10
	long := strings.Repeat("x", 200)
	job := Job{
		Spec: wire.JobSpec{
			UID:       "run-000412",
			JobClass:  "train",
			Team:      "vision",
			Kind:      wire.JobArray,
			Priority:  wire.High,
			TaskCount: 16,
			Cores:     8,
			Gpus:      1,
			RAMGb:     64,
			Image:     long,
			Zone:      long,
		},
		Status:            wire.JobQueued,
		AcceptedAtMs:      1,
		TasksPerPlacement: 85,
	}
	for range 12 {
		job.Spec.MachineTypes = append(job.Spec.MachineTypes, long)
	}
	if len(Encode(job)) <= limit {
		t.Fatal("the record is small")
	}
	finished := job
	finished.SetFinal(wire.JobAborted, limit)
	if size := len(Encode(finished)); size > limit {
		t.Errorf("%d bytes are left", size)
	}
	if finished.Status != wire.JobAborted || finished.TasksPerPlacement != job.TasksPerPlacement ||
		finished.Spec.TaskCount != 16 || finished.Spec.Team != "vision" || finished.Spec.Cores != 8 {
		t.Errorf("finished as %+v", finished)
	}
	small := Job{Spec: wire.JobSpec{UID: "run-000412", MachineTypes: []string{"g8"}, Image: "img"}}
	small.SetFinal(wire.JobDone, limit)
	if small.Spec.Image != "img" || small.Spec.MachineTypes == nil {
		t.Error("a record that fits has lost something")
	}
}
