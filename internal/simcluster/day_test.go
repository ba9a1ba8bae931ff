package simcluster_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/node"
	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/simcluster"
	"lotusstile.dev/lotusstile/internal/simcluster/faultnet"
	"lotusstile.dev/lotusstile/wire"
)

const settingsFormat = `
label = "%s"
location = "%s"
listen = "%s:80"
mesh_addr = "%s:81"
%s
[services]
cloud = "cloud:1"
state = "state:1"
[cluster]
size = 3
zones = ["a", "b"]
[[cluster.teams]]
name = "crew"
cpus_max = 0.0
gpus_max = 40.0
[[cluster.teams]]
name = "free"
[[cluster.objectives]]
kind = "wait"
class = "serve"
within_s = 15.0
share = 0.9
[cluster.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 40.0
[cluster.state]
rps = 400.0
write_rps = 100.0
value_kb = 8.0
txn_ops = 24
[cluster.cloud]
rps = 6.0
list_lag_s = 3.0
[cluster.machine_limits]
cores = 1.0
mem_mb = 100.0
max_connections = 700
`

var (
	nodeNames = []string{"n0", "n1", "n2"}
	zoneOf    = []string{"a", "b", "a"} // n2 is ill placed to lead
)

func nodeConfig(t testing.TB, i int) *config.Config {
	t.Helper()
	members := ""
	for j, l := range nodeNames {
		if j != i {
			members += fmt.Sprintf("[[members]]\nlabel = %q\nlocation = %q\nendpoint = \"%s:81\"\n", l, zoneOf[j], l)
		}
	}
	l := nodeNames[i]
	cfg, err := config.Parse([]byte(fmt.Sprintf(settingsFormat, l, zoneOf[i], l, l, members)))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

var catalog = wire.Catalog{MachineTypes: []wire.MachineType{
	{Name: "g4", Cores: 32, Gpus: 4, RAMGb: 256, ImageCacheGb: 400, FetchGbPerS: 2, Hourly: 8, SpotHourly: 3, BootS: 15, Zones: []string{"a", "b"}},
	{Name: "g8", Cores: 64, Gpus: 8, RAMGb: 512, ImageCacheGb: 400, FetchGbPerS: 2, Hourly: 18, SpotHourly: 6, BootS: 15, Zones: []string{"a", "b"}},
}}

// day is three controllers in a world of stand-ins.
type scenario struct {
	t            testing.TB
	cluster      *simcluster.Cluster
	net          *faultnet.Network
	stops        [3]context.CancelFunc
	olderRelease [3]bool                 // nodes of the release before cluster version 2
	nextLimits   *config.NextStateLimits // what the nodes are told of the state service's limits
	// teams, if any, are those of the deployment.
	teams []config.Team
	// relayConnections, if above 0, lets followers relay reports, with so many connections
	// to a node.
	relayConnections int
	// standby lets followers follow the leader's state.
	standby bool
}

func newScenario(t testing.TB, seed uint64, prepare ...func(sc *scenario)) *scenario {
	nw := faultnet.New(rand.New(rand.NewPCG(seed, 1)))
	sc := &scenario{t: t, net: nw, cluster: simcluster.NewCluster(nodeConfig(t, 0), nw, nodeNames, catalog)}
	for _, f := range prepare {
		f(sc)
	}
	for i := range nodeNames {
		sc.startNode(i)
	}
	return sc
}

func (sc *scenario) startNode(i int) {
	if sc.stops[i] != nil {
		return
	}
	cfg := nodeConfig(sc.t, i)
	cfg.Cluster.State.Next = sc.nextLimits
	if sc.teams != nil {
		cfg.Cluster.Teams = sc.teams
	}
	if sc.relayConnections > 0 {
		cfg.RelayHeartbeats, cfg.Cluster.Limits.MaxConnections = !sc.olderRelease[i], sc.relayConnections
	}
	cfg.WarmStandby = sc.standby && !sc.olderRelease[i]
	l := nodeNames[i]
	ctx, cancel := context.WithCancel(context.Background())
	state := sc.net.Transport(l)
	if sc.olderRelease[i] {
		state = unannouncedRelease{state}
	}
	n := node.New(cfg, node.Network{State: state, Cloud: sc.net.Transport(l), Workers: sc.net.Transport(l), DialPeer: sc.net.DialPeer(l + ":81")})
	srv, err := peer.NewServer(releaseHandler{Handler: n, sc: sc, node: i})
	if err != nil {
		sc.t.Fatal(err)
	}
	users := n.Handler()
	if sc.olderRelease[i] {
		users = withoutDependencies(users)
	}
	sc.net.Attach(l, users, nil)
	sc.net.Attach(l+":81", n.Handler(), srv)
	n.Start(ctx)
	sc.stops[i] = cancel
}

// crashNode ends a controller at once; what it had in flight may still happen.
func (sc *scenario) crashNode(i int) {
	if sc.stops[i] == nil {
		return
	}
	sc.net.Attach(nodeNames[i], nil, nil)
	sc.net.Attach(nodeNames[i]+":81", nil, nil)
	sc.stops[i]()
	sc.stops[i] = nil
}

func (sc *scenario) end() {
	for i := range nodeNames {
		sc.crashNode(i)
	}
	sc.cluster.StopMachines()
	time.Sleep(2 * time.Minute) // late deliveries and time-outs run out
}

func (sc *scenario) randomJob(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	s := wire.JobSpec{UID: fmt.Sprintf("run-%06d", i), JobClass: "batch", Team: "crew", Kind: wire.JobArray, Priority: wire.Standard, TaskCount: 1 + r.IntN(12),
		Cores: 4, Gpus: 1, RAMGb: 20, Image: fmt.Sprintf("img-%d", r.IntN(3)), ImageGb: 4, ExpectedRunS: float64(3 + r.IntN(15)), AllowSpot: true}
	switch r.IntN(4) {
	case 0:
		s.Kind, s.Priority, s.JobClass, s.TaskCount, s.ExpectedRunS, s.AllowSpot = wire.Service, wire.Critical, "serve", 1+r.IntN(4), 0, false
		s.SpreadZones = r.IntN(2) == 0
		s.SingleZone = !s.SpreadZones && r.IntN(2) == 0
		return s, time.Duration(20+r.IntN(60)) * time.Second
	case 1:
		s.Team, s.CheckpointIntervalS, s.CheckpointOnStopS = "free", 5, 2
	case 2:
		s.Zone, s.MachineTypes = "b", []string{"g8"}
	}
	return s, 0
}

// injectRandomFault is one fault by chance, and what ends it.
func (sc *scenario) injectRandomFault(r *rand.Rand) {
	i, other := r.IntN(3), r.IntN(3)
	l := nodeNames[i]
	long := time.Duration(1+r.IntN(35)) * time.Second
	outside := []string{"state:1", "cloud:1"}
	workers := func(f func(host string)) {
		for k := range 40 {
			f(fmt.Sprintf("m-%06d", k))
		}
	}
	during := func(f func(on bool)) {
		go func() {
			f(true)
			time.Sleep(long)
			f(false)
		}()
	}
	switch r.IntN(15) {
	case 0:
		sc.crashNode(i)
		time.AfterFunc(time.Duration(200+r.IntN(6000))*time.Millisecond, func() { sc.startNode(i) })
	case 1:
		for j := range nodeNames {
			sc.crashNode(j)
			time.AfterFunc(time.Duration(500+r.IntN(6000))*time.Millisecond, func() { sc.startNode(j) })
		}
	case 2:
		during(func(on bool) { sc.net.Partition(l, "state:1", on) })
	case 3:
		during(func(on bool) { sc.net.RefuseRequests(l, "state:1", on) })
	case 4:
		during(func(on bool) { workers(func(h string) { sc.net.Partition(l, h, on) }) })
	case 5:
		during(func(on bool) {
			for _, o := range outside {
				sc.net.Partition(l, o, on)
			}
			for j := range nodeNames {
				if j != i {
					sc.net.Partition(l, nodeNames[j], on)
					sc.net.Partition(l+":81", nodeNames[j]+":81", on)
				}
			}
		})
	case 6:
		during(func(on bool) { sc.cluster.Store.SetDown(on) })
	case 7:
		if k := sc.cluster.Cloud.RandomWorker(); k != nil {
			k.Die()
		}
	case 8:
		if k := sc.cluster.Cloud.RandomWorker(); k != nil {
			k.Hang(long)
		}
	case 9:
		if k := sc.cluster.Cloud.RandomWorker(); k != nil {
			k.FailTasks(long)
		}
	case 10:
		if k := sc.cluster.Cloud.RandomWorker(); k != nil {
			during(func(on bool) {
				for _, n := range nodeNames {
					sc.net.DropResponses(k.Host, n, on)
				}
			})
		}
	case 11:
		if k := sc.cluster.Cloud.RandomWorker(); k != nil {
			during(func(on bool) {
				for _, n := range nodeNames {
					sc.net.Partition(k.Host, n, on)
				}
			})
		}
	case 13, 14:
		// A zone with one controller is apart from the rest, and may have lost
		// the state service too.
		long += time.Duration(r.IntN(60)) * time.Second
		stateless := r.IntN(2) == 0
		during(func(on bool) {
			sc.net.Partition(l, "state:1", on && stateless)
			for j := range nodeNames {
				if j != i {
					sc.net.Partition(l+":81", nodeNames[j]+":81", on)
				}
			}
			workers(func(h string) {
				for j := range nodeNames {
					if (j == i) != (sc.cluster.Cloud.ZoneOf(h) == "a") {
						sc.net.Partition(nodeNames[j], h, on)
					}
				}
			})
		})
	case 12:
		// Left with its workers only.
		during(func(on bool) {
			sc.net.Partition(l, "state:1", on)
			sc.net.Partition(l+":81", nodeNames[other]+":81", on)
			sc.net.Partition(l+":81", nodeNames[(other+1)%3]+":81", on)
		})
	}
}

// playRandomFaults plays a day of faults by chance and returns the rules it broke.
func playRandomFaults(t *testing.T, seed uint64, faults int, prepare ...func(sc *scenario)) (broken []string, started int) {
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, seed, prepare...)
		r := rand.New(rand.NewPCG(seed, 2))
		sc.cluster.Cloud.AddMachines("g8", "a", 2)
		sc.cluster.Cloud.AddMachines("g8", "b", 2)
		time.Sleep(3 * time.Second)
		stormy := 150 * time.Second
		deadline := time.Now().Add(stormy + 240*time.Second)
		var users sync.WaitGroup
		for i := range 24 {
			spec, stay := sc.randomJob(i, r)
			at := time.Duration(r.IntN(120)) * time.Second
			users.Add(1)
			go func() {
				defer users.Done()
				time.Sleep(at)
				sc.cluster.Users.Run(spec, stay, deadline)
			}()
		}
		go sc.cluster.WatchInvariants(deadline)
		for range faults {
			at := time.Duration(5+r.IntN(140)) * time.Second
			tr := rand.New(rand.NewPCG(r.Uint64(), 3))
			time.AfterFunc(at, func() { sc.injectRandomFault(tr) })
		}
		time.Sleep(stormy + 40*time.Second)
		sc.net.Heal()
		sc.cluster.Store.SetDown(false)
		for i := range nodeNames {
			sc.startNode(i)
		}
		users.Wait()
		time.Sleep(time.Until(deadline))
		if left := sc.cluster.Store.Keys("j/"); len(left) > 0 {
			t.Logf("seed %d: not archived: %v", seed, left)
		}
		broken, started = sc.cluster.Checker.Violations(), sc.cluster.Checker.StartCount()
		sc.end()
	})
	return broken, started
}

