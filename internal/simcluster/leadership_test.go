package simcluster_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// A node that is cut off while others serve is not ready, also if it cannot reach the others. In an outage
// that affects all nodes, every node is ready.
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
			sc.isolatePeers(0, on)
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
			t.Fatal("the only node does not lead")
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
			t.Errorf("%d starts, expected 4", n)
		}
	})
}

// startServiceOn starts a service with a task on each of so many machines, and waits until they run.
func (sc *scenario) startServiceOn(machines int) {
	sc.t.Helper()
	spec := serviceJob("run-000001", "free", wire.Critical, machines)
	spec.Cores, spec.Gpus, spec.ImageGb, spec.MachineTypes = 60, 0, 1, []string{"g8"}
	sc.cluster.Cloud.AddMachines("g8", "a", machines)
	if !sc.cluster.Users.SubmitUntil(spec, time.Now().Add(time.Minute)) {
		sc.t.Fatal("a service is not accepted")
	}
	time.Sleep(20 * time.Second)
	if n := sc.cluster.Checker.StartCount(); n != machines {
		sc.t.Fatalf("%d tasks are started, want %d", n, machines)
	}
}

// While a controller is unreachable, the node before it in the workers' order does not stay leader: it
// transfers leadership to one whose successor is live, and no task ends. When that one is paused or crashes,
// its workers find the other live node within their lease. With the leader before the unreachable node, all
// leases ended: a worker waits four seconds for an answer at each.
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
					t.Error("n1 has not transferred leadership to n0, though n2 is paused, which its workers would try next")
				}
				sc.loseNode(0, crashes, 6*time.Second)
				time.Sleep(20 * time.Second)
				sc.net.PauseProcess("n2", false)
				time.Sleep(20 * time.Second)
				if n := sc.cluster.Checker.StartCount(); n != machines {
					t.Errorf("%d starts, expected %d", n, machines)
				}
				sc.expectNoViolations()
				sc.end()
			})
		})
	}
}

// loseNode crashes a node or pauses its process, waits, and brings it back.
func (sc *scenario) loseNode(i int, crashes bool, away time.Duration) {
	sc.t.Helper()
	if crashes {
		sc.crashNode(i)
	} else {
		sc.net.PauseProcess(nodeNames[i], true)
	}
	time.Sleep(away)
	if crashes {
		sc.startNode(i)
	} else {
		sc.net.PauseProcess(nodeNames[i], false)
	}
}
