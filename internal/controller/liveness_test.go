package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// silenceCase describes which of 180 machines stop sending heartbeats 10 s after the start, and what happens then.
type silenceCase struct {
	name     string
	isSilent func(i int) bool
	// isRenewed tells whose worker leases a follower renews, beginning 14 s after the start.
	isRenewed func(i int) bool
	// relays is true if the follower relays the heartbeats of these machines to the leader.
	relays bool
	// countedAfter is the time from the start of the silence to the count of the machines that are declared dead.
	countedAfter time.Duration
	wantDead     int
}

// In a partition between zones, the leader misses the machines' heartbeats one after the other, as they come due, and a
// follower soon answers some of these machines. No machine may be declared dead before its tasks are certain to have
// ended: a leader that counted machines as silent only after three intervals, and did not count those that a follower
// answered, released 38 of 90 machines. If up to half of a zone's machines stop while the others send heartbeats, they
// are declared dead after three intervals. If more stop, they are declared dead after a worker lease, provided that a
// controller in the zone is reachable: without this rule, when two thirds of a zone's machines had died, they were
// not replaced for six leases.
func TestWhichSilentMachinesAreDeclaredDead(t *testing.T) {
	all := func(int) bool { return true }
	none := func(int) bool { return false }
	isInZoneB := func(i int) bool { return i%2 == 1 }
	for _, tc := range []silenceCase{
		{
			name:         "a zone is partitioned",
			isSilent:     isInZoneB,
			isRenewed:    func(i int) bool { return i%4 == 1 },
			countedAfter: 30 * time.Second,
			wantDead:     0,
		},
		{
			name:         "a few machines stop",
			isSilent:     func(i int) bool { return i < 9 },
			isRenewed:    none,
			countedAfter: 4500 * time.Millisecond,
			wantDead:     9,
		},
		{
			name:         "many machines stop",
			isSilent:     func(i int) bool { return i%3 == 0 },
			isRenewed:    none,
			countedAfter: 4500 * time.Millisecond,
			wantDead:     60,
		},
		{
			name:         "most machines of a zone with a reachable controller stop",
			isSilent:     func(i int) bool { return i%2 == 0 && i > 20 },
			isRenewed:    none,
			countedAfter: 11500 * time.Millisecond,
			wantDead:     79,
		},
		{
			name:         "the leader loses its links",
			isSilent:     all,
			isRenewed:    func(i int) bool { return i%3 > 0 },
			relays:       true,
			countedAfter: 8 * time.Second,
			wantDead:     0,
		},
		{
			name:         "the leader loses its links, a few machines are late",
			isSilent:     all,
			isRenewed:    func(i int) bool { return i%24 > 0 },
			relays:       true,
			countedAfter: 5200 * time.Millisecond,
			wantDead:     0,
		},
		{
			name:         "the leader loses its links, a few machines are dead",
			isSilent:     all,
			isRenewed:    func(i int) bool { return i%24 > 0 },
			relays:       true,
			countedAfter: 8 * time.Second,
			wantDead:     8,
		},
		{
			name:         "a zone whose leases nobody renews",
			isSilent:     isInZoneB,
			isRenewed:    none,
			countedAfter: 45 * time.Second,
			wantDead:     90,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dead := tc.run()
			slices.Sort(dead)
			if len(dead) != tc.wantDead {
				t.Errorf("%d machines are declared dead, want %d; declared dead: %v", len(dead), tc.wantDead, dead)
			}
		})
	}
}

// run lets the machines send heartbeats and then stop, and returns those that are declared dead.
func (s *silenceCase) run() []string {
	const machines, step = 180, 50 * time.Millisecond
	const silentFrom, renewedFrom = 10 * time.Second, 14 * time.Second
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	start := now
	for sequence := uint64(1); now.Sub(start) < silentFrom+s.countedAfter; sequence++ {
		elapsed := now.Sub(start)
		for i := range machines {
			due := int64(i)%20 == int64(sequence)%20 // each machine once a second, a twentieth of them in each step
			switch {
			case due && (elapsed < silentFrom || !s.isSilent(i)):
				c.heartbeatFrom(i, sequence, now)
			case due && elapsed > renewedFrom && s.isRenewed(i) && s.relays:
				c.heartbeatFrom(i, sequence, now)
				c.fleet.Get(hostName(i)).LastRelayedHeartbeat = now
			case due && elapsed > renewedFrom && s.isRenewed(i):
				c.fleet.Get(hostName(i)).LastHeartbeat = now
			}
		}
		c.fleet.MarkSuspected(now)
		c.releaseDead(now)
		now = now.Add(step)
	}
	return c.releasingHosts()
}

