package fleet

import (
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// Commands returns the commands for the answer to a machine's newest heartbeat. The list is never nil,
// since an answer without commands carries an empty list. It contains launches only if withLaunches is
// true and the machine is Ready, and only of attempts whose record is committed. Attempts whose launch is
// returned are marked as LaunchSent, so the caller must put the commands into the answer to the machine's
// newest heartbeat and into no other.
func (f *Fleet) Commands(m *Machine, now time.Time, withLaunches bool) []wire.Command {
	commands := []wire.Command{}
	for _, task := range m.unknownTasks {
		verb := wire.Stop
		if task.ended {
			verb = wire.Acknowledge
		}
		commands = append(commands, wire.Command{Verb: verb, Task: task.name, Attempt: task.attempt})
	}
	for _, a := range m.attempts {
		commands = a.appendStopOrAcknowledge(commands)
	}
	if withLaunches && m.State == Ready {
		commands = f.appendLaunches(commands, m, now)
	}
	return commands
}

// appendStopOrAcknowledge appends a command to acknowledge the attempt's recorded end, or to stop the
// attempt, if its state requires one of these.
func (a *Attempt) appendStopOrAcknowledge(commands []wire.Command) []wire.Command {
	switch a.State {
	case EndRecorded:
		return append(commands, wire.Command{Verb: wire.Acknowledge, Task: a.TaskName(), Attempt: a.Number})
	case LaunchSent, Fetching, Running:
		if a.Stopping {
			command := wire.Command{Verb: wire.Stop, Task: a.TaskName(), Attempt: a.Number, GracePeriodS: a.GracePeriodS}
			return append(commands, command)
		}
	case Saving:
		if a.Stopping && a.GracePeriodS == 0 {
			return append(commands, wire.Command{Verb: wire.Stop, Task: a.TaskName(), Attempt: a.Number})
		}
	}
	return commands
}

// appendLaunches appends the launches of the machine's committed attempts, and marks these launches as
// sent in the answer to the machine's newest heartbeat. This term never launches an inherited attempt,
// nor an attempt that was decided for an earlier incarnation of the worker.
func (f *Fleet) appendLaunches(commands []wire.Command, m *Machine, now time.Time) []wire.Command {
	for _, a := range m.attempts {
		if a.State == Committed && !a.Inherited && !a.Stopping && a.Incarnation == m.Incarnation {
			a.LaunchSequence = m.Sequence
			f.setAttemptState(a, LaunchSent, now, "launch sent")
			commands = append(commands, wire.Command{Verb: wire.Launch, Task: a.TaskName(), Attempt: a.Number})
		}
	}
	return commands
}
