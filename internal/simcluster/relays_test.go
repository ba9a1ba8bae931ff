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
	"lotusstile.dev/lotusstile/wire"
)

// relayConnections are so few that followers relay reports once there are more than
// eight workers.
const relayConnections = 16

// withRelays lets the followers of a day relay reports.
func withRelays(d *day) { d.relayConnections = relayConnections }

// playRelayed plays days by chance with relays, each prepared further by its seed.
func playRelayed(t *testing.T, first, days uint64, prepare func(d *day, seed uint64)) {
	playDays(t, first, days, func(d *day, seed uint64) { withRelays(d); prepare(d, seed) })
}

// The rules hold on days of all faults by chance while followers keep workers and relay
// their reports, also while the fleet grows and shrinks past the limit for that.
func TestRulesHoldWithRelays(t *testing.T) {
	t.Parallel()
	playRelayed(t, 500, 8, func(*day, uint64) {})
}

// The same next to nodes of the release before, which know no relays: one or two of them,
// leaders or not, are never sent workers to keep.
func TestRulesHoldWithRelaysNextToTheReleaseBefore(t *testing.T) {
	t.Parallel()
	playRelayed(t, 600, 6, func(d *day, seed uint64) {
		d.old[seed%3] = true
		d.old[(seed+1)%3] = seed >= 3
	})
}

// site is controllers and workers in zones of their own.
type site struct {
	t       *testing.T
	net     *simcluster.Network
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

// newSite starts a controller in each of five zones, and eight workers in each.
func newSite(t *testing.T, relays bool) *site {
	s := &site{t: t, net: simcluster.NewNetwork(rand.New(rand.NewPCG(9, 1))), relays: relays, stops: make([]context.CancelFunc, siteZones)}
	for i := range siteZones {
		s.labels = append(s.labels, fmt.Sprintf("n%d", i))
	}
	machineType := catalog.MachineTypes[1]
	machineType.Zones = nil
	for i := range siteZones {
		machineType.Zones = append(machineType.Zones, zoneName(i))
	}
	s.cluster = simcluster.NewCluster(s.config(0), s.net, s.labels, wire.Catalog{MachineTypes: []wire.MachineType{machineType}})
	s.cluster.Capacity = 2 * siteZones * workersOfZone
	for i := range s.labels {
		s.start(i)
	}
	time.Sleep(3 * time.Second)
	for i := range siteZones {
		s.cluster.AddMachines(machineType.Name, zoneName(i), workersOfZone)
	}
	return s
}

func (s *site) config(i int) *config.Config {
	s.t.Helper()
	members := ""
	for k, l := range s.labels {
		if k != i {
			members += fmt.Sprintf("[[members]]\nlabel = %q\nlocation = %q\nendpoint = \"%s:81\"\n", l, zoneName(k), l)
		}
	}
	l := s.labels[i]
	cfg, err := config.Parse([]byte(fmt.Sprintf(settings, l, zoneName(i), l, l, members)))
	if err != nil {
		s.t.Fatal(err)
	}
	cfg.RelayHeartbeats = s.relays
	cfg.Cluster.Limits.MaxConnections = 72 // relayed above 36 workers; 18 of them at the leader, 36 at a follower
	return cfg
}

func (s *site) start(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	l := s.labels[i]
	n := node.New(s.config(i), node.Network{State: s.net.Port(l), Cloud: s.net.Port(l), Workers: s.net.Port(l), DialPeer: s.net.DialPeer(l + ":81")})
	srv, err := peer.NewServer(n)
	if err != nil {
		s.t.Fatal(err)
	}
	s.net.Attach(l, n.Handler(), nil)
	s.net.Attach(l+":81", n.Handler(), srv)
	n.Start(ctx)
	s.stops[i] = cancel
}

func (s *site) crash(i int) {
	s.net.Attach(s.labels[i], nil, nil)
	s.net.Attach(s.labels[i]+":81", nil, nil)
	s.stops[i]()
}

// cutZone cuts a zone's controller and workers off from everything else, or joins them.
func (s *site) cutZone(zone int, on bool) {
	inside := []string{s.labels[zone], s.labels[zone] + ":81"}
	outside := []string{"state:1", "cloud:1"}
	for i, l := range s.labels {
		if i != zone {
			outside = append(outside, l, l+":81")
		}
	}
	for k := range 2 * s.cluster.Capacity { // those that were rented as spare room too
		host := fmt.Sprintf("m-%06d", k)
		if s.cluster.ZoneOf(host) == zoneName(zone) {
			inside = append(inside, host)
		} else {
			outside = append(outside, host)
		}
	}
	for _, a := range inside {
		for _, b := range outside {
			s.net.Cut(a, b, on)
		}
	}
}

// leader is the number of the controller that leads.
func (s *site) leader() int {
	item, _ := s.cluster.State.Get("e/leader")
	for i, l := range s.labels {
		if strings.Contains(string(item.Value), `"`+l+`"`) {
			return i
		}
	}
	s.t.Fatal("nobody leads")
	return 0
}

// fill starts a service of as many tasks as there are machines, one on each.
func (s *site) fill() {
	spec := wire.JobSpec{UID: "run-000001", JobClass: "serve", Team: "free", Kind: wire.Service, Priority: wire.Critical, TaskCount: siteZones * workersOfZone,
		Cores: 60, Gpus: 8, RAMGb: 400, Image: "img", ImageGb: 4}
	if !s.cluster.SubmitUntil(spec, time.Now().Add(10*time.Second)) {
		s.t.Fatal("the service is not accepted")
	}
	time.Sleep(25 * time.Second)
	if on := s.cluster.On(spec.UID); on != spec.TaskCount {
		s.t.Fatalf("%d of %d tasks are on machines", on, spec.TaskCount)
	}
}

func (s *site) end() {
	for i := range s.labels {
		s.crash(i)
	}
	s.cluster.StopAll()
	time.Sleep(2 * time.Minute)
}

// undisturbed plays a site in simulated time: whatever f does to it, no task ends and no
// rule is broken.
func undisturbed(t *testing.T, f func(s *site)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, true)
		s.fill()
		before := s.cluster.Started()
		f(s)
		if n := s.cluster.Started() - before; n > 0 {
			t.Errorf("%d tasks were started anew", n)
		}
		if broken := s.cluster.Broken(); len(broken) > 0 {
			t.Errorf("rules broken:\n%s", strings.Join(broken, "\n"))
		}
		s.end()
	})
}

