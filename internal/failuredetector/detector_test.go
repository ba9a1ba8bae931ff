package failuredetector

import (
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
)

const (
	interval = time.Second
	lease    = 10 * time.Second
)

// machines implements Machines with a fixed list.
type machines []*fleet.Machine

func (ms machines) Each(visit func(*fleet.Machine)) {
	for _, m := range ms {
		visit(m)
	}
}

// withGroup adds machines of a zone and a relay that have sent no heartbeat for the time silence.
func (ms machines) withGroup(count int, zone, relay string, now time.Time, silence time.Duration) machines {
	for range count {
		last := now.Add(-silence)
		ms = append(ms, &fleet.Machine{
			State:             fleet.Ready,
			Zone:              zone,
			RelayedBy:         relay,
			LastHeartbeat:     last,
			LastHeartbeatHere: last,
		})
	}
	return ms
}

// newTestDetector returns a detector of a deployment with three controllers that was started an hour ago.
func newTestDetector(now time.Time) *Detector {
	d := New(Options{
		HeartbeatInterval: interval,
		WorkerLease:       lease,
		TasksEndWithin:    4 * lease,
		Controllers:       3,
		BootS:             func(machineType string) (float64, bool) { return 30, machineType == "known" },
	})
	d.Start(now.Add(-time.Hour))
	return d
}

// fakePeers implements Peers: the controllers in some zones are reachable, and all relays but one.
type fakePeers struct {
	zones            []string
	unreachableRelay string
}

func (p fakePeers) ReachableZones() []string         { return p.zones }
func (p fakePeers) RelayReachable(label string) bool { return label != p.unreachableRelay }

// observe returns the observation of a controller that can reach the controllers in some zones, and all
// relays but one.
func observe(ms machines, now time.Time, unreachableRelay string, reachable ...string) Observation {
	return Observation{Now: now, Machines: ms, Peers: fakePeers{zones: reachable, unreachableRelay: unreachableRelay}}
}

func countCauses(evaluation *Evaluation, ms machines) map[Cause]int {
	counts := map[Cause]int{}
	for _, m := range ms {
		counts[evaluation.CauseOfDeath(m)]++
	}
	return counts
}

func TestCausesOfDeathOfSilentMachines(t *testing.T) {
	now := time.Unix(10_000, 0)
	for _, tc := range []struct {
		name             string
		machines         machines
		reachable        []string
		unreachableRelay string
		want             map[Cause]int
	}{
		{
			name:      "all send heartbeats",
			machines:  machines{}.withGroup(10, "a", "", now, interval),
			reachable: []string{"a", "b", "c"},
			want:      map[Cause]int{NotDead: 10},
		},
		{
			name:      "up to half of a zone is dead after three intervals",
			machines:  machines{}.withGroup(5, "a", "", now, interval).withGroup(5, "a", "", now, 3*interval+1),
			reachable: []string{"a", "b", "c"},
			want:      map[Cause]int{NotDead: 5, SilentAlone: 5},
		},
		{
			name:      "no machine of a zone is dead at three intervals",
			machines:  machines{}.withGroup(5, "a", "", now, interval).withGroup(5, "a", "", now, 3*interval),
			reachable: []string{"a", "b", "c"},
			want:      map[Cause]int{NotDead: 10},
		},
		{
			name: "more than half of a zone is not declared dead",
			machines: machines{}.withGroup(4, "a", "", now, interval).withGroup(6, "a", "", now, 4*interval).
				withGroup(10, "b", "", now, interval),
			reachable: []string{"a", "b", "c"},
			want:      map[Cause]int{NotDead: 20},
		},
		{
			name: "machines of an unreachable relay get time to find another",
			machines: machines{}.withGroup(18, "a", "", now, 0).withGroup(1, "a", "lost", now, 4*interval).
				withGroup(3, "a", "lost", now, interval),
			reachable:        []string{"a", "b", "c"},
			unreachableRelay: "lost",
			want:             map[Cause]int{NotDead: 22},
		},
		{
			name: "machines of a reachable relay get no extra time",
			machines: machines{}.withGroup(18, "a", "", now, 0).withGroup(1, "a", "other", now, 4*interval).
				withGroup(3, "a", "other", now, 0),
			reachable: []string{"a", "b", "c"},
			want:      map[Cause]int{NotDead: 21, SilentAlone: 1},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			evaluation := newTestDetector(now).Evaluate(observe(tc.machines, now, tc.unreachableRelay, tc.reachable...))
			got := countCauses(evaluation, tc.machines)
			for _, cause := range []Cause{NotDead, SilentAlone, LeaseExpired, Failed, NeverBooted, SpotReclaimed} {
				if got[cause] != tc.want[cause] {
					t.Errorf("%d machines with cause %q, want %d", got[cause], cause, tc.want[cause])
				}
			}
		})
	}
}

