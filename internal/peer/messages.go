package peer

import (
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// This file and messages_relay.go define every message of the net/rpc service between controllers, and convert the
// messages to and from the types that the rest of the program uses. encoding/gob matches fields by their Go names, and
// nodes of two releases run at the same time. The fields must therefore keep the names with which they were first
// sent, even where the rest of the program has other names for them. The fixtures in testdata/release1 check this.
// Fields may be added, since a receiver ignores fields that it does not know.

// PingArgs tells the callee of a ping what the caller knows.
type PingArgs struct {
	From string // label of the caller
	Term uint64 // newest term that the caller knows
	// The caller already has the callee's task counts of all jobs up to this term and revision.
	CountsTerm, CountsRevision uint64
	Version                    int // newest cluster version that the caller understands; 0: an older release
}

// PingReply is the message form of PingResult, which documents the fields.
type PingReply struct {
	Term           uint64
	Leading        bool
	Serving        bool
	Heard          []string // PingResult.RenewedHosts
	Counts         []wire.JobView
	CountsRevision uint64
	CountsMore     bool
	Version        int
	Relays         bool // PingResult.CanRelay
	Relaying       bool // PingResult.WantsRelays
	Follows        bool // PingResult.CanFollow
	Standby        string
	Stalled        bool
	// An older release sends neither of these lists: its counts are zero for such jobs.
	StartingJobs    []string
	UnconfirmedJobs []string
}

func (r PingResult) message() PingReply {
	return PingReply{
		Term:           r.Term,
		Leading:        r.Leading,
		Serving:        r.Serving,
		Heard:          r.RenewedHosts,
		Counts:         r.Counts,
		CountsRevision: r.CountsRevision,
		CountsMore:     r.CountsMore,
		Version:        r.Version,
		Relays:         r.CanRelay,
		Relaying:       r.WantsRelays,
		Follows:        r.CanFollow,
		Standby:        r.Standby,
		Stalled:        r.Stalled,

		StartingJobs:    r.StartingJobs,
		UnconfirmedJobs: r.UnconfirmedJobs,
	}
}

func (m PingReply) result() PingResult {
	return PingResult{
		Term:           m.Term,
		Leading:        m.Leading,
		Serving:        m.Serving,
		RenewedHosts:   m.Heard,
		Counts:         m.Counts,
		CountsRevision: m.CountsRevision,
		CountsMore:     m.CountsMore,
		Version:        m.Version,
		CanRelay:       m.Relays,
		WantsRelays:    m.Relaying,
		CanFollow:      m.Follows,
		Standby:        m.Standby,
		Stalled:        m.Stalled,

		StartingJobs:    m.StartingJobs,
		UnconfirmedJobs: m.UnconfirmedJobs,
	}
}

// CountsArgs asks the leader for the numbers of finished and running tasks of a job.
type CountsArgs struct{ UID string }

// CountsReply answers CountsArgs. Known is false if the callee does not lead, has no such job, or does not know whether
// tasks of the job run.
type CountsReply struct {
	Known         bool
	Done, Running int // tasks
}

// CheckInArgs relays a single heartbeat to the leader. Body is the heartbeat's JSON.
type CheckInArgs struct{ Body []byte }

// CheckInReply is the leader's HTTP answer to a single relayed heartbeat.
type CheckInReply struct {
	Status int
	Body   []byte
}

// UserArgs forwards a user's HTTP request that the caller cannot serve itself.
type UserArgs struct {
	Method, Path string
	Body         []byte
}

// UserReply is the HTTP answer to a forwarded request.
type UserReply struct {
	Status     int
	RetryAfter string // value of the Retry-After header
	Body       []byte
}

// LeadReply is the leader's status. Lead is nil if the callee does not lead.
type LeadReply struct{ Lead *LeadStatusMessage }

// LeadStatusMessage is the message form of wire.LeadStatus, which documents the fields.
type LeadStatusMessage struct {
	Term     uint64
	Loaded   bool
	Window   int
	Round    RoundStatusMessage
	Machines map[string]int
	Classes  map[string]ClassStatusMessage
	CheckIns string // wire.LeadStatus.HeartbeatRouting
	Workers  map[string]int
	Suspects int // wire.LeadStatus.SuspectJobs
	Blamed   int // wire.LeadStatus.QuarantinedMachines
}

// RoundStatusMessage is the message form of wire.CycleStatus.
type RoundStatusMessage struct {
	AgoS      float64
	TookMs    float64
	Waiting   int
	Started   int
	Stopped   int
	Short     int
	Objective float64
	Reserved  string
	Overrun   bool
}

// ClassStatusMessage is the message form of wire.ClassStatus.
type ClassStatusMessage struct {
	Jobs    int
	Waiting int
	Placed  int
}

func leadStatusMessage(status *wire.LeadStatus) *LeadStatusMessage {
	if status == nil {
		return nil
	}
	message := &LeadStatusMessage{
		Term:     status.Term,
		Loaded:   status.Loaded,
		Window:   status.Window,
		Round:    RoundStatusMessage(status.LastCycle),
		Machines: status.Machines,
		CheckIns: status.HeartbeatRouting,
		Workers:  status.Workers,
		Suspects: status.SuspectJobs,
		Blamed:   status.QuarantinedMachines,
	}
	if status.Classes != nil {
		message.Classes = make(map[string]ClassStatusMessage, len(status.Classes))
	}
	for name, class := range status.Classes {
		message.Classes[name] = ClassStatusMessage(class)
	}
	return message
}

func (m *LeadStatusMessage) status() *wire.LeadStatus {
	if m == nil {
		return nil
	}
	status := &wire.LeadStatus{
		Term:                m.Term,
		Loaded:              m.Loaded,
		Window:              m.Window,
		LastCycle:           wire.CycleStatus(m.Round),
		Machines:            m.Machines,
		HeartbeatRouting:    m.CheckIns,
		Workers:             m.Workers,
		SuspectJobs:         m.Suspects,
		QuarantinedMachines: m.Blamed,
	}
	if m.Classes != nil {
		status.Classes = make(map[string]wire.ClassStatus, len(m.Classes))
	}
	for name, class := range m.Classes {
		status.Classes[name] = wire.ClassStatus(class)
	}
	return status
}

// WithdrawnArgs is the message form of Cancellation.
type WithdrawnArgs struct {
	UID   string
	Rec   JobMessage // Cancellation.Record
	Stamp uint64     // Cancellation.ModRevision
}

// WithdrawnReply is empty.
type WithdrawnReply struct{}

// JobMessage is the message form of records.Job.
type JobMessage struct {
	Spec   WorkMessage
	Status wire.JobStatus
	AtMs   int64 // records.Job.AcceptedAtMs
	Per    int   // records.Job.TasksPerPlacement
}

// WorkMessage is the message form of wire.JobSpec. The comments name the fields of wire.JobSpec, which documents them.
type WorkMessage struct {
	UID, Berth, Crew           string        // UID, JobClass, Team
	Shape                      wire.JobKind  // Kind
	Rank                       wire.Priority // Priority
	Legs                       int           // TaskCount
	Cores, Gpus, RAMGb         float64
	Rollout                    string // Image
	ImageGb                    float64
	Rigs                       []string // MachineTypes
	Yard                       string   // Zone
	Together, Scatter, Standby bool     // SingleZone, SpreadZones, AllowSpot
	ExpectS, MarkS, StowS      float64  // ExpectedRunS, CheckpointIntervalS, CheckpointOnStopS
	DueS                       *float64 // DeadlineS
	Awaits                     []string // Dependencies
}

func (c Cancellation) message() WithdrawnArgs {
	job := JobMessage{
		Spec:   workMessage(&c.Record.Spec),
		Status: c.Record.Status,
		AtMs:   c.Record.AcceptedAtMs,
		Per:    c.Record.TasksPerPlacement,
	}
	return WithdrawnArgs{UID: c.UID, Rec: job, Stamp: c.ModRevision}
}

func (m *WithdrawnArgs) cancellation() Cancellation {
	record := records.Job{
		Spec:              m.Rec.Spec.jobSpec(),
		Status:            m.Rec.Status,
		AcceptedAtMs:      m.Rec.AtMs,
		TasksPerPlacement: m.Rec.Per,
	}
	return Cancellation{UID: m.UID, Record: record, ModRevision: m.Stamp}
}

func workMessage(spec *wire.JobSpec) WorkMessage {
	return WorkMessage{
		UID:      spec.UID,
		Berth:    spec.JobClass,
		Crew:     spec.Team,
		Shape:    spec.Kind,
		Rank:     spec.Priority,
		Legs:     spec.TaskCount,
		Cores:    spec.Cores,
		Gpus:     spec.Gpus,
		RAMGb:    spec.RAMGb,
		Rollout:  spec.Image,
		ImageGb:  spec.ImageGb,
		Rigs:     spec.MachineTypes,
		Yard:     spec.Zone,
		Together: spec.SingleZone,
		Scatter:  spec.SpreadZones,
		Standby:  spec.AllowSpot,
		ExpectS:  spec.ExpectedRunS,
		MarkS:    spec.CheckpointIntervalS,
		StowS:    spec.CheckpointOnStopS,
		DueS:     spec.DeadlineS,
		Awaits:   spec.Dependencies,
	}
}

func (m *WorkMessage) jobSpec() wire.JobSpec {
	return wire.JobSpec{
		UID:                 m.UID,
		JobClass:            m.Berth,
		Team:                m.Crew,
		Kind:                m.Shape,
		Priority:            m.Rank,
		TaskCount:           m.Legs,
		Cores:               m.Cores,
		Gpus:                m.Gpus,
		RAMGb:               m.RAMGb,
		Image:               m.Rollout,
		ImageGb:             m.ImageGb,
		MachineTypes:        m.Rigs,
		Zone:                m.Yard,
		SingleZone:          m.Together,
		SpreadZones:         m.Scatter,
		AllowSpot:           m.Standby,
		ExpectedRunS:        m.ExpectS,
		CheckpointIntervalS: m.MarkS,
		CheckpointOnStopS:   m.StowS,
		DeadlineS:           m.DueS,
		Dependencies:        m.Awaits,
	}
}

// FollowArgs is a warm standby's request for one part of a transfer of the leader's state.
type FollowArgs struct {
	From string // label of the standby
	Term uint64 // term of the leader that the standby follows
	// Transfer and Part identify the part. Transfer 0 begins a new transfer, which contains the changes since Have, or
	// the whole state if Have is 0 or too old.
	Transfer uint64
	Part     int
	Have     uint64 // sequence number up to which the standby has all changes of this term
}

// FollowReply is one part of a transfer of the leader's state.
type FollowReply struct {
	Term    uint64
	Leading bool // the callee leads the requested term and has state to transfer
	// Transfer is 0 if the leader no longer knows the requested transfer. The standby then begins a new one.
	Transfer uint64
	Part     int
	Last     bool   // this is the last part of the transfer
	Full     bool   // the transfer contains the whole state, not only the changes since Base
	Base     uint64 // sequence number of the state to which the changes apply
	// The state after the last part is applied: its sequence number, the revision of the state store up to which it
	// includes every commit of the leader's term, and its digest.
	Sequence, Position, Digest uint64
	Entries                    int // number of entries in Body
	Size                       int // of Body after decompression, in bytes
	Body                       []byte
}
