package failuredetector

import (
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// Cause is why a machine is declared dead. Log lines show it as the reason of the machine's
// change of state.
type Cause string

// Causes of death.
const (
	NotDead       Cause = ""
	Failed        Cause = "the cloud lists it as failed"
	LeaseExpired  Cause = "no heartbeat within its lease"
	SilentAlone   Cause = "no heartbeat while others send theirs"
	NeverBooted   Cause = "it never came up"
	SpotReclaimed Cause = "the cloud reclaims it and no task is left on it"
)

// unansweredHeartbeat is the time that a node which does not answer costs a worker, by the
// protocol: the worker waits 4 s for the answer and sends the heartbeat to the next node 1 s later.
const unansweredHeartbeat = 5 * time.Second

// Judgement decides which machines are dead, at one moment.
type Judgement struct {
	detector *Detector
	evidence *evidence
	now      time.Time
	// groupOneIn is the share of silent machines, as one in so many, above which the zone or the
	// relay is taken to have failed rather than each machine.
	groupOneIn int
	// patience is how long a machine may be silent before it is declared dead.
	patience time.Duration
	// search is how long a worker may need to find a node that answers.
	search time.Duration
}

// judgement derives the limits of this moment from the evidence.
func (d *Detector) judgement(e *evidence, reachedZones int, now time.Time) *Judgement {
	interval := d.options.HeartbeatInterval
	// groupOneIn is compared with the machines that are silent for two intervals, not three: the
	// first machines behind a cut are silent for three intervals while the last ones have just
	// missed a heartbeat, and a leader that counted only the former released 17 of 90 before it
	// detected the cut. Up to half of a zone counts as dead: if it is their network that failed,
	// their leases end anyway, and waiting would only delay the restart of their tasks.
	j := &Judgement{detector: d, evidence: e, now: now, groupOneIn: 2, patience: 3 * interval}
	// A worker learns with its next heartbeat that a controller is gone, and each node that does
	// not answer costs it one unanswered heartbeat.
	unreachable := d.options.Controllers - reachedZones
	j.search = interval*5/4 + time.Duration(max(1, unreachable))*unansweredHeartbeat
	if e.manyRelayed() {
		// This node's own links may have failed: a leader that could not reach the workers any
		// more released 150 of 330 while they were looking for its peers. It still released 80
		// when it declared no more than an eighth dead, but after three intervals.
		j.groupOneIn, j.patience = 8, max(j.patience, j.search+interval/2)
	}
	return j
}

// CauseOfDeath returns why a machine is declared dead; NotDead if it is not.
func (j *Judgement) CauseOfDeath(m *fleet.Machine) Cause {
	silence := j.now.Sub(m.LastHeartbeat)
	switch {
	case m.State == fleet.Returning || m.State == fleet.Gone:
		return NotDead
	case m.Failed:
		return Failed
	case m.State == fleet.Suspected && (!j.isCutOff(m) || silence > j.detector.options.TasksEndWithin):
		return LeaseExpired
	case j.isSilentAlone(m, silence):
		return SilentAlone
	case j.neverBooted(m):
		return NeverBooted
	case m.SpotNotice && m.LiveCount() == 0 && m.State == fleet.Ready:
		return SpotReclaimed
	}
	return NotDead
}

// isCutOff reports whether a machine's zone was cut off within the last worker lease. When a cut
// ends, machines come back one after the other: the last ones must not be declared dead because
// the others are back.
func (j *Judgement) isCutOff(m *fleet.Machine) bool {
	at, found := j.detector.cutOffAt[m.Zone]
	return found && j.now.Sub(at) < j.detector.options.WorkerLease
}

// patienceWith returns how long this machine may be silent before it is declared dead.
func (j *Judgement) patienceWith(m *fleet.Machine) time.Duration {
	options := &j.detector.options
	at, found := j.detector.relayUnreachableAt[m.RelayedBy]
	if found && j.now.Sub(at) < options.WorkerLease {
		// The worker looks for another node. The answer to its last heartbeat may have waited
		// half of an interval for commands, and for the follower's next batch.
		return max(j.patience, j.search+3*options.HeartbeatInterval/2)
	}
	return j.patience
}

// isOneOfFew reports whether only a few machines of this machine's zone and relay are silent. If
// many are, the zone or the relay is unreachable, and the machine itself is probably alive.
func (j *Judgement) isOneOfFew(m *fleet.Machine) bool {
	relays := j.evidence.relays
	if !onlyHere(relays) && relays[m.RelayedBy].hasMoreSilentThan(j.groupOneIn) {
		return false
	}
	return !j.isCutOff(m) && !j.evidence.zones[m.Zone].hasMoreSilentThan(j.groupOneIn)
}

// isSilentAlone reports whether a machine sends no heartbeats while the others send theirs: it has
// stopped, hangs or is cut off, and by the time it comes back its lease has ended, so waiting
// would only delay its tasks. A machine that has not sent a heartbeat to a new leader yet may
// still be looking for it: it gets the time of a search instead.
func (j *Judgement) isSilentAlone(m *fleet.Machine, silence time.Duration) bool {
	switch {
	case m.State == fleet.Ready:
		return j.detector.IsSettled(j.now) && silence > j.patienceWith(m) && j.isOneOfFew(m)
	case m.State == fleet.Booting && m.LiveCount() > 0:
		return silence > j.search && j.isOneOfFew(m)
	}
	return false
}

// A machine that has sent no heartbeat for overdueBoots times the usual boot time of its type is
// given up. unknownTypeBootS stands for that time if the catalog does not have the type.
const (
	overdueBoots     = 3.5
	unknownTypeBootS = 60
)

// neverBooted reports whether a machine that runs nothing should have come up long ago. To a new
// leader every machine is Booting until its first heartbeat, which may take two worker leases.
func (j *Judgement) neverBooted(m *fleet.Machine) bool {
	if m.State != fleet.Booting || m.LiveCount() > 0 {
		return false
	}
	options := &j.detector.options
	bootS, known := options.BootS(m.Type)
	if !known {
		bootS = unknownTypeBootS
	}
	settled := j.now.Sub(j.detector.judgingSince) > 2*options.WorkerLease
	return settled && j.now.Sub(m.FirstSeen).Seconds() > overdueBoots*bootS
}
