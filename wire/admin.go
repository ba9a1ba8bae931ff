package wire

// Settings are the operators' own settings, as the administration API shows and accepts them.
type Settings struct {
	ModRevision uint64  `json:"Stamp"`     // 0 until they are first changed
	IntervalS   float64 `json:"IntervalS"` // from scheduling cycle to scheduling cycle
	Window      int     `json:"Window"`    // most jobs that a cycle considers
	Headroom    float64 `json:"Spare"`     // factor on the usual headroom; 0: no headroom
	Profiling   bool    `json:"Profiling"` // profiles are served at /admin/pprof
}

// Status answers GET /admin/status.
type Status struct {
	Node   string      `json:"Node"`
	State  string      `json:"State"` // of the leadership, at this node
	Leader string      `json:"Leader"`
	Term   uint64      `json:"Term"`
	Proof  float64     `json:"Proof"`          // seconds since the state store was last read from here
	Lead   *LeadStatus `json:"Lead,omitempty"` // from the leader, if it can be reached
	// How this node follows the leader's state, or offers its own; only where warm standbys are
	// switched on.
	WarmStandby *StandbyStatus `json:"WarmStandby,omitempty"`
}

// StandbyStatus says how a node replicates the leader's state as its warm standby, or offers its own.
type StandbyStatus struct {
	State    string            `json:"State"`            // of this node's copy
	Cause    string            `json:"Cause"`            // of its last change of state
	Leader   string            `json:"Leader,omitempty"` // that the copy comes from
	Term     uint64            `json:"Term,omitempty"`
	Sequence uint64            `json:"Sequence"`          // changes in the copy, or offered by this node if it leads
	Position uint64            `json:"Position"`          // revision of the state store up to which it has all records
	LagS     float64           `json:"LagS"`              // age of the copy
	Entries  int               `json:"Entries"`           // records and views
	Bytes    int               `json:"Bytes"`             // of them
	Moved    uint64            `json:"Moved"`             // bytes that this node has received, or sent if it leads
	Refused  map[string]uint64 `json:"Refused,omitempty"` // parts that were not accepted, by cause
	Standby  string            `json:"Standby,omitempty"` // at the leader: the node that is to follow it
}

// LeadStatus is what only the leader knows.
type LeadStatus struct {
	Term     uint64                 `json:"Term"`
	Loaded   bool                   `json:"Loaded"` // it knows all records and may schedule
	Window   int                    `json:"Window"` // jobs that the next cycle considers at most
	Round    RoundStatus            `json:"Round"`
	Machines map[string]int         `json:"Machines"` // by state
	Classes  map[string]ClassStatus `json:"Classes"`  // by class of jobs
	// HeartbeatRouting is "direct", or "relayed" by followers; only where relays are switched on.
	HeartbeatRouting string         `json:"CheckIns,omitempty"`
	Workers          map[string]int `json:"Workers,omitempty"` // by the controller that they send heartbeats to
	// SuspectJobs counts jobs that fail on machine after machine: only one task of each is launched at a time.
	SuspectJobs int `json:"Suspects"`
	// QuarantinedMachines counts machines that get no launches because tasks failed on them.
	QuarantinedMachines int `json:"Blamed"`
}

// RoundStatus describes the last scheduling cycle.
type RoundStatus struct {
	AgoS      float64 `json:"AgoS"` // since it began
	TookMs    float64 `json:"TookMs"`
	Waiting   int     `json:"Waiting"`            // jobs with tasks that have no machine
	Started   int     `json:"Started"`            // tasks
	Stopped   int     `json:"Stopped"`            // tasks that were preempted
	Short     int     `json:"Short"`              // jobs with tasks that no machine has room for
	Objective float64 `json:"Objective"`          // see package sched
	Reserved  string  `json:"Reserved,omitempty"` // UID of the job that machines are reserved for
	Overrun   bool    `json:"Overrun"`            // it took longer than the interval and started nothing
}

// ClassStatus counts the unfinished work of a class of jobs.
type ClassStatus struct {
	Jobs    int `json:"Jobs"`
	Waiting int `json:"Waiting"` // tasks without a machine
	Placed  int `json:"Placed"`  // tasks with one
}
