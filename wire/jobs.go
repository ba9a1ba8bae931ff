package wire

import (
	"strconv"
	"strings"
)

// MaxTasks is the largest number of tasks of one job.
const MaxTasks = 100_000

// JobSpec is the specification of a job: the body of POST /work.
type JobSpec struct {
	UID                 string   `json:"Uid"`
	JobClass            string   `json:"Berth"` // selects the service-level objectives in the settings
	Team                string   `json:"Crew"`  // the team whose quota and limit apply
	Kind                JobKind  `json:"Shape"`
	Priority            Priority `json:"Rank"`
	TaskCount           int      `json:"Legs"`  // at most MaxTasks
	Cores               float64  `json:"Cores"` // per task, as are Gpus and RAMGb
	Gpus                float64  `json:"Gpus"`
	RAMGb               float64  `json:"RamGb"`
	Image               string   `json:"Rollout"` // a machine must fetch it before it can start a task
	ImageGb             float64  `json:"ImageGb"`
	MachineTypes        []string `json:"Rigs,omitempty"` // the allowed types; empty: any
	Zone                string   `json:"Yard,omitempty"` // the only allowed zone; "": any
	SingleZone          bool     `json:"Together"`       // all tasks must be in the same zone
	SpreadZones         bool     `json:"Scatter"`        // at most half of the tasks, rounded up, in one zone
	AllowSpot           bool     `json:"Standby"`        // tasks may run on spot machines
	ExpectedRunS        float64  `json:"ExpectS"`        // estimated run time of a task without its image fetch; 0 for services
	CheckpointIntervalS float64  `json:"MarkS"`          // progress between two checkpoints of a task; 0: no checkpoints
	CheckpointOnStopS   float64  `json:"StowS"`          // time that a stopped task needs to save a checkpoint
	DeadlineS           *float64 `json:"DueS,omitempty"` // time from submission to the deadline; nil: none
	// Dependencies lists the jobs that must be done before any task of this job starts.
	Dependencies []string `json:"Awaits,omitempty"`
}

// JobKind says how the tasks of a job relate to each other and when they end.
type JobKind string

// The kinds of jobs.
const (
	JobArray JobKind = "sweep"    // tasks are independent and run to completion
	Service  JobKind = "standing" // tasks are replicas that run until the job is cancelled
	Gang     JobKind = "group"    // all-or-nothing: no task runs unless all of them do
)

// Priority is the priority of a job.
type Priority string

// The priorities, highest first.
const (
	Critical   Priority = "critical"
	High       Priority = "high"
	Standard   Priority = "standard"
	BestEffort Priority = "best_effort"
)

// Level returns the rank of a priority: a higher level is scheduled first. It returns 0 for an invalid
// priority.
func (p Priority) Level() int {
	switch p {
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

// JobStatus is the status of a job as users see it.
type JobStatus string

// The statuses of a job.
const (
	JobQueued  JobStatus = "queued" // no task is running
	JobRunning JobStatus = "running"
	JobDone    JobStatus = "done"
	JobAborted JobStatus = "aborted" // the job was cancelled
)

// Final reports whether a job with this status never changes its status again.
func (s JobStatus) Final() bool { return s == JobDone || s == JobAborted }

// JobView is the response to submissions, polls and cancellations.
type JobView struct {
	UID     string    `json:"Uid"`
	Status  JobStatus `json:"Status"`
	Done    int       `json:"done"`    // number of tasks that are done
	Running int       `json:"running"` // number of running tasks
}

// ErrorResponse is the body of a response that rejects a request.
type ErrorResponse struct {
	Error string `json:"error"`
}

// ValidUID reports whether id has the form of a job id: "run-" and 6 to 18 digits.
func ValidUID(id string) bool {
	digits, ok := strings.CutPrefix(id, "run-")
	if !ok || len(digits) < 6 || len(digits) > 18 {
		return false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// TaskName returns the name of a task of a job, such as run-000412/3.
func TaskName(uid string, task int) string { return uid + "/" + strconv.Itoa(task) }

// SplitTaskName splits a task name into the job's id and the task's number; ok is false if the name is
// not valid.
func SplitTaskName(name string) (uid string, task int, ok bool) {
	uid, number, ok := strings.Cut(name, "/")
	if !ok || uid == "" {
		return "", 0, false
	}
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 || strconv.Itoa(n) != number {
		return "", 0, false
	}
	return uid, n, true
}
