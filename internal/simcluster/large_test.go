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

// playLargeFleet plays minutes of a deployment of some 190 machines and hundreds of jobs.
func playLargeFleet(tb testing.TB, machines int, long time.Duration, during func(sc *scenario)) (broken []string, started int) {
	sc := newScenario(tb, 7)
	sc.cluster.Cloud.Capacity = machines + machines/8
	r := rand.New(rand.NewPCG(7, 2))
	sc.cluster.Cloud.AddMachines("g8", "a", machines/2)
	sc.cluster.Cloud.AddMachines("g8", "b", machines-machines/2)
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
			sc.cluster.Users.Run(spec, stay, deadline)
		}()
	}
	go sc.cluster.WatchInvariants(deadline)
	if during != nil {
		during(sc)
	}
	users.Wait()
	broken, started = sc.cluster.Checker.Violations(), sc.cluster.Checker.StartCount()
	sc.end()
	return broken, started
}

// sendMalformedRequests sends what a broken worker or user might: each piece is refused at once,
// whoever gets it, and leaves nothing behind.
func sendMalformedRequests(sc *scenario) {
	long := strings.Repeat("x", wire.MaxBody-200)
	for i := range 300 {
		node := nodeNames[i%3]
		sc.expectStatus(400, node, "POST", "/checkin", `{"Host":"m-`+long[:i]+`","Shift":`)
		sc.expectStatus(400, node, "POST", "/checkin", fmt.Sprintf(`{"Host":"%d%s","Shift":1,"Tick":1}`, i, long))
		sc.expectStatus(413, node, "POST", "/checkin", `{"Host":"m","Legs":["`+long+long+`"]}`)
		sc.expectStatus(400, node, "POST", "/work", `{"Uid":"run-`+long+`"}`)
		sc.expectStatus(413, node, "POST", "/work", long+long)
	}
	var st struct{ Lead wire.LeadStatus }
	if err := json.Unmarshal([]byte(sc.expectStatus(200, "n2", "GET", "/admin/status", "")), &st); err != nil {
		sc.t.Error(err)
	}
	known := 0
	for _, n := range st.Lead.Machines {
		known += n
	}
	if known < 150 || known > 250 {
		sc.t.Errorf("the leader knows %d machines", known)
	}
}

// The rules hold at the size that the deployments have grown to, also when the
// leader changes and while junk comes in.
func TestRulesHoldInAGrownFleet(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		broken, started := playLargeFleet(t, 190, 90*time.Second, func(sc *scenario) {
			time.Sleep(20 * time.Second)
			sendMalformedRequests(sc)
			time.Sleep(20 * time.Second)
			sc.crashNode(0)
			sc.crashNode(1)
			time.Sleep(4 * time.Second)
			sc.startNode(0)
			sc.startNode(1)
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
		broken, started := playLargeFleet(t, machines, 60*time.Second, func(sc *scenario) {
			time.Sleep(15 * time.Second)
			for i := range machines / 3 {
				host := fmt.Sprintf("m-%06d", 3*i)
				for _, n := range nodeNames {
					sc.net.Partition(host, n, true)
				}
				time.AfterFunc(25*time.Second, func() {
					for _, n := range nodeNames {
						sc.net.Partition(host, n, false)
					}
				})
			}
			for range 30 {
				sc.cluster.Cloud.RandomWorker().Hang(20 * time.Second)
				sc.cluster.Cloud.RandomWorker().Die()
			}
			time.Sleep(10 * time.Second)
			sc.cluster.Store.SetDown(true)
			for i := range nodeNames {
				sc.crashNode(i)
			}
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
			t.Errorf("%d tasks were started", started)
		}
		if len(broken) > 0 {
			t.Errorf("%d rules broken:\n%s", len(broken), strings.Join(broken[:min(5, len(broken))], "\n"))
		}
	})
}
