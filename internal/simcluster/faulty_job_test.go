package simcluster_test

import (
	"sync"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// A job whose tasks fail on every machine through their own fault causes no machine to be quarantined, does not make
// the fleet grow and delays no other job. Its user can still cancel it.
func TestFaultyJobHarmsNoMachineAndNoOtherJob(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		sc.cluster.FaultyJobClass = "broken"
		deadline := time.Now().Add(150 * time.Second)
		var users sync.WaitGroup
		for i := range 8 {
			spec := wire.JobSpec{
				UID:          jobName(i),
				JobClass:     "good",
				Team:         "free",
				Kind:         wire.JobArray,
				Priority:     wire.BestEffort,
				TaskCount:    4,
				Cores:        4,
				Gpus:         1,
				RAMGb:        20,
				Image:        "img",
				ImageGb:      4,
				ExpectedRunS: 5,
			}
			cancelAfter := time.Duration(0)
			if i == 0 {
				spec.JobClass, spec.Priority, spec.TaskCount = "broken", wire.Standard, 6
				cancelAfter = 100 * time.Second
			}
			users.Go(func() {
				time.Sleep(time.Duration(10*i) * time.Second)
				sc.cluster.Users.Run(spec, cancelAfter, deadline)
			})
		}
		users.Wait()
		sc.expectNoViolations()
		// Idle machines are scaled in and others provisioned later, but not one machine for each failed task.
		if n := sc.cluster.Cloud.MachinesProvisioned(); n > 8 {
			t.Errorf("got %d machines provisioned, want at most 8", n)
		}
		// The other seven jobs have 28 tasks. The 6 faulty tasks may start up to 12 times each on average.
		if n := sc.cluster.Checker.StartCount(); n < 28+6 || n > 28+6*12 {
			t.Errorf("got %d task starts, want %d to %d", n, 28+6, 28+6*12)
		}
	})
}