// runRandomFaultScenarios plays days of faults by chance side by side, each prepared by its number.
func runRandomFaultScenarios(t *testing.T, first, days uint64, prepare func(sc *scenario, number uint64)) {
	for number := range days {
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			t.Parallel()
			broken, started := playRandomFaults(t, first+number, int(3+number%12), func(sc *scenario) { prepare(sc, number) })
			if started == 0 {
				t.Error("no task was started")
			}
			if len(broken) > 0 {
				t.Errorf("%d rules broken:\n%s", len(broken), strings.Join(broken, "\n"))
			}
		})
	}
}

// The rules hold on days of crashes, cuts, outages, dead, hung, sick and deaf
// machines, late transactions and late copies of reports, and every accepted
// job is over some time after the last fault.
func TestRulesHoldWhateverFails(t *testing.T) {
	t.Parallel()
	days := 12
	if n, err := strconv.Atoi(os.Getenv("DAYS")); err == nil {
		days = n // to look for more
	}
	runRandomFaultScenarios(t, 0, uint64(days), func(*scenario, uint64) {})
}

// The judge of the rules sees what it is there to see.
func TestCheckerReportsViolationsAtTaskStarts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		nw := faultnet.New(rand.New(rand.NewPCG(1, 1)))
		w := simcluster.NewCluster(nodeConfig(t, 0), nw, nodeNames, catalog)
		w.Cloud.AddMachines("g8", "a", 2)
		w.Cloud.AddMachines("g8", "b", 1)
		spec := wire.JobSpec{UID: "run-000001", Team: "crew", Kind: wire.Service, TaskCount: 2, Gpus: 21, SpreadZones: true, MachineTypes: []string{"g8"}}
		deadline := time.Now().Add(time.Second)
		w.Users.Run(spec, 0, deadline) // nobody answers: it is only made known
		w.Checker.TaskStarted("run-000001/0", simcluster.Machine{Host: "m-000000", MachineType: "g8", Zone: "a"})
		w.Checker.TaskStarted("run-000001/0", simcluster.Machine{Host: "m-000001", MachineType: "g8", Zone: "a"})
		w.Checker.TaskStarted("run-000001/1", simcluster.Machine{Host: "m-000002", MachineType: "g4", Zone: "b", Spot: true})
		w.Checker.TaskStarted("run-000009/0", simcluster.Machine{Host: "m-000002", MachineType: "g8", Zone: "b"})
		all := strings.Join(w.Checker.Violations(), "\n")
		for _, rule := range []string{"ran_twice", "wrong_place", "quota", "invented"} {
			if !strings.Contains(all, rule) {
				t.Errorf("%s is not seen in:\n%s", rule, all)
			}
		}
		w.StopMachines()
		time.Sleep(time.Minute)
	})
}

