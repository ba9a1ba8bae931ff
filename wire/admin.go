package wire

// Settings are the operators' own settings, as the administration API shows
// and takes them. Stamp is their version: 0 until they are first changed.
type Settings struct {
	ModRevision uint64  `json:"Stamp"`
	IntervalS   float64 `json:"IntervalS"` // seconds from round to round
	Window      int     `json:"Window"`    // most jobs that a round looks over
	Headroom    float64 `json:"Spare"`     // times the usual spare room; 0 keeps none
	Profiling   bool    `json:"Profiling"` // profiles are served at /admin/pprof
}

// Status answers GET /admin/status.
type Status struct {
	Node   string      `json:"Node"`
	State  string      `json:"State"` // of the leadership, at this node
	Leader string      `json:"Leader"`
	Term   uint64      `json:"Term"`
	Proof  float64     `json:"Proof"`          // seconds since the state service was last read from here
	Lead   *LeadStatus `json:"Lead,omitempty"` // as the leader tells, if it is reached
	// How this node follows the leader's state, or offers its own; only where warm
	// standbys are switched on.
	WarmStandby *StandbyStatus `json:"WarmStandby,omitempty"`
}

// StandbyStatus is a node's part in keeping a warm standby.
type StandbyStatus struct {
	State    string            `json:"State"`            // of this node's copy
	Cause    string            `json:"Cause"`            // of its last change of state
	Leader   string            `json:"Leader,omitempty"` // that the copy comes from
	Term     uint64            `json:"Term,omitempty"`
	Sequence uint64            `json:"Sequence"`          // changes in the copy, or offered by this node if it leads
	Position uint64            `json:"Position"`          // revision of the state service up to which all records are part of it
	LagS     float64           `json:"LagS"`              // age of the copy
	Entries  int               `json:"Entries"`           // records and views
	Bytes    int               `json:"Bytes"`             // of them
	Moved    uint64            `json:"Moved"`             // bytes that this node has taken, or sent if it leads
	Refused  map[string]uint64 `json:"Refused,omitempty"` // parts that were not taken, by cause
	Standby  string            `json:"Standby,omitempty"` // at the leader: the node that is to follow it
}

// LeadStatus is what only the leader knows.
type LeadStatus struct {
	Term                uint64                 `json:"Term"`
	Loaded              bool                   `json:"Loaded"`
	Window              int                    `json:"Window"`
	Round               RoundStatus            `json:"Round"`
	Machines            map[string]int         `json:"Machines"`           // by state
	Classes             map[string]ClassStatus `json:"Classes"`            // by class of jobs
	HeartbeatRouting    string                 `json:"CheckIns,omitempty"` // "direct", or "relayed" by followers; only where relays are switched on
	Workers             map[string]int         `json:"Workers,omitempty"`  // by the controller that they report to
	SuspectJobs         int                    `json:"Suspects"`           // jobs that fail on machine after machine: tried with one task at a time
	QuarantinedMachines int                    `json:"Blamed"`             // machines that are passed over for tasks that failed on them
}

// RoundStatus describes the last round.
type RoundStatus struct {
	AgoS      float64 `json:"AgoS"`
	TookMs    float64 `json:"TookMs"`
	Waiting   int     `json:"Waiting"`
	Started   int     `json:"Started"`
	Stopped   int     `json:"Stopped"`
	Short     int     `json:"Short"`
	Objective float64 `json:"Objective"`
	Reserved  string  `json:"Reserved,omitempty"`
	Overrun   bool    `json:"Overrun"`
}

// ClassStatus counts the work of a class that is not over.
type ClassStatus struct {
	Jobs    int `json:"Jobs"`
	Waiting int `json:"Waiting"` // tasks without a machine
	Placed  int `json:"Placed"`  // tasks with one
}
