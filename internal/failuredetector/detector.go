// Package failuredetector decides which machines are dead, by the heartbeats that are missing.
//
// A machine that sends no heartbeats may have stopped, or it may be the network, its relay or the
// leader itself that has failed. A Detector therefore compares it with the other machines: one
// that stops sending alone is declared dead within a few heartbeat intervals. If most of its zone
// or of its relay stops at the same time, it gets the time that it takes to find another
// controller.
//
// Nothing here waits, logs or takes a lock: the controller does, passes in what it observes, and
// acts on the causes of death. No safety rule rests on a decision made here. A machine that is
// declared dead is released, which does not make its attempts count as off. Only package fleet
// concludes that, from one of these proofs: the cloud has confirmed the release, the worker has
// begun a newer incarnation, or a heartbeat with this term's fencing token lacks the attempt
// (docs/safety.md, "No task runs twice").
//
// Two ages are told apart. Machine.LastHeartbeat is the newest heartbeat that any node answered:
// it decides whether this machine may be dead. Machine.LastHeartbeatHere is the newest that this
// leader answered, directly or through a relay: machines are counted as silent by it, since a
// cut between zones shows only there. A relay is a follower that keeps workers and passes their
// heartbeats on; the empty name stands for machines that reach the leader directly.
package failuredetector

import (
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// Options are the settings of a Detector. All are required.
type Options struct {
	// HeartbeatInterval is the time from one heartbeat of a worker to the next.
	HeartbeatInterval time.Duration
	// WorkerLease is how long a worker runs its tasks on without an answer to a heartbeat.
	WorkerLease time.Duration
	// TasksEndWithin is the time from the last heartbeat of a machine behind a cut until its
	// tasks have ended: a node without the state store stops renewing worker leases in time for
	// the tasks of cancelled jobs to end.
	TasksEndWithin time.Duration
	// Controllers is how many controllers the deployment has, this one included.
	Controllers int
	// BootS returns how many seconds a machine of a type usually boots; known is false for a
	// type that is not in the catalog. Judgement.CauseOfDeath calls it.
	BootS func(machineType string) (seconds float64, known bool)
}

// Machines are the machines of a fleet. A *fleet.Fleet is one.
type Machines interface {
	// Each calls fn for every machine, those that are Gone included.
	Each(fn func(*fleet.Machine))
}

// Peers are the other controllers, as this one sees them.
type Peers interface {
	// ReachedZones lists the zones of the controllers that are reached, this one included.
	ReachedZones() []string
	// RelayReached reports whether the follower with this label, which relays heartbeats, is
	// reached.
	RelayReached(label string) bool
}

// Observation is the input of a judgement.
type Observation struct {
	Now      time.Time
	Machines Machines
	Peers    Peers
}

// Detector holds the state that failure detection carries from one judgement to the next. It is
// not safe for concurrent use.
type Detector struct {
	options Options
	// judgingSince is when Start or Reset was last called.
	judgingSince time.Time
	// cutOffAt is the last time at which a zone was seen to be cut off, by zone.
	cutOffAt map[string]time.Time
	// relayUnreachableAt is the last time at which a relay seemed unable to reach its machines,
	// by relay. It is updated only while followers relay heartbeats.
	relayUnreachableAt map[string]time.Time
	paused             bool
}

// New returns a detector. Call Start before the first judgement.
func New(options Options) *Detector {
	return &Detector{
		options:            options,
		cutOffAt:           map[string]time.Time{},
		relayUnreachableAt: map[string]time.Time{},
	}
}

// Start begins the time that machines get to send their first heartbeat to this leader: until
// IsSettled, no machine that is Ready is declared dead for its missing heartbeats alone.
func (d *Detector) Start(now time.Time) { d.judgingSince = now }

// IsSettled reports whether the last Start or Reset is longer ago than a worker lease: by then
// every machine that is alive has had the time to send a heartbeat.
func (d *Detector) IsSettled(now time.Time) bool {
	return now.Sub(d.judgingSince) > d.options.WorkerLease
}

// Reset restarts the timeout of every machine, as if each had sent a heartbeat now: a leader
// whose process was paused does not know which machines sent one during the pause.
func (d *Detector) Reset(machines Machines, now time.Time) {
	d.Start(now)
	machines.Each(func(m *fleet.Machine) { m.LastHeartbeat, m.LastHeartbeatHere = now, now })
}

// SetPaused records whether failure detection is paused, and reports whether that is a change. It
// does not stop Judge: while detection is paused the caller calls Reset in every scheduling cycle,
// so that no machine reaches a timeout.
//
// The caller pauses detection while this node cannot answer heartbeats: its cancellation data is
// stale, so no heartbeat arrives and every machine would look dead; and when it answers again the
// workers come back one after the other. After an outage of a minute a leader had declared 550 of
// 700 machines dead.
func (d *Detector) SetPaused(paused bool) (changed bool) {
	changed = paused != d.paused
	d.paused = paused
	return changed
}

// Judge makes a judgement of the machines that are observed. It is valid for this moment only.
func (d *Detector) Judge(observation Observation) *Judgement {
	now := observation.Now
	e := d.gather(observation.Machines, now)
	reachedZones := observation.Peers.ReachedZones()
	d.updateCutOffZones(e, reachedZones, now)
	d.updateUnreachableRelays(e, observation.Peers, now)
	return d.judgement(e, len(reachedZones), now)
}

// minCutOffMachines is the number of machines of a zone that must be silent at least for the zone
// to count as cut off: one or two may as well have died at the same time.
const minCutOffMachines = 3

// updateCutOffZones records the zones that are cut off. If most machines of a zone are silent and
// no controller in it is reached either, the zone is cut off rather than its machines dead: their
// tasks may run on, and they will send heartbeats again. If a controller in the zone is reached,
// the machines are dead.
func (d *Detector) updateCutOffZones(e *evidence, reachedZones []string, now time.Time) {
	for zone, g := range e.zones {
		isMost := g.longSilent >= minCutOffMachines && 2*g.longSilent > g.total
		if zone != "" && isMost && !slices.Contains(reachedZones, zone) {
			d.cutOffAt[zone] = now
		}
	}
}

// updateUnreachableRelays records, while followers relay heartbeats, which controllers seem unable
// to reach their machines: followers that are not reached, and every controller, this one included
// as "", none of whose machines has sent a heartbeat for half of an interval. Pings show the
// failure only after the first of its machines have been silent for three intervals, and the count
// of silent machines does not always show it by then: with 18 machines of its own, a leader that
// could not reach them any more declared the first one dead in 7 % of the runs, since just under
// half of the others had been silent for two intervals.
func (d *Detector) updateUnreachableRelays(e *evidence, peers Peers, now time.Time) {
	if onlyHere(e.newestHeartbeat) {
		return
	}
	for relay, newest := range e.newestHeartbeat {
		if now.Sub(newest) > d.options.HeartbeatInterval/2 || relay != "" && !peers.RelayReached(relay) {
			d.relayUnreachableAt[relay] = now
		}
	}
}
