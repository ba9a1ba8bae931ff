// Package wire defines the JSON bodies that lotusstile exchanges with users, workers, the cloud, the
// state store and operators. Clients may import it. The JSON tags are the protocol's names, the Go names
// are the standard terms, and no other package translates between them. The messages between controllers
// are not defined here: package internal/peer defines them with Go names of their own.
//
// The tables below are complete. The table of a body lists the protocol's name and the Go name of each
// field; the table of an enumeration does so for each value. Amounts whose names end in S are in seconds,
// those ending in Ms in milliseconds, and those ending in Gb in gigabytes.
//
// # Users
//
// JobSpec: body of POST /work
//
//	Uid          UID
//	Berth        JobClass
//	Crew         Team
//	Shape        Kind
//	Rank         Priority
//	Legs         TaskCount
//	Cores        Cores
//	Gpus         Gpus
//	RamGb        RAMGb
//	Rollout      Image
//	ImageGb      ImageGb
//	Rigs         MachineTypes
//	Yard         Zone
//	Together     SingleZone
//	Scatter      SpreadZones
//	Standby      AllowSpot
//	ExpectS      ExpectedRunS
//	MarkS        CheckpointIntervalS
//	StowS        CheckpointOnStopS
//	DueS         DeadlineS
//	Awaits       Dependencies
//
// JobKind: values
//
//	sweep        JobArray
//	standing     Service
//	group        Gang
//
// Priority: values
//
//	critical     Critical
//	high         High
//	standard     Standard
//	best_effort  BestEffort
//
// JobStatus: values
//
//	queued       JobQueued
//	running      JobRunning
//	done         JobDone
//	aborted      JobAborted
//
// JobView: response to POST /work, GET /work/{id} and POST /work/{id}/withdraw
//
//	Uid          UID
//	Status       Status
//	done         Done
//	running      Running
//
// ErrorResponse: body of responses that reject a request
//
//	error        Error
//
// # Workers
//
// TaskStatus: values
//
//	fetching     TaskFetching
//	waiting      TaskWaiting
//	running      TaskRunning
//	saving       TaskSaving
//	ended        TaskEnded
//
// Cause: values
//
//	done         CauseDone
//	stopped      CauseStopped
//	error        CauseError
//	no_room      CauseNoRoom
//	in_use       CauseInUse
//	no_such      CauseNoSuch
//
// TaskReport: tasks of POST /checkin
//
//	Leg          Task
//	Try          Attempt
//	Status       Status
//	Cause        Cause
//	Kept         Checkpointed
//
// Heartbeat: body of POST /checkin, response to GET /show and POST /do
//
//	Host         Host
//	Address      Address
//	Rig          MachineType
//	Yard         Zone
//	Standby      Spot
//	Shift        Incarnation
//	Tick         Sequence
//	Baton        FencingToken
//	WarningS     SpotNoticeS
//	Legs         Tasks
//
// Verb: values
//
//	launch       Launch
//	stop         Stop
//	reap         Acknowledge
//
// Command: commands of Commands and DirectCommands
//
//	Verb         Verb
//	Leg          Task
//	Try          Attempt
//	LeewayS      GracePeriodS
//
// Commands: 200 response to POST /checkin
//
//	Baton        FencingToken
//	Orders       Commands
//
// DirectCommands: body of POST /do
//
//	Baton        FencingToken
//	Shift        Incarnation
//	Orders       Commands
//
// Redirect: 421 response to POST /checkin
//
//	Dispatcher   Leader
//
// # Cloud
//
// MachineType: machine types of GET /catalog
//
//	Sku          Name
//	Cores        Cores
//	Gpus         Gpus
//	RamGb        RAMGb
//	LocalGb      ImageCacheGb
//	PullGbPerS   FetchGbPerS
//	Hourly       Hourly
//	LowPrice     SpotHourly
//	BootS        BootS
//	Yards        Zones
//
// Catalog: response to GET /catalog
//
//	Rigs         MachineTypes
//
// ProvisionRequest: body of POST /machines
//
//	Booking      RequestID
//	Rig          MachineType
//	Yard         Zone
//	Standby      Spot
//	HowMany      Count
//
// HostNames: response to POST /machines, body of POST /machines/return
//
//	Hosts        Hosts
//
// HostStatus: values
//
//	booting      HostBooting
//	running      HostRunning
//	failed       HostFailed
//
// ListedHost: machines of GET /machines
//
//	Uid          UID
//	Address      Address
//	Rig          MachineType
//	Yard         Zone
//	Standby      Spot
//	Status       Status
//	AgeS         AgeS
//
// HostList: response to GET /machines
//
//	Hosts        Hosts
//	More         More
//
// # State store
//
// KeyValue: response to GET /kv/{key}, items of GET /kv
//
//	Key          Key
//	Value        Value
//	Stamp        ModRevision
//	Permit       LeaseID
//
// KeyValueList: response to GET /kv
//
//	Rows         KeyValues
//	More         More
//	Epoch        Revision
//
// Compare: conditions of POST /commit
//
//	Key          Key
//	Stamp        ModRevision
//
// Change: changes of POST /commit
//
//	Set          Set
//	Value        Value
//	Permit       LeaseID
//	Drop         Drop
//
// Transaction: body of POST /commit
//
//	Guards       Compares
//	Apply        Changes
//
// TransactionResponse: response to POST /commit
//
//	Epoch        Revision
//	failed       Failed
//
// Lease: response to POST /holds
//
//	Permit       LeaseID
//
// LeaseRequest: body of POST /holds
//
//	TtlMs        TTLMs
//
// WatchEvent: events of GET /changes
//
//	Set          Set
//	Drop         Drop
//	Value        Value
//	Stamp        ModRevision
//
// WatchResponse: response to GET /changes
//
//	Epoch        Revision
//	News         Events
//
// # Administration API
//
// Settings: response to GET and PUT /admin/settings
//
//	Stamp        ModRevision
//	IntervalS    IntervalS
//	Window       Window
//	Spare        Headroom
//	Profiling    Profiling
//
// SettingsChange: body of PUT /admin/settings
//
//	Stamp        ModRevision
//	IntervalS    IntervalS
//	Window       Window
//	Spare        Headroom
//	Profiling    Profiling
//
// Status: response to GET /admin/status
//
//	Node         Node
//	State        State
//	Leader       Leader
//	Term         Term
//	Proof        SinceLastExecutedS
//	Lead         Lead
//	WarmStandby  WarmStandby
//
// StandbyStatus: WarmStandby of Status
//
//	State        State
//	Cause        Cause
//	Leader       Leader
//	Term         Term
//	Sequence     Sequence
//	Position     Position
//	LagS         LagS
//	Entries      Entries
//	Bytes        Bytes
//	Moved        MovedBytes
//	Refused      Refused
//	Standby      StandbyNode
//
// LeadStatus: Lead of Status
//
//	Term         Term
//	Loaded       Loaded
//	Window       Window
//	Round        LastCycle
//	Machines     Machines
//	Classes      Classes
//	CheckIns     HeartbeatRouting
//	Workers      Workers
//	Suspects     SuspectJobs
//	Blamed       QuarantinedMachines
//
// CycleStatus: Round of LeadStatus
//
//	AgoS         AgoS
//	TookMs       TookMs
//	Waiting      Waiting
//	Started      Started
//	Stopped      Stopped
//	Short        Short
//	Objective    Objective
//	Reserved     Reserved
//	Overrun      Overrun
//
// ClassStatus: Classes of LeadStatus
//
//	Jobs         Jobs
//	Waiting      Waiting
//	Placed       Placed
package wire
