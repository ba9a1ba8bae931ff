package fleet

import (
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// missedLaunchLimit is the number of launches in a row after which a machine that misses them is
// avoided: its heartbeats arrive, but the answers do not reach it.
const missedLaunchLimit = 3

// avoidLeases is the number of worker leases for which a machine that answers do not reach gets no
// new attempts.
const avoidLeases = 2

// unknownTask is a task that a machine reports and no record knows.
type unknownTask struct {
	task    string
	attempt uint64
	ended   bool
}

// ApplyHeartbeat applies a heartbeat to its machine, which is added if it is unknown, and to the
// attempts on it. fresh is false for a heartbeat that is no newer than the last one applied, and for
// any of a machine that is Gone: it changes nothing, and must get no commands.
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
			// The worker killed and forgot everything of earlier incarnations, and
			// drops every answer to a heartbeat of an earlier incarnation.
			f.setAttemptState(a, Off, now, "its machine has a new incarnation")
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
// A worker that has it drops every answer of an earlier leader.
func (f *Fleet) hasCurrentToken(h *wire.Heartbeat) bool { return h.FencingToken == f.term }

// applyMachineFields applies what a fresh heartbeat says of its machine, and reports whether the machine
// has begun a new incarnation.
func (f *Fleet) applyMachineFields(m *Machine, h *wire.Heartbeat, now time.Time) (newIncarnation bool) {
	newIncarnation = h.Incarnation > m.Incarnation && m.Incarnation != 0
	sinceAnswered := now.Sub(m.lastAnswered)
	m.Incarnation, m.Sequence = h.Incarnation, h.Sequence
	m.LastHeartbeat, m.LastHeartbeatHere, m.lastAnswered = now, now, now
	m.Address, m.Type, m.Zone, m.Spot = h.Address, h.MachineType, h.Zone, h.Spot
	if h.SpotNoticeS != nil {
		m.SpotNotice = true
	}
	if newIncarnation && sinceAnswered < f.lease && m.State == Ready {
		// It sent heartbeats all the time and yet its lease ended: answers do not reach
		// it. Launches would be lost, so it gets none for a while. The machine must be
		// Ready, that is, have sent this term's token: a new leader may receive copies of
		// heartbeats of an earlier incarnation. And lastAnswered counts, not LastHeartbeat,
		// which failure detection sets to the end of an outage: during the outage leases
		// end because no heartbeat is answered.
		m.AvoidUntil = now.Add(avoidLeases * f.lease)
	}
	return newIncarnation
}

// reportedAttempts returns the attempts of a heartbeat by task and number, and replaces the machine's
// unknown tasks by those that no record lists.
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

// applyAbsence applies that a fresh heartbeat of the incarnation which an attempt was decided for
// does not list the attempt. Whether that proves it off depends on its state and on the token.
func (f *Fleet) applyAbsence(a *Attempt, h *wire.Heartbeat, now time.Time) {
	switch a.State {
	case Committed:
		// An earlier term's launch can only have travelled in an answer
		// to a heartbeat that the worker sent before it saw this term's token.
		if a.Inherited && f.hasCurrentToken(h) {
			f.setAttemptState(a, Off, now, "its machine's heartbeat does not list it")
		}
	case LaunchSent:
		// The worker has one heartbeat in flight: once it has sent a newer one, it
		// drops the answer that carried the launch.
		if h.Sequence > a.SentSequence {
			f.recordMissedLaunch(a, now)
		}
	case Fetching, Running, Saving, Ended:
		if f.hasCurrentToken(h) {
			f.setAttemptState(a, Off, now, "its machine's heartbeat no longer lists it")
		}
	case EndRecorded:
		f.setAttemptState(a, Off, now, "the worker has forgotten it")
	}
}

// recordMissedLaunch is called when it is proven that the worker did not act on a launch and never
// will. The launch is sent again, unless the attempt is to be stopped or the machine has missed
// missedLaunchLimit launches: then the attempt is off.
func (f *Fleet) recordMissedLaunch(a *Attempt, now time.Time) {
	const reason = "the worker did not act on the launch"
	m := a.Machine
	if m.MissedLaunches++; m.MissedLaunches >= missedLaunchLimit {
		m.AvoidUntil = now.Add(avoidLeases * f.lease)
	}
	if a.Stopping || m.MissedLaunches >= missedLaunchLimit {
		f.setAttemptState(a, Off, now, reason)
	} else {
		f.setAttemptState(a, Committed, now, reason)
	}
}

// applyTaskReport applies the reported state of an attempt.
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
		a.Cause, a.Checkpointed = report.Cause, report.Checkpointed
		f.setAttemptState(a, Ended, now, string(report.Cause))
	}
}
