// Package wire holds the JSON bodies that lotusstile exchanges with users,
// workers, the cloud and the state service. Clients may import it.
//
// The protocol has words of its own for what others call otherwise. They are kept in JSON
// keys; Go names are the usual ones:
//
//	Rig, Sku    machine type         Shift  session of a worker
//	Yard        zone                 Tick   sequence number of a report
//	Leg         task                 Baton  token of the controller that commands
//	Standby     may use spot machines, or is one
//
// Work, Order, Orders and Redirect still have the protocol's words: other controllers, also of
// the release before, read them by their Go names.
package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

const (
	// MaxBody is the largest request body that any party accepts.
	MaxBody = 64 << 10
	// MaxTasks is the largest number of tasks of one job.
	MaxTasks = 100_000
	// MaxProvision is the largest number of machines in one rental.
	MaxProvision = 50
	// MaxReturn is the largest number of names in one return.
	MaxReturn = 100
)

// JobKind says how the tasks of a job run.
type JobKind string

// The shapes of the protocol.
const (
	JobArray JobKind = "sweep"
	Service  JobKind = "standing"
	Gang     JobKind = "group" // a gang: its tasks run together or not at all
)

// Priority is the priority of a job.
type Priority string

// The ranks of the protocol, highest first.
const (
	Critical   Priority = "critical"
	High       Priority = "high"
	Standard   Priority = "standard"
	BestEffort Priority = "best_effort"
)

// Level orders ranks: higher goes first; 0 is no rank at all.
func (r Priority) Level() int {
	switch r {
	case Critical:
		return 4
	case High:
		return 3
	case Standard:
		return 2
	case BestEffort:
		return 1
	}
	return 0
}

// JobStatus is what users are told of a job.
type JobStatus string

// The statuses of a job.
const (
	JobQueued  JobStatus = "queued"
	JobRunning JobStatus = "running"
	JobDone    JobStatus = "done"
	JobAborted JobStatus = "aborted"
)

// Final reports whether a status never changes again.
func (s JobStatus) Final() bool { return s == JobDone || s == JobAborted }

// JobView answers submissions, polls and withdrawals.
type JobView struct {
	UID     string    `json:"Uid"`
	Status  JobStatus `json:"Status"`
	Done    int       `json:"done"`
	Running int       `json:"running"`
}

// ErrorResponse is the body of an answer that refuses a request.
type ErrorResponse struct {
	Error string `json:"error"`
}

// TaskStatus is the state of a task on its machine.
type TaskStatus string

// The task states that workers report.
const (
	TaskFetching TaskStatus = "fetching"
	TaskWaiting  TaskStatus = "waiting" // has its image, waits for the rest of its gang
	TaskRunning  TaskStatus = "running"
	TaskSaving   TaskStatus = "saving"
	TaskEnded    TaskStatus = "ended"
)

// Cause says why a task ended.
type Cause string

// The causes that workers report.
const (
	CauseDone    Cause = "done"
	CauseStopped Cause = "stopped"
	CauseError   Cause = "error"
	CauseNoRoom  Cause = "no_room"
	CauseInUse   Cause = "in_use"
	CauseNoSuch  Cause = "no_such"
)

// TaskReport is one task of a worker's report.
type TaskReport struct {
	Task         string     `json:"Leg"`
	Attempt      uint64     `json:"Try"`
	Status       TaskStatus `json:"Status"`
	Cause        Cause      `json:"Cause,omitempty"`
	Checkpointed bool       `json:"Kept,omitempty"`
}

// Heartbeat is the body of POST /checkin.
type Heartbeat struct {
	Host         string       `json:"Host"`
	Address      string       `json:"Address"`
	MachineType  string       `json:"Rig"`
	Zone         string       `json:"Yard"`
	Spot         bool         `json:"Standby"`
	Incarnation  uint64       `json:"Shift"`
	Sequence     uint64       `json:"Tick"`
	FencingToken uint64       `json:"Baton"`
	SpotNoticeS  *float64     `json:"WarningS"`
	Tasks        []TaskReport `json:"Legs"`
}

// ParseHeartbeat decodes a check-in.
func ParseHeartbeat(body []byte) (Heartbeat, error) {
	var r Heartbeat
	if err := Decode(body, &r); err != nil {
		return Heartbeat{}, fmt.Errorf("report is not valid: %w", err)
	}
	if r.Host == "" || r.Incarnation == 0 {
		return Heartbeat{}, errors.New("report lacks Host or Shift")
	}
	for _, f := range []string{r.Host, r.Address, r.MachineType, r.Zone} {
		if len(f) > maxName {
			return Heartbeat{}, errors.New("a name in the report is too long")
		}
	}
	return r, nil
}

// Verb is what an order asks of a worker.
type Verb string

// The verbs of the protocol.
const (
	Launch      Verb = "launch"
	Stop        Verb = "stop"
	Acknowledge Verb = "reap"
)

// Command is one command to a worker.
type Command struct {
	Verb         Verb    `json:"Verb"`
	Task         string  `json:"Leg"`
	Attempt      uint64  `json:"Try"`
	GracePeriodS float64 `json:"LeewayS,omitempty"`
}

