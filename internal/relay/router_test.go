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
		MaxConnections:    testConnections,
		HeartbeatInterval: time.Second,
		Lease:             10 * time.Second,
	}, mode)
	r.SetUsable("n1", true)
	r.SetUsable("n2", true)
	return r
}

// heartbeatSource creates the heartbeats of a test's workers, each newer than the previous one.
type heartbeatSource struct{ sequence uint64 }

func (s *heartbeatSource) next(host, zone string) *wire.Heartbeat {
	s.sequence++
	return &wire.Heartbeat{Host: host, Zone: zone, Incarnation: 1, Sequence: s.sequence}
}

// settle lets workers send heartbeats once a second to the controllers that the router chooses, and returns the
// number of moves. controllerOf holds the controller of each worker, by host, and is updated.
func settle(
	r *Router, source *heartbeatSource, controllerOf map[string]string, zoneOf func(host string) string, now *time.Time, seconds int,
) (moves int) {
	for range seconds {
		*now = now.Add(time.Second)
		for host := range controllerOf {
			if to := r.Route(source.next(host, zoneOf(host)), controllerOf[host], NoPressure, *now); to != "" {
				controllerOf[host] = to
				moves++
			}
		}
	}
	return moves
}

// The mode follows the size of the fleet, with hysteresis: it does not alternate near the limit.
func TestModeFollowsTheFleetSize(t *testing.T) {
	r := testRouter(Direct)
	for _, step := range []struct {
		workers int
		want    Mode
	}{{50, Direct}, {51, Relayed}, {45, Relayed}, {41, Relayed}, {39, Direct}, {45, Direct}} {
		if r.SetFleetSize(step.workers); r.Mode() != step.want {
			t.Errorf("with %d workers the mode is %s, want %s", step.workers, r.Mode(), step.want)
		}
	}
	if to := r.Route(&wire.Heartbeat{Host: "m", Zone: "b", Incarnation: 1, Sequence: 1}, "n0", NoPressure, time.Now()); to != "" {
		t.Errorf("a worker of a small fleet is sent to %s, want it to stay at the leader", to)
	}
}

// Workers end up at the controller in their zone, or are spread over the followers if their zone has no controller.
// No controller accepts more workers than its share, no worker is sent to an unusable follower, and workers no
// longer move once they have settled. The workers of a follower that becomes unreachable move away, and those in its
// zone return when it is reachable again.
func TestWorkersSettleInTheirZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newZonedFleet(t)
		f.settle(20)
		f.check(t, "")
		if moves := f.settle(10); moves > 0 {
			t.Fatalf("%d moves after the workers have settled, want 0", moves)
		}
		f.router.SetUsable("n2", false)
		for host, label := range f.controllerOf {
			if label == "n2" {
				f.controllerOf[host] = "n1" // the worker's connection failed, and it tried another controller
			}
		}
		const staySeconds = 30 // stayLeases: how long the router does not move workers that left a controller
		f.settle(staySeconds + 20)
		f.check(t, "n2")
		f.router.SetUsable("n2", true)
		f.settle(20)
		f.check(t, "")
	})
}

// zonedFleet is a fleet of workers in four zones, three of which have a controller.
type zonedFleet struct {
	router       *Router
	source       heartbeatSource
	now          time.Time
	zones        map[string]string // by host
	controllerOf map[string]string // by host
}

// newZonedFleet draws the number of workers in each zone. Each worker starts at a random controller.
func newZonedFleet(t *rapid.T) *zonedFleet {
	f := &zonedFleet{
		router:       testRouter(Relayed),
		now:          time.Unix(1000, 0),
		zones:        map[string]string{},
		controllerOf: map[string]string{},
	}
	nodes := []string{"n0", "n1", "n2"}
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	for _, zone := range []string{"a", "b", "c", "d"} {
		maxWorkers := 20
		if zone == "d" {
			maxWorkers = 10
		}
		for i := range rapid.IntRange(0, maxWorkers).Draw(t, zone) {
			host := fmt.Sprintf("m-%s-%d", zone, i)
			f.zones[host], f.controllerOf[host] = zone, nodes[random.IntN(len(nodes))]
		}
	}
	f.router.SetFleetSize(len(f.controllerOf))
	f.router.mode = Relayed // even if the fleet is small
	return f
}

func (f *zonedFleet) settle(seconds int) (moves int) {
	return settle(f.router, &f.source, f.controllerOf, func(host string) string { return f.zones[host] }, &f.now, seconds)
}

