package simcluster_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// jobMaker returns the i-th job of a scenario, and the time after which its user cancels it; 0: never. A
// seed gives the same jobs only as long as the order of the draws stays.
type jobMaker func(i int, r *rand.Rand) (spec wire.JobSpec, cancelAfter time.Duration)

// randomJob makes arrays of a team with a limit or of one without, with and without checkpoints, in any zone or
// in one, and services that spread over zones, keep to a single zone or do neither.
func randomJob(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	spec := wire.JobSpec{
		UID:          jobName(i),
		JobClass:     "batch",
		Team:         "crew",
		Kind:         wire.JobArray,
		Priority:     wire.Standard,
		TaskCount:    1 + r.IntN(12),
		Cores:        4,
		Gpus:         1,
		RAMGb:        20,
		Image:        fmt.Sprintf("img-%d", r.IntN(3)),
		ImageGb:      4,
		ExpectedRunS: float64(3 + r.IntN(15)),
		AllowSpot:    true,
	}
	switch r.IntN(4) {
	case 0:
		spec.Kind, spec.Priority, spec.JobClass = wire.Service, wire.Critical, "serve"
		spec.TaskCount, spec.ExpectedRunS, spec.AllowSpot = 1+r.IntN(4), 0, false
		spec.SpreadZones = r.IntN(2) == 0
		spec.SingleZone = !spec.SpreadZones && r.IntN(2) == 0
		return spec, time.Duration(20+r.IntN(60)) * time.Second
	case 1:
		spec.Team, spec.CheckpointIntervalS, spec.CheckpointOnStopS = "free", 5, 2
	case 2:
		spec.Zone, spec.MachineTypes = "b", []string{"g8"}
	}
	return spec, 0
}

// replicaJob makes services that run until their users cancel them, after cancelAfter.
func replicaJob(cancelAfter time.Duration) jobMaker {
	return func(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
		return wire.JobSpec{
			UID:       jobName(i),
			JobClass:  "serve",
			Team:      "free",
			Kind:      wire.Service,
			Priority:  wire.High,
			TaskCount: 1 + r.IntN(3),
			Cores:     4,
			Gpus:      1,
			RAMGb:     20,
			Image:     fmt.Sprintf("img-%d", r.IntN(3)),
			ImageGb:   4,
		}, cancelAfter
	}
}

// mixedJob makes services and arrays of a team with a limit and of one without. All services and some of the arrays
// are cancelled.
func mixedJob(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	spec, cancelAfter := replicaJob(time.Duration(30+r.IntN(60))*time.Second)(i, r)
	switch i % 4 {
	case 1:
		spec.Team, spec.TaskCount = "crew", 6+r.IntN(6)
	case 2:
		spec.JobClass, spec.Kind, spec.Priority = "batch", wire.JobArray, wire.Standard
		spec.TaskCount, spec.ExpectedRunS, spec.AllowSpot = 2+r.IntN(6), float64(5+r.IntN(30)), true
		spec.Team = []string{"crew", "free"}[r.IntN(2)]
		if cancelAfter = 0; r.IntN(3) == 0 {
			cancelAfter = time.Duration(10+r.IntN(40)) * time.Second
		}
	case 3:
		spec.Priority, spec.Zone = wire.Critical, []string{"a", "b"}[r.IntN(2)]
		if r.IntN(2) == 0 {
			spec.Kind, spec.Priority, spec.ExpectedRunS, cancelAfter = wire.JobArray, wire.BestEffort, float64(10+r.IntN(30)), 0
		}
	}
	return spec, cancelAfter
}

// smallJob makes jobs of one task, a quarter of them cancelled.
func smallJob(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	spec := wire.JobSpec{
		UID:          jobName(i),
		JobClass:     "batch",
		Team:         "free",
		Kind:         wire.JobArray,
		Priority:     wire.Standard,
		TaskCount:    1,
		Cores:        4,
		Gpus:         1,
		RAMGb:        20,
		Image:        "img",
		ImageGb:      2,
		ExpectedRunS: float64(1 + r.IntN(6)),
	}
	if i%4 == 0 {
		return spec, time.Duration(200+r.IntN(9000)) * time.Millisecond
	}
	return spec, 0
}

// longJob makes arrays of two or three tasks with run times that differ much from job to job, and services.
func longJob(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	spec, cancelAfter := replicaJob(time.Duration(60+r.IntN(60))*time.Second)(i, r)
	if i%2 == 0 {
		spec.Kind, spec.TaskCount, spec.ExpectedRunS, cancelAfter = wire.JobArray, 2+r.IntN(2), float64(30+r.IntN(60)), 0
	}
	return spec, cancelAfter
}

// overloadJob makes jobs of every priority that together need more capacity than there is; some are large.
func overloadJob(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	spec, cancelAfter := mixedJob(i, r)
	if i%10 == 6 {
		spec.TaskCount = 24
	}
	if spec.Kind == wire.Service {
		cancelAfter = time.Duration(15+r.IntN(30)) * time.Second
	}
	return spec, cancelAfter
}

// teamLimitJob makes arrays of one team that together ask for more than the team's limit for minutes.
func teamLimitJob(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	spec := wire.JobSpec{
		UID:          jobName(i),
		JobClass:     "batch",
		Team:         "crew",
		Kind:         wire.JobArray,
		Priority:     wire.Standard,
		TaskCount:    2 + r.IntN(3),
		Cores:        4,
		Gpus:         1,
		RAMGb:        20,
		Image:        fmt.Sprintf("img-%d", r.IntN(3)),
		ImageGb:      4,
		ExpectedRunS: float64(25 + r.IntN(15)),
	}
	if i%10 == 7 {
		spec.TaskCount = 12
	}
	return spec, 0
}

// zonedJob makes jobs that keep to one zone, or spread over both zones.
func zonedJob(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	spec, cancelAfter := mixedJob(i, r)
	switch spec.Zone = ""; i % 3 {
	case 0:
		spec.SingleZone = true
	case 1:
		spec.Zone = []string{"a", "b"}[r.IntN(2)]
	case 2:
		spec.SpreadZones = true
	}
	return spec, cancelAfter
}

// stageJob returns a short array without GPUs, a stage of a pipeline.
func stageJob(i, tasks int, dependencies ...string) wire.JobSpec {
	return wire.JobSpec{
		UID:          jobName(i),
		JobClass:     "stage",
		Team:         "free",
		Kind:         wire.JobArray,
		Priority:     wire.BestEffort,
		TaskCount:    tasks,
		Cores:        1,
		RAMGb:        1,
		Image:        "img-s",
		ImageGb:      0.5,
		ExpectedRunS: 3,
		Dependencies: dependencies,
	}
}

// serviceJob returns a service whose tasks are as large as those of most jobs in these tests.
func serviceJob(uid, team string, priority wire.Priority, tasks int) wire.JobSpec {
	return wire.JobSpec{
		UID:       uid,
		JobClass:  "serve",
		Team:      team,
		Kind:      wire.Service,
		Priority:  priority,
		TaskCount: tasks,
		Cores:     4,
		Gpus:      1,
		RAMGb:     20,
		Image:     "img",
		ImageGb:   4,
	}
}
