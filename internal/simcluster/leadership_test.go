package simcluster_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// A node that is partitioned from the state store while other nodes serve is not ready, even if it cannot reach
// those nodes either. In an outage that affects all nodes, every node is ready.
func TestOnlyPartitionedNodesAreNotReady(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		expectReady := func(want ...int) {
			t.Helper()
			for i, status := range want {
				sc.expectStatus(status, nodeNames[i], http.MethodGet, "/ready", "")
			}
		}
		isolate := func(on bool) {
			sc.net.Partition(nodeNames[0], storeAddress, on)
			sc.partitionFromPeers(0, on)
		}
		expectReady(200, 200, 200)
		isolate(true)
		time.Sleep(6 * time.Second)
		expectReady(503, 200, 200)
		isolate(false)
		time.Sleep(6 * time.Second)
		expectReady(200, 200, 200)
		sc.cluster.Store.SetDown(true)
		time.Sleep(10 * time.Second)
		expectReady(200, 200, 200)
		sc.cluster.Store.SetDown(false)
	})
}

// A leader transfers leadership once a node with a shorter campaign delay has been serving for a while, and
// no running task ends because of it.
func TestLeadershipTransferKeepsRunningTasks(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		sc.crashNode(0)
		sc.crashNode(1)
		time.Sleep(10 * time.Second)
		if !sc.isLeader("n2") {
			t.Fatal("n2, the only node that runs, does not lead")
		}
		spec := serviceJob("run-000001", "crew", wire.Critical, 4)
		go sc.cluster.Users.Run(spec, 100*time.Second, time.Now().Add(150*time.Second))
		time.Sleep(10 * time.Second)
		sc.startNode(0)
		sc.startNode(1)
		time.Sleep(60 * time.Second)
		if sc.isLeader("n2") {
			t.Error("n2 still leads")
		}
		if n := sc.cluster.Checker.StartCount(); n != 4 {
			t.Errorf("got %d task starts, want 4", n)
		}
	})
}

// startServiceOn adds machines, starts a service with one task for each, and waits until the tasks run.
func (sc *scenario) startServiceOn(machines int) {
	sc.t.Helper()
	spec := serviceJob("run-000001", "free", wire.Critical, machines)
	spec.Cores, spec.Gpus, spec.ImageGb, spec.MachineTypes = 60, 0, 1, []string{"g8"}
	sc.cluster.Cloud.AddMachines("g8", "a", machines)
	if !sc.cluster.Users.SubmitUntil(spec, time.Now().Add(time.Minute)) {
		sc.t.Fatal("the service was not accepted within a minute")
	}
	time.Sleep(20 * time.Second)
	if n := sc.cluster.Checker.StartCount(); n != machines {
		sc.t.Fatalf("got %d task starts, want %d", n, machines)
	}
}

// While a node is unreachable, the node before it in the workers' order does not stay leader: it transfers
// leadership to a node whose successor is live, and no task ends. When the new leader is paused or crashes, the
// workers reach the other live node within their lease. When the node before the unreachable one stayed leader and
// was lost too, all leases ended: a worker waits four seconds for an answer from the lost leader, then four seconds
// for one from the unreachable node.
func TestLeaderTransfersWhenItsSuccessorIsLost(t *testing.T) {
	t.Parallel()
	for _, crashes := range []bool{false, true} {
		t.Run(fmt.Sprintf("the new leader crashes: %v", crashes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sc := newScenario(t, 3)
				sc.crashNode(0)
				sc.crashNode(2)
				time.Sleep(10 * time.Second)
				sc.startNode(0)
				sc.startNode(2)
				const machines = 12
				sc.startServiceOn(machines)
				if !sc.isLeader("n1") {
					t.Fatal("n1 does not lead")
				}
				sc.net.PauseProcess("n2", true) // for longer than restarts take
				time.Sleep(50 * time.Second)
				if !sc.isLeader("n0") {
					t.Error("n0 does not lead: n1 has not transferred leadership, though n2, which workers would try next, is paused")
				}
				sc.loseNode(0, crashes, 6*time.Second)
				time.Sleep(20 * time.Second)
				sc.net.PauseProcess("n2", false)
				time.Sleep(20 * time.Second)
				if n := sc.cluster.Checker.StartCount(); n != machines {
					t.Errorf("got %d task starts, want %d", n, machines)
				}
				sc.expectNoViolations()
				sc.end()
			})
		})
	}
}

// loseNode crashes a node or pauses its process, and restarts or resumes it after downtime.
func (sc *scenario) loseNode(i int, crashes bool, downtime time.Duration) {
	sc.t.Helper()
	if crashes {
		sc.crashNode(i)
	} else {
		sc.net.PauseProcess(nodeNames[i], true)
	}
	time.Sleep(downtime)
	if crashes {
		sc.startNode(i)
	} else {
		sc.net.PauseProcess(nodeNames[i], false)
	}
}
