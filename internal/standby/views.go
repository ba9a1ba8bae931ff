package standby

import (
	"fmt"
	"strings"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/fxamacker/cbor/v2"

	"lotusstile.dev/lotusstile/wire"
)

// Key prefixes of views, and the key of the leader's view. No record has a key that begins with "view/".
const (
	machinePrefix = "view/machine/"
	jobPrefix     = "view/job/"
	leaderViewKey = "view/leader"
)

// MachineView is what a leader knows about a machine from its heartbeats and from the cloud. Fields that end in Ms are
// Unix times in milliseconds; 0 means none.
type MachineView struct {
	Host         string   `cbor:"1,keyasint"`
	Address      string   `cbor:"2,keyasint,omitempty"`
	Type         string   `cbor:"3,keyasint,omitempty"`
	Zone         string   `cbor:"4,keyasint,omitempty"`
	Spot         bool     `cbor:"5,keyasint,omitempty"`
	Incarnation  uint64   `cbor:"6,keyasint,omitempty"` // of the machine's worker, from its newest heartbeat
	FencingToken uint64   `cbor:"7,keyasint,omitempty"` // the leader's term, if the worker has that term as its fencing token
	FirstSeenMs  int64    `cbor:"8,keyasint,omitempty"`
	AvoidUntilMs int64    `cbor:"9,keyasint,omitempty"` // until then the machine gets no new attempts
	SpotNotice   bool     `cbor:"10,keyasint,omitempty"`
	Images       []string `cbor:"12,keyasint,omitempty"`
}

// JobView is what a leader knows about a job from heartbeats. Fields that end in Ms are Unix times in milliseconds, and
// EarliestStartS is one in seconds; 0 means none.
type JobView struct {
	UID            string `cbor:"1,keyasint"`
	HasRun         bool   `cbor:"2,keyasint,omitempty"` // one of its tasks has run
	BackoffCount   int    `cbor:"3,keyasint,omitempty"` // number of consecutive backoffs after failures
	NotBeforeMs    int64  `cbor:"4,keyasint,omitempty"` // the job is not placed before this time
	WaitingSinceMs int64  `cbor:"5,keyasint,omitempty"` // since when none of its tasks runs
	Running        []byte `cbor:"6,keyasint,omitempty"` // Roaring bitmap of its running tasks, see RunningTasks
	// Attempts and StartOffsetsS have one element for each running task, in ascending order of tasks: the number of the
	// attempt, and its start in seconds after EarliestStartS, the earliest start of all running tasks.
	Attempts       []uint64 `cbor:"7,keyasint,omitempty"`
	EarliestStartS int64    `cbor:"8,keyasint,omitempty"`
	StartOffsetsS  []uint32 `cbor:"9,keyasint,omitempty"`
}

// RunningTask is a task that a heartbeat has reported as running.
type RunningTask struct {
	Task     int
	Attempt  uint64
	StartedS int64 // when the attempt started running, as a Unix time in seconds
}

// SetRunning sets the running tasks, which must be in ascending order. It must be called at most once.
func (v *JobView) SetRunning(tasks []RunningTask) error {
	if len(tasks) == 0 {
		return nil
	}
	set := roaring.New()
	v.EarliestStartS = tasks[0].StartedS
	for _, t := range tasks {
		v.EarliestStartS = min(v.EarliestStartS, t.StartedS)
	}
	for _, t := range tasks {
		set.Add(uint32(t.Task))
		v.Attempts = append(v.Attempts, t.Attempt)
		v.StartOffsetsS = append(v.StartOffsetsS, uint32(t.StartedS-v.EarliestStartS))
	}
	set.RunOptimize()
	body, err := set.ToBytes()
	if err != nil {
		return fmt.Errorf("encode tasks of %s: %w", v.UID, err)
	}
	v.Running = body
	return nil
}

