package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// silence is a way in which some of 180 machines stop sending heartbeats at 10 s.
type silence struct {
	name     string
	isSilent func(i int) bool
	// isRenewed says whose leases a follower renews from 14 s on.
	isRenewed func(i int) bool
	// relays says that the follower relays their heartbeats to the leader.
	relays bool
	// after is when the machines that are declared dead are counted, from 10 s on.
	after    time.Duration
	wantDead int
}

// In a cut between zones machines become silent one after the other, as their heartbeats come due,
// and a follower answers some of them soon. None is declared dead before its tasks must have ended:
// a leader that counted only those that were silent for three intervals, and took those that a
// follower answers for reachable, released 38 of 90. Up to half of a zone that stop while the
// others send heartbeats are declared dead after three intervals, and more than that after a lease
// if a controller in the zone is reached: two thirds of a zone that had died were once not replaced
// for six leases.
func TestWhichSilentMachinesAreDeclaredDead(t *testing.T) {
	all := func(int) bool { return true }
	none := func(int) bool { return false }
	isInZoneB := func(i int) bool { return i%2 == 1 }
	for _, tc := range []silence{
		{
			name:      "a zone is cut off",
			isSilent:  isInZoneB,
			isRenewed: func(i int) bool { return i%4 == 1 },
			after:     30 * time.Second,
			wantDead:  0,
		},
		{
			name:      "few",
			isSilent:  func(i int) bool { return i < 9 },
			isRenewed: none,
			after:     4500 * time.Millisecond,
			wantDead:  9,
		},
		{
			name:      "many",
			isSilent:  func(i int) bool { return i%3 == 0 },
			isRenewed: none,
			after:     4500 * time.Millisecond,
			wantDead:  60,
		},
		{
			name:      "most of a zone that is reached",
			isSilent:  func(i int) bool { return i%2 == 0 && i > 20 },
			isRenewed: none,
			after:     11500 * time.Millisecond,
			wantDead:  79,
		},
		{
			name:      "the leader loses its links",
			isSilent:  all,
			isRenewed: func(i int) bool { return i%3 > 0 },
			relays:    true,
			after:     8 * time.Second,
			wantDead:  0,
		},
		{
			name:      "the leader loses its links, a few machines are late",
			isSilent:  all,
			isRenewed: func(i int) bool { return i%24 > 0 },
			relays:    true,
			after:     5200 * time.Millisecond,
			wantDead:  0,
		},
		{
			name:      "the leader loses its links, a few machines are dead",
			isSilent:  all,
			isRenewed: func(i int) bool { return i%24 > 0 },
			relays:    true,
			after:     8 * time.Second,
			wantDead:  8,
		},
		{
			name:      "a zone whose leases nobody renews",
			isSilent:  isInZoneB,
			isRenewed: none,
			after:     45 * time.Second,
			wantDead:  90,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dead := tc.run()
			slices.Sort(dead)
			if len(dead) != tc.wantDead {
				t.Errorf("%d machines are declared dead, want %d: %v", len(dead), tc.wantDead, dead)
			}
		})
	}
}

// run lets the machines send heartbeats and fall silent, and lists those that are declared dead.
func (s *silence) run() []string {
	const machines, step = 180, 50 * time.Millisecond
	const silentFrom, renewedFrom = 10 * time.Second, 14 * time.Second
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	began := now
	for sequence := uint64(1); now.Sub(began) < silentFrom+s.after; sequence++ {
		at := now.Sub(began)
		for i := range machines {
			due := int64(i)%20 == int64(sequence)%20 // each in its turn, once a second
			switch {
			case due && (at < silentFrom || !s.isSilent(i)):
				c.heartbeatFrom(i, sequence, now)
			case due && at > renewedFrom && s.isRenewed(i) && s.relays:
				c.heartbeatFrom(i, sequence, now)
				c.fleet.Get(hostName(i)).LastRelayedHeartbeat = now
			case due && at > renewedFrom && s.isRenewed(i):
				c.fleet.Get(hostName(i)).LastHeartbeat = now
			}
		}
		c.fleet.MarkSuspected(now)
		c.releaseDead(now)
		now = now.Add(step)
	}
	return c.returningHosts()
}

// A leader whose process was paused, or that answered no heartbeats because the state store was
// unreachable for too long, does not know which machines would have sent one meanwhile: it declares
// none dead until their restarted timeouts have passed.
func TestNoMachineIsDeclaredDeadAfterAPauseOrAnOutage(t *testing.T) {
	const machines = 40
	for _, tc := range []struct {
		name          string
		step          time.Duration // from round to round until it is over
		storeReadable bool          // all the time
		silence       time.Duration
		wantDead      int
	}{
		{"the process is paused", 25 * time.Second, true, 25 * time.Second, 0},
		{"the state store is unreachable", time.Second / 2, false, 90 * time.Second, 0},
		// The other half is in a zone without a controller that is reached.
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
				// In an outage heartbeats are answered for as long as they may be.
				if heartbeats || !storeReadable && now.Sub(c.JobCache.FreshAsOf()) <= c.Config.MaxCancellationAge() {
					for i := range machines {
						c.heartbeatFrom(i, sequence, now)
					}
				}
				c.runCycle(time.Second)
			}
			runCycle(0, true, true)
			for over := now.Add(tc.silence); now.Before(over); {
				runCycle(tc.step, tc.storeReadable, false)
			}
			if dead := len(c.returningHosts()); dead != tc.wantDead {
				t.Errorf("%d machines are declared dead, want %d", dead, tc.wantDead)
			}
			for range 120 { // none of them sends a heartbeat now, either
				runCycle(time.Second/2, true, false)
			}
			if dead := len(c.returningHosts()); dead != machines {
				t.Errorf("%d machines are declared dead a minute later, want %d", dead, machines)
			}
		})
	}
}

// A new leader does not know the zone of machines that died before its term. They are compared with
// the whole fleet, and not taken for a zone that is cut off.
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
	if dead := len(c.returningHosts()); dead != deadMachines {
		t.Errorf("%d machines are declared dead, want %d", dead, deadMachines)
	}
}

// A leader that no longer receives heartbeats of its own workers while followers relay those of the
// others suspects its own links, also while fewer than half of its workers have been silent for two
// intervals: the first of them is not declared dead before it had the time to find a follower.
func TestLeaderThatLosesItsOwnLinksDeclaresNoMachineDead(t *testing.T) {
	const own, step = 18, 50 * time.Millisecond
	cut := time.Unix(1000, 0)
	now := cut
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
	for i := range own {
		age := time.Duration(i) * time.Second / 25 // 0 to 0.68 s
		if i == 0 {
			age = 1700 * time.Millisecond
		}
		heartbeat(i, "", cut.Add(-age))
	}
	for now.Sub(cut) < 5500*time.Millisecond {
		for i := own; i < 5*own; i++ {
			heartbeat(i, "follower", now)
		}
		c.fleet.MarkSuspected(now)
		c.releaseDead(now)
		now = now.Add(step)
	}
	for _, host := range c.returningHosts() {
		t.Errorf("%s is declared dead", host)
	}
}
