package simcluster_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/wire"
)

// meanStartDelay plays a team within its guarantee, at a leader that ends twice, with or without guests
// whose work of the highest rank fills all machines, on machines that cannot be more. It returns how
// long the owner's jobs took from their submission to their first run, on the mean.
func meanStartDelay(t *testing.T, teamsWithoutQuota bool) (mean time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, 5, func(sc *scenario) {
			sc.teams = []config.Team{{Name: "crew", Cpus: 128, Gpus: 16}, {Name: "free"}}
		})
		sc.cluster.Cloud.Capacity = 6
		sc.cluster.Cloud.AddMachines("g8", "a", 6)
		time.Sleep(5 * time.Second)
		teamWithoutQuota := wire.JobSpec{UID: "run-000900", JobClass: "glean", Team: "free", Kind: wire.Service, Priority: wire.Critical, TaskCount: 10,
			Cores: 20, Gpus: 2, RAMGb: 20, Image: "img", ImageGb: 1}
		swarm := wire.JobSpec{UID: "run-000901", JobClass: "swarm", Team: "free", Kind: wire.JobArray, Priority: wire.High, TaskCount: 400,
			Cores: 4, Gpus: 0, RAMGb: 1, Image: "img", ImageGb: 1, ExpectedRunS: 6}
		var users sync.WaitGroup
		deadline := time.Now().Add(8 * time.Minute)
		if teamsWithoutQuota {
			for _, spec := range []wire.JobSpec{teamWithoutQuota, swarm} {
				users.Go(func() { sc.cluster.Users.Run(spec, 200*time.Second, deadline) })
			}
		}
		time.Sleep(20 * time.Second)
		for _, at := range []time.Duration{30 * time.Second, 75 * time.Second} {
			time.AfterFunc(at, func() {
				for i := range nodeNames {
					if sc.isLeader(i) {
						sc.crashNode(i)
						time.AfterFunc(4*time.Second, func() { sc.startNode(i) })
						return
					}
				}
			})
		}
		const jobs = 12
		r := rand.New(rand.NewPCG(1, 1))
		var total time.Duration
		var mu sync.Mutex
		for i := range jobs {
			spec := wire.JobSpec{UID: fmt.Sprintf("run-0000%02d", i), JobClass: "own", Team: "crew", Kind: wire.JobArray, Priority: wire.Standard, TaskCount: 2,
				Cores: 8 + float64(r.IntN(8)), Gpus: 2, RAMGb: 20, Image: "img", ImageGb: 1, ExpectedRunS: 12}
			users.Go(func() {
				began := time.Now()
				if !sc.cluster.Users.SubmitUntil(spec, deadline) {
					return
				}
				for time.Now().Before(deadline) {
					if _, view := sc.cluster.Users.Request("n1", "GET", "/work/"+spec.UID, nil); view.Running+view.Done >= spec.TaskCount || view.Status == wire.JobDone {
						break
					}
					time.Sleep(200 * time.Millisecond)
				}
				mu.Lock()
				total += time.Since(began)
				mu.Unlock()
				sc.cluster.Users.Follow(spec, 0, deadline)
			})
			time.Sleep(9 * time.Second)
		}
		users.Wait()
		mean = total / jobs
		if teamsWithoutQuota {
			if done := sc.cluster.Checker.FinalStatus(swarm.UID); done != wire.JobDone {
				t.Errorf("the guests' array is %q in the end: work that room is left for makes progress", done)
			}
		}
		if b := sc.cluster.Checker.Violations(); len(b) > 0 {
			t.Errorf("rules broken:\n%s", strings.Join(b[:min(5, len(b))], "\n"))
		}
		sc.end()
	})
	return mean
}

// A team within its guarantee waits no longer for its starts with guests than without, though
// their work is of a higher rank, fills the machines and the leader changes twice; and what guests
// can do beside, they do. Guarantees were once not looked at at all: owners waited until guests left.
func TestTeamWithinQuotaWaitsNoLongerBesideTeamsWithoutQuota(t *testing.T) {
	t.Parallel()
	alone, beside := meanStartDelay(t, false), meanStartDelay(t, true)
	// What is stopped takes a report to leave, and one more to tell.
	if most := alone + 4*time.Second; beside > most {
		t.Errorf("owners' jobs start after %v beside guests, %v alone", beside, alone)
	}
	t.Logf("owners' jobs start after %v beside guests, %v alone", beside, alone)
}
