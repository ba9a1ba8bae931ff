package fleet

import (
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// Commands returns the commands that answer a fresh heartbeat; never nil, since the answer carries an
// empty list and not none. Launches are among them if launches is true, the machine is Ready and the
// record of the attempt is committed. These count as sent: the caller must put the commands into the
// answer to the machine's newest heartbeat and no other.
func (f *Fleet) Commands(m *Machine, now time.Time, launches bool) []wire.Command {
	commands := []wire.Command{}
	for _, task := range m.unknownTasks {
		verb := wire.Stop
		if task.ended {
			verb = wire.Acknowledge
		}
		commands = append(commands, wire.Command{Verb: verb, Task: task.task, Attempt: task.attempt})
	}
	for _, a := range m.attempts {
		commands = a.appendEndCommand(commands)
	}
	if launches && m.State == Ready {
		commands = f.appendLaunches(commands, m, now)
	}
	return commands
}

// appendEndCommand appends the command that brings the attempt nearer to its end, if there is one: to
// acknowledge its recorded end, or to stop it.
func (a *Attempt) appendEndCommand(commands []wire.Command) []wire.Command {
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

// appendLaunches appends the launches of the attempts that are committed, and marks these as sent
// in the answer to the machine's newest heartbeat. Inherited attempts are never launched by this
// term, nor are those that were decided for an earlier incarnation of the worker.
func (f *Fleet) appendLaunches(commands []wire.Command, m *Machine, now time.Time) []wire.Command {
	for _, a := range m.attempts {
		if a.State == Committed && !a.Inherited && !a.Stopping && a.Incarnation == m.Incarnation {
			a.SentSequence = m.Sequence
			f.setAttemptState(a, LaunchSent, now, "launch sent")
			commands = append(commands, wire.Command{Verb: wire.Launch, Task: a.TaskName(), Attempt: a.Number})
		}
	}
	return commands
}
