// Package failuredetector decides from missed heartbeats which machines are dead.
//
// If a machine sends no heartbeats, either the machine, the network, its relay or the leader itself may
// have failed. A Detector therefore compares the machine with the others. If only a few machines
// stop sending, they are declared dead within a few heartbeat intervals. If most machines of a zone or
// of a relay stop at the same time, they get the time that their workers need to find another
// controller.
//
// The package does not wait, log or take locks. The controller passes in its observations and releases
// the machines that are declared dead.
//
// No safety rule depends on a decision made here: the attempts on a machine that is declared dead do not
// count as off. Only package fleet decides that, by one of these proofs: the cloud has confirmed the
// release, the worker has begun a newer incarnation, or a heartbeat with this term's fencing token does
// not list the attempt (docs/safety.md, "No task runs twice").
//
// Two fields hold the time of a machine's last heartbeat. Machine.LastHeartbeat is when any node last
// answered a heartbeat: it decides whether this machine may be dead. Machine.LastHeartbeatHere is when
// this leader last answered a heartbeat, directly or through a relay: it decides whether the machine is
// counted as silent when machines are compared, since a network partition between zones shows only there.
//
// A relay is a follower that answers workers and passes their heartbeats on to the leader. The empty
// relay name stands for machines that reach the leader directly.
package failuredetector

import (
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// Options are the settings of a Detector. All are required.
type Options struct {
	// HeartbeatInterval is the time between two heartbeats of a worker.
	HeartbeatInterval time.Duration
	// WorkerLease is how long a worker keeps its tasks running without an answer to a heartbeat.
	WorkerLease time.Duration
	// TasksEndWithin is the time from the last heartbeat of a partitioned machine until its tasks
	// have ended. A node that cannot reach the state store stops renewing worker leases early
	// enough for the tasks of cancelled jobs to end in time.
	TasksEndWithin time.Duration
	// Controllers is the number of controllers in the deployment, including this one.
	Controllers int
	// BootS returns how many seconds a machine of a type usually takes to boot; known is false
	// for a type that is not in the catalog. Evaluation.CauseOfDeath calls it.
	BootS func(machineType string) (seconds float64, known bool)
}

// Machines gives access to the machines of a fleet. *fleet.Fleet implements it.
type Machines interface {
	// Each calls visit for every machine, including those that are Gone.
	Each(visit func(*fleet.Machine))
}

// Peers tells which of the other controllers are reachable from this one.
type Peers interface {
	// ReachableZones lists the zones of the reachable controllers, including this one. A zone is
	// listed once per controller, since an evaluation takes the length of the list as the number of
	// reachable controllers.
	ReachableZones() []string
	// RelayReachable reports whether the relay with this label is reachable.
	RelayReachable(label string) bool
}

// Observation is the input of an evaluation.
type Observation struct {
	Now      time.Time
	Machines Machines
	Peers    Peers
}

// Detector holds the state that failure detection keeps between evaluations. It is not safe for
// concurrent use.
type Detector struct {
	options Options
	// startedAt is when Start or Reset was last called.
	startedAt time.Time
	// partitionedAt is the last time at which a zone seemed to be partitioned, by zone.
	partitionedAt map[string]time.Time
	// relayUnreachableAt is the last time at which a relay seemed unable to reach its machines, by
	// relay. It is updated only while followers relay heartbeats.
	relayUnreachableAt map[string]time.Time
	paused             bool
}

// New returns a detector. Call Start before the first evaluation.
func New(options Options) *Detector {
	return &Detector{
		options:            options,
		partitionedAt:      map[string]time.Time{},
		relayUnreachableAt: map[string]time.Time{},
	}
}

// Start begins the grace period in which machines send their first heartbeat to this leader. Until
// IsSettled returns true, no machine that is Ready is declared dead only because it missed heartbeats.
func (d *Detector) Start(now time.Time) { d.startedAt = now }

// IsSettled reports whether more than a worker lease has passed since the last Start or Reset. By then
// every machine that is alive has had time to send a heartbeat.
func (d *Detector) IsSettled(now time.Time) bool {
	return now.Sub(d.startedAt) > d.options.WorkerLease
}

// Reset restarts the timeout of every machine, as if each had sent a heartbeat now. A leader whose
// process was paused needs it, since it does not know which machines sent heartbeats during the pause.
func (d *Detector) Reset(machines Machines, now time.Time) {
	d.Start(now)
	machines.Each(func(m *fleet.Machine) { m.LastHeartbeat, m.LastHeartbeatHere = now, now })
}

// SetPaused records whether failure detection is paused, and reports whether that is a change. It does
// not disable Evaluate: while detection is paused, the caller calls Reset in every scheduling cycle, so
// that no machine reaches a timeout.
//
// The caller pauses detection while this node cannot answer heartbeats because its cancellation data is
// stale. During that time it accepts no heartbeat and every machine would seem dead, and when the node
// answers again the workers return one after the other. Without the pause, a leader declared 550 of 700
// machines dead after an outage of a minute.
func (d *Detector) SetPaused(paused bool) (changed bool) {
	changed = paused != d.paused
	d.paused = paused
	return changed
}

// Evaluate evaluates an observation. The result is valid for the time of the observation only.
func (d *Detector) Evaluate(observation Observation) *Evaluation {
	now := observation.Now
	e := d.gatherEvidence(observation.Machines, now)
	reachableZones := observation.Peers.ReachableZones()
	d.updatePartitionedZones(e, reachableZones, now)
	d.updateUnreachableRelays(e, observation.Peers, now)
	return d.newEvaluation(e, len(reachableZones), now)
}

// minSilentMachines is the minimum number of silent machines for a zone to count as partitioned: one or
// two machines may just as well have failed at the same time.
const minSilentMachines = 3

// updatePartitionedZones records the zones that are partitioned. If most machines of a zone are silent
// and no controller in the zone is reachable either, the zone is probably partitioned and its machines
// are not dead: their tasks may continue, and they will send heartbeats again. If a controller in the
// zone is reachable, the machines are dead.
func (d *Detector) updatePartitionedZones(e *evidence, reachableZones []string, now time.Time) {
	for zone, g := range e.zones {
		mostAreSilent := g.silentThreeIntervals >= minSilentMachines && 2*g.silentThreeIntervals > g.total
		if zone != "" && mostAreSilent && !slices.Contains(reachableZones, zone) {
			d.partitionedAt[zone] = now
		}
	}
}

// updateUnreachableRelays records, while followers relay heartbeats, which controllers seem unable to
// reach their machines: followers that are not reachable, and controllers none of whose machines has
// sent a heartbeat for half of an interval. The second rule also covers this controller, which has the
// empty relay name.
//
// Pings and the count of silent machines do not always show such a failure in time. Pings show it only
// after the first machines of the controller have been silent for three intervals. By then the count may
// still be too low: a leader with 18 machines of its own that could no longer reach them declared the
// first one dead in 7 % of the runs, since just under half of the others had been silent for two
// intervals.
func (d *Detector) updateUnreachableRelays(e *evidence, peers Peers, now time.Time) {
	if allDirect(e.newestHeartbeat) {
		return
	}
	for relay, newest := range e.newestHeartbeat {
		if now.Sub(newest) > d.options.HeartbeatInterval/2 || relay != "" && !peers.RelayReachable(relay) {
			d.relayUnreachableAt[relay] = now
		}
	}
}
