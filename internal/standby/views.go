package standby

import (
	"fmt"
	"strings"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/fxamacker/cbor/v2"

	"lotusstile.dev/lotusstile/wire"
)

// Keys of views. No record has a key with this prefix.
const (
	machineViews  = "view/machine/"
	jobViews      = "view/job/"
	leaderViewKey = "view/leader"
)

// MachineView is what a leader knows of a machine from its heartbeats and from the cloud.
// Times are milliseconds of the Unix time, 0 for none.
type MachineView struct {
	Host         string   `cbor:"1,keyasint"`
	Address      string   `cbor:"2,keyasint,omitempty"`
	Type         string   `cbor:"3,keyasint,omitempty"`
	Zone         string   `cbor:"4,keyasint,omitempty"`
	Spot         bool     `cbor:"5,keyasint,omitempty"`
	Incarnation  uint64   `cbor:"6,keyasint,omitempty"` // of its worker, by the newest heartbeat
	FencingToken uint64   `cbor:"7,keyasint,omitempty"` // the leader's term, if the worker has its fencing token
	FirstSeenMs  int64    `cbor:"8,keyasint,omitempty"`
	AvoidMs      int64    `cbor:"9,keyasint,omitempty"` // gets no new attempts until then
	SpotNotice   bool     `cbor:"10,keyasint,omitempty"`
	Images       []string `cbor:"12,keyasint,omitempty"`
}

// JobView is what a leader knows of a job from heartbeats. Times are of the Unix time, 0 for none: in
// milliseconds or, with a name in S, in seconds.
type JobView struct {
	UID          string `cbor:"1,keyasint"`
	HasRun       bool   `cbor:"2,keyasint,omitempty"` // a task of it has run
	BackoffCount int    `cbor:"3,keyasint,omitempty"` // how many times in a row it was delayed because it failed
	NotBeforeMs  int64  `cbor:"4,keyasint,omitempty"` // it is not placed before then
	WaitMs       int64  `cbor:"5,keyasint,omitempty"` // since when none of its tasks has run
	Running      []byte `cbor:"6,keyasint,omitempty"` // bitmap of its running tasks, see RunningTasks
	// Attempts and AfterS have an element a running task, in order: the number of the attempt, and since
	// when it runs, in seconds after SinceS.
	Attempts []uint64 `cbor:"7,keyasint,omitempty"`
	SinceS   int64    `cbor:"8,keyasint,omitempty"`
	AfterS   []uint32 `cbor:"9,keyasint,omitempty"`
}

// RunningTask is a task that has been reported running.
type RunningTask struct {
	Task    int
	Attempt uint64
	SinceS  int64 // since when it runs, in seconds of the Unix time
}

// SetRunning sets the running tasks, which must be in ascending order. It must be called once at most.
func (v *JobView) SetRunning(tasks []RunningTask) error {
	if len(tasks) == 0 {
		return nil
	}
	set := roaring.New()
	v.SinceS = tasks[0].SinceS
	for _, t := range tasks {
		v.SinceS = min(v.SinceS, t.SinceS)
	}
	for _, t := range tasks {
		set.Add(uint32(t.Task))
		v.Attempts = append(v.Attempts, t.Attempt)
		v.AfterS = append(v.AfterS, uint32(t.SinceS-v.SinceS))
	}
	set.RunOptimize()
	body, err := set.ToBytes()
	if err != nil {
		return fmt.Errorf("encode tasks of %s: %w", v.UID, err)
	}
	v.Running = body
	return nil
}

// RunningTasks returns the running tasks, in order. An error wraps ErrUndecodable.
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
	if n := int(set.GetCardinality()); n != len(v.Attempts) || n != len(v.AfterS) {
		return nil, fmt.Errorf("%w: %d tasks of %s have %d attempts", ErrUndecodable, n, v.UID, len(v.Attempts))
	}
	var tasks []RunningTask
	for i, task := range set.ToArray() {
		tasks = append(tasks, RunningTask{int(task), v.Attempts[i], v.SinceS + int64(v.AfterS[i])})
	}
	return tasks, nil
}

// LeaderView is what a leader has learned that belongs to no machine or job. Its elements travel by
// the Go names of their fields.
type LeaderView struct {
	Window   int       `cbor:"1,keyasint,omitempty"`
	Refusals []Refusal `cbor:"2,keyasint,omitempty"`
	Arrivals []Arrival `cbor:"3,keyasint,omitempty"`
}

// Refusal is a machine type in a zone of which the cloud had no more. UntilMs is in milliseconds of
// the Unix time, PauseMs a duration in milliseconds.
type Refusal struct {
	Type, Zone string
	Spot       bool
	UntilMs    int64
	PauseMs    int64
}

// Arrival counts the submissions of jobs of a class, of which older ones count less.
type Arrival struct {
	Class       string
	Job         wire.JobSpec // one of them
	Count       float64
	TasksSquare float64 // mean of the squared number of tasks of a job
	AtMs        int64
}

// Entry returns the entry of the view.
func (v *MachineView) Entry() (*Entry, error) { return viewEntry(machineViews+v.Host, v) }

// Entry returns the entry of the view.
func (v *JobView) Entry() (*Entry, error) { return viewEntry(jobViews+v.UID, v) }

// Entry returns the entry of the view.
func (v *LeaderView) Entry() (*Entry, error) { return viewEntry(leaderViewKey, v) }

// DroppedMachineView returns the entry that drops the view of a machine.
func DroppedMachineView(host string) *Entry { return &Entry{Key: machineViews + host, Dropped: true} }

// DroppedJobView returns the entry that drops the view of a job.
func DroppedJobView(uid string) *Entry { return &Entry{Key: jobViews + uid, Dropped: true} }

func viewEntry(key string, view any) (*Entry, error) {
	value, err := cbor.Marshal(view)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", key, err)
	}
	return &Entry{Key: key, Value: value}, nil
}

// decodeViews decodes all views into proven, up to the first that cannot be decoded. The error wraps
// ErrUndecodable.
func (c contents) decodeViews(proven *Proven) error {
	var failed error
	decode := func(entry *Entry, into any) {
		if err := cbor.Unmarshal(entry.Value, into); err != nil && failed == nil {
			failed = fmt.Errorf("%w: %s: %w", ErrUndecodable, entry.Key, err)
		}
	}
	c.tree.Root().WalkPrefix([]byte("view/"), func(_ []byte, entry *Entry) bool {
		switch {
		case strings.HasPrefix(entry.Key, machineViews):
			proven.Machines = append(proven.Machines, MachineView{})
			decode(entry, &proven.Machines[len(proven.Machines)-1])
		case strings.HasPrefix(entry.Key, jobViews):
			proven.Jobs = append(proven.Jobs, JobView{})
			decode(entry, &proven.Jobs[len(proven.Jobs)-1])
		case entry.Key == leaderViewKey:
			decode(entry, &proven.Leader)
		}
		return failed != nil
	})
	return failed
}
