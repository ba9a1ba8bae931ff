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

// The jobs of a team within its quota start as soon as they would without any other team, although a team without
// quota fills the machines with jobs of higher priority, and the leader changes twice. The other team's jobs still
// use the capacity that is left. Quotas once had no effect: teams with quota waited until the others' jobs ended.
func TestTeamWithinQuotaWaitsNoLongerBesideTeamsWithoutQuota(t *testing.T) {
	t.Parallel()
	aloneDelay, besideDelay := meanStartDelay(t, false), meanStartDelay(t, true)
	// The 4 s are for stopping tasks of the other team first: the response to one heartbeat stops a task, and the next
	// heartbeat reports its end.
	if maxDelay := aloneDelay + 4*time.Second; besideDelay > maxDelay {
		t.Errorf("got a start delay of %v beside a team without quota, want at most %v", besideDelay, maxDelay)
	}
	t.Logf("jobs within quota start after %v beside a team without quota, %v alone", besideDelay, aloneDelay)
}

// meanStartDelay runs the jobs of a team within its quota on a fleet that cannot grow, while the leader crashes twice. If
// withOthers is set, a team without quota fills all machines with jobs of higher priority. It returns the mean time
// from the submission of a job within quota to the start of its tasks.
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
				t.Errorf("got final status %q of the array without quota, want done: there is capacity left for it", status)
			}
		}
		sc.expectNoViolations()
		sc.end()
	})
	return mean
}

// jobsWithoutQuota returns a service of large tasks and an array of many small ones, of the team without quota.
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

// submitWithinQuota submits the jobs of the team within its quota, one after the other, and waits for all users.
// It returns the mean time from the submission of a job to the start of its tasks.
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
