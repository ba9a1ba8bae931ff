package autoscaler

import (
	"math"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

const workerLease = 10 * time.Second

func TestRefusalsPauseForLongerEachTime(t *testing.T) {
	now := time.Unix(10_000, 0)
	refusals, group := NewRefusals(workerLease), MachineGroup{Type: "g8", Zone: "a", Spot: true}
	for _, pause := range []time.Duration{
		workerLease / 2, workerLease, 2 * workerLease, 3 * workerLease, 3 * workerLease,
	} {
		refusals.Add(group, now)
		if !refusals.IsPaused(group, now.Add(pause-1)) || refusals.IsPaused(group, now.Add(pause)) {
			t.Errorf("the pause is not %s", pause)
		}
		now = now.Add(pause)
	}
	if refusals.IsPaused(MachineGroup{Type: "g8", Zone: "a"}, now) {
		t.Error("another group is paused")
	}
	refusals.Clear(group)
	refusals.Add(group, now)
	if refusals.IsPaused(group, now.Add(workerLease/2)) {
		t.Error("the pause does not begin again after machines were provisioned")
	}
}

func TestRequestsHaveIDsOfTheirOwn(t *testing.T) {
	requests := NewRequests(7)
	request := Request{MachineGroup{Type: "g8", Zone: "a", Spot: true}, 3}
	first, second := requests.Add(request), requests.Add(request)
	want := wire.ProvisionRequest{RequestID: "lt-7-1", MachineType: "g8", Zone: "a", Spot: true, Count: 3}
	if first != want || second.RequestID != "lt-7-2" || requests.Len() != 2 {
		t.Errorf("%+v, then %+v", first, second)
	}
	requests.Finish(first.RequestID)
	requests.Each(func(r wire.ProvisionRequest) {
		if r != second {
			t.Errorf("%+v is pending, want %+v", r, second)
		}
	})
	if third := requests.Add(request); third.RequestID != "lt-7-3" || requests.Len() != 2 {
		t.Errorf("%+v is the third, %d are pending", third, requests.Len())
	}
}

// The count of arrivals decays exponentially, with a time constant of 12 worker leases.
func TestArrivalsFade(t *testing.T) {
	now := time.Unix(10_000, 0)
	arrivals := NewArrivals(workerLease)
	spec := &wire.JobSpec{JobClass: "chat", TaskCount: 2}
	arrivals.Observe(spec, now)
	now = now.Add(12 * workerLease)
	arrivals.Observe(spec, now)
	arrivals.Each(func(class string, a *ClassArrivals) {
		if want := 1 + 1/math.E; class != "chat" || math.Abs(a.Jobs-want) > 1e-9 || a.TasksSquared != 4 {
			t.Errorf("%s: %v jobs, want %v; %v tasks squared, want 4", class, a.Jobs, want, a.TasksSquared)
		}
	})
}

func TestIsLargeComparesWithTheClass(t *testing.T) {
	arrivals := NewArrivals(workerLease)
	if arrivals.IsLarge(&wire.JobSpec{JobClass: "batch", TaskCount: 100}) {
		t.Error("large in a class of which nothing is known")
	}
	arrivals.Observe(&wire.JobSpec{JobClass: "batch", TaskCount: 4}, time.Unix(10_000, 0))
	for tasks, want := range map[int]bool{3: false, 4: true, 5: true} {
		if got := arrivals.IsLarge(&wire.JobSpec{JobClass: "batch", TaskCount: tasks}); got != want {
			t.Errorf("%d tasks: large is %v", tasks, got)
		}
	}
}

func TestHeadroomIsForHighPriorities(t *testing.T) {
	now := time.Unix(10_000, 0)
	options := HeadroomOptions{
		Factor:     1,
		BootS:      func(*wire.JobSpec) float64 { return 30 },
		NeedsImage: func(spec *wire.JobSpec) bool { return spec.Image == "large" },
	}
	for _, tc := range []struct {
		name     string
		priority wire.Priority
		factor   float64
		want     int
	}{
		{"high", wire.High, 1, 4}, // the root of 4 jobs in 120 s x 30 s x 16 tasks squared
		{"high, doubled", wire.High, 2, 8},
		{"high, switched off", wire.High, 0, 0},
		{"standard", wire.Standard, 1, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			arrivals := NewArrivals(workerLease)
			spec := &wire.JobSpec{UID: "run-000001", JobClass: "chat", Kind: wire.Gang, TaskCount: 4, Priority: tc.priority, Image: "large"}
			for range 4 {
				arrivals.Observe(spec, now)
			}
			options.Factor = tc.factor
			jobs := arrivals.HeadroomJobs(now, options)
			if len(jobs) != tc.want {
				t.Fatalf("%d phantom jobs, want %d", len(jobs), tc.want)
			}
			for _, j := range jobs {
				if j.PendingTasks != 1 || j.Spec.Kind != wire.JobArray || j.Spec.UID != "" || !j.FetchDelaysStart {
					t.Errorf("phantom job %+v of %+v", j, j.Spec)
				}
			}
		})
	}
}
