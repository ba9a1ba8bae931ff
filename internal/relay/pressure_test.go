package relay

import (
	"fmt"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// A worker that has met one slow answer of its zone's controller, which receives the heartbeats of
// the others all the time, is back there within a few intervals. When such workers stayed away for
// three leases, they lost their tasks when their zone was cut off: 347 on one day. A worker that
// leaves a second time cannot reach that controller, and stays away.
func TestWorkerReturnsAfterOneSlowAnswer(t *testing.T) {
	r := testRouter(Relayed)
	r.SetFleetSize(100)
	var sent heartbeatSource
	now := time.Unix(1000, 0)
	others := func() {
		now = now.Add(time.Second)
		for i := range 10 {
			r.Route(sent.next(fmt.Sprint("other-", i), "b"), "n1", Relaxed, now)
		}
	}
	away := func() (intervals int) {
		for range 60 {
			others()
			if r.Route(sent.next("m", "b"), "n2", Relaxed, now) == "n1" {
				return intervals
			}
			intervals++
		}
		return intervals
	}
	others()
	r.Route(sent.next("m", "b"), "n1", Relaxed, now)
	if intervals := away(); intervals > 2*moveIntervals {
		t.Errorf("after a slow answer it is away for %d intervals", intervals)
	}
	r.Route(sent.next("m", "b"), "n1", Relaxed, now)
	if intervals := away(); intervals < stayLeases*9 {
		t.Errorf("it is sent back after %d intervals to where it has left twice", intervals)
	}
}

// A worker whose controller no longer receives heartbeats is not sent back, however many workers
// that controller had.
func TestUnreachableControllerGetsNoWorkers(t *testing.T) {
	r := testRouter(Relayed)
	r.SetFleetSize(100)
	var sent heartbeatSource
	now := time.Unix(1000, 0)
	for i := range 10 {
		r.Route(sent.next(fmt.Sprint("m-", i), "b"), "n1", Relaxed, now)
	}
	for second := range stayLeases*10 - 1 {
		now = now.Add(time.Second)
		for i := range 10 {
			if second < i {
				continue // it still looks for another controller
			}
			if to := r.Route(sent.next(fmt.Sprint("m-", i), "b"), "n2", Relaxed, now); to != "" {
				t.Fatalf("m-%d is sent to %s after %d s", i, to, second)
			}
		}
	}
}

// A worker whose heartbeat comes on a connection of the reserve is sent to a controller that has room,
// at once and past the rate limit of moves, and not back for a lease; if no other controller has room,
// it stays and its heartbeats are answered in turn.
func TestFullControllerSendsWorkersElsewhere(t *testing.T) {
	r := testRouter(Relayed)
	r.SetFleetSize(60)
	var sent heartbeatSource
	now := time.Unix(1000, 0)
	for i := range 30 {
		if to := r.Route(sent.next(fmt.Sprint("m-", i), "b"), "n1", Full, now); to != "n2" {
			t.Fatalf("worker %d of a full controller is sent to %q", i, to)
		}
	}
	for second := range 8 {
		now = now.Add(time.Second)
		if to := r.Route(sent.next("m-0", "b"), "n2", Relaxed, now); to != "" {
			t.Fatalf("it is sent to %s after %d s", to, second)
		}
	}
	r.SetUsable("n2", false)
	r.load["n0"] = testConnections
	if to := r.Route(sent.next("m-99", "b"), "n1", Full, now); to != "" {
		t.Errorf("with no room anywhere it is sent to %q", to)
	}
}

// Controllers take as many workers as the fleet needs: of 4,000 and of 6,000 workers, with the
// connections of the large deployments, on five controllers and on three, all get a controller as
// long as the connections allow it. With fixed shares, three controllers had room for 3,235 workers.
func TestRoomGrowsWithTheFleet(t *testing.T) {
	for _, tc := range []struct {
		controllers, connections, workers int
		all                               bool // the connections are enough for all workers
	}{
		{5, 2589, 4096, true},
		{5, 2589, 6000, true},
		{3, 2589, 4096, true},
		{3, 2372, 4096, true},
		{3, 2589, 6000, false},
		{3, 700, 4096, false},
	} {
		zones := map[string]string{}
		for i := range tc.controllers {
			zones[fmt.Sprint("n", i)] = fmt.Sprint("zone-", i)
		}
		r := NewRouter(RouterConfig{
			Self:              "n0",
			Zones:             zones,
			Connections:       tc.connections,
			HeartbeatInterval: time.Second,
			Lease:             10 * time.Second,
		}, Relayed)
		for label := range zones {
			r.SetUsable(label, true)
		}
		r.SetFleetSize(tc.workers)
		at := map[int]string{}
		for i := range tc.workers {
			at[i] = "n0"
		}
		now, moved := time.Unix(1000, 0), 0
		for sequence := uint64(1); sequence <= 20; sequence++ {
			now, moved = now.Add(time.Second), 0
			for i := range tc.workers {
				heartbeat := &wire.Heartbeat{Host: fmt.Sprint("m-", i), Zone: fmt.Sprint("zone-", i%8), Incarnation: 1, Sequence: sequence}
				if to := r.Route(heartbeat, at[i], Relaxed, now); to != "" {
					at[i] = to
					moved++
				}
			}
		}
		most, over := int(maxShare*float64(tc.connections)), 0
		for label, n := range r.Load() {
			if n > most {
				over += n - most
			}
			if usual := max(r.capacity(label), tc.workers/8+1); tc.all && n > usual { // or all of its own zone
				t.Errorf("%s has %d workers of %d that it is to take", label, n, usual)
			}
		}
		if tc.all != (over == 0) || moved > 0 {
			t.Errorf("%d workers on %d controllers of %d connections: %v, %d are too many, %d still move",
				tc.workers, tc.controllers, tc.connections, r.Load(), over, moved)
		}
	}
}

// A late copy of a heartbeat that the leader has not received before looks as if its worker had been at
// another controller in between. Even so the worker is not sent back to the one that it cannot reach:
// when only the last departure counted, a machine was declared dead in 11 of 120 runs in which a leader
// became unreachable for its workers.
func TestLateCopyDoesNotHideADeparture(t *testing.T) {
	r := testRouter(Relayed)
	r.SetFleetSize(100)
	var sent heartbeatSource
	now := time.Unix(1000, 0)
	r.Route(sent.next("m", "b"), "n1", Relaxed, now)
	r.Route(sent.next("m", "b"), "n2", Relaxed, now.Add(2*time.Second)) // the copy
	for second := range 20 {
		now = now.Add(time.Second)
		for i := range 10 {
			r.Route(sent.next(fmt.Sprint("other-", i), "c"), "n2", Relaxed, now)
		}
		if second < 5 {
			continue // it still looks for a controller
		}
		if to := r.Route(sent.next("m", "b"), "n0", Relaxed, now); to == "n1" {
			t.Fatalf("it is sent to the controller that it cannot reach after %d s", second)
		}
	}
}

// Workers of a controller's own zone stay there beyond its usual share, the leader's too: when
// the zone is cut off, it is the only controller that they reach.
func TestOwnZoneGoesBeyondTheUsualShare(t *testing.T) {
	r := testRouter(Relayed)
	r.SetFleetSize(60)
	var sent heartbeatSource
	now, at, zones := time.Unix(1000, 0), map[string]string{}, map[string]string{}
	for i := range 60 {
		host := fmt.Sprint("m-", i)
		at[host], zones[host] = "n0", []string{"a", "a", "a", "b"}[i%4]
	}
	settle(r, &sent, at, func(host string) string { return zones[host] }, &now, 20)
	for host, label := range at {
		if home := map[string]string{"a": "n0", "b": "n1"}[zones[host]]; label != home {
			t.Errorf("%s of zone %s is at %s", host, zones[host], label)
		}
	}
}
