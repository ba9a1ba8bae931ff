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
	// MaxRent is the largest number of machines in one rental.
	MaxRent = 50
	// MaxReturn is the largest number of names in one return.
	MaxReturn = 100
)

// Shape says how the tasks of a job run.
type Shape string

// The shapes of the protocol.
const (
	Sweep    Shape = "sweep"
	Standing Shape = "standing"
	Group    Shape = "group" // a gang: its tasks run together or not at all
)

// Rank is the priority of a job.
type Rank string

// The ranks of the protocol, highest first.
const (
	Critical   Rank = "critical"
	High       Rank = "high"
	Standard   Rank = "standard"
	BestEffort Rank = "best_effort"
)

// Level orders ranks: higher goes first; 0 is no rank at all.
func (r Rank) Level() int {
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

// Fault is the body of an answer that refuses a request.
type Fault struct {
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
	Task   string     `json:"Leg"`
	Try    uint64     `json:"Try"`
	Status TaskStatus `json:"Status"`
	Cause  Cause      `json:"Cause,omitempty"`
	Kept   bool       `json:"Kept,omitempty"`
}

// Report is the body of POST /checkin.
type Report struct {
	Host        string       `json:"Host"`
	Address     string       `json:"Address"`
	MachineType string       `json:"Rig"`
	Zone        string       `json:"Yard"`
	Spot        bool         `json:"Standby"`
	Session     uint64       `json:"Shift"`
	Sequence    uint64       `json:"Tick"`
	Token       uint64       `json:"Baton"`
	WarningS    *float64     `json:"WarningS"`
	Tasks       []TaskReport `json:"Legs"`
}

// ParseReport decodes a check-in.
func ParseReport(body []byte) (Report, error) {
	var r Report
	if err := Decode(body, &r); err != nil {
		return Report{}, fmt.Errorf("report is not valid: %w", err)
	}
	if r.Host == "" || r.Session == 0 {
		return Report{}, errors.New("report lacks Host or Shift")
	}
	for _, f := range []string{r.Host, r.Address, r.MachineType, r.Zone} {
		if len(f) > maxName {
			return Report{}, errors.New("a name in the report is too long")
		}
	}
	return r, nil
}

// Verb is what an order asks of a worker.
type Verb string

// The verbs of the protocol.
const (
	Launch Verb = "launch"
	Stop   Verb = "stop"
	Reap   Verb = "reap"
)

// Order is one command to a worker.
type Order struct {
	Verb    Verb    `json:"Verb"`
	Leg     string  `json:"Leg"`
	Try     uint64  `json:"Try"`
	LeewayS float64 `json:"LeewayS,omitempty"`
}

// Orders answers a check-in with 200.
type Orders struct {
	Baton  uint64  `json:"Baton"`
	Orders []Order `json:"Orders"`
}

// Direct is the body of POST /do.
type Direct struct {
	Token   uint64  `json:"Baton"`
	Session uint64  `json:"Shift"`
	Orders  []Order `json:"Orders"`
}

// Redirect answers a check-in with 421.
type Redirect struct {
	Dispatcher string `json:"Dispatcher,omitempty"`
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
	Name       string   `json:"Sku"`
	Cores      float64  `json:"Cores"`
	Gpus       float64  `json:"Gpus"`
	RAMGb      float64  `json:"RamGb"`
	LocalGb    float64  `json:"LocalGb"`
	PullGbPerS float64  `json:"PullGbPerS"`
	Hourly     float64  `json:"Hourly"`
	LowPrice   float64  `json:"LowPrice"`
	BootS      float64  `json:"BootS"`
	Zones      []string `json:"Yards"`
}

// Catalog answers GET /catalog.
type Catalog struct {
	MachineTypes []MachineType `json:"Rigs"`
}

// RentRequest is the body of POST /machines.
type RentRequest struct {
	Booking     string `json:"Booking"`
	MachineType string `json:"Rig"`
	Zone        string `json:"Yard"`
	Spot        bool   `json:"Standby"`
	HowMany     int    `json:"HowMany"`
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

// Item is a key of the state service.
type Item struct {
	Key    string          `json:"Key"`
	Value  json.RawMessage `json:"Value"`
	Stamp  uint64          `json:"Stamp"`
	Permit uint64          `json:"Permit,omitempty"`
}

// Items answers GET /kv?Under=.
type Items struct {
	Rows  []Item `json:"Rows"`
	More  bool   `json:"More"`
	Epoch uint64 `json:"Epoch"`
}

// Guard is a condition of a commit: the key has this stamp (0: is absent).
type Guard struct {
	Key   string `json:"Key"`
	Stamp uint64 `json:"Stamp"`
}

// Change is one write of a commit: a Set with a Value, or a Drop.
type Change struct {
	Set    string          `json:"Set,omitempty"`
	Value  json.RawMessage `json:"Value,omitempty"`
	Permit uint64          `json:"Permit,omitempty"`
	Drop   string          `json:"Drop,omitempty"`
}

// Commit is the body of POST /commit.
type Commit struct {
	Guards []Guard  `json:"Guards"`
	Apply  []Change `json:"Apply"`
}

// CommitReply answers POST /commit.
type CommitReply struct {
	Epoch  uint64   `json:"Epoch"`
	Failed []string `json:"failed"`
}

// Hold answers POST /holds.
type Hold struct {
	Permit uint64 `json:"Permit"`
}

// HoldRequest is the body of POST /holds.
type HoldRequest struct {
	TTLMs int64 `json:"TtlMs"`
}

// News is one change seen by a watch.
type News struct {
	Set   string          `json:"Set"`
	Drop  string          `json:"Drop"`
	Value json.RawMessage `json:"Value"`
	Stamp uint64          `json:"Stamp"`
}

// Changes answers GET /changes.
type Changes struct {
	Epoch uint64 `json:"Epoch"`
	News  []News `json:"News"`
}