// A zone that is cut off, leader or not, keeps the leases of its workers: they report to
// the controller in it. While all workers reported to the leader, those of a cut zone
// tried the controllers one after the other, 5 s each, and of 338 workers behind a cut 324
// lost their leases before they came to their own.
func TestCutZoneKeepsItsLeases(t *testing.T) {
	t.Parallel()
	for _, ofLeader := range []bool{false, true} {
		t.Run(fmt.Sprintf("of the leader: %v", ofLeader), func(t *testing.T) {
			undisturbed(t, func(s *site) {
				zone := s.leader()
				if !ofLeader {
					zone = (zone + siteZones - 1) % siteZones // the last that its workers would try
				}
				s.net.CarryOutLate(0) // a held announcement of the next leader would end leases by the protocol
				s.cutZone(zone, true)
				time.Sleep(25 * time.Second)
				s.cutZone(zone, false)
				time.Sleep(30 * time.Second)
			})
		})
	}
}

// A leader ends while followers keep the workers: nobody loses a lease, and the next leader
// hears of all workers by the followers at once.
func TestLeaderEndsBehindItsRelays(t *testing.T) {
	t.Parallel()
	undisturbed(t, func(s *site) {
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
func TestRelayEnds(t *testing.T) {
	t.Parallel()
	for _, stands := range []bool{false, true} {
		t.Run(fmt.Sprintf("stands still: %v", stands), func(t *testing.T) {
			undisturbed(t, func(s *site) {
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
func TestLeaderLosesItsWorkers(t *testing.T) {
	t.Parallel()
	undisturbed(t, func(s *site) {
		leader := s.labels[s.leader()]
		for _, on := range []bool{true, false} {
			for k := range 2 * s.cluster.Capacity {
				s.net.Cut(leader, fmt.Sprintf("m-%06d", k), on)
			}
			time.Sleep(30 * time.Second)
		}
	})
}
