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
	JobClass            string   `json:"Berth"` // objectives in the settings are by class
	Team                string   `json:"Crew"`  // whose quota and limit apply
	Kind                JobKind  `json:"Shape"`
	Priority            Priority `json:"Rank"`
	TaskCount           int      `json:"Legs"`  // at most MaxTasks
	Cores               float64  `json:"Cores"` // of each task, as Gpus and RAMGb
	Gpus                float64  `json:"Gpus"`
	RAMGb               float64  `json:"RamGb"`
	Image               string   `json:"Rollout"` // a machine must have fetched it before a task starts
	ImageGb             float64  `json:"ImageGb"`
	MachineTypes        []string `json:"Rigs,omitempty"` // those allowed; any if empty
	Zone                string   `json:"Yard,omitempty"` // the only one allowed; any if ""
	SingleZone          bool     `json:"Together"`       // all tasks must be in the same zone
	SpreadZones         bool     `json:"Scatter"`        // at most half of the tasks, rounded up, in one zone
	AllowSpot           bool     `json:"Standby"`        // it may use spot machines
	ExpectedRunS        float64  `json:"ExpectS"`        // estimate for a task, without the image fetch; 0 for services
	CheckpointIntervalS float64  `json:"MarkS"`          // progress after which a task saves a checkpoint; 0: it never does
	CheckpointOnStopS   float64  `json:"StowS"`          // time that a task needs to save when it is stopped
	DeadlineS           *float64 `json:"DueS,omitempty"` // from its submission; nil: none
	// Dependencies names the jobs that have to be done before a task of this one starts.
	Dependencies []string `json:"Awaits,omitempty"`
}

// JobKind says how the tasks of a job run.
type JobKind string

// The kinds of jobs.
const (
	JobArray JobKind = "sweep"    // independent tasks, each runs to completion
	Service  JobKind = "standing" // replicas run until the job is cancelled
	Gang     JobKind = "group"    // its tasks run together or not at all
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

// Level orders priorities: higher goes first; 0 is no valid priority.
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

// JobStatus is the status of a job that users are shown.
type JobStatus string

// The statuses of a job. JobAborted is that of a cancelled job.
const (
	JobQueued  JobStatus = "queued" // no task runs
	JobRunning JobStatus = "running"
	JobDone    JobStatus = "done"
	JobAborted JobStatus = "aborted"
)

// Final reports whether a status never changes again.
func (s JobStatus) Final() bool { return s == JobDone || s == JobAborted }

// JobView answers submissions, polls and cancellations.
type JobView struct {
	UID     string    `json:"Uid"`
	Status  JobStatus `json:"Status"`
	Done    int       `json:"done"`    // tasks
	Running int       `json:"running"` // tasks
}

// ErrorResponse is the body of a response that refuses a request.
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

// SplitTaskName returns the job and the number in a task's name; ok is false if it is not valid.
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
