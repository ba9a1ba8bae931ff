package sched

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// zoneNode returns a machine in a zone with room for tasks of one core.
func zoneNode(i int, zone string, tasks float64) Node {
	room := fleet.Resources{Cores: tasks, RAM: 100}
	return Node{ID: fmt.Sprintf("m%d", i), Type: "x", Zone: zone, Capacity: room, Free: room, FreeAfterStops: room, FreeAfterBoot: room}
}

// oneCoreJob returns a job of a kind whose tasks need one core each. All of them are pending.
func oneCoreJob(kind wire.JobKind, tasks int) *Job {
	return &Job{
		Spec:            &wire.JobSpec{UID: "run-000001", Team: "crew", Kind: kind, TaskCount: tasks, Cores: 1},
		Level:           2,
		PendingTasks:    tasks,
		LiveByZone:      map[string]int{},
		CannotAwaitBoot: true,
		WaitedPastBoot:  true,
	}
}

func runOn(job *Job, team Team, nodes ...Node) *Plan {
	return Run(&Input{
		Window:          200,
		ReserveAfterS:   30,
		PriorityWeights: DefaultPriorityWeights,
		Teams:           map[string]*Team{"crew": &team},
		Nodes:           nodes,
		Jobs:            []*Job{job},
	})
}

// An array bound to one zone starts as many tasks as fit in a zone, and a service that has lost all its replicas
// starts as many as fit. When such an array counted as all-or-nothing, one that had lost three of its four machines
// was not continued on the fourth, for as long as the cloud had no capacity for all its tasks at once.
func TestWhatStartsInChunks(t *testing.T) {
	for _, tc := range []struct {
		name       string
		kind       wire.JobKind
		singleZone bool
		hasStarted bool
		want       int // tasks placed, of six, where zone a has room for two and zone b for three
	}{
		{"array", wire.JobArray, false, false, 5},
		{"array in one zone", wire.JobArray, true, false, 3},
		{"array in one zone that has lost its machines", wire.JobArray, true, true, 3},
		{"new service", wire.Service, false, false, 0},
		{"new service in one zone", wire.Service, true, false, 0},
		{"service that has lost its replicas", wire.Service, false, true, 5},
		{"service in one zone that has lost its replicas", wire.Service, true, true, 3},
		{"gang", wire.Gang, false, false, 0},
		{"gang that has lost its tasks", wire.Gang, false, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			job := oneCoreJob(tc.kind, 6)
			job.Spec.SingleZone, job.HasStarted = tc.singleZone, tc.hasStarted
			plan := runOn(job, Team{}, zoneNode(0, "a", 2), zoneNode(1, "b", 3))
			if got := countTasks(plan.Placements); got != tc.want {
				t.Errorf("%d tasks are placed, want %d", got, tc.want)
			}
		})
	}
}

// An array bound to one zone that needs more than its team's limit as a whole starts as many tasks as the limit allows.
func TestArrayInOneZoneBeyondTheTeamLimitStarts(t *testing.T) {
	job := oneCoreJob(wire.JobArray, 6)
	job.Spec.SingleZone = true
	team := Team{}
	team.Limit.Cores = 4
	if got := countTasks(runOn(job, team, zoneNode(0, "a", 8)).Placements); got != 4 {
		t.Errorf("%d tasks are placed, want 4, as many as the limit allows", got)
	}
}

// From cycle to cycle, whatever room there is and whichever tasks end, the tasks of an array bound to one zone are in
// one zone at any time: a zone is chosen anew only once none of its attempts is live. While a zone has room, a task is placed.
func TestArrayInOneZoneStaysInIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := oneCoreJob(wire.JobArray, rapid.IntRange(1, 12).Draw(t, "tasks"))
		job.Spec.SingleZone = true
		for range rapid.IntRange(1, 8).Draw(t, "cycles") {
			liveZone, roomByZone := "", map[string]int{}
			for zone := range job.LiveByZone {
				liveZone = zone
			}
			nodes := make([]Node, rapid.IntRange(1, 5).Draw(t, "machines"))
			for i := range nodes {
				zone, room := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), rapid.IntRange(0, 4).Draw(t, "room")
				nodes[i] = zoneNode(i, zone, float64(room))
				roomByZone[zone] += room
			}
			pending := job.PendingTasks
			want := min(pending, max(roomByZone["a"], roomByZone["b"]))
			if liveZone != "" {
				want = min(pending, roomByZone[liveZone])
			}
			plan := runOn(job, Team{}, nodes...)
			for _, placement := range plan.Placements {
				zone := nodes[placement.Node].Zone
				if liveZone != "" && zone != liveZone {
					t.Fatalf("a task is placed in zone %s while others are in zone %s", zone, liveZone)
				}
				liveZone = zone
			}
			if got := countTasks(plan.Placements); got != want {
				t.Fatalf("%d tasks are placed, want %d of %d with room %v", got, want, pending, roomByZone)
			}
			lost := rapid.IntRange(0, job.LiveAttempts).Draw(t, "lost")
			job.LiveAttempts, job.PendingTasks = job.LiveAttempts-lost, job.PendingTasks+lost
			if clear(job.LiveByZone); job.LiveAttempts > 0 {
				job.LiveByZone[liveZone] = job.LiveAttempts
			}
		}
	})
}
