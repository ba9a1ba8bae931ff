// Package failuredetector decides which machines are dead, by the heartbeats that are missing.
//
// A machine that sends no heartbeats may have stopped, or it may be the network, its relay or the
// leader itself that has failed. A Detector therefore weighs who else is silent: machines that
// fall silent alone are declared dead within a few heartbeat intervals, those that fall silent
// together with most of their zone or of their relay get the time that it takes them to find
// another controller.
//
// Nothing here waits, logs or takes a lock: the controller does, passes in what it observes, and
// acts on the causes of death. No rule of safety rests on what is decided here: a machine that is
// declared dead is released, and its tasks count as off only once the cloud has confirmed that.
package failuredetector

import (
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// Options are the settings that the detector judges by.
type Options struct {
	HeartbeatInterval time.Duration
	WorkerLease       time.Duration
	// TasksEndWithin is how long after its last heartbeat nothing of a machine behind a cut runs
	// on: a node without the state store stops renewing leases in time for the tasks of
	// cancelled jobs to end.
	TasksEndWithin time.Duration
	// Controllers is how many controllers the deployment has, this one included.
	Controllers int
	// BootS is how many seconds a machine of a type usually boots; known is false for a type
	// that is not in the catalog.
	BootS func(machineType string) (seconds float64, known bool)
}

// Machines are the machines of a fleet.
type Machines interface {
	Each(fn func(*fleet.Machine))
}

// Peers are the other controllers, as this one sees them.
type Peers interface {
	// ReachedZones lists the zones of the controllers that are reached, this one included.
	ReachedZones() []string
	// RelayReached reports whether the follower with this label is reached.
	RelayReached(label string) bool
}

// Observation is what a judgement is made on.
type Observation struct {
	Now      time.Time
	Machines Machines
	Peers    Peers
}

// Detector keeps what failure detection remembers from one judgement to the next.
type Detector struct {
	options Options
	// judgingSince is when this leader began to judge, or last gave all machines the time again
	// to send a heartbeat.
	judgingSince time.Time
	// cutOffAt is, by zone, when most of it was last silent.
	cutOffAt map[string]time.Time
	// relayUnreachableAt is, by the controller that answers machines, when its links last seemed
	// lost. It is kept up only while followers relay heartbeats.
	relayUnreachableAt map[string]time.Time
	paused             bool
}

// New makes a detector that has not judged yet. Start says from when on it does.
func New(options Options) *Detector {
	return &Detector{
		options:            options,
		cutOffAt:           map[string]time.Time{},
		relayUnreachableAt: map[string]time.Time{},
	}
}

// Start lets the detector judge from now on.
func (d *Detector) Start(now time.Time) { d.judgingSince = now }

// IsSettled reports whether the detector has judged for longer than a worker lease: by then every
// machine that is alive has had the time to send a heartbeat.
func (d *Detector) IsSettled(now time.Time) bool {
	return now.Sub(d.judgingSince) > d.options.WorkerLease
}

// Reset gives every machine the time again that it has to send a heartbeat: a leader whose process
// was paused does not know who sent one meanwhile.
func (d *Detector) Reset(machines Machines, now time.Time) {
	d.Start(now)
	machines.Each(func(m *fleet.Machine) { m.LastHeartbeat, m.LastHeartbeatHere = now, now })
}

// SetPaused pauses or resumes the detector, and reports whether that is a change. While it is
// paused the caller resets it in every scheduling cycle.
//
// It is paused while this node cannot answer heartbeats: its cancellation data is stale, so no
// heartbeat arrives and every machine would look dead; and when it answers again the workers come
// back one after the other. After an outage of a minute a leader had declared 550 of 700 machines
// dead.
func (d *Detector) SetPaused(paused bool) (changed bool) {
	changed = paused != d.paused
	d.paused = paused
	return changed
}

// Judge weighs what is observed. The judgement holds for this moment only.
func (d *Detector) Judge(o Observation) *Judgement {
	e := d.gather(o.Machines, o.Now)
	reachedZones := o.Peers.ReachedZones()
	d.updateCutOffZones(e, reachedZones, o.Now)
	d.updateUnreachableRelays(e, o.Peers, o.Now)
	return d.judgement(e, len(reachedZones), o.Now)
}

// updateCutOffZones remembers the zones that are cut off. Most machines of a zone that fall silent
// together are cut off rather than dead, if no controller there is reached either: what they run
// may go on, and they will be back. Where a controller is reached, they are dead.
func (d *Detector) updateCutOffZones(e *evidence, reachedZones []string, now time.Time) {
	for zone, g := range e.zones {
		if zone != "" && g.longSilent > 2 && 2*g.longSilent > g.total && !slices.Contains(reachedZones, zone) {
			d.cutOffAt[zone] = now
		}
	}
}

// updateUnreachableRelays remembers, while followers relay heartbeats, which controllers seem to
// have lost their links: followers that are not reached, and every controller, this one included
// as "", none of whose machines has sent a heartbeat for half of an interval. Pings tell of the
// loss only after the first of its machines have been silent for three intervals, and counting
// who is silent does not always tell by then: with 18 machines of its own, a leader that had lost
// them declared the first one dead in 7 % of the runs, since just under half of the others had
// been silent for two intervals.
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
