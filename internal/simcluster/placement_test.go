package simcluster_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// isLeader reports whether a node holds the leadership.
func (sc *scenario) isLeader(i int) bool {
	item, ok := sc.cluster.Store.Get("e/leader")
	return ok && strings.Contains(string(item.Value), nodeNames[i])
}

// startServiceOn starts a service with a task on each of so many machines, and waits until they run.
func (sc *scenario) startServiceOn(machines int) {
	sc.t.Helper()
	spec := wire.JobSpec{UID: "run-000001", JobClass: "serve", Team: "free", Kind: wire.Service, Priority: wire.Critical, TaskCount: machines,
		Cores: 60, RAMGb: 20, Image: "img", ImageGb: 1, MachineTypes: []string{"g8"}}
	sc.cluster.Cloud.AddMachines("g8", "a", machines)
	if !sc.cluster.Users.SubmitUntil(spec, time.Now().Add(time.Minute)) {
		sc.t.Fatal("a service is not accepted")
	}
	time.Sleep(20 * time.Second)
	if n := sc.cluster.Checker.StartCount(); n != machines {
		sc.t.Fatalf("%d tasks are started, want %d", n, machines)
	}
}

// While a controller is lost, no leader stays whose workers would try the lost one next: it hands
// over to one with a live successor, without losing a task, and when that stands still or ends
// its workers find the other one within their lease. With the leader before the lost node, all
// leases ended: a worker waits four seconds for an answer at each.
func TestLeaderTransfersWhenItsSuccessorIsLost(t *testing.T) {
	t.Parallel()
	for _, ends := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			sc := newScenario(t, 3)
			sc.crashNode(0)
			sc.crashNode(2)
			time.Sleep(10 * time.Second)
			sc.startNode(0)
			sc.startNode(2)
			const machines = 12
			sc.startServiceOn(machines)
			if !sc.isLeader(1) {
				t.Fatal("n1 does not lead")
			}
			sc.net.PauseProcess("n2", true) // for longer than restarts take
			time.Sleep(50 * time.Second)
			if !sc.isLeader(0) {
				t.Error("n1 has not handed over to n0, though n2 is lost, which its workers would try next")
			}
			if ends {
				sc.crashNode(0)
			} else {
				sc.net.PauseProcess("n0", true)
			}
			time.Sleep(6 * time.Second)
			if ends {
				sc.startNode(0)
			} else {
				sc.net.PauseProcess("n0", false)
			}
			time.Sleep(20 * time.Second)
			sc.net.PauseProcess("n2", false)
			time.Sleep(20 * time.Second)
			if n := sc.cluster.Checker.StartCount(); n != machines {
				t.Errorf("%d starts, expected %d", n, machines)
			}
			if b := sc.cluster.Checker.Violations(); len(b) > 0 {
				t.Errorf("rules broken: %s", strings.Join(b[:min(5, len(b))], "; "))
			}
			sc.end()
		})
	}
}
