package simcluster_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
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

// relayConnections are so few that followers relay reports once there are more than
// eight workers.
const relayConnections = 16

// withRelays lets the followers of a day relay reports.
func withRelays(sc *scenario) { sc.relayConnections = relayConnections }

// playRelayed plays days by chance with relays, each prepared further by its seed.
func playRelayed(t *testing.T, first, days uint64, prepare func(sc *scenario, seed uint64)) {
	runRandomFaultScenarios(t, first, days, func(sc *scenario, seed uint64) { withRelays(sc); prepare(sc, seed) })
}

// The rules hold on days of all faults by chance while followers keep workers and relay
// their reports, also while the fleet grows and shrinks past the limit for that.
func TestRulesHoldWithRelays(t *testing.T) {
	t.Parallel()
	playRelayed(t, 500, 8, func(*scenario, uint64) {})
}

// The same next to nodes of the release before, which know no relays: one or two of them,
// leaders or not, are never sent workers to keep.
func TestRulesHoldWithRelaysBesideAnOlderRelease(t *testing.T) {
	t.Parallel()
	playRelayed(t, 600, 6, func(sc *scenario, seed uint64) {
		sc.olderRelease[seed%3] = true
		sc.olderRelease[(seed+1)%3] = seed >= 3
	})
}

// zonedCluster is controllers and workers in zones of their own.
type zonedCluster struct {
	t       *testing.T
	net     *faultnet.Network
	cluster *simcluster.Cluster
	labels  []string
	stops   []context.CancelFunc
	relays  bool
}

const (
	siteZones     = 5
	workersOfZone = 8
)

func zoneName(i int) string { return string(rune('a' + i)) }

// newZonedCluster starts a controller in each of five zones, and eight workers in each.
func newZonedCluster(t *testing.T, relays bool) *zonedCluster {
	s := &zonedCluster{t: t, net: faultnet.New(rand.New(rand.NewPCG(9, 1))), relays: relays, stops: make([]context.CancelFunc, siteZones)}
	for i := range siteZones {
		s.labels = append(s.labels, fmt.Sprintf("n%d", i))
	}
	machineType := catalog.MachineTypes[1]
	machineType.Zones = nil
	for i := range siteZones {
		machineType.Zones = append(machineType.Zones, zoneName(i))
	}
	s.cluster = simcluster.NewCluster(s.config(0), s.net, s.labels, wire.Catalog{MachineTypes: []wire.MachineType{machineType}})
	s.cluster.Cloud.Capacity = 2 * siteZones * workersOfZone
	for i := range s.labels {
		s.start(i)
	}
	time.Sleep(3 * time.Second)
	for i := range siteZones {
		s.cluster.Cloud.AddMachines(machineType.Name, zoneName(i), workersOfZone)
	}
	return s
}

func (s *zonedCluster) config(i int) *config.Config {
	s.t.Helper()
	members := ""
	for k, l := range s.labels {
		if k != i {
			members += fmt.Sprintf("[[members]]\nlabel = %q\nlocation = %q\nendpoint = \"%s:81\"\n", l, zoneName(k), l)
		}
	}
	l := s.labels[i]
	cfg, err := config.Parse([]byte(fmt.Sprintf(settingsFormat, l, zoneName(i), l, l, members)))
	if err != nil {
		s.t.Fatal(err)
	}
	cfg.RelayHeartbeats = s.relays
	cfg.Cluster.Limits.MaxConnections = 72 // relayed above 36 workers; 18 of them at the leader, 36 at a follower
	return cfg
}

func (s *zonedCluster) start(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	l := s.labels[i]
	n := node.New(s.config(i), node.Network{State: s.net.Transport(l), Cloud: s.net.Transport(l), Workers: s.net.Transport(l), DialPeer: s.net.DialPeer(l + ":81")})
	srv, err := peer.NewServer(n)
	if err != nil {
		s.t.Fatal(err)
	}
	s.net.Attach(l, n.Handler(), nil)
	s.net.Attach(l+":81", n.Handler(), srv)
	n.Start(ctx)
	s.stops[i] = cancel
}

func (s *zonedCluster) crash(i int) {
	s.net.Attach(s.labels[i], nil, nil)
	s.net.Attach(s.labels[i]+":81", nil, nil)
	s.stops[i]()
}

// partitionZone cuts a zone's controller and workers off from everything else, or joins them.
func (s *zonedCluster) partitionZone(zone int, on bool) {
	inside := []string{s.labels[zone], s.labels[zone] + ":81"}
	outside := []string{"state:1", "cloud:1"}
	for i, l := range s.labels {
		if i != zone {
			outside = append(outside, l, l+":81")
		}
	}
	for k := range 2 * s.cluster.Cloud.Capacity { // those that were rented as spare room too
		host := fmt.Sprintf("m-%06d", k)
		if s.cluster.Cloud.ZoneOf(host) == zoneName(zone) {
			inside = append(inside, host)
		} else {
			outside = append(outside, host)
		}
	}
	for _, a := range inside {
		for _, b := range outside {
			s.net.Partition(a, b, on)
		}
	}
}