// After its process was paused, or after it answered no heartbeats because the state store was unreachable for too long,
// a leader does not know which machines would have sent a heartbeat meanwhile. It restarts all timeouts and declares no
// machine dead before they have passed.
func TestNoMachineIsDeclaredDeadAfterAPauseOrAnOutage(t *testing.T) {
	const machines = 40
	for _, tc := range []struct {
		name          string
		step          time.Duration // between scheduling cycles during the silence
		storeReadable bool          // during the silence
		silence       time.Duration
		wantDead      int
	}{
		{"the process is paused", 25 * time.Second, true, 25 * time.Second, 0},
		{"the state store is unreachable", time.Second / 2, false, 90 * time.Second, 0},
		// Only the half in zone a is declared dead by then: no controller in zone b is reachable.
		{"the machines are silent", time.Second / 2, true, 30 * time.Second, machines / 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			c := newTestLeader(&now)
			c.catalog = g8Catalog()
			sequence := uint64(0)
			runCycle := func(step time.Duration, storeReadable, heartbeats bool) {
				now = now.Add(step)
				if storeReadable {
					c.JobCache.Reset(nil, 0, now)
				}
				sequence++
				// While the state store is unreachable, heartbeats are answered until the cancellation data is too old.
				if heartbeats || !storeReadable && now.Sub(c.JobCache.FreshAsOf()) <= c.Config.MaxCancellationAge() {
					for i := range machines {
						c.heartbeatFrom(i, sequence, now)
					}
				}
				c.runCycle(time.Second)
			}
			runCycle(0, true, true)
			for silenceEnd := now.Add(tc.silence); now.Before(silenceEnd); {
				runCycle(tc.step, tc.storeReadable, false)
			}
			if dead := len(c.releasingHosts()); dead != tc.wantDead {
				t.Errorf("%d machines are declared dead, want %d", dead, tc.wantDead)
			}
			for range 120 { // the machines still send no heartbeats
				runCycle(time.Second/2, true, false)
			}
			if dead := len(c.releasingHosts()); dead != machines {
				t.Errorf("%d machines are declared dead a minute later, want %d", dead, machines)
			}
		})
	}
}

// A new leader does not know the zone of machines that died before its term. Their number is compared with the whole
// fleet, so that they do not count as a partitioned zone.
func TestMachinesOfUnknownZoneAreDeclaredDead(t *testing.T) {
	const alive, deadMachines = 100, 20
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	c.detector.Start(now)
	for i := range deadMachines {
		m := c.fleet.GetOrAdd(fmt.Sprintf("x-%03d", i), now)
		attempt := &fleet.Attempt{JobUID: "run-000001", TaskIndex: i, Number: 1, Incarnation: 1, Inherited: true}
		c.fleet.AddAttempt(m, attempt, now)
	}
	for sequence := uint64(1); sequence <= 12; sequence++ {
		for i := range alive {
			c.heartbeatFrom(i, sequence, now)
		}
		c.fleet.MarkSuspected(now)
		c.releaseDead(now)
		now = now.Add(time.Second)
	}
	if dead := len(c.releasingHosts()); dead != deadMachines {
		t.Errorf("%d machines are declared dead, want %d", dead, deadMachines)
	}
}

// A leader that no longer receives the heartbeats of its own workers, while followers relay those of the other workers,
// suspects its own network links. It does so even while fewer than half of its own workers have missed two heartbeats,
// so that the first of them is not declared dead before it had time to find a follower.
func TestLeaderThatLosesItsOwnLinksDeclaresNoMachineDead(t *testing.T) {
	const ownWorkers, step = 18, 50 * time.Millisecond
	linksLostAt := time.Unix(1000, 0)
	now := linksLostAt
	c := newTestLeader(&now)
	heartbeat := func(i int, relay string, at time.Time) {
		c.fleet.ApplyHeartbeat(&wire.Heartbeat{
			Host:         hostName(i),
			Zone:         "a",
			Incarnation:  1,
			Sequence:     uint64(at.UnixMilli()),
			FencingToken: 5,
		}, at)
		c.fleet.Get(hostName(i)).RelayedBy = relay
	}
	for i := range ownWorkers {
		age := time.Duration(i) * time.Second / 25 // 0 to 0.68 s
		if i == 0 {
			age = 1700 * time.Millisecond
		}
		heartbeat(i, "", linksLostAt.Add(-age))
	}
	for now.Sub(linksLostAt) < 5500*time.Millisecond {
		for i := ownWorkers; i < 5*ownWorkers; i++ {
			heartbeat(i, "follower", now)
		}
		c.fleet.MarkSuspected(now)
		c.releaseDead(now)
		now = now.Add(step)
	}
	for _, host := range c.releasingHosts() {
		t.Errorf("machine %s is declared dead, want none", host)
	}
}