// RunningTasks returns the running tasks in ascending order. Every error wraps ErrUndecodable.
func (v *JobView) RunningTasks() ([]RunningTask, error) {
	if len(v.Running) == 0 {
		return nil, nil
	}
	set := roaring.New()
	if _, err := set.FromBuffer(v.Running); err != nil {
		return nil, fmt.Errorf("%w: tasks of %s: %w", ErrUndecodable, v.UID, err)
	}
	if err := set.Validate(); err != nil {
		return nil, fmt.Errorf("%w: tasks of %s: %w", ErrUndecodable, v.UID, err)
	}
	if n := int(set.GetCardinality()); n != len(v.Attempts) || n != len(v.StartOffsetsS) {
		return nil, fmt.Errorf("%w: %d tasks of %s have %d attempts", ErrUndecodable, n, v.UID, len(v.Attempts))
	}
	var tasks []RunningTask
	for i, task := range set.ToArray() {
		tasks = append(tasks, RunningTask{int(task), v.Attempts[i], v.EarliestStartS + int64(v.StartOffsetsS[i])})
	}
	return tasks, nil
}

// LeaderView is what a leader has learned that does not belong to one machine or job. CapacityRefusal and ArrivalStats
// have no cbor tags, so the Go names of their fields are the names in the encoding.
type LeaderView struct {
	Window   int               `cbor:"1,keyasint,omitempty"` // maximum number of jobs that a scheduling cycle considers
	Refusals []CapacityRefusal `cbor:"2,keyasint,omitempty"`
	Arrivals []ArrivalStats    `cbor:"3,keyasint,omitempty"`
}

// CapacityRefusal is a machine type in a zone for which the cloud had no capacity left, and the backoff before the
// leader requests such machines again.
type CapacityRefusal struct {
	Type, Zone string
	Spot       bool
	UntilMs    int64 // end of the backoff, as a Unix time in milliseconds
	PauseMs    int64 // length of the backoff in milliseconds
}

// ArrivalStats is a weighted count of the jobs of a class that were submitted: older submissions count less.
type ArrivalStats struct {
	Class       string
	Job         wire.JobSpec // the newest of the jobs
	Count       float64
	TasksSquare float64 // weighted mean of the squared task counts of the jobs
	AtMs        int64   // when Count was last updated, as a Unix time in milliseconds
}

// Entry returns the entry of the view.
func (v *MachineView) Entry() (*Entry, error) { return viewEntry(machinePrefix+v.Host, v) }

// Entry returns the entry of the view.
func (v *JobView) Entry() (*Entry, error) { return viewEntry(jobPrefix+v.UID, v) }

// Entry returns the entry of the view.
func (v *LeaderView) Entry() (*Entry, error) { return viewEntry(leaderViewKey, v) }

// DroppedMachineView returns the entry that drops the view of a machine.
func DroppedMachineView(host string) *Entry { return &Entry{Key: machinePrefix + host, Dropped: true} }

// DroppedJobView returns the entry that drops the view of a job.
func DroppedJobView(uid string) *Entry { return &Entry{Key: jobPrefix + uid, Dropped: true} }

func viewEntry(key string, view any) (*Entry, error) {
	value, err := cbor.Marshal(view)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", key, err)
	}
	return &Entry{Key: key, Value: value}, nil
}

// decodeViews decodes the views and adds them to proven. It stops at the first view that cannot be decoded and
// returns an error that wraps ErrUndecodable.
func (c contents) decodeViews(proven *ProvenCopy) error {
	var failed error
	decode := func(entry *Entry, into any) {
		if err := cbor.Unmarshal(entry.Value, into); err != nil && failed == nil {
			failed = fmt.Errorf("%w: %s: %w", ErrUndecodable, entry.Key, err)
		}
	}
	c.tree.Root().WalkPrefix([]byte("view/"), func(_ []byte, entry *Entry) bool {
		switch {
		case strings.HasPrefix(entry.Key, machinePrefix):
			proven.Machines = append(proven.Machines, MachineView{})
			decode(entry, &proven.Machines[len(proven.Machines)-1])
		case strings.HasPrefix(entry.Key, jobPrefix):
			proven.Jobs = append(proven.Jobs, JobView{})
			decode(entry, &proven.Jobs[len(proven.Jobs)-1])
		case entry.Key == leaderViewKey:
			decode(entry, &proven.Leader)
		}
		return failed != nil
	})
	return failed
}