// A zone is left with one controller that has lost the state service. A job
// that is withdrawn meanwhile must be gone within cancel_s: that controller
// stops to keep leases in time, although nothing tells it of the withdrawal.
func TestCancelledTasksEndInTimeBehindAPartition(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, 1)
		sc.cluster.Cloud.AddMachines("g8", "a", 2)
		sc.cluster.Cloud.AddMachines("g8", "b", 2)
		deadline := time.Now().Add(200 * time.Second)
		go sc.cluster.WatchInvariants(deadline)
		time.Sleep(3 * time.Second)
		spec := wire.JobSpec{UID: "run-000001", JobClass: "serve", Team: "crew", Kind: wire.Service, Priority: wire.Critical, TaskCount: 2,
			Cores: 4, Gpus: 1, RAMGb: 20, Image: "img", ImageGb: 4, Zone: "a"}
		time.AfterFunc(30*time.Second, func() {
			sc.net.Partition("n0", "state:1", true)
			for i, l := range nodeNames {
				if i > 0 {
					sc.net.Partition("n0:81", l+":81", true)
				}
				for k := range 20 {
					if h := fmt.Sprintf("m-%06d", k); (i == 0) != (sc.cluster.Cloud.ZoneOf(h) == "a") {
						sc.net.Partition(l, h, true)
					}
				}
			}
		})
		sc.cluster.Nodes = []string{"n1", "n2", "n0"} // users of the cut node would only wait
		sc.cluster.Users.Run(spec, 50*time.Second, deadline)
		time.Sleep(time.Until(deadline))
		if sc.cluster.Checker.StartCount() < 2 {
			t.Errorf("%d tasks were started", sc.cluster.Checker.StartCount())
		}
		if b := sc.cluster.Checker.Violations(); len(b) > 0 {
			t.Errorf("rules broken:\n%s", strings.Join(b, "\n"))
		}
		sc.end()
	})
}

