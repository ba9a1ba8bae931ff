package simcluster_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// The rules hold for pipelines too, under random faults, while a new release is rolled out and the state store
// lowers its limits.
func TestPipelinesWhateverFails(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seedCount(t, 8)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			violations, rejectedKeys, started := runPipelineScenario(t, seed, int(2*seed))
			if started == 0 {
				t.Error("no task was started")
			}
			expectNoViolations(t, violations)
			if len(rejectedKeys) > 0 {
				t.Logf("keys of commits over the lowered limits: %v", rejectedKeys)
			}
		})
	}
}

// runPipelineScenario runs a scenario in which the older release is replaced node by node, then the state store
// lowers its limits and pipelines are submitted, with random faults at any time. It returns the violations, the
// keys of commits that were over the store's limits, and the number of tasks started.
func runPipelineScenario(t *testing.T, seed uint64, faults int) (violations, rejectedKeys []string, started int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, seed, beforeUpgrade)
		r := rand.New(rand.NewPCG(seed, 4))
		sc.cluster.Cloud.AddMachines("g8", "a", 2)
		sc.cluster.Cloud.AddMachines("g8", "b", 2)
		time.Sleep(3 * time.Second)
		deadline := time.Now().Add(420 * time.Second)
		go sc.cluster.WatchInvariants(deadline)
		var users sync.WaitGroup
		sc.submitJobsDuringUpgrade(r, &users, deadline)
		for i := range nodeNames {
			time.AfterFunc(time.Duration(10+12*i)*time.Second, func() { sc.upgradeNode(i, 3*time.Second) })
		}
		time.AfterFunc(time.Duration(45+r.IntN(20))*time.Second, func() { sc.cluster.Store.SetLimits(lowerLimits) })
		for i := range 8 {
			pipelineRand := rand.New(rand.NewPCG(r.Uint64(), 5))
			submitAfter := time.Duration(50+r.IntN(60)) * time.Second
			users.Go(func() {
				time.Sleep(submitAfter)
				sc.runPipeline(pipelineRand, 100+4*i, deadline)
			})
		}
		for range faults {
			faultRand := rand.New(rand.NewPCG(r.Uint64(), 3))
			time.AfterFunc(time.Duration(5+r.IntN(140))*time.Second, func() { sc.injectRandomFault(faultRand) })
		}
		time.Sleep(190 * time.Second)
		sc.endFaults()
		users.Wait()
		time.Sleep(time.Until(deadline))
		violations, rejectedKeys = sc.cluster.Checker.Violations(), sc.cluster.Store.RejectedKeys()
		started = sc.cluster.Checker.StartCount()
		sc.end()
	})
	return violations, rejectedKeys, started
}

// submitJobsDuringUpgrade submits jobs at random times before, during and after the upgrade. Some of them have
// enough tasks for all machines.
func (sc *scenario) submitJobsDuringUpgrade(r *rand.Rand, users *sync.WaitGroup, deadline time.Time) {
	for i := range 12 {
		spec, cancelAfter := randomJob(i, r)
		if i%4 == 0 {
			spec, cancelAfter = stageJob(i, 60+r.IntN(60)), 0
			spec.Cores, spec.ExpectedRunS = 0.5, 40
		}
		submitAfter := time.Duration(r.IntN(60)) * time.Second
		users.Go(func() {
			time.Sleep(submitAfter)
			sc.cluster.Users.Run(spec, cancelAfter, deadline)
		})
	}
}

// runPipeline submits the four stages of a diamond-shaped pipeline, each as soon as those that it depends on are
// accepted, and polls them until all are over. In some pipelines the last stage is submitted only when the others
// are over; in some, one stage is cancelled at a random time. first is the number of the first stage's job.
func (sc *scenario) runPipeline(r *rand.Rand, first int, deadline time.Time) {
	a := stageJob(first, 1+r.IntN(4))
	b, c := stageJob(first+1, 1+r.IntN(20), a.UID), stageJob(first+2, 1+r.IntN(4), a.UID)
	last := stageJob(first+3, 1+r.IntN(3), b.UID, c.UID)
	deadlineS := 60.0
	last.Priority, last.DeadlineS = wire.High, &deadlineS
	cancelAfter := map[string]time.Duration{}
	if r.IntN(3) == 0 {
		cancelAfter[[]string{a.UID, b.UID, last.UID}[r.IntN(3)]] = time.Duration(r.IntN(15000)) * time.Millisecond
	}
	submitsLastLate := r.IntN(4) == 0
	var firstThree, lastStage sync.WaitGroup
	submitAndFollow := func(spec wire.JobSpec, group *sync.WaitGroup) bool {
		if !sc.cluster.Users.SubmitUntil(spec, deadline) {
			return false
		}
		group.Go(func() { sc.cluster.Users.Follow(spec, cancelAfter[spec.UID], deadline) })
		return true
	}
	if submitAndFollow(a, &firstThree) && submitAndFollow(b, &firstThree) && submitAndFollow(c, &firstThree) {
		if submitsLastLate {
			firstThree.Wait()
		}
		submitAndFollow(last, &lastStage)
	}
	firstThree.Wait()
	lastStage.Wait()
}

// The rules hold when a pipeline of two one-task stages is submitted every 250 ms. The later stage is submitted at a
// random time around the end and the archiving of the first stage, or within milliseconds of its cancellation. Every
// answer is cross-checked.
func TestRulesHoldWhenDependentsComeAroundTheEndOfAJob(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		sc.cluster.Users.CrossCheckAnswers.Store(true)
		r := rand.New(rand.NewPCG(7, 7))
		deadline := time.Now().Add(2 * time.Minute)
		var users sync.WaitGroup
		for i := range 100 {
			first := stageJob(100+2*i, 1)
			first.ExpectedRunS = 1
			second := stageJob(101+2*i, 1, first.UID)
			firstAfter := time.Duration(i) * 250 * time.Millisecond
			secondAfter := time.Duration(r.IntN(8000)) * time.Millisecond
			isCancelled := r.IntN(4) == 0
			users.Go(func() {
				time.Sleep(firstAfter)
				if !sc.cluster.Users.SubmitUntil(first, deadline) {
					return
				}
				if isCancelled {
					cancelAfter := secondAfter - time.Duration(i%5)*time.Millisecond
					time.AfterFunc(cancelAfter, func() { sc.cluster.Users.Cancel(nodeNames[i%3], first.UID) })
				}
				time.Sleep(secondAfter)
				sc.cluster.Users.Run(second, 0, deadline)
			})
		}
		users.Wait()
		sc.expectNoViolations()
	})
}
