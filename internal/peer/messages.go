package peer

import (
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// This file and messages_relay.go are the edge to the other controllers: every message of the net/rpc
// service, and the conversions to and from the types that the rest of the program uses. encoding/gob
// matches fields by their Go names, and nodes of two releases serve side by side, so the fields here
// retain the names with which they were first sent. The fixtures in testdata/release1 pin them. Fields
// may be added: a receiver ignores those that it does not know.

// PingArgs is the state of the caller of a ping.
type PingArgs struct {
	From string // label of the caller
	Term uint64 // newest term that the caller knows
	// The term and revision up to which the caller already has the callee's counts of jobs' tasks.
	CountsTerm, CountsRevision uint64
	Version                    int // cluster version that the caller understands; 0: an older release
}

// PingReply is the message form of PingResult.
type PingReply struct {
	Term           uint64
	Leading        bool
	Serving        bool
	Heard          []string
	Counts         []wire.JobView
	CountsRevision uint64
	CountsMore     bool
	Version        int
	Relays         bool
	Relaying       bool
	Follows        bool
	Standby        string
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
	}
}

// CountsArgs asks the leader for the number of finished and running tasks of a job.
type CountsArgs struct{ UID string }

// CountsReply answers CountsArgs. Known is false if the callee does not lead or has no such job.
type CountsReply struct {
	Known         bool
	Done, Running int
}

// CheckInArgs relays a single worker's heartbeat to the leader.
type CheckInArgs struct{ Body []byte }

// CheckInReply is the leader's HTTP answer to the heartbeat.
type CheckInReply struct {
	Status int
	Body   []byte
}

// UserArgs forwards a user's request that the caller cannot serve.
type UserArgs struct {
	Method, Path string
	Body         []byte
}

// UserReply is the HTTP answer to a forwarded request.
type UserReply struct {
	Status     int
	RetryAfter string
	Body       []byte
}

// LeadReply is the leader's status; Lead is nil from a node that does not lead.
type LeadReply struct{ Lead *LeadStatusMessage }

// LeadStatusMessage is the message form of wire.LeadStatus.
type LeadStatusMessage struct {
	Term     uint64
	Loaded   bool
	Window   int
	Round    RoundStatusMessage
	Machines map[string]int
	Classes  map[string]ClassStatusMessage
	CheckIns string
	Workers  map[string]int
	Suspects int
	Blamed   int
}

// RoundStatusMessage is the message form of wire.RoundStatus.
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
		Round:    RoundStatusMessage(status.Round),
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
		Round:               wire.RoundStatus(m.Round),
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
	Rec   JobMessage
	Stamp uint64
}

// WithdrawnReply is empty.
type WithdrawnReply struct{}

// JobMessage is the message form of records.Job.
type JobMessage struct {
	Spec   WorkMessage
	Status wire.JobStatus
	AtMs   int64
	Per    int
}

// WorkMessage is the message form of wire.JobSpec.
type WorkMessage struct {
	UID, Berth, Crew           string
	Shape                      wire.JobKind
	Rank                       wire.Priority
	Legs                       int
	Cores, Gpus, RAMGb         float64
	Rollout                    string
	ImageGb                    float64
	Rigs                       []string
	Yard                       string
	Together, Scatter, Standby bool
	ExpectS, MarkS, StowS      float64
	DueS                       *float64
	Awaits                     []string
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

// FollowArgs asks the leader for one part of a transfer of its state.
type FollowArgs struct {
	From string // label of the standby
	Term uint64 // term of the leader that it means
	// Transfer and Part name the part. Transfer 0 begins a new transfer, of what has
	// changed since Have; of everything if Have is 0 or too old.
	Transfer uint64
	Part     int
	Have     uint64 // sequence number up to which the standby has all changes of this term
}

// FollowReply is one part of a transfer of the leader's state.
type FollowReply struct {
	Term    uint64
	Leading bool // leads the term that was requested, and has something to follow
	// Transfer is 0 if the transfer that was requested is no longer known: the standby begins another.
	Transfer uint64
	Part     int
	Last     bool   // the transfer ends with this part
	Full     bool   // the transfer contains everything, not only changes since Base
	Base     uint64 // sequence number of the copy to which the changes apply
	// The state once the last part is applied: its sequence number, the position in the state
	// store's history up to which it has all records, and its digest.
	Sequence, Position, Digest uint64
	Entries                    int // in Body
	Size                       int // of Body, decompressed
	Body                       []byte
}
