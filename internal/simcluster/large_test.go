package simcluster_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// grown plays minutes of a deployment of some 190 machines and hundreds of jobs.
func grown(tb testing.TB, machines int, long time.Duration, during func(d *day)) (broken []string, started int) {
	d := newDay(tb, 7)
	d.w.Capacity = machines + machines/8
	r := rand.New(rand.NewPCG(7, 2))
	d.w.AddMachines("g8", "a", machines/2)
	d.w.AddMachines("g8", "b", machines-machines/2)
	time.Sleep(3 * time.Second)
	deadline := time.Now().Add(long + 2*time.Minute)
	var users sync.WaitGroup
	for i := range machines + int(long.Seconds()) {
		spec := wire.JobSpec{UID: fmt.Sprintf("run-%06d", i), JobClass: "serve", Team: "free", Kind: wire.Service, Priority: wire.High, TaskCount: 1 + r.IntN(6),
			Cores: 4, Gpus: 1, RAMGb: 20, Image: fmt.Sprintf("img-%d", r.IntN(6)), ImageGb: 4}
		stay := long/4 + time.Duration(r.IntN(int(long*3/4)))
		if i%4 == 0 {
			spec.JobClass, spec.Kind, spec.Priority, spec.TaskCount, spec.ExpectedRunS, spec.AllowSpot = "batch", wire.JobArray, wire.Standard, 5+r.IntN(40), float64(10+r.IntN(40)), true
			stay = 0
		}
		at := time.Duration(max(0, i-machines)) * time.Second
		users.Add(1)
		go func() {
			defer users.Done()
			time.Sleep(at)
			d.w.User(spec, stay, deadline)
		}()
	}
	go d.w.Watch(deadline)
	if during != nil {
		during(d)
	}
	users.Wait()
	broken, started = d.w.Broken(), d.w.Started()
	d.end()
	return broken, started
}

// junk sends what a broken worker or user might: each piece is refused at once,
// whoever gets it, and leaves nothing behind.
func junk(d *day) {
	long := strings.Repeat("x", wire.MaxBody-200)
	for i := range 300 {
		node := labels[i%3]
		d.expect(400, node, "POST", "/checkin", `{"Host":"m-`+long[:i]+`","Shift":`)
		d.expect(400, node, "POST", "/checkin", fmt.Sprintf(`{"Host":"%d%s","Shift":1,"Tick":1}`, i, long))
		d.expect(413, node, "POST", "/checkin", `{"Host":"m","Legs":["`+long+long+`"]}`)
		d.expect(400, node, "POST", "/work", `{"Uid":"run-`+long+`"}`)
		d.expect(413, node, "POST", "/work", long+long)
	}
	var st struct{ Lead wire.LeadStatus }
	if err := json.Unmarshal([]byte(d.expect(200, "n2", "GET", "/admin/status", "")), &st); err != nil {
		d.t.Error(err)
	}
	known := 0
	for _, n := range st.Lead.Machines {
		known += n
	}
	if known < 150 || known > 250 {
		d.t.Errorf("the leader knows %d machines", known)
	}
}

// The rules hold at the size that the deployments have grown to, also when the
// leader changes and while junk comes in.
func TestGrownFleet(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		broken, started := grown(t, 190, 90*time.Second, func(d *day) {
			time.Sleep(20 * time.Second)
			junk(d)
			time.Sleep(20 * time.Second)
			d.crash(0)
			d.crash(1)
			time.Sleep(4 * time.Second)
			d.start(0)
			d.start(1)
		})
		if started < 500 {
			t.Errorf("%d tasks were started", started)
		}
		if len(broken) > 0 {
			t.Errorf("%d rules broken:\n%s", len(broken), strings.Join(broken[:min(5, len(broken))], "\n"))
		}
	})
}

// The same at the size of the largest fleets, with all that may fail together:
// a rush of hundreds of jobs, a third of the machines cut off, machines that hang
// and die, and all controllers down at once with the state service.
func TestLargeFleet(t *testing.T) {
	t.Parallel()
	const machines = 1070
	synctest.Test(t, func(t *testing.T) {
		broken, started := grown(t, machines, 60*time.Second, func(d *day) {
			time.Sleep(15 * time.Second)
			for i := range machines / 3 {
				host := fmt.Sprintf("m-%06d", 3*i)
				for _, n := range labels {
					d.net.Cut(host, n, true)
				}
				time.AfterFunc(25*time.Second, func() {
					for _, n := range labels {
						d.net.Cut(host, n, false)
					}
				})
			}
			for range 30 {
				d.w.Worker().Hang(20 * time.Second)
				d.w.Worker().Die()
			}
			time.Sleep(10 * time.Second)
			d.w.State.SetDown(true)
			for i := range labels {
				d.crash(i)
			}
			time.Sleep(5 * time.Second)
			d.w.State.SetDown(false)
			for i := range labels {
				d.start(i)
				time.Sleep(300 * time.Millisecond)
			}
			d.crash(0) // in the middle of an election
			time.Sleep(300 * time.Millisecond)
			d.start(0)
		})
		if started < 3*machines {
			t.Errorf("%d tasks were started", started)
		}
		if len(broken) > 0 {
			t.Errorf("%d rules broken:\n%s", len(broken), strings.Join(broken[:min(5, len(broken))], "\n"))
		}
	})
}