// Commands answers a check-in with 200.
type Commands struct {
	FencingToken uint64    `json:"Baton"`
	Commands     []Command `json:"Orders"`
}

// DirectCommands is the body of POST /do.
type DirectCommands struct {
	FencingToken uint64    `json:"Baton"`
	Incarnation  uint64    `json:"Shift"`
	Commands     []Command `json:"Orders"`
}

// Redirect answers a check-in with 421.
type Redirect struct {
	Leader string `json:"Dispatcher,omitempty"`
}

// TaskName is the name of a task of a job.
func TaskName(uid string, task int) string { return uid + "/" + strconv.Itoa(task) }

// SplitTaskName takes a task's name apart.
func SplitTaskName(name string) (uid string, task int, ok bool) {
	uid, num, ok := strings.Cut(name, "/")
	if !ok || uid == "" {
		return "", 0, false
	}
	n, err := strconv.Atoi(num)
	if err != nil || n < 0 || strconv.Itoa(n) != num {
		return "", 0, false
	}
	return uid, n, true
}

// MachineType is a machine type of GET /catalog.
type MachineType struct {
	Name         string   `json:"Sku"`
	Cores        float64  `json:"Cores"`
	Gpus         float64  `json:"Gpus"`
	RAMGb        float64  `json:"RamGb"`
	ImageCacheGb float64  `json:"LocalGb"`
	FetchGbPerS  float64  `json:"PullGbPerS"`
	Hourly       float64  `json:"Hourly"`
	SpotHourly   float64  `json:"LowPrice"`
	BootS        float64  `json:"BootS"`
	Zones        []string `json:"Yards"`
}

// Catalog answers GET /catalog.
type Catalog struct {
	MachineTypes []MachineType `json:"Rigs"`
}

// ProvisionRequest is the body of POST /machines.
type ProvisionRequest struct {
	RequestID   string `json:"Booking"`
	MachineType string `json:"Rig"`
	Zone        string `json:"Yard"`
	Spot        bool   `json:"Standby"`
	Count       int    `json:"HowMany"`
}

// HostNames names machines, in rentals and returns.
type HostNames struct {
	Hosts []string `json:"Hosts"`
}

// HostStatus is the state of a machine in the cloud's list.
type HostStatus string

// The states of listed machines.
const (
	HostBooting HostStatus = "booting"
	HostRunning HostStatus = "running"
	HostFailed  HostStatus = "failed"
)

// ListedHost is a machine in the cloud's list.
type ListedHost struct {
	UID         string     `json:"Uid"`
	Address     string     `json:"Address"`
	MachineType string     `json:"Rig"`
	Zone        string     `json:"Yard"`
	Spot        bool       `json:"Standby"`
	Status      HostStatus `json:"Status"`
	AgeS        float64    `json:"AgeS"`
}

// HostList answers GET /machines.
type HostList struct {
	Hosts []ListedHost `json:"Hosts"`
	More  bool         `json:"More"`
}

// KeyValue is a key of the state service.
type KeyValue struct {
	Key         string          `json:"Key"`
	Value       json.RawMessage `json:"Value"`
	ModRevision uint64          `json:"Stamp"`
	LeaseID     uint64          `json:"Permit,omitempty"`
}

// KeyValueList answers GET /kv?Under=.
type KeyValueList struct {
	KeyValues []KeyValue `json:"Rows"`
	More      bool       `json:"More"`
	Revision  uint64     `json:"Epoch"`
}

// Compare is a condition of a commit: the key has this stamp (0: is absent).
type Compare struct {
	Key         string `json:"Key"`
	ModRevision uint64 `json:"Stamp"`
}

// Change is one write of a commit: a Set with a Value, or a Drop.
type Change struct {
	Set     string          `json:"Set,omitempty"`
	Value   json.RawMessage `json:"Value,omitempty"`
	LeaseID uint64          `json:"Permit,omitempty"`
	Drop    string          `json:"Drop,omitempty"`
}

// Transaction is the body of POST /commit.
type Transaction struct {
	Compares []Compare `json:"Guards"`
	Changes  []Change  `json:"Apply"`
}

// TransactionResponse answers POST /commit.
type TransactionResponse struct {
	Revision uint64   `json:"Epoch"`
	Failed   []string `json:"failed"`
}

// Lease answers POST /holds.
type Lease struct {
	LeaseID uint64 `json:"Permit"`
}

// LeaseRequest is the body of POST /holds.
type LeaseRequest struct {
	TTLMs int64 `json:"TtlMs"`
}

// WatchEvent is one change seen by a watch.
type WatchEvent struct {
	Set         string          `json:"Set"`
	Drop        string          `json:"Drop"`
	Value       json.RawMessage `json:"Value"`
	ModRevision uint64          `json:"Stamp"`
}

// WatchResponse answers GET /changes.
type WatchResponse struct {
	Revision uint64       `json:"Epoch"`
	Events   []WatchEvent `json:"News"`
}