// leader is the number of the controller that leads.
func (s *zonedCluster) leader() int {
	item, _ := s.cluster.Store.Get("e/leader")
	for i, l := range s.labels {
		if strings.Contains(string(item.Value), `"`+l+`"`) {
			return i
		}
	}
	s.t.Fatal("nobody leads")
	return 0
}

// startServiceOnAllMachines starts a service of as many tasks as there are machines, one on each.
func (s *zonedCluster) startServiceOnAllMachines() {
	spec := wire.JobSpec{UID: "run-000001", JobClass: "serve", Team: "free", Kind: wire.Service, Priority: wire.Critical, TaskCount: siteZones * workersOfZone,
		Cores: 60, Gpus: 8, RAMGb: 400, Image: "img", ImageGb: 4}
	if !s.cluster.Users.SubmitUntil(spec, time.Now().Add(10*time.Second)) {
		s.t.Fatal("the service is not accepted")
	}
	time.Sleep(25 * time.Second)
	if on := s.cluster.Checker.TasksOnMachines(spec.UID); on != spec.TaskCount {
		s.t.Fatalf("%d of %d tasks are on machines", on, spec.TaskCount)
	}
}

func (s *zonedCluster) end() {
	for i := range s.labels {
		s.crash(i)
	}
	s.cluster.StopMachines()
	time.Sleep(2 * time.Minute)
}

// expectNoTaskLost plays a site in simulated time: whatever f does to it, no task ends and no
// rule is broken.
func expectNoTaskLost(t *testing.T, f func(s *zonedCluster)) {
	synctest.Test(t, func(t *testing.T) {
		s := newZonedCluster(t, true)
		s.startServiceOnAllMachines()
		before := s.cluster.Checker.StartCount()
		f(s)
		if n := s.cluster.Checker.StartCount() - before; n > 0 {
			t.Errorf("%d tasks were started anew", n)
		}
		if broken := s.cluster.Checker.Violations(); len(broken) > 0 {
			t.Errorf("rules broken:\n%s", strings.Join(broken, "\n"))
		}
		s.end()
	})
}

// A zone that is cut off, leader or not, keeps the leases of its workers: they report to
// the controller in it. While all workers reported to the leader, those of a cut zone
// tried the controllers one after the other, 5 s each, and of 338 workers behind a cut 324
// lost their leases before they came to their own.
func TestPartitionedZoneKeepsItsWorkerLeases(t *testing.T) {
	t.Parallel()
	for _, ofLeader := range []bool{false, true} {
		t.Run(fmt.Sprintf("of the leader: %v", ofLeader), func(t *testing.T) {
			expectNoTaskLost(t, func(s *zonedCluster) {
				zone := s.leader()
				if !ofLeader {
					zone = (zone + siteZones - 1) % siteZones // the last that its workers would try
				}
				s.net.SetLateDeliveryShare(0) // a held announcement of the next leader would end leases by the protocol
				s.partitionZone(zone, true)
				time.Sleep(25 * time.Second)
				s.partitionZone(zone, false)
				time.Sleep(30 * time.Second)
			})
		})
	}
}

// A leader ends while followers keep the workers: nobody loses a lease, and the next leader
// hears of all workers by the followers at once.
func TestLeaderCrashBehindRelaysLosesNoTask(t *testing.T) {
	t.Parallel()
	expectNoTaskLost(t, func(s *zonedCluster) {
		for range 3 {
			i := s.leader()
			s.crash(i)
			time.Sleep(8 * time.Second)
			s.start(i)
			time.Sleep(12 * time.Second)
		}
	})
}

// A follower ends, or stands still, while it keeps workers: they find another node, and
// none of them is given up as silent meanwhile.
func TestRelayFailureLosesNoTask(t *testing.T) {
	t.Parallel()
	for _, stands := range []bool{false, true} {
		t.Run(fmt.Sprintf("stands still: %v", stands), func(t *testing.T) {
			expectNoTaskLost(t, func(s *zonedCluster) {
				relay := (s.leader() + 2) % siteZones
				if stands {
					s.net.PauseProcess(s.labels[relay], true)
					time.Sleep(6 * time.Second)
					s.net.PauseProcess(s.labels[relay], false)
				} else {
					s.crash(relay)
					time.Sleep(6 * time.Second)
					s.start(relay)
				}
				time.Sleep(30 * time.Second)
			})
		})
	}
}

// A leader loses its workers, and they come by way of followers: it doubts its own links and
// gives up none of those that are still on their way. While only reports that were passed
// on singly counted for that, it gave up 129 of its 178.
func TestLeaderCutOffFromItsWorkersLosesNoTask(t *testing.T) {
	t.Parallel()
	expectNoTaskLost(t, func(s *zonedCluster) {
		leader := s.labels[s.leader()]
		for _, on := range []bool{true, false} {
			for k := range 2 * s.cluster.Cloud.Capacity {
				s.net.Partition(leader, fmt.Sprintf("m-%06d", k), on)
			}
			time.Sleep(30 * time.Second)
		}
	})
}
