package failuredetector

import (
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// Cause says why a machine is declared dead, as log lines give it.
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

// workerAttempt is what a node that does not answer costs a worker, as the protocol has it: it
// waits 4 s for the answer and tries the next node 1 s later.
const workerAttempt = 5 * time.Second

// Judgement says at one moment which machines are dead.
type Judgement struct {
	detector *Detector
	evidence *evidence
	now      time.Time
	// groupOneIn says when a group is in doubt: if more than one in so many are silent.
	groupOneIn int
	// patience is how long a machine may be silent.
	patience time.Duration
	// search is how long a worker may look for a node that answers.
	search time.Duration
}

func (d *Detector) judgement(e *evidence, reachedZones int, now time.Time) *Judgement {
	interval := d.options.HeartbeatInterval
	// The first machines behind a cut are silent for three intervals while the last ones have
	// just missed a heartbeat: counting only the former, a leader released 17 of 90 before it
	// saw that there was a cut. Up to half of a zone counts as dead: if it is their network
	// that failed, their leases end anyway, and what they ran is down for as long later instead.
	j := &Judgement{detector: d, evidence: e, now: now, groupOneIn: 2, patience: 3 * interval}
	// A worker learns with its next heartbeat that a controller is gone, and each that does not
	// answer costs it one attempt.
	unreachable := d.options.Controllers - reachedZones
	j.search = interval*5/4 + time.Duration(max(1, unreachable))*workerAttempt
	if e.manyRelayed() {
		// It may be this node's own links: a leader that had lost the workers released 150 of
		// 330 on their way to its peers, and 80 still when it declared no more than an eighth
		// dead, but after three intervals.
		j.groupOneIn, j.patience = 8, max(j.patience, j.search+interval/2)
	}
	return j
}

// CauseOfDeath is why a machine is declared dead; NotDead if it is not.
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

// isCutOff reports whether a machine is behind a cut. When a cut ends, machines come back one
// after the other: the last ones must not be taken for dead because the others are back.
func (j *Judgement) isCutOff(m *fleet.Machine) bool {
	at, found := j.detector.cutOffAt[m.Zone]
	return found && j.now.Sub(at) < j.detector.options.WorkerLease
}

// patienceWith is how long a machine may be silent.
func (j *Judgement) patienceWith(m *fleet.Machine) time.Duration {
	options := &j.detector.options
	at, found := j.detector.relayUnreachableAt[m.RelayedBy]
	if found && j.now.Sub(at) < options.WorkerLease {
		// It looks for another node; its last answer may have waited for commands, and for
		// the next batch.
		return max(j.patience, j.search+3*options.HeartbeatInterval/2)
	}
	return j.patience
}

// isOneOfFew reports whether a silent machine is one of few: if not, it is rather its relay or its
// zone that is not reached.
func (j *Judgement) isOneOfFew(m *fleet.Machine) bool {
	relays := j.evidence.relays
	if !onlyHere(relays) && relays[m.RelayedBy].hasMoreSilentThan(j.groupOneIn) {
		return false
	}
	return !j.isCutOff(m) && !j.evidence.zones[m.Zone].hasMoreSilentThan(j.groupOneIn)
}

// isSilentAlone reports whether a machine has fallen silent while the others go on: it has
// stopped, hangs or is cut off, and by the time it comes back its lease has ended. Waiting would
// only cost time. Those that have not sent a heartbeat to a new leader yet may still be looking
// for it, and get a little longer.
func (j *Judgement) isSilentAlone(m *fleet.Machine, silence time.Duration) bool {
	switch {
	case m.State == fleet.Ready:
		return j.detector.IsSettled(j.now) && silence > j.patienceWith(m) && j.isOneOfFew(m)
	case m.State == fleet.Booting && m.LiveCount() > 0:
		return silence > j.search && j.isOneOfFew(m)
	}
	return false
}

// neverBooted reports whether a machine should have come up long ago.
func (j *Judgement) neverBooted(m *fleet.Machine) bool {
	if m.State != fleet.Booting || m.LiveCount() > 0 {
		return false
	}
	const usualBootS, boots = 60, 3.5
	options := &j.detector.options
	bootS, known := options.BootS(m.Type)
	if !known {
		bootS = usualBootS
	}
	settled := j.now.Sub(j.detector.judgingSince) > 2*options.WorkerLease
	return settled && j.now.Sub(m.FirstSeen).Seconds() > boots*bootS
}