// A job that fails everywhere by its own mistake condemns no machine, rents
// no fleet and keeps nobody from running; its user can still withdraw it.
func TestFaultyJobHarmsNoMachineAndNoOtherJob(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		sc.cluster.FaultyJobClass = "broken"
		base := wire.JobSpec{JobClass: "broken", Team: "free", Kind: wire.JobArray, Priority: wire.Standard, TaskCount: 6, Cores: 4, Gpus: 1, RAMGb: 20, Image: "img", ImageGb: 4, ExpectedRunS: 5}
		deadline := time.Now().Add(150 * time.Second)
		var users sync.WaitGroup
		for i := range 8 {
			s, stay := base, time.Duration(0)
			s.UID = fmt.Sprintf("run-%06d", i)
			if i == 0 {
				stay = 100 * time.Second
			} else {
				s.JobClass, s.Priority, s.TaskCount = "good", wire.BestEffort, 4
			}
			users.Add(1)
			go func() {
				defer users.Done()
				time.Sleep(time.Duration(10*i) * time.Second)
				sc.cluster.Users.Run(s, stay, deadline)
			}()
		}
		users.Wait()
		if b := sc.cluster.Checker.Violations(); len(b) > 0 {
			t.Errorf("rules broken:\n%s", strings.Join(b, "\n"))
		}
		if n := sc.cluster.Cloud.MachinesProvisioned(); n > 8 { // idle ones are returned and rented again, but not one for each failure
			t.Errorf("%d machines were rented", n)
		}
		if n := sc.cluster.Checker.StartCount(); n < 28+6 || n > 28+6*12 {
			t.Errorf("%d starts", n)
		}
	})
}

