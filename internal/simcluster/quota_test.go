package simcluster_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/wire"
)

// teamJobs is how many jobs the team within its quota submits.
const teamJobs = 12

// Jobs of a team within its quota start as soon beside teams without quota as alone, although the others'
// work has a higher priority and fills the machines, and the leader changes twice. The others' work still
// uses the room that is left. Quotas once had no effect: their owners waited until the others' work ended.
func TestTeamWithinQuotaWaitsNoLongerBesideTeamsWithoutQuota(t *testing.T) {
	t.Parallel()
	alone, beside := meanStartDelay(t, false), meanStartDelay(t, true)
	// A stop is sent in the answer to one heartbeat, and the end is reported in the next.
	if most := alone + 4*time.Second; beside > most {
		t.Errorf("jobs within quota start after %v beside teams without quota, %v alone", beside, alone)
	}
	t.Logf("jobs within quota start after %v beside teams without quota, %v alone", beside, alone)
}

// meanStartDelay plays a team within its quota on a fleet that cannot grow, while the leader crashes twice,
// with or without a team without quota whose work of the highest priority fills all machines. It returns
// the mean time from the submission of the owner's jobs to their first start.
func meanStartDelay(t *testing.T, withOthers bool) (mean time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, 5, func(sc *scenario) {
			sc.teams = []config.Team{{Name: "crew", Cpus: 128, Gpus: 16}, {Name: "free"}}
		})
		sc.cluster.Cloud.SetCapacity(6)
		sc.cluster.Cloud.AddMachines("g8", "a", 6)
		time.Sleep(5 * time.Second)
		service, array := jobsWithoutQuota()
		var users sync.WaitGroup
		deadline := time.Now().Add(8 * time.Minute)
		if withOthers {
			for _, spec := range []wire.JobSpec{service, array} {
				users.Go(func() { sc.cluster.Users.Run(spec, 200*time.Second, deadline) })
			}
		}
		time.Sleep(20 * time.Second)
		for _, after := range []time.Duration{30 * time.Second, 75 * time.Second} {
			time.AfterFunc(after, func() { sc.crashLeader(4 * time.Second) })
		}
		mean = sc.submitWithinQuota(&users, deadline)
		if withOthers {
			if status := sc.cluster.Checker.FinalStatus(array.UID); status != wire.JobDone {
				t.Errorf("the array without quota is %q in the end: work that room is left for makes progress", status)
			}
		}
		sc.expectNoViolations()
		sc.end()
	})
	return mean
}

// jobsWithoutQuota are a service that fills the GPUs and an array of many small tasks.
func jobsWithoutQuota() (service, array wire.JobSpec) {
	service = wire.JobSpec{
		UID:       "run-000900",
		JobClass:  "glean",
		Team:      "free",
		Kind:      wire.Service,
		Priority:  wire.Critical,
		TaskCount: 10,
		Cores:     20,
		Gpus:      2,
		RAMGb:     20,
		Image:     "img",
		ImageGb:   1,
	}
	array = wire.JobSpec{
		UID:          "run-000901",
		JobClass:     "swarm",
		Team:         "free",
		Kind:         wire.JobArray,
		Priority:     wire.High,
		TaskCount:    400,
		Cores:        4,
		RAMGb:        1,
		Image:        "img",
		ImageGb:      1,
		ExpectedRunS: 6,
	}
	return service, array
}

// submitWithinQuota submits the jobs of the team within its quota, one after the other, and waits for all
// users. It returns the mean time from submission to the first start.
func (sc *scenario) submitWithinQuota(users *sync.WaitGroup, deadline time.Time) (mean time.Duration) {
	r := rand.New(rand.NewPCG(1, 1))
	var total time.Duration
	var mu sync.Mutex
	for i := range teamJobs {
		spec := wire.JobSpec{
			UID:          fmt.Sprintf("run-0000%02d", i),
			JobClass:     "own",
			Team:         "crew",
			Kind:         wire.JobArray,
			Priority:     wire.Standard,
			TaskCount:    2,
			Cores:        8 + float64(r.IntN(8)),
			Gpus:         2,
			RAMGb:        20,
			Image:        "img",
			ImageGb:      1,
			ExpectedRunS: 12,
		}
		users.Go(func() {
			began := time.Now()
			if !sc.cluster.Users.SubmitUntil(spec, deadline) {
				return
			}
			sc.waitUntilStarted(spec, deadline)
			mu.Lock()
			total += time.Since(began)
			mu.Unlock()
			sc.cluster.Users.Follow(spec, 0, deadline)
		})
		time.Sleep(9 * time.Second)
	}
	users.Wait()
	return total / teamJobs
}

// waitUntilStarted polls a job until all its tasks have started, or until the deadline.
func (sc *scenario) waitUntilStarted(spec wire.JobSpec, deadline time.Time) {
	for time.Now().Before(deadline) {
		_, view := sc.cluster.Users.Request("n1", http.MethodGet, "/work/"+spec.UID, nil)
		if view.Running+view.Done >= spec.TaskCount || view.Status == wire.JobDone {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}