func TestCauseOfDeathOfOneMachine(t *testing.T) {
	now := time.Unix(10_000, 0)
	for _, tc := range []struct {
		name    string
		machine fleet.Machine
		want    Cause
	}{
		{"listed as failed", fleet.Machine{State: fleet.Ready, LastHeartbeat: now, Failed: true}, Failed},
		{"listed as failed and being released", fleet.Machine{State: fleet.Releasing, Failed: true}, NotDead},
		{"suspected", fleet.Machine{State: fleet.Suspected, LastHeartbeat: now.Add(-lease - 1)}, LeaseExpired},
		{"reclaimed, without tasks", fleet.Machine{State: fleet.Ready, LastHeartbeat: now, SpotNotice: true}, SpotReclaimed},
		{"booting for exactly the timeout of its type", fleet.Machine{Type: "known", FirstSeen: now.Add(-105 * time.Second)}, NotDead},
		{"booting for longer than the timeout of its type", fleet.Machine{Type: "known", FirstSeen: now.Add(-106 * time.Second)}, NeverBooted},
		{"booting for exactly the timeout of an unknown type", fleet.Machine{FirstSeen: now.Add(-210 * time.Second)}, NotDead},
		{"booting for longer than the timeout of an unknown type", fleet.Machine{FirstSeen: now.Add(-211 * time.Second)}, NeverBooted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			evaluation := newTestDetector(now).Evaluate(observe(machines{&tc.machine}, now, "", "a", "b", "c"))
			if got := evaluation.CauseOfDeath(&tc.machine); got != tc.want {
				t.Errorf("cause is %q, want %q", got, tc.want)
			}
		})
	}
}

// If most machines of a zone are silent and its controllers are not reachable, the machines are not
// declared dead before their tasks must have ended. Nor are they for a lease after the partition has
// ended, since they return one after the other.
func TestPartitionedMachinesAreNotDeadUntilTheirTasksEnd(t *testing.T) {
	now := time.Unix(10_000, 0)
	d := newTestDetector(now)
	ms := machines{}.withGroup(10, "a", "", now, interval)
	partitioned := machines{}.withGroup(10, "b", "", now, lease+1)
	for _, m := range partitioned {
		m.State = fleet.Suspected
	}
	ms = append(ms, partitioned...)
	if got := countCauses(d.Evaluate(observe(ms, now, "", "a")), ms); got[NotDead] != len(ms) {
		t.Errorf("during the partition: causes %v, want %d machines not dead", got, len(ms))
	}
	last := partitioned[0]
	sendHeartbeats := func() {
		for _, m := range ms {
			if m != last {
				m.LastHeartbeat, m.LastHeartbeatHere, m.State = now, now, fleet.Ready
			}
		}
	}
	now = now.Add(lease - 1)
	sendHeartbeats()
	if got := d.Evaluate(observe(ms, now, "", "a")).CauseOfDeath(last); got != NotDead {
		t.Errorf("less than a lease after the partition: cause %q, want %q", got, NotDead)
	}
	now = now.Add(1)
	sendHeartbeats()
	if got := d.Evaluate(observe(ms, now, "", "a")).CauseOfDeath(last); got != LeaseExpired {
		t.Errorf("a lease after the partition: cause %q, want %q", got, LeaseExpired)
	}
	d = newTestDetector(now)
	for _, m := range partitioned {
		m.State, m.LastHeartbeat, m.LastHeartbeatHere = fleet.Suspected, now.Add(-4*lease-1), now.Add(-4*lease-1)
	}
	if got := countCauses(d.Evaluate(observe(ms, now, "", "a")), partitioned); got[LeaseExpired] != len(partitioned) {
		t.Errorf("after all their tasks must have ended: causes %v, want %d with %q", got, len(partitioned), LeaseExpired)
	}
}

// Machines of unknown zone are counted once, among the machines of all zones, and do not form a zone of
// their own.
func TestEvidenceCountsMachinesOfUnknownZoneWithTheFleet(t *testing.T) {
	now := time.Unix(10_000, 0)
	ms := machines{}.withGroup(7, "a", "", now, interval).withGroup(2, "", "", now, 3*interval).
		withGroup(1, "", "", now, 3*interval+1)
	e := newTestDetector(now).gatherEvidence(ms, now)
	for zone, want := range map[string]group{
		"":  {total: 10, silentTwoIntervals: 3, silentThreeIntervals: 1},
		"a": {total: 7},
	} {
		if got := *e.zones[zone]; got != want {
			t.Errorf("zone %q: %+v, want %+v", zone, got, want)
		}
	}
	if len(e.zones) != 2 || e.total != 10 {
		t.Errorf("%d zones, %d machines, want 2, 10", len(e.zones), e.total)
	}
}

func TestResetRestartsTimeouts(t *testing.T) {
	now := time.Unix(10_000, 0)
	d := newTestDetector(now)
	ms := machines{}.withGroup(9, "a", "", now, interval).withGroup(1, "a", "", now, 4*interval)
	if got := countCauses(d.Evaluate(observe(ms, now, "", "a", "b", "c")), ms); got[SilentAlone] != 1 {
		t.Fatalf("before the reset: causes %v, want one %q", got, SilentAlone)
	}
	d.Reset(ms, now)
	for _, m := range ms {
		if !m.LastHeartbeat.Equal(now) || !m.LastHeartbeatHere.Equal(now) {
			t.Fatalf("LastHeartbeat %s, LastHeartbeatHere %s, want %s for both", m.LastHeartbeat, m.LastHeartbeatHere, now)
		}
	}
	if got := countCauses(d.Evaluate(observe(ms, now, "", "a", "b", "c")), ms); got[NotDead] != len(ms) {
		t.Errorf("after the reset: causes %v, want %d machines not dead", got, len(ms))
	}
	now = now.Add(lease)
	if d.IsSettled(now) {
		t.Error("settled a lease after the reset, want later")
	}
	if now = now.Add(1); !d.IsSettled(now) {
		t.Error("not settled more than a lease after the reset")
	}
}

func TestSetPausedReportsChanges(t *testing.T) {
	d := newTestDetector(time.Unix(10_000, 0))
	for i, tc := range []struct{ paused, changed bool }{{false, false}, {true, true}, {true, false}, {false, true}} {
		if got := d.SetPaused(tc.paused); got != tc.changed {
			t.Errorf("step %d: changed is %v, want %v", i, got, tc.changed)
		}
	}
}
