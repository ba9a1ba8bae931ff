package failuredetector

import (
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// Cause is the reason why a machine is declared dead. Log lines show it as the reason of the machine's
// change of state.
type Cause string

// The causes of death.
const (
	NotDead       Cause = ""
	Failed        Cause = "the cloud lists the machine as failed"
	LeaseExpired  Cause = "no heartbeat within a worker lease"
	SilentAlone   Cause = "no heartbeat while other machines send theirs"
	NeverBooted   Cause = "the machine did not boot in time"
	SpotReclaimed Cause = "the cloud is reclaiming the machine and no task is left on it"
)

// unansweredHeartbeat is the time that a worker loses at a node that does not answer. By the protocol the
// worker waits 4 s for the answer, and sends the heartbeat to the next node 1 s later.
const unansweredHeartbeat = 5 * time.Second

// Evaluation decides which machines are dead at the time of one observation.
type Evaluation struct {
	detector *Detector
	evidence *evidence
	now      time.Time
	// silentShareDivisor sets the share of silent machines above which the zone or the relay is
	// taken to have failed rather than each machine: 2 stands for a half, 8 for an eighth.
	silentShareDivisor int
	// heartbeatTimeout is how long a machine may be silent before it is declared dead.
	heartbeatTimeout time.Duration
	// reconnectTime is how long a worker may need to find a node that answers.
	reconnectTime time.Duration
}

// newEvaluation derives the timeouts and limits of an evaluation from the evidence.
func (d *Detector) newEvaluation(e *evidence, reachableControllers int, now time.Time) *Evaluation {
	interval := d.options.HeartbeatInterval
	// silentShareDivisor applies to the machines that are silent for two intervals, not three. In a partition,
	// the first machines are silent for three intervals when the last ones have just missed a heartbeat: a
	// leader that counted machines silent for three intervals released 17 of 90 machines before it detected the
	// partition. Up to half of a zone counts as dead. If in fact the network of these machines has failed, their
	// leases end anyway, and waiting would only delay the restart of their tasks.
	ev := &Evaluation{detector: d, evidence: e, now: now, silentShareDivisor: 2, heartbeatTimeout: 3 * interval}
	// A worker notices at its next heartbeat that a controller is unreachable, and loses one
	// unansweredHeartbeat at each node that does not answer.
	unreachableControllers := d.options.Controllers - reachableControllers
	ev.reconnectTime = interval*5/4 + time.Duration(max(1, unreachableControllers))*unansweredHeartbeat
	if e.manyRelayed() {
		// This node's own links may have failed. A leader that could no longer reach the workers
		// released 150 of 330 machines while these were looking for its peers. With the share
		// lowered to an eighth, but the timeout still at three intervals, it released 80.
		ev.silentShareDivisor, ev.heartbeatTimeout = 8, max(ev.heartbeatTimeout, ev.reconnectTime+interval/2)
	}
	return ev
}

// CauseOfDeath returns why a machine is declared dead, or NotDead if it is not.
func (ev *Evaluation) CauseOfDeath(m *fleet.Machine) Cause {
	silence := ev.now.Sub(m.LastHeartbeat)
	switch {
	case m.State == fleet.Releasing || m.State == fleet.Gone:
		return NotDead
	case m.Failed:
		return Failed
	case m.State == fleet.Suspected && (!ev.isPartitioned(m) || silence > ev.detector.options.TasksEndWithin):
		return LeaseExpired
	case ev.isSilentAlone(m, silence):
		return SilentAlone
	case ev.neverBooted(m):
		return NeverBooted
	case m.SpotNotice && m.LiveCount() == 0 && m.State == fleet.Ready:
		return SpotReclaimed
	}
	return NotDead
}

// isPartitioned reports whether a machine's zone was partitioned within the last worker lease. When a
// partition ends, the machines return one after the other, and the last ones must not be declared dead
// just because most of the others are back.
func (ev *Evaluation) isPartitioned(m *fleet.Machine) bool {
	at, found := ev.detector.partitionedAt[m.Zone]
	return found && ev.now.Sub(at) < ev.detector.options.WorkerLease
}

// heartbeatTimeoutOf returns how long this machine may be silent before it is declared dead.
func (ev *Evaluation) heartbeatTimeoutOf(m *fleet.Machine) time.Duration {
	options := &ev.detector.options
	at, found := ev.detector.relayUnreachableAt[m.RelayedBy]
	if found && ev.now.Sub(at) < options.WorkerLease {
		// The worker may be looking for another node. The answer to its last heartbeat may have
		// waited half an interval for commands, and then for the follower's next batch.
		return max(ev.heartbeatTimeout, ev.reconnectTime+3*options.HeartbeatInterval/2)
	}
	return ev.heartbeatTimeout
}

// isIsolatedFailure reports whether only a few machines of this machine's zone and relay are silent. If
// many are, the zone or the relay is unreachable and the machine itself is probably alive.
func (ev *Evaluation) isIsolatedFailure(m *fleet.Machine) bool {
	relays := ev.evidence.relays
	if !allDirect(relays) && relays[m.RelayedBy].silentExceedsShare(ev.silentShareDivisor) {
		return false
	}
	return !ev.isPartitioned(m) && !ev.evidence.zones[m.Zone].silentExceedsShare(ev.silentShareDivisor)
}

// isSilentAlone reports whether a machine sends no heartbeats while most others send theirs: it has
// stopped, hangs or has lost its network. By the time it returns its lease has ended, so waiting would
// only delay its tasks. A machine that has not sent a heartbeat to a new leader yet may still be looking
// for that leader, so its timeout is reconnectTime.
func (ev *Evaluation) isSilentAlone(m *fleet.Machine, silence time.Duration) bool {
	switch {
	case m.State == fleet.Ready:
		return ev.detector.IsSettled(ev.now) && silence > ev.heartbeatTimeoutOf(m) && ev.isIsolatedFailure(m)
	case m.State == fleet.Booting && m.LiveCount() > 0:
		return silence > ev.reconnectTime && ev.isIsolatedFailure(m)
	}
	return false
}

// A machine that has sent no heartbeat after bootTimeoutFactor times the usual boot time of its type is
// declared dead. defaultBootS is used as the boot time if the catalog does not contain the type.
const (
	bootTimeoutFactor = 3.5
	defaultBootS      = 60
)

// neverBooted reports whether a machine without live attempts should have booted long ago. For a new
// leader every machine is Booting until its first heartbeat, which may take two worker leases.
func (ev *Evaluation) neverBooted(m *fleet.Machine) bool {
	if m.State != fleet.Booting || m.LiveCount() > 0 {
		return false
	}
	options := &ev.detector.options
	bootS, known := options.BootS(m.Type)
	if !known {
		bootS = defaultBootS
	}
	settled := ev.now.Sub(ev.detector.startedAt) > 2*options.WorkerLease
	return settled && ev.now.Sub(m.FirstSeen).Seconds() > bootTimeoutFactor*bootS
}
