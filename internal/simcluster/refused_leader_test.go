package simcluster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// outageAfterLeaderFault is a fault in which first the leader alone, and then every node, loses the state store.
type outageAfterLeaderFault struct {
	fault        string        // between the leader and the state store: "cut" (partitioned) or "refuse"
	faultFor     time.Duration // how long the fault lasts
	outageAfter  time.Duration // from the beginning of the fault; 0: once another leader is elected
	outageFor    time.Duration
	withoutPeers bool // the leader is partitioned from its peers as well
}

const (
	// outageJobs is the number of jobs that run, and are cancelled, in each case.
	outageJobs = 8
	// outageSeeds is the number of seeds that each case is run with.
	outageSeeds = 3
)

// First only the leader cannot reach the state store, while another controller confirms cancellations. Then the store
// is down for all controllers for longer than cancel_s, while workers keep sending heartbeats to the old leader. The
// old leader may have had a request answered, such as a lease renewal, after its cancellation data was last updated,
// and a leader elected before the outage may not have read the records at all. Nevertheless the cancelled tasks must
// have ended within cancel_s of the confirmation.
func TestCancelledTasksEndInTimeWhenAnOutageFollowsARefusedLeader(t *testing.T) {
	t.Parallel()
	s := time.Second
	for _, tc := range []outageAfterLeaderFault{
		{"cut", 700 * time.Millisecond, 8 * s, 60 * s, true}, // the watch hangs, the leader lease is renewed
		{"cut", 600 * time.Millisecond, 4 * s, 39 * s, true},
		{"refuse", 14 * s, 0, 60 * s, true}, // the new leader has not read the records
		{"refuse", 14 * s, 0, 41 * s, false},
		{"cut", 14 * s, 0, 60 * s, true},
		{"refuse", 1700 * time.Millisecond, 1800 * time.Millisecond, 60 * s, true}, // the fault ends just before the outage
		{"refuse", 2 * s, 2100 * time.Millisecond, 60 * s, false},
		{"refuse", 14 * s, 2 * s, 60 * s, true}, // the fault ends during the outage
		{"refuse", 5 * s, 3 * s, 45 * s, true},  // the leader changes just before the outage
		{"refuse", 4 * s, 20 * s, 60 * s, true},
		{"cut", 70 * s, 2200 * time.Millisecond, 39 * s, true},
	} {
		name := fmt.Sprintf("%s %v, outage after %v for %v, peers cut %v",
			tc.fault, tc.faultFor, tc.outageAfter, tc.outageFor, tc.withoutPeers)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			faultCombination{
				machines:       4,
				makeJob:        replicaJob(0),
				jobCount:       outageJobs,
				submitInterval: s,
				injectFaults:   tc.inject,
			}.runSeeds(t, outageSeeds)
		})
	}
}

// inject causes the faults while users cancel all jobs, at one node or another.
func (g outageAfterLeaderFault) inject(sc *scenario, r *rand.Rand) {
	leader := sc.leaderIndex()
	began := time.Now()
	g.setFault(sc, leader, true)
	time.AfterFunc(g.faultFor, func() { g.setFault(sc, leader, false) })
	// Some cancellations are confirmed at once, others just before the outage.
	sc.cancelJobs(nodeNames[(leader+1)%3], outageJobs/2, min(time.Second, g.faultFor-100*time.Millisecond))
	if g.outageAfter == 0 {
		for sc.leaderIndex() == leader || sc.leaderIndex() < 0 {
			time.Sleep(time.Millisecond)
		}
	} else {
		time.Sleep(g.outageAfter - time.Duration(100+r.IntN(400))*time.Millisecond)
		sc.cancelJobs(nodeNames[(leader+2)%3], outageJobs, 100*time.Millisecond)
		time.Sleep(time.Until(began.Add(g.outageAfter)))
	}
	sc.cluster.Store.SetDown(true)
	time.Sleep(g.outageFor)
	sc.cluster.Store.SetDown(false)
	time.Sleep(10 * time.Second)
	sc.cancelJobs(nodeNames[0], outageJobs, 20*time.Second)
}

// setFault begins or ends the fault between the leader and the state store.
func (g outageAfterLeaderFault) setFault(sc *scenario, leader int, on bool) {
	if g.fault == "refuse" {
		sc.net.RefuseRequests(nodeNames[leader], storeAddress, on)
	} else {
		sc.net.Partition(nodeNames[leader], storeAddress, on)
	}
	if g.withoutPeers {
		sc.partitionFromPeers(leader, on)
	}
}

