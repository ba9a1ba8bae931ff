package wire

import (
	"errors"
	"fmt"
)

// TaskStatus is the state of a task on its machine.
type TaskStatus string

// The task states that workers report.
const (
	TaskFetching TaskStatus = "fetching" // waits for its image
	TaskWaiting  TaskStatus = "waiting"  // has its image, and waits for the other tasks of its gang
	TaskRunning  TaskStatus = "running"
	TaskSaving   TaskStatus = "saving" // stopped, is saving a checkpoint
	TaskEnded    TaskStatus = "ended"  // Cause says why
)

// Cause says why a task ended.
type Cause string

// The causes that workers report. The last three mean that the worker refused the launch.
const (
	CauseDone    Cause = "done"
	CauseStopped Cause = "stopped"
	CauseError   Cause = "error"
	CauseNoRoom  Cause = "no_room" // not enough free resources on the machine
	CauseInUse   Cause = "in_use"  // another attempt of the task is on the machine
	CauseNoSuch  Cause = "no_such" // no such job or task
)

// TaskReport is the state of one task in a heartbeat.
type TaskReport struct {
	Task         string     `json:"Leg"`
	Attempt      uint64     `json:"Try"` // number of the attempt to run the task
	Status       TaskStatus `json:"Status"`
	Cause        Cause      `json:"Cause,omitempty"`
	Checkpointed bool       `json:"Kept,omitempty"` // its progress is saved in a checkpoint
}

// Heartbeat is the body of POST /checkin: a worker's report of its machine and tasks.
type Heartbeat struct {
	Host         string       `json:"Host"`
	Address      string       `json:"Address"`
	MachineType  string       `json:"Rig"`
	Zone         string       `json:"Yard"`
	Spot         bool         `json:"Standby"`
	Incarnation  uint64       `json:"Shift"`    // of the worker: increases each time its worker lease expires
	Sequence     uint64       `json:"Tick"`     // of the heartbeat: the one with the larger (Incarnation, Sequence) is newer
	FencingToken uint64       `json:"Baton"`    // highest that the worker has seen
	SpotNoticeS  *float64     `json:"WarningS"` // seconds until the cloud reclaims the spot machine; nil: no notice
	Tasks        []TaskReport `json:"Legs"`
}

// ParseHeartbeat decodes and validates a heartbeat. Every error that it returns means that the body is
// malformed.
func ParseHeartbeat(body []byte) (Heartbeat, error) {
	var heartbeat Heartbeat
	if err := Decode(body, &heartbeat); err != nil {
		return Heartbeat{}, fmt.Errorf("report is not valid: %w", err)
	}
	if heartbeat.Host == "" || heartbeat.Incarnation == 0 {
		return Heartbeat{}, errors.New("report lacks Host or Shift")
	}
	for _, name := range []string{heartbeat.Host, heartbeat.Address, heartbeat.MachineType, heartbeat.Zone} {
		if len(name) > maxName {
			return Heartbeat{}, errors.New("a name in the report is too long")
		}
	}
	return heartbeat, nil
}

// Verb is the action of a command.
type Verb string

// The verbs of commands. Repeating a command has no further effect, with one exception: a launch that is
// repeated after Acknowledge starts the attempt again.
const (
	Launch      Verb = "launch"
	Stop        Verb = "stop"
	Acknowledge Verb = "reap" // removes an ended task from the heartbeats
)

// Command is one command to a worker.
type Command struct {
	Verb         Verb    `json:"Verb"`
	Task         string  `json:"Leg"`
	Attempt      uint64  `json:"Try"`
	GracePeriodS float64 `json:"LeewayS,omitempty"` // time that a stopped task has to save a checkpoint; too short: it saves none
}

// Commands is the body of a 200 response to a heartbeat. The response renews the worker lease, but a
// worker that has seen a higher fencing token ignores it.
type Commands struct {
	FencingToken uint64    `json:"Baton"`
	Commands     []Command `json:"Orders"`
}

// DirectCommands is the body of POST /do: commands outside a heartbeat, which do not renew the worker
// lease.
type DirectCommands struct {
	FencingToken uint64    `json:"Baton"`
	Incarnation  uint64    `json:"Shift"`
	Commands     []Command `json:"Orders"`
}

// Redirect is the body of a 421 response to a heartbeat. The worker sends its heartbeats to the node
// that the response names, or tries the next node if it names none.
type Redirect struct {
	Leader string `json:"Dispatcher,omitempty"`
}
