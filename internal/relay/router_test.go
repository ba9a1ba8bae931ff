package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lotusstile.dev/lotusstile/wire"
)

const testConnections = 100

func testRouter(mode Mode) *Router {
	r := NewRouter(RouterConfig{
		Self:              "n0",
		Zones:             map[string]string{"n0": "a", "n1": "b", "n2": "c"},
		Connections:       testConnections,
		HeartbeatInterval: time.Second,
		Lease:             10 * time.Second,
	}, mode)
	r.SetUsable("n1", true)
	r.SetUsable("n2", true)
	return r
}

// heartbeatSource makes the heartbeats of a test's workers, each newer than the one before.
type heartbeatSource struct{ sequence uint64 }

func (s *heartbeatSource) next(host, zone string) *wire.Heartbeat {
	s.sequence++
	return &wire.Heartbeat{Host: host, Zone: zone, Incarnation: 1, Sequence: s.sequence}
}

// settle lets workers send heartbeats once a second to the controllers that the router chooses, and
// returns the number of moves. at is the controller of each worker, by host.
func settle(
	r *Router, sent *heartbeatSource, at map[string]string, zoneOf func(host string) string, now *time.Time, seconds int,
) (moves int) {
	for range seconds {
		*now = now.Add(time.Second)
		for host := range at {
			if to := r.Route(sent.next(host, zoneOf(host)), at[host], Relaxed, *now); to != "" {
				at[host] = to
				moves++
			}
		}
	}
	return moves
}

// The mode changes with the size of the fleet, and does not alternate near the limit.
func TestModeFollowsTheFleetSize(t *testing.T) {
	r := testRouter(Direct)
	for _, step := range []struct {
		workers int
		want    Mode
	}{{50, Direct}, {51, Relayed}, {45, Relayed}, {41, Relayed}, {39, Direct}, {45, Direct}} {
		if r.SetFleetSize(step.workers); r.Mode() != step.want {
			t.Errorf("with %d workers the mode is %s", step.workers, r.Mode())
		}
	}
	if to := r.Route(&wire.Heartbeat{Host: "m", Zone: "b", Incarnation: 1, Sequence: 1}, "n0", Relaxed, time.Now()); to != "" {
		t.Errorf("a small fleet's worker is sent to %s", to)
	}
}

// Workers end up at a controller of their zone, or spread over the followers if their zone has none;
// no controller takes more than its share, no worker is sent to a follower that is not usable, and
// once they have settled they stay. The workers of a follower that becomes unreachable move away, and
// those of its zone come back.
func TestWorkersSettleInTheirZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newZonedFleet(t)
		f.settle(20)
		f.check(t, "")
		if moves := f.settle(10); moves > 0 {
			t.Fatalf("%d moves after they have settled", moves)
		}
		f.router.SetUsable("n2", false)
		for host, label := range f.at {
			if label == "n2" {
				f.at[host] = "n1" // its connection failed, and it tried another one
			}
		}
		const alone = 30 // seconds for which those that moved by themselves are left alone
		f.settle(alone + 20)
		f.check(t, "n2")
		f.router.SetUsable("n2", true)
		f.settle(20)
		f.check(t, "")
	})
}

// zonedFleet is a fleet of workers in four zones, three of which have a controller.
type zonedFleet struct {
	router *Router
	sent   heartbeatSource
	now    time.Time
	zones  map[string]string // by host
	at     map[string]string // controller by host
}

// newZonedFleet draws how many workers each zone has. Each begins at any controller.
func newZonedFleet(t *rapid.T) *zonedFleet {
	f := &zonedFleet{
		router: testRouter(Relayed),
		now:    time.Unix(1000, 0),
		zones:  map[string]string{},
		at:     map[string]string{},
	}
	nodes := []string{"n0", "n1", "n2"}
	chance := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	for _, zone := range []string{"a", "b", "c", "d"} {
		most := 20
		if zone == "d" {
			most = 10
		}
		for i := range rapid.IntRange(0, most).Draw(t, zone) {
			host := fmt.Sprintf("m-%s-%d", zone, i)
			f.zones[host], f.at[host] = zone, nodes[chance.IntN(len(nodes))]
		}
	}
	f.router.SetFleetSize(len(f.at))
	f.router.mode = Relayed // however few there are
	return f
}

