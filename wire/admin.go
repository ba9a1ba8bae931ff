package wire

import (
	"errors"
	"fmt"
)

// Settings are the settings that operators can change at run time through the administration API.
type Settings struct {
	ModRevision uint64  `json:"Stamp"`     // of the settings in the state store; 0 until they are first changed
	IntervalS   float64 `json:"IntervalS"` // time between the starts of two scheduling cycles
	Window      int     `json:"Window"`    // maximum number of jobs that a cycle considers
	Headroom    float64 `json:"Spare"`     // factor by which the computed headroom is scaled; 0: no headroom
	Profiling   bool    `json:"Profiling"` // whether profiles are served at /admin/pprof
}

// SettingsChange is the body of PUT /admin/settings. A field that is null or missing keeps its setting.
type SettingsChange struct {
	ModRevision *uint64  `json:"Stamp"` // of the settings that the change is based on; required
	IntervalS   *float64 `json:"IntervalS"`
	Window      *int     `json:"Window"`
	Headroom    *float64 `json:"Spare"`
	Profiling   *bool    `json:"Profiling"`
}

// ParseSettingsChange decodes the body of PUT /admin/settings. It returns an error if a field is unknown or
// of the wrong type, or if Stamp is missing.
func ParseSettingsChange(body []byte) (SettingsChange, error) {
	var change SettingsChange
	if err := DecodeStrict(body, &change); err != nil {
		return SettingsChange{}, fmt.Errorf("body is not a change of settings: %w", err)
	}
	if change.ModRevision == nil {
		return SettingsChange{}, errors.New("body must have the Stamp of the settings that it changes")
	}
	return change, nil
}

// ApplyTo returns the settings that result from the change of base.
func (c *SettingsChange) ApplyTo(base Settings) Settings {
	base.ModRevision = replaced(base.ModRevision, c.ModRevision)
	base.IntervalS = replaced(base.IntervalS, c.IntervalS)
	base.Window = replaced(base.Window, c.Window)
	base.Headroom = replaced(base.Headroom, c.Headroom)
	base.Profiling = replaced(base.Profiling, c.Profiling)
	return base
}

// replaced returns *replacement, or current if replacement is nil.
func replaced[T any](current T, replacement *T) T {
	if replacement == nil {
		return current
	}
	return *replacement
}

// Status is the response to GET /admin/status.
type Status struct {
	Node               string      `json:"Node"`
	State              string      `json:"State"` // state of the leader election at this node
	Leader             string      `json:"Leader"`
	Term               uint64      `json:"Term"`
	SinceLastExecutedS float64     `json:"Proof"`          // seconds since the start of this node's latest request that the store has executed
	Lead               *LeadStatus `json:"Lead,omitempty"` // nil if the leader is unreachable
	// WarmStandby says how this node replicates the leader's state or, at the leader, offers its own.
	// It is nil unless warm standbys are enabled.
	WarmStandby *StandbyStatus `json:"WarmStandby,omitempty"`
}

// StandbyStatus says how a node replicates the leader's state as its warm standby or, at the leader,
// offers its own state for replication.
type StandbyStatus struct {
	State       string            `json:"State"`             // state of this node's copy
	Cause       string            `json:"Cause"`             // cause of the last change of State
	Leader      string            `json:"Leader,omitempty"`  // leader whose state is copied
	Term        uint64            `json:"Term,omitempty"`    // term of that leader
	Sequence    uint64            `json:"Sequence"`          // number of the last change copied; at the leader, of the last change offered
	Position    uint64            `json:"Position"`          // revision of the state store up to which the copy has all records
	LagS        float64           `json:"LagS"`              // age of the copy; 0 at the leader
	Entries     int               `json:"Entries"`           // number of records and views in the copy
	Bytes       int               `json:"Bytes"`             // size of these entries
	MovedBytes  uint64            `json:"Moved"`             // bytes that this node has received; at the leader, bytes sent
	Refused     map[string]uint64 `json:"Refused,omitempty"` // number of rejected transfers and copies, by cause
	StandbyNode string            `json:"Standby,omitempty"` // at the leader: the node chosen as its warm standby
}

// LeadStatus is the part of the status that only the leader knows.
type LeadStatus struct {
	Term      uint64                 `json:"Term"`
	Loaded    bool                   `json:"Loaded"` // the leader has loaded all records and may schedule
	Window    int                    `json:"Window"` // maximum number of jobs that the next cycle considers
	LastCycle CycleStatus            `json:"Round"`
	Machines  map[string]int         `json:"Machines"` // number of machines by state
	Classes   map[string]ClassStatus `json:"Classes"`  // by job class
	// HeartbeatRouting is "direct" if workers send heartbeats to the leader, or "relayed" if followers
	// relay them. It is empty unless relaying is enabled.
	HeartbeatRouting string         `json:"CheckIns,omitempty"`
	Workers          map[string]int `json:"Workers,omitempty"` // number of workers by the controller that they send heartbeats to
	// SuspectJobs counts jobs whose tasks keep failing on different machines. Only one task of such a job
	// is launched at a time.
	SuspectJobs int `json:"Suspects"`
	// QuarantinedMachines counts machines on which nothing is launched because tasks failed there.
	QuarantinedMachines int `json:"Blamed"`
}

// CycleStatus describes the last scheduling cycle.
type CycleStatus struct {
	AgoS      float64 `json:"AgoS"`               // seconds since the cycle began; since the term began if there was none yet
	TookMs    float64 `json:"TookMs"`             // duration of the cycle
	Waiting   int     `json:"Waiting"`            // jobs with tasks that were not placed when the cycle began
	Started   int     `json:"Started"`            // tasks that were launched
	Stopped   int     `json:"Stopped"`            // tasks that were preempted
	Short     int     `json:"Short"`              // jobs with tasks that fit on no machine, running or booting
	Objective float64 `json:"Objective"`          // value of the objective function of package sched
	Reserved  string  `json:"Reserved,omitempty"` // UID of the job that machines are reserved for
	Overrun   bool    `json:"Overrun"`            // the cycle took longer than the interval, so that nothing was launched
}

// ClassStatus counts the unfinished work of a class of jobs.
type ClassStatus struct {
	Jobs    int `json:"Jobs"`
	Waiting int `json:"Waiting"` // tasks that are not placed
	Placed  int `json:"Placed"`  // tasks that are placed on a machine
}
