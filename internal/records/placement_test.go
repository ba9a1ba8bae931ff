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

// attemptGen generates attempts that a leader may have to record.
var attemptGen = rapid.Custom(func(t *rapid.T) PlacedAttempt {
	return PlacedAttempt{
		Task:        rapid.IntRange(0, wire.MaxTasks).Draw(t, "task"),
		Attempt:     rapid.Uint64().Draw(t, "attempt"),
		Host:        rapid.StringMatching(`m-[0-9a-z"<]{1,20}`).Draw(t, "host"),
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
	}
})

// A placement record in the dense form decodes to what was encoded. It is not larger than the size that
// the leader computes before it places a task.
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
		const minValueBytes = 1 // the plain form never fits
		value := EncodePlacement(placement, minValueBytes, true)
		got, err := DecodePlacement(value)
		if err != nil {
			t.Fatal(err)
		}
		if len(got.Live) != len(placement.Live) || len(got.Live) > 0 && !reflect.DeepEqual(got, placement) {
			t.Fatalf("decoded as %+v, want %+v", got, placement)
		}
		namesUnescaped, tasks := true, 85
		attemptBytes := 0
		for _, placed := range placement.Live {
			namesUnescaped = namesUnescaped && !strings.ContainsAny(placed.Host, `"<`)
			attemptBytes += DenseAttemptBytes(placed, tasks)
		}
		if limit := 2048; namesUnescaped && attemptBytes <= MaxDenseAttemptsBytes(limit, tasks) && len(value) > limit {
			t.Fatalf("%d attempts take %d bytes, want at most %d", len(placement.Live), len(value), limit)
		}
	})
}

// A placement record with all its tasks still fits if the value limit falls to a quarter of the limit for
// which TasksPerPlacement was computed, even if each task is on a different machine. The machines have
// names of the usual length.
func TestWholePlacementFitsLowerLimit(t *testing.T) {
	const current, lowest = 8 << 10, 2 << 10
	tasks := TasksPerPlacement(current, lowest)
	if tasks != TasksPerPlacement(current, current) {
		t.Errorf("%d tasks in a record, want %d as before the lower limit was announced", tasks, TasksPerPlacement(current, current))
	}
	placement := Placement{NextAttempt: 3}
	bytesLeft := MaxDenseAttemptsBytes(lowest, tasks)
	for i := range tasks {
		placed := PlacedAttempt{Task: 2*tasks + i, Attempt: 1, Host: fmt.Sprintf("m-%06d", i), Incarnation: 1}
		placement.MarkDone(i)
		placement.Live = append(placement.Live, placed)
		bytesLeft -= DenseAttemptBytes(placed, tasks)
	}
	if value := EncodePlacement(placement, lowest, true); len(value) > lowest || bytesLeft < 0 {
		t.Errorf("%d tasks take %d bytes, want at most %d; computed bytes left: %d, want at least 0",
			tasks, len(value), lowest, bytesLeft)
	}
}

// placementV1 and attemptV1 are the types of a placement record in releases before cluster version 2.
type (
	placementV1 struct {
		NextAttempt uint64      `json:"N"`
		DoneBits    []byte      `json:"D,omitempty"`
		Live        []attemptV1 `json:"A,omitempty"`
	}
	attemptV1 struct {
		Task        int    `json:"L"`
		Attempt     uint64 `json:"T"`
		Host        string `json:"H"`
		Incarnation uint64 `json:"S"`
	}
)

// While a node of an older release may read a placement record, the record is written in the plain form,
// which that release can read, even if it is larger than the limit.
func TestPlacementsAreReadByOlderReleases(t *testing.T) {
	placement := Placement{NextAttempt: 3, DoneBits: []byte{5}, Live: []PlacedAttempt{{1, 2, "m-1", 4}, {2, 1, "m-2", 1}}}
	var got placementV1
	if err := json.Unmarshal(EncodePlacement(placement, 1, false), &got); err != nil {
		t.Fatal(err)
	}
	if want := (placementV1{3, []byte{5}, []attemptV1{{1, 2, "m-1", 4}, {2, 1, "m-2", 1}}}); !reflect.DeepEqual(got, want) {
		t.Errorf("an older release reads %+v, want %+v", got, want)
	}
}

// A job that was accepted under a higher value limit can get its final status under a lower one. Its
// record keeps the fields that a leader needs to end the job's tasks.
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
		t.Fatalf("the record has %d bytes, want more than %d", len(Encode(job)), limit)
	}
	finished := job
	finished.SetFinal(wire.JobAborted, limit)
	if size := len(Encode(finished)); size > limit {
		t.Errorf("the finished record has %d bytes, want at most %d", size, limit)
	}
	if finished.Status != wire.JobAborted || finished.TasksPerPlacement != job.TasksPerPlacement ||
		finished.Spec.TaskCount != 16 || finished.Spec.Team != "vision" || finished.Spec.Cores != 8 {
		t.Errorf("finished record is %+v, want status %s and the tasks, team and cores of %+v", finished, wire.JobAborted, job)
	}
	small := Job{Spec: wire.JobSpec{UID: "run-000412", MachineTypes: []string{"g8"}, Image: "img"}}
	small.SetFinal(wire.JobDone, limit)
	if small.Spec.Image != "img" || small.Spec.MachineTypes == nil {
		t.Errorf("a record that fits became %+v, want all fields kept", small)
	}
}