func (f *zonedFleet) settle(seconds int) (moves int) {
	return settle(f.router, &f.sent, f.at, func(host string) string { return f.zones[host] }, &f.now, seconds)
}

// check fails the test if a worker is not where it belongs. unreachable is a controller that is not
// reached, or "".
func (f *zonedFleet) check(t *rapid.T, unreachable string) {
	t.Helper()
	load := map[string]int{}
	for _, label := range f.at {
		load[label]++
	}
	for host, label := range f.at {
		if label == unreachable {
			t.Fatalf("%s is at %s, which is unreachable", host, unreachable)
		}
	}
	f.checkZones(t, load, unreachable)
	for label, workers := range load {
		if workers > f.router.capacity(label) {
			t.Fatalf("%s has %d workers", label, workers)
		}
	}
}

// checkZones fails the test if a worker is neither in its zone nor, without one, at a follower, and
// there is room.
func (f *zonedFleet) checkZones(t *rapid.T, load map[string]int, unreachable string) {
	t.Helper()
	hasRoom := func(label string) bool { return load[label] < f.router.capacity(label) }
	room := hasRoom("n1") || unreachable != "n2" && hasRoom("n2")
	homes := map[string]string{"a": "n0", "b": "n1", "c": "n2"}
	for host, label := range f.at {
		zone := f.zones[host]
		home := homes[zone]
		homeHasRoom := load[home] < f.router.capacityFor(home, zone)
		if home != "" && home != unreachable && label != home && homeHasRoom {
			t.Fatalf("%s of zone %s is at %s", host, zone, label)
		}
		if zone == "d" && label == "n0" && room {
			t.Fatalf("%s of a zone without controller is at the leader, and a follower has room", host)
		}
	}
}

// A worker that comes back from the controller to which it was sent cannot reach that one: sent there
// again and again, its lease would end on the way.
func TestWorkerThatComesBackIsNotSentAgain(t *testing.T) {
	r := testRouter(Relayed)
	var sent heartbeatSource
	r.SetFleetSize(300)
	now := time.Unix(1000, 0)
	if to := r.Route(sent.next("m", "b"), "n2", Relaxed, now); to != "n1" {
		t.Fatalf("sent to %q", to)
	}
	for second := range 30 {
		now = now.Add(time.Second)
		if to := r.Route(sent.next("m", "b"), "n2", Relaxed, now); to != "" {
			t.Fatalf("sent to %s again after %d s", to, second)
		}
	}
	now = now.Add(time.Second)
	if to := r.Route(sent.next("m", "b"), "n2", Relaxed, now); to != "n1" {
		t.Errorf("sent to %q three leases later", to)
	}
}

// A fleet is not moved all at once, since each move costs the controllers a connection. Only the
// workers that are too many for a controller move at once: while a leader was short of connections,
// users whose requests it got waited for seconds.
func TestMovesAreSpread(t *testing.T) {
	r := testRouter(Relayed)
	var sent heartbeatSource
	r.SetFleetSize(40)
	r.mode = Relayed
	now := time.Unix(1000, 0)
	moved := 0
	for i := range 40 {
		if r.Route(sent.next(fmt.Sprintf("m-%d", i), "b"), "n2", Relaxed, now) != "" {
			moved++
		}
	}
	if most := 40 / moveIntervals; moved > most || moved == 0 {
		t.Errorf("%d of 40 are moved at once, want at most %d", moved, most)
	}
}

// A late copy of a heartbeat that arrives at another controller moves no worker: when it counted as
// the worker's own move, the router left the worker where it was for three leases.
func TestLateCopiesMoveNobody(t *testing.T) {
	r := testRouter(Relayed)
	r.SetFleetSize(300)
	now := time.Unix(1000, 0)
	var sent heartbeatSource
	old := sent.next("m", "b")
	for _, heartbeat := range []*wire.Heartbeat{old, sent.next("m", "b")} {
		if to := r.Route(heartbeat, "n1", Relaxed, now); to != "" {
			t.Fatalf("a worker at home is sent to %s", to)
		}
	}
	if to := r.Route(old, "n2", Relaxed, now.Add(time.Second)); to != "" {
		t.Errorf("a late copy is sent to %s", to)
	}
	if load := r.Load(); load["n1"] != 1 || load["n2"] != 0 {
		t.Errorf("after a late copy the load is %v", load)
	}
}
