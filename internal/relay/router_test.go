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
	r := NewRouter(RouterConfig{Self: "n0", Zones: map[string]string{"n0": "a", "n1": "b", "n2": "c"}, Connections: testConnections,
		HeartbeatInterval: time.Second, Lease: 10 * time.Second}, mode)
	r.SetUsable("n1", true)
	r.SetUsable("n2", true)
	return r
}

// reports makes the reports of a test's workers, each newer than the one before.
type reports struct{ sequence uint64 }

func (r *reports) next(host, zone string) *wire.Heartbeat {
	r.sequence++
	return &wire.Heartbeat{Host: host, Zone: zone, Incarnation: 1, Sequence: r.sequence}
}

// settle lets workers report once a second where they are sent, and returns where each
// reports in the end.
func settle(r *Router, sent *reports, at map[string]string, zoneOf func(host string) string, now *time.Time, seconds int) (moves int) {
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

// The mode changes with the size of the fleet, and not to and fro at its limit.
func TestModeFollowsTheSize(t *testing.T) {
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

// Workers end up at a controller of their zone, or are spread over the followers where
// there is none; nobody takes more than his share, nobody is sent to a follower that is not
// usable, and once they have settled they stay. A follower that is lost gives its workers
// up, and gets those of its zone back.
func TestWorkersSettleInTheirZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := testRouter(Relayed)
		var sent reports
		now := time.Unix(1000, 0)
		nodes := []string{"n0", "n1", "n2"}
		chance := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		zones := map[string]string{}
		at := map[string]string{}
		inZone := map[string]int{}
		for _, zone := range []string{"a", "b", "c", "d"} {
			most := 20
			if zone == "d" {
				most = 10
			}
			inZone[zone] = rapid.IntRange(0, most).Draw(t, zone)
			for i := range inZone[zone] {
				host := fmt.Sprintf("m-%s-%d", zone, i)
				zones[host], at[host] = zone, nodes[chance.IntN(len(nodes))]
			}
		}
		zoneOf := func(host string) string { return zones[host] }
		r.SetFleetSize(len(at))
		r.mode = Relayed // however few there are
		check := func(unreachable string) {
			load := map[string]int{}
			for host, label := range at {
				load[label]++
				if label == unreachable {
					t.Fatalf("%s is at %s, which is lost", host, unreachable)
				}
				home := map[string]string{"a": "n0", "b": "n1", "c": "n2"}[zones[host]]
				if home != "" && home != unreachable && label != home && load[home] < r.capacity(home) {
					t.Fatalf("%s of zone %s is at %s", host, zones[host], label)
				}
			}
			for host, label := range at {
				room := load["n1"] < r.capacity("n1") || unreachable != "n2" && load["n2"] < r.capacity("n2")
				if zones[host] == "d" && label == "n0" && room {
					t.Fatalf("%s of a zone without controller is at the leader, and a follower has room", host)
				}
			}
			for label, n := range load {
				if n > r.capacity(label) {
					t.Fatalf("%s has %d workers", label, n)
				}
			}
		}
		settle(r, &sent, at, zoneOf, &now, 20)
		check("")
		if moves := settle(r, &sent, at, zoneOf, &now, 10); moves > 0 {
			t.Fatalf("%d moves after they have settled", moves)
		}
		r.SetUsable("n2", false)
		for host, label := range at {
			if label == "n2" {
				at[host] = "n1" // its connection failed, and it tried another one
			}
		}
		const alone = 30 // seconds for which those that moved by themselves are left alone
		settle(r, &sent, at, zoneOf, &now, alone+20)
		check("n2")
		r.SetUsable("n2", true)
		settle(r, &sent, at, zoneOf, &now, 20)
		check("")
	})
}

// A worker that comes back from where it was sent cannot reach that controller: sent there
// again and again, it would lose its lease on the way.
func TestWorkerThatComesBackStays(t *testing.T) {
	r := testRouter(Relayed)
	var sent reports
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

// A fleet is not moved all at once: each move costs its controllers a connection. Only what
// is too much for a controller goes at once: while a leader was found to be short of
// connections, users who tried it waited for seconds.
func TestMovesAreSpread(t *testing.T) {
	r := testRouter(Relayed)
	var sent reports
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

// A late copy of a report, that some other controller gets, moves nobody: taken for the
// worker itself, it made the router leave the worker where it was for three leases.
func TestLateCopiesMoveNobody(t *testing.T) {
	r := testRouter(Relayed)
	r.SetFleetSize(300)
	now := time.Unix(1000, 0)
	var sent reports
	old := sent.next("m", "b")
	for _, report := range []*wire.Heartbeat{old, sent.next("m", "b")} {
		if to := r.Route(report, "n1", Relaxed, now); to != "" {
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