// The largest array is taken, makes progress and keeps within the limits of
// the state service, also when the leader changes.
func TestLargestArrayMakesProgressAcrossFailovers(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		sc.cluster.Cloud.Capacity = 4
		s := wire.JobSpec{UID: "run-000001", JobClass: "large", Team: "free", Kind: wire.JobArray, Priority: wire.Standard, TaskCount: wire.MaxTasks,
			Cores: 0.5, RAMGb: 0.1, Image: "img", ImageGb: 1, ExpectedRunS: 4, MachineTypes: []string{"g4", "g8"}}
		sc.cluster.Users.UploadSpec(s)
		if status, _ := sc.cluster.Users.Request("n0", "POST", "/work", s); status != 201 {
			t.Fatalf("answered %d", status)
		}
		other := s
		other.UID, other.TaskCount, other.Priority = "run-000002", 5, wire.High
		time.Sleep(20 * time.Second)
		for i := range nodeNames {
			sc.crashNode(i)
			time.Sleep(3 * time.Second)
			sc.startNode(i)
		}
		done := time.Now()
		sc.cluster.Users.Run(other, 0, time.Now().Add(time.Minute))
		if took := time.Since(done); took > 45*time.Second {
			t.Errorf("a small job of higher rank took %v", took)
		}
		time.Sleep(10 * time.Second)
		var v wire.JobView
		if err := json.Unmarshal([]byte(sc.expectStatus(200, "n1", "GET", "/work/run-000001", "")), &v); err != nil || v.Done < 200 {
			t.Errorf("%+v, %v", v, err)
		}
		if b := sc.cluster.Checker.Violations(); len(b) > 0 {
			t.Errorf("rules broken:\n%s", strings.Join(b[:min(5, len(b))], "\n"))
		}
		sc.expectStatus(200, "n2", "POST", "/work/run-000001/withdraw", "")
		time.Sleep(time.Minute) // what nothing waits for takes what the budget leaves
		if keys := append(sc.cluster.Store.Keys("j/"), sc.cluster.Store.Keys("p/")...); len(keys) > 0 {
			t.Errorf("left behind: %d keys", len(keys))
		}
	})
}

// A leader that is ill placed hands over once a better one has been well for a
// while, and nothing that runs is lost by it.
func TestLeadershipTransferKeepsRunningTasks(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		sc.crashNode(0)
		sc.crashNode(1)
		time.Sleep(10 * time.Second)
		if !sc.isLeader(2) {
			t.Fatal("the only node does not lead")
		}
		s := wire.JobSpec{UID: "run-000001", JobClass: "serve", Team: "crew", Kind: wire.Service, Priority: wire.Critical, TaskCount: 4, Cores: 4, Gpus: 1, RAMGb: 20, Image: "img", ImageGb: 4}
		go sc.cluster.Users.Run(s, 100*time.Second, time.Now().Add(150*time.Second))
		time.Sleep(10 * time.Second)
		sc.startNode(0)
		sc.startNode(1)
		time.Sleep(60 * time.Second)
		if sc.isLeader(2) {
			t.Error("n2 still leads")
		}
		if n := sc.cluster.Checker.StartCount(); n != 4 {
			t.Errorf("%d starts, expected 4", n)
		}
	})
}