// check fails the test if a worker is at the wrong controller, or a controller has too many workers. unreachable is
// the controller that cannot be reached, or "".
func (f *zonedFleet) check(t *rapid.T, unreachable string) {
	t.Helper()
	load := map[string]int{}
	for _, label := range f.controllerOf {
		load[label]++
	}
	for host, label := range f.controllerOf {
		if label == unreachable {
			t.Fatalf("%s is at %s, which is unreachable", host, unreachable)
		}
	}
	f.checkZones(t, load, unreachable)
	for label, workers := range load {
		if workers > f.router.capacity(label) {
			t.Fatalf("%s has %d workers, want at most %d", label, workers, f.router.capacity(label))
		}
	}
}

// checkZones fails the test if a worker is outside its zone although the controller there has free capacity, or if
// a worker in a zone without a controller is at the leader although a follower has free capacity.
func (f *zonedFleet) checkZones(t *rapid.T, load map[string]int, unreachable string) {
	t.Helper()
	hasCapacity := func(label string) bool { return load[label] < f.router.capacity(label) }
	followerHasCapacity := hasCapacity("n1") || unreachable != "n2" && hasCapacity("n2")
	controllers := map[string]string{"a": "n0", "b": "n1", "c": "n2"} // by zone
	for host, label := range f.controllerOf {
		zone := f.zones[host]
		sameZone := controllers[zone]
		sameZoneHasCapacity := load[sameZone] < f.router.capacityFor(sameZone, zone)
		if sameZone != "" && sameZone != unreachable && label != sameZone && sameZoneHasCapacity {
			t.Fatalf("%s in zone %s is at %s, want %s", host, zone, label, sameZone)
		}
		if zone == "d" && label == "n0" && followerHasCapacity {
			t.Fatalf("%s in a zone without a controller is at the leader, want it at a follower, since one has free capacity", host)
		}
	}
}

// A worker that was sent to a controller but still sends its heartbeats to the previous one cannot reach the new one.
// It is not sent there again for three leases: its lease would expire if it were sent there again and again.
func TestWorkerThatComesBackIsNotSentAgain(t *testing.T) {
	r := testRouter(Relayed)
	var source heartbeatSource
	r.SetFleetSize(300)
	now := time.Unix(1000, 0)
	if to := r.Route(source.next("m", "b"), "n2", NoPressure, now); to != "n1" {
		t.Fatalf("the worker is sent to %q, want n1", to)
	}
	for second := range 30 {
		now = now.Add(time.Second)
		if to := r.Route(source.next("m", "b"), "n2", NoPressure, now); to != "" {
			t.Fatalf("the worker is sent to %s after %d s, want it to stay at n2", to, second)
		}
	}
	now = now.Add(time.Second)
	if to := r.Route(source.next("m", "b"), "n2", NoPressure, now); to != "n1" {
		t.Errorf("after three leases the worker is sent to %q, want n1", to)
	}
}

// The workers of a fleet are moved at a limited rate, since each move costs the controllers a connection. Only
// workers of an overloaded controller move at once: when a leader ran short of connections, user requests to it
// took seconds.
func TestMovesAreSpread(t *testing.T) {
	r := testRouter(Relayed)
	var source heartbeatSource
	r.SetFleetSize(40)
	r.mode = Relayed
	now := time.Unix(1000, 0)
	moved := 0
	for i := range 40 {
		if r.Route(source.next(fmt.Sprintf("m-%d", i), "b"), "n2", NoPressure, now) != "" {
			moved++
		}
	}
	if limit := 40 / moveIntervals; moved > limit || moved == 0 {
		t.Errorf("%d of 40 workers are moved at once, want 1 to %d", moved, limit)
	}
}

// A delayed copy of a heartbeat that arrives at another controller does not move the worker. When such a copy
// counted as a departure, the router did not move the worker for three leases.
func TestLateCopiesMoveNobody(t *testing.T) {
	r := testRouter(Relayed)
	r.SetFleetSize(300)
	now := time.Unix(1000, 0)
	var source heartbeatSource
	old := source.next("m", "b")
	for _, heartbeat := range []*wire.Heartbeat{old, source.next("m", "b")} {
		if to := r.Route(heartbeat, "n1", NoPressure, now); to != "" {
			t.Fatalf("a worker at the controller in its zone is sent to %s, want it to stay", to)
		}
	}
	if to := r.Route(old, "n2", NoPressure, now.Add(time.Second)); to != "" {
		t.Errorf("after a delayed copy the worker is sent to %s, want it to stay", to)
	}
	if load := r.Load(); load["n1"] != 1 || load["n2"] != 0 {
		t.Errorf("after a delayed copy the load is %v, want one worker at n1 and none at n2", load)
	}
}
