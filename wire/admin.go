package wire

// Settings are the operators' own settings, as the administration API shows
// and takes them. Stamp is their version: 0 until they are first changed.
type Settings struct {
	Stamp     uint64
	IntervalS float64 // seconds from round to round
	Window    int     // most jobs that a round looks over
	Spare     float64 // times the usual spare room; 0 keeps none
	Profiling bool    // profiles are served at /admin/pprof
}

// Status answers GET /admin/status.
type Status struct {
	Node   string
	State  string // of the leadership, at this node
	Leader string
	Term   uint64
	Proof  float64     // seconds since the state service was last read from here
	Lead   *LeadStatus `json:",omitempty"` // as the leader tells, if it is reached
	// How this node follows the leader's state, or offers its own; only where warm
	// standbys are switched on.
	WarmStandby *StandbyStatus `json:",omitempty"`
}

// StandbyStatus is a node's part in keeping a warm standby.
type StandbyStatus struct {
	State    string            // of this node's copy
	Cause    string            // of its last change of state
	Leader   string            `json:",omitempty"` // that the copy comes from
	Term     uint64            `json:",omitempty"`
	Sequence uint64            // changes in the copy, or offered by this node if it leads
	Position uint64            // revision of the state service up to which all records are part of it
	LagS     float64           // age of the copy
	Entries  int               // records and views
	Bytes    int               // of them
	Moved    uint64            // bytes that this node has taken, or sent if it leads
	Refused  map[string]uint64 `json:",omitempty"` // parts that were not taken, by cause
	Standby  string            `json:",omitempty"` // at the leader: the node that is to follow it
}

// LeadStatus is what only the leader knows.
type LeadStatus struct {
	Term     uint64
	Loaded   bool
	Window   int
	Round    RoundStatus
	Machines map[string]int         // by state
	Classes  map[string]ClassStatus // by class of jobs
	CheckIns string                 `json:",omitempty"` // "direct", or "relayed" by followers; only where relays are switched on
	Workers  map[string]int         `json:",omitempty"` // by the controller that they report to
	Suspects int                    // jobs that fail on machine after machine: tried with one task at a time
	Blamed   int                    // machines that are passed over for tasks that failed on them
}

// RoundStatus describes the last round.
type RoundStatus struct {
	AgoS      float64
	TookMs    float64
	Waiting   int
	Started   int
	Stopped   int
	Short     int
	Objective float64
	Reserved  string `json:",omitempty"`
	Overrun   bool
}

// ClassStatus counts the work of a class that is not over.
type ClassStatus struct {
	Jobs    int
	Waiting int // tasks without a machine
	Placed  int // tasks with one
}