// When the state store refuses the requests of the leader only, the leader learns of a cancellation from the node that
// confirmed it: the tasks end within seconds, not only when the workers' leases end.
func TestRefusedLeaderStopsTasksOnAnnouncedCancellation(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		spec, _ := replicaJob(0)(1, rand.New(rand.NewPCG(1, 1)))
		spec.TaskCount = 4
		sc.startJob(spec, 20*time.Second)
		leader := sc.leaderIndex()
		sc.net.RefuseRequests(nodeNames[leader], storeAddress, true)
		sc.cancelJobs(nodeNames[(leader+1)%3], 2, time.Second)
		time.Sleep(time.Second)
		sc.cluster.Store.SetDown(true) // before another leader is elected
		time.Sleep(3 * time.Second)
		onMachines, status := sc.cluster.Checker.TasksOnMachines(spec.UID), sc.cluster.Checker.FinalStatus(spec.UID)
		if onMachines != 0 || status != wire.JobAborted {
			t.Errorf("got %d tasks on machines and final status %q, want none and %q", onMachines, status, wire.JobAborted)
		}
		sc.cluster.Store.SetDown(false)
		sc.net.Heal()
	})
}

// startJob submits a job to the first node and expects that all its tasks run after the given time.
func (sc *scenario) startJob(spec wire.JobSpec, after time.Duration) {
	sc.t.Helper()
	sc.cluster.Users.RegisterSpec(spec)
	if !sc.cluster.Users.Submit(nodeNames[0], spec) {
		sc.t.Fatalf("%s was not accepted by %s", spec.UID, nodeNames[0])
	}
	time.Sleep(after)
	if onMachines := sc.cluster.Checker.TasksOnMachines(spec.UID); onMachines != spec.TaskCount {
		sc.t.Fatalf("got %d running tasks of %s, want %d", onMachines, spec.UID, spec.TaskCount)
	}
}

// A leader that can reach neither the state store nor its peers renews the leases of the workers that still reach
// it. The next leader neither declares their machines dead nor waits until the old leader's cancellation data is
// stale: it announces its token to these workers, and they move to the next leader with all their tasks.
func TestWorkersOfADeposedLeaderMoveWithTheirTasks(t *testing.T) {
	t.Parallel()
	const machines, replicas = 48, 300
	runScenario(t, func(sc *scenario) {
		sc.cluster.Cloud.SetCapacity(machines + 2)
		sc.cluster.Cloud.AddMachines("g8", "a", machines-2)
		spec := serviceJob("run-000001", "free", wire.High, replicas)
		sc.startJob(spec, 40*time.Second)
		leader := sc.leaderIndex()
		sc.net.Partition(nodeNames[leader], storeAddress, true)
		sc.partitionFromPeers(leader, true)
		time.Sleep(25 * time.Second)
		if newLeader := sc.leaderIndex(); newLeader == leader || newLeader < 0 {
			t.Errorf("got controller %d as leader after controller %d, want another one", newLeader, leader)
		}
		sc.net.Heal()
		time.Sleep(20 * time.Second)
		started, onMachines := sc.cluster.Checker.StartCount(), sc.cluster.Checker.TasksOnMachines(spec.UID)
		if started != replicas || onMachines != replicas {
			t.Errorf("got %d task starts and %d tasks on machines, want %d of both", started, onMachines, replicas)
		}
	})
}

// The only controller that a zone can reach is partitioned from the state store. The tasks of a job that is
// cancelled meanwhile must end within cancel_s: that controller stops renewing worker leases in time, although it
// does not learn of the cancellation.
func TestCancelledTasksEndInTimeBehindAPartition(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, 1)
		sc.cluster.Cloud.AddMachines("g8", "a", 2)
		sc.cluster.Cloud.AddMachines("g8", "b", 2)
		deadline := time.Now().Add(200 * time.Second)
		go sc.cluster.WatchInvariants(deadline)
		time.Sleep(3 * time.Second)
		spec := serviceJob("run-000001", "crew", wire.Critical, 2)
		spec.Zone = "a"
		time.AfterFunc(30*time.Second, func() {
			sc.net.Partition(nodeNames[0], storeAddress, true)
			sc.partitionFromPeers(0, true)
			sc.partitionZoneA(0, 20, true)
		})
		sc.cluster.Nodes = []string{"n1", "n2", "n0"} // requests to the partitioned n0 would only wait
		sc.cluster.Users.Run(spec, 50*time.Second, deadline)
		time.Sleep(time.Until(deadline))
		if started := sc.cluster.Checker.StartCount(); started < 2 {
			t.Errorf("got %d tasks started, want at least 2", started)
		}
		sc.expectNoViolations()
		sc.end()
	})
}
