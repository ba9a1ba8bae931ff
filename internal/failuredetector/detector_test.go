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

// machines is a fleet that does not change.
type machines []*fleet.Machine

func (ms machines) Each(fn func(*fleet.Machine)) {
	for _, m := range ms {
		fn(m)
	}
}

// withGroup adds machines of a zone and a relay whose last heartbeat is this old.
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

// newTestDetector is a detector of a deployment with three controllers that has judged for an hour.
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

// fakePeers are controllers of which those in some zones are reached, and all relays but one.
type fakePeers struct {
	zones          []string
	unreachedRelay string
}

func (p fakePeers) ReachedZones() []string         { return p.zones }
func (p fakePeers) RelayReached(label string) bool { return label != p.unreachedRelay }

// observe is what a controller sees that reaches the controllers of some zones, and all relays but
// one.
func observe(ms machines, now time.Time, unreachedRelay string, reachable ...string) Observation {
	return Observation{Now: now, Machines: ms, Peers: fakePeers{zones: reachable, unreachedRelay: unreachedRelay}}
}

func causes(j *Judgement, ms machines) map[Cause]int {
	counts := map[Cause]int{}
	for _, m := range ms {
		counts[j.CauseOfDeath(m)]++
	}
	return counts
}

func TestJudgementOfSilentMachines(t *testing.T) {
	now := time.Unix(10_000, 0)
	for _, tc := range []struct {
		name           string
		machines       machines
		reachable      []string
		unreachedRelay string
		want           map[Cause]int
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
			name:      "and not before",
			machines:  machines{}.withGroup(5, "a", "", now, interval).withGroup(5, "a", "", now, 3*interval),
			reachable: []string{"a", "b", "c"},
			want:      map[Cause]int{NotDead: 10},
		},
		{
			name: "more than half of a zone is not judged by silence",
			machines: machines{}.withGroup(4, "a", "", now, interval).withGroup(6, "a", "", now, 4*interval).
				withGroup(10, "b", "", now, interval),
			reachable: []string{"a", "b", "c"},
			want:      map[Cause]int{NotDead: 20},
		},
		{
			name: "the machines of a relay that is not reached get the time to find another",
			machines: machines{}.withGroup(18, "a", "", now, 0).withGroup(1, "a", "lost", now, 4*interval).
				withGroup(3, "a", "lost", now, interval),
			reachable:      []string{"a", "b", "c"},
			unreachedRelay: "lost",
			want:           map[Cause]int{NotDead: 22},
		},
		{
			name: "those of a relay that is reached do not",
			machines: machines{}.withGroup(18, "a", "", now, 0).withGroup(1, "a", "other", now, 4*interval).
				withGroup(3, "a", "other", now, 0),
			reachable: []string{"a", "b", "c"},
			want:      map[Cause]int{NotDead: 21, SilentAlone: 1},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			judgement := newTestDetector(now).Judge(observe(tc.machines, now, tc.unreachedRelay, tc.reachable...))
			got := causes(judgement, tc.machines)
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
		{"listed as failed and being released", fleet.Machine{State: fleet.Returning, Failed: true}, NotDead},
		{"suspected", fleet.Machine{State: fleet.Suspected, LastHeartbeat: now.Add(-lease - 1)}, LeaseExpired},
		{"reclaimed, without tasks", fleet.Machine{State: fleet.Ready, LastHeartbeat: now, SpotNotice: true}, SpotReclaimed},
		{"boots for 3.5 usual boots", fleet.Machine{Type: "known", FirstSeen: now.Add(-105 * time.Second)}, NotDead},
		{"boots for longer", fleet.Machine{Type: "known", FirstSeen: now.Add(-106 * time.Second)}, NeverBooted},
		{"of an unknown type", fleet.Machine{FirstSeen: now.Add(-210 * time.Second)}, NotDead},
		{"of an unknown type, for longer", fleet.Machine{FirstSeen: now.Add(-211 * time.Second)}, NeverBooted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			judgement := newTestDetector(now).Judge(observe(machines{&tc.machine}, now, "", "a", "b", "c"))
			if got := judgement.CauseOfDeath(&tc.machine); got != tc.want {
				t.Errorf("cause is %q, want %q", got, tc.want)
			}
		})
	}
}

