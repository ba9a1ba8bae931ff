package simcluster_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// The rules hold at the size that deployments have grown to, also when the leader changes and while malformed
// requests arrive.
func TestRulesHoldInAGrownFleet(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		violations, started := runLargeFleet(t, 190, 90*time.Second, func(sc *scenario) {
			time.Sleep(20 * time.Second)
			sc.sendMalformedRequests()
			time.Sleep(20 * time.Second)
			sc.crashNode(0)
			sc.crashNode(1)
			time.Sleep(4 * time.Second)
			sc.startNode(0)
			sc.startNode(1)
		})
		if started < 500 {
			t.Errorf("got %d tasks started, want at least 500", started)
		}
		expectNoViolations(t, violations)
	})
}

// The rules hold at the size of the largest fleets while many things fail at once: a thousand jobs are submitted at
// the same time, a third of the machines is partitioned from the controllers, machines hang and die, and all
// controllers and the state store are down at the same time.
func TestLargeFleet(t *testing.T) {
	t.Parallel()
	const machines = 1070
	synctest.Test(t, func(t *testing.T) {
		violations, started := runLargeFleet(t, machines, 60*time.Second, func(sc *scenario) {
			time.Sleep(15 * time.Second)
			sc.partitionThirdOfMachines(machines, 25*time.Second)
			for range 30 {
				sc.cluster.Cloud.RandomWorker().Suspend(20 * time.Second)
				sc.cluster.Cloud.RandomWorker().Terminate()
			}
			time.Sleep(10 * time.Second)
			sc.cluster.Store.SetDown(true)
			sc.crashAllNodes()
			time.Sleep(5 * time.Second)
			sc.cluster.Store.SetDown(false)
			for i := range nodeNames {
				sc.startNode(i)
				time.Sleep(300 * time.Millisecond)
			}
			sc.crashNode(0) // in the middle of an election
			time.Sleep(300 * time.Millisecond)
			sc.startNode(0)
		})
		if started < 3*machines {
			t.Errorf("got %d tasks started, want at least %d", started, 3*machines)
		}
		expectNoViolations(t, violations)
	})
}

// runLargeFleet runs a deployment of many machines and calls inject, which causes the faults. As many jobs as there
// are machines are submitted at once, then one a second for the duration. It returns the violations and the number
// of tasks started.
func runLargeFleet(t *testing.T, machines int, duration time.Duration, inject func(sc *scenario)) (violations []string, started int) {
	t.Helper()
	sc := newScenario(t, 7)
	sc.cluster.Cloud.SetCapacity(machines + machines/8)
	r := rand.New(rand.NewPCG(7, 2))
	sc.cluster.Cloud.AddMachines("g8", "a", machines/2)
	sc.cluster.Cloud.AddMachines("g8", "b", machines-machines/2)
	time.Sleep(3 * time.Second)
	deadline := time.Now().Add(duration + 2*time.Minute)
	var users sync.WaitGroup
	for i := range machines + int(duration.Seconds()) {
		spec, cancelAfter := largeFleetJob(i, duration, r)
		submitAfter := time.Duration(max(0, i-machines)) * time.Second
		users.Go(func() {
			time.Sleep(submitAfter)
			sc.cluster.Users.Run(spec, cancelAfter, deadline)
		})
	}
	go sc.cluster.WatchInvariants(deadline)
	inject(sc)
	users.Wait()
	violations, started = sc.cluster.Checker.Violations(), sc.cluster.Checker.StartCount()
	sc.end()
	return violations, started
}

// largeFleetJob makes services that are cancelled after a part of the duration, and arrays.
func largeFleetJob(i int, duration time.Duration, r *rand.Rand) (wire.JobSpec, time.Duration) {
	spec := serviceJob(jobName(i), "free", wire.High, 1+r.IntN(6))
	spec.Image = fmt.Sprintf("img-%d", r.IntN(6))
	cancelAfter := duration/4 + time.Duration(r.IntN(int(duration*3/4)))
	if i%4 == 0 {
		spec.JobClass, spec.Kind, spec.Priority = "batch", wire.JobArray, wire.Standard
		spec.TaskCount, spec.ExpectedRunS, spec.AllowSpot = 5+r.IntN(40), float64(10+r.IntN(40)), true
		cancelAfter = 0
	}
	return spec, cancelAfter
}

