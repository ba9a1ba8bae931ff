package simcluster_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// leads reports whether a node holds the leadership.
func (d *day) leads(i int) bool {
	item, ok := d.w.State.Get("e/leader")
	return ok && strings.Contains(string(item.Value), labels[i])
}

// serviceOn starts a service with a task on each of so many machines, and waits until they run.
func (d *day) serviceOn(machines int) {
	d.t.Helper()
	spec := wire.JobSpec{UID: "run-000001", JobClass: "serve", Team: "free", Kind: wire.Service, Priority: wire.Critical, TaskCount: machines,
		Cores: 60, RAMGb: 20, Image: "img", ImageGb: 1, MachineTypes: []string{"g8"}}
	d.w.AddMachines("g8", "a", machines)
	if !d.w.SubmitUntil(spec, time.Now().Add(time.Minute)) {
		d.t.Fatal("a service is not accepted")
	}
	time.Sleep(20 * time.Second)
	if n := d.w.Started(); n != machines {
		d.t.Fatalf("%d tasks are started, want %d", n, machines)
	}
}

// While a controller is lost, no leader stays whose workers would try the lost one next: it hands
// over to one with a live successor, without losing a task, and when that stands still or ends
// its workers find the other one within their lease. With the leader before the lost node, all
// leases ended: a worker waits four seconds for an answer at each.
func TestLeaderHasALiveSuccessor(t *testing.T) {
	t.Parallel()
	for _, ends := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			d := newDay(t, 3)
			d.crash(0)
			d.crash(2)
			time.Sleep(10 * time.Second)
			d.start(0)
			d.start(2)
			const machines = 12
			d.serviceOn(machines)
			if !d.leads(1) {
				t.Fatal("n1 does not lead")
			}
			d.net.PauseProcess("n2", true) // for longer than restarts take
			time.Sleep(50 * time.Second)
			if !d.leads(0) {
				t.Error("n1 has not handed over to n0, though n2 is lost, which its workers would try next")
			}
			if ends {
				d.crash(0)
			} else {
				d.net.PauseProcess("n0", true)
			}
			time.Sleep(6 * time.Second)
			if ends {
				d.start(0)
			} else {
				d.net.PauseProcess("n0", false)
			}
			time.Sleep(20 * time.Second)
			d.net.PauseProcess("n2", false)
			time.Sleep(20 * time.Second)
			if n := d.w.Started(); n != machines {
				t.Errorf("%d starts, expected %d", n, machines)
			}
			if b := d.w.Broken(); len(b) > 0 {
				t.Errorf("rules broken: %s", strings.Join(b[:min(5, len(b))], "; "))
			}
			d.end()
		})
	}
}
