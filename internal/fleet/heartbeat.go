package fleet

import (
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// missedLaunchLimit is the number of consecutive missed launches after which a machine is avoided: its
// heartbeats arrive, but the answers do not reach it.
const missedLaunchLimit = 3

// avoidanceLeases is how long, in worker leases, a machine gets no new attempts after it has turned out that
// the answers to its heartbeats do not reach it.
const avoidanceLeases = 2

// unknownTask is an attempt that a machine reports and that the fleet does not know, since no record
// lists it.
type unknownTask struct {
	name    string
	attempt uint64
	ended   bool
}

// ApplyHeartbeat applies a heartbeat to the machine that sent it, and to the attempts on that machine.
// An unknown machine is added. fresh is false if the heartbeat is no newer than the last one applied, or
// if the machine is Gone: such a heartbeat changes nothing, and its answer must not carry commands.
func (f *Fleet) ApplyHeartbeat(h *wire.Heartbeat, now time.Time) (m *Machine, fresh bool) {
	m = f.GetOrAdd(h.Host, now)
	if m.State == Gone || h.Incarnation < m.Incarnation || (h.Incarnation == m.Incarnation && h.Sequence <= m.Sequence) {
		return m, false
	}
	f.MarkChanged(m)
	newIncarnation := f.applyMachineFields(m, h, now)
	reported := reportedAttempts(m, h)
	for key, a := range m.attempts {
		switch report := reported[key]; {
		case a.Incarnation < h.Incarnation:
			// When a worker begins a new incarnation it has killed and forgotten all tasks of the
			// earlier ones, and it drops every answer to a heartbeat of an earlier incarnation.
			f.setAttemptState(a, Off, now, "the worker began a new incarnation")
		case report != nil:
			f.applyTaskReport(a, report, now)
		default:
			f.applyAbsence(a, h, now)
		}
	}
	if f.hasCurrentToken(h) {
		f.setMachineState(m, Ready, now, "heartbeat with this term's fencing token")
	} else if m.State != Ready || newIncarnation {
		f.setMachineState(m, Confirming, now, "heartbeat with an older fencing token")
	}
	return m, true
}

// hasCurrentToken reports whether the worker had this term's fencing token when it sent the heartbeat.
// A worker that has this token drops every answer of an earlier leader.
func (f *Fleet) hasCurrentToken(h *wire.Heartbeat) bool { return h.FencingToken == f.term }

// applyMachineFields copies the fields of a fresh heartbeat that describe the machine, and reports
// whether the machine's worker has begun a new incarnation.
func (f *Fleet) applyMachineFields(m *Machine, h *wire.Heartbeat, now time.Time) (newIncarnation bool) {
	newIncarnation = h.Incarnation > m.Incarnation && m.Incarnation != 0
	sinceAnswered := now.Sub(m.lastAnswered)
	m.Incarnation, m.Sequence = h.Incarnation, h.Sequence
	m.LastHeartbeat, m.LastHeartbeatHere, m.lastAnswered, m.reportGap = now, now, now, sinceAnswered
	m.Address, m.Type, m.Zone, m.Spot = h.Address, h.MachineType, h.Zone, h.Spot
	if h.SpotNoticeS != nil {
		m.SpotNotice = true
	}
	if newIncarnation && sinceAnswered < f.lease && m.State == Ready {
		// The worker sent heartbeats all the time and yet its lease ended, so answers do not reach it.
		// Launches would be lost: the machine gets none for a while. The machine must be Ready, that is,
		// have sent this term's token, because a new leader may receive copies of heartbeats of an earlier
		// incarnation. The time is measured from lastAnswered, not from LastHeartbeat, which failure
		// detection sets to the end of an outage: during an outage leases end because no heartbeat is
		// answered.
		m.AvoidUntil = now.Add(avoidanceLeases * f.lease)
	}
	return newIncarnation
}

// reportedAttempts returns the attempts that a heartbeat lists, by task and number, and replaces the
// machine's unknown tasks by the listed attempts that the fleet does not know.
func reportedAttempts(m *Machine, h *wire.Heartbeat) map[attemptKey]*wire.TaskReport {
	reported := make(map[attemptKey]*wire.TaskReport, len(h.Tasks))
	m.unknownTasks = m.unknownTasks[:0]
	for i := range h.Tasks {
		report := &h.Tasks[i]
		key := attemptKey{report.Task, report.Attempt}
		reported[key] = report
		if m.attempts[key] == nil {
			m.unknownTasks = append(m.unknownTasks, unknownTask{report.Task, report.Attempt, report.Status == wire.TaskEnded})
		}
	}
	return reported
}

// applyAbsence handles a fresh heartbeat that does not list an attempt, although the heartbeat is of the
// incarnation that the attempt was decided for. Whether this proves that the attempt is off depends on
// the attempt's state and on the heartbeat's fencing token.
func (f *Fleet) applyAbsence(a *Attempt, h *wire.Heartbeat, now time.Time) {
	switch a.State {
	case Committed:
		// An earlier leader can only have sent the launch in its answer to a heartbeat, and the
		// worker drops such answers once it has seen this term's token.
		if a.Inherited && f.hasCurrentToken(h) {
			f.setAttemptState(a, Off, now, "not listed in a heartbeat with this term's fencing token")
		}
	case LaunchSent:
		// A worker only accepts the answer to its newest heartbeat. Once it has sent a newer one,
		// it drops the answer that carried the launch.
		if h.Sequence > a.LaunchSequence {
			f.recordMissedLaunch(a, now)
		}
	case Fetching, Running, Saving, Ended:
		if f.hasCurrentToken(h) {
			f.setAttemptState(a, Off, now, "no longer listed in a heartbeat with this term's fencing token")
		}
	case EndRecorded:
		f.setAttemptState(a, Off, now, "the worker no longer lists the ended attempt")
	}
}

// recordMissedLaunch is called when it is proven that the worker did not act on a launch and never
// will. The launch is sent again, unless a stop of the attempt was requested or the machine has missed
// missedLaunchLimit launches in a row: then the attempt is Off.
func (f *Fleet) recordMissedLaunch(a *Attempt, now time.Time) {
	const reason = "the worker did not act on the launch"
	m := a.Machine
	if m.MissedLaunches++; m.MissedLaunches >= missedLaunchLimit {
		m.AvoidUntil = now.Add(avoidanceLeases * f.lease)
	}
	if a.Stopping || m.MissedLaunches >= missedLaunchLimit {
		f.setAttemptState(a, Off, now, reason)
	} else {
		f.setAttemptState(a, Committed, now, reason)
	}
}

// applyTaskReport sets the state of an attempt to what its worker reports.
func (f *Fleet) applyTaskReport(a *Attempt, report *wire.TaskReport, now time.Time) {
	if a.State == LaunchSent {
		a.Machine.MissedLaunches = 0
	}
	switch a.State {
	case Ended, EndRecorded, Off:
		return
	}
	const reason = "reported in a heartbeat"
	switch report.Status {
	case wire.TaskFetching, wire.TaskWaiting:
		f.setAttemptState(a, Fetching, now, reason)
	case wire.TaskRunning:
		if a.RunningSince.IsZero() {
			a.RunningSince = now
		}
		if a.Image != "" {
			a.Machine.Images[a.Image] = now
		}
		f.setAttemptState(a, Running, now, reason)
	case wire.TaskSaving:
		f.setAttemptState(a, Saving, now, reason)
	case wire.TaskEnded:
		a.EndCause, a.Checkpointed = report.Cause, report.Checkpointed
		f.setAttemptState(a, Ended, now, string(report.Cause))
	}
}