// partitionThirdOfMachines partitions every third machine from all nodes for a while.
func (sc *scenario) partitionThirdOfMachines(machines int, duration time.Duration) {
	partition := func(host string, on bool) {
		for _, node := range nodeNames {
			sc.net.Partition(host, node, on)
		}
	}
	for i := range machines / 3 {
		host := hostName(3 * i)
		partition(host, true)
		time.AfterFunc(duration, func() { partition(host, false) })
	}
}

// sendMalformedRequests sends malformed heartbeats and submissions. It expects that every node refuses them and
// that no machine is added because of them.
func (sc *scenario) sendMalformedRequests() {
	sc.t.Helper()
	padding := strings.Repeat("x", wire.MaxBody-200)
	for i := range 300 {
		node := nodeNames[i%3]
		sc.expectStatus(http.StatusBadRequest, node, http.MethodPost, "/checkin", `{"Host":"m-`+padding[:i]+`","Shift":`)
		sc.expectStatus(http.StatusBadRequest, node, http.MethodPost, "/checkin", fmt.Sprintf(`{"Host":"%d%s","Shift":1,"Tick":1}`, i, padding))
		sc.expectStatus(http.StatusRequestEntityTooLarge, node, http.MethodPost, "/checkin", `{"Host":"m","Legs":["`+padding+padding+`"]}`)
		sc.expectStatus(http.StatusBadRequest, node, http.MethodPost, "/work", `{"Uid":"run-`+padding+`"}`)
		sc.expectStatus(http.StatusRequestEntityTooLarge, node, http.MethodPost, "/work", padding+padding)
	}
	known := 0
	if status := sc.status("n2"); status.Lead != nil {
		for _, machines := range status.Lead.Machines {
			known += machines
		}
	}
	if known < 150 || known > 250 {
		sc.t.Errorf("got %d machines known to the leader, want 150 to 250", known)
	}
}

// The largest array is accepted, makes progress and keeps within the limits of the state store, also when the
// leader changes.
func TestLargestArrayMakesProgressAcrossFailovers(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		sc.cluster.Cloud.SetCapacity(4)
		spec := wire.JobSpec{
			UID:          "run-000001",
			JobClass:     "large",
			Team:         "free",
			Kind:         wire.JobArray,
			Priority:     wire.Standard,
			TaskCount:    wire.MaxTasks,
			Cores:        0.5,
			RAMGb:        0.1,
			Image:        "img",
			ImageGb:      1,
			ExpectedRunS: 4,
			MachineTypes: []string{"g4", "g8"},
		}
		sc.cluster.Users.RegisterSpec(spec)
		if status, _ := sc.cluster.Users.Request("n0", http.MethodPost, "/work", spec); status != http.StatusCreated {
			t.Fatalf("got status %d for the submission, want %d", status, http.StatusCreated)
		}
		small := spec
		small.UID, small.TaskCount, small.Priority = "run-000002", 5, wire.High
		time.Sleep(20 * time.Second)
		for i := range nodeNames {
			sc.crashNode(i)
			time.Sleep(3 * time.Second)
			sc.startNode(i)
		}
		began := time.Now()
		sc.cluster.Users.Run(small, 0, time.Now().Add(time.Minute))
		if took := time.Since(began); took > 45*time.Second {
			t.Errorf("got %v for a small job of higher priority, want at most 45 s", took)
		}
		time.Sleep(10 * time.Second)
		var view wire.JobView
		text := sc.expectStatus(http.StatusOK, "n1", http.MethodGet, "/work/run-000001", "")
		if err := json.Unmarshal([]byte(text), &view); err != nil || view.Done < 200 {
			t.Errorf("got %+v, error %v, want at least 200 tasks done", view, err)
		}
		sc.expectNoViolations()
		sc.expectStatus(http.StatusOK, "n2", http.MethodPost, "/work/run-000001/withdraw", "")
		time.Sleep(time.Minute) // commits that nothing waits for use only the write budget that the others leave unused
		sc.expectNoKeys("j/", "p/")
	})
}