// If most machines of a zone are silent and its controllers are not reached, they are not declared
// dead before their tasks must have ended; nor for a lease after the cut has ended, since they come
// back one after the other.
func TestMachinesBehindACutAreHeldUntilTheirTasksEnd(t *testing.T) {
	now := time.Unix(10_000, 0)
	d := newTestDetector(now)
	ms := machines{}.withGroup(10, "a", "", now, interval)
	cutOff := machines{}.withGroup(10, "b", "", now, lease+1)
	for _, m := range cutOff {
		m.State = fleet.Suspected
	}
	ms = append(ms, cutOff...)
	if got := causes(d.Judge(observe(ms, now, "", "a")), ms); got[NotDead] != len(ms) {
		t.Errorf("behind the cut: %v", got)
	}
	last := cutOff[0]
	comeBack := func() {
		for _, m := range ms {
			if m != last {
				m.LastHeartbeat, m.LastHeartbeatHere, m.State = now, now, fleet.Ready
			}
		}
	}
	now = now.Add(lease - 1)
	comeBack()
	if got := d.Judge(observe(ms, now, "", "a")).CauseOfDeath(last); got != NotDead {
		t.Errorf("just before a lease after the cut: %q", got)
	}
	now = now.Add(1)
	comeBack()
	if got := d.Judge(observe(ms, now, "", "a")).CauseOfDeath(last); got != LeaseExpired {
		t.Errorf("a lease after the cut: %q", got)
	}
	d = newTestDetector(now)
	for _, m := range cutOff {
		m.State, m.LastHeartbeat, m.LastHeartbeatHere = fleet.Suspected, now.Add(-4*lease-1), now.Add(-4*lease-1)
	}
	if got := causes(d.Judge(observe(ms, now, "", "a")), cutOff); got[LeaseExpired] != len(cutOff) {
		t.Errorf("after nothing of them can run on: %v", got)
	}
}

// Machines of unknown zone are counted once, with the whole fleet, as all others are: they are no
// zone of their own.
func TestEvidenceCountsMachinesOfUnknownZoneWithTheFleet(t *testing.T) {
	now := time.Unix(10_000, 0)
	ms := machines{}.withGroup(7, "a", "", now, interval).withGroup(2, "", "", now, 3*interval).
		withGroup(1, "", "", now, 3*interval+1)
	e := newTestDetector(now).gather(ms, now)
	for zone, want := range map[string]group{
		"":  {total: 10, silent: 3, longSilent: 1},
		"a": {total: 7},
	} {
		if got := *e.zones[zone]; got != want {
			t.Errorf("zone %q: %+v, want %+v", zone, got, want)
		}
	}
	if len(e.zones) != 2 || e.total != 10 {
		t.Errorf("%d zones, %d machines", len(e.zones), e.total)
	}
}

func TestResetGivesMachinesTheirTimeAgain(t *testing.T) {
	now := time.Unix(10_000, 0)
	d := newTestDetector(now)
	ms := machines{}.withGroup(9, "a", "", now, interval).withGroup(1, "a", "", now, 4*interval)
	if got := causes(d.Judge(observe(ms, now, "", "a", "b", "c")), ms); got[SilentAlone] != 1 {
		t.Fatalf("before the reset: %v", got)
	}
	d.Reset(ms, now)
	for _, m := range ms {
		if !m.LastHeartbeat.Equal(now) || !m.LastHeartbeatHere.Equal(now) {
			t.Fatalf("last heartbeats are %s and, here, %s", m.LastHeartbeat, m.LastHeartbeatHere)
		}
	}
	if got := causes(d.Judge(observe(ms, now, "", "a", "b", "c")), ms); got[NotDead] != len(ms) {
		t.Errorf("after the reset: %v", got)
	}
	now = now.Add(lease)
	if d.IsSettled(now) {
		t.Error("settled within a lease of the reset")
	}
	if now = now.Add(1); !d.IsSettled(now) {
		t.Error("not settled a lease after the reset")
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
