package peer

import (
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// PingResult is the state of the controller that answers a ping.
type PingResult struct {
	Term    uint64 // newest term that the controller knows
	Leading bool   // the controller leads that term
	Serving bool   // the controller has recently read the state store
	// RenewedHosts are the machines whose worker leases the controller has renewed on the leader's behalf within the
	// last leader lease.
	RenewedHosts []string
	// Counts are the task counts that have changed at the leader since the caller's revision, and the final statuses
	// that were added since. With them, the caller has all changes up to CountsRevision.
	Counts         []wire.JobView
	CountsRevision uint64
	CountsMore     bool // more counts have changed than fit into one answer; the next answer contains them
	// StartingJobs and UnconfirmedJobs are jobs whose counts have changed as well, but that are not in Counts: see
	// CountsStarting and CountsUnconfirmed.
	StartingJobs    []string
	UnconfirmedJobs []string
	Version         int    // newest cluster version that the controller understands; 0: an older release
	CanRelay        bool   // the controller can relay batches of heartbeats
	WantsRelays     bool   // the controller leads, and wants its followers to relay heartbeats
	CanFollow       bool   // the controller can be the leader's warm standby
	Standby         string // label of the node that the leader has chosen as its warm standby; "": none
	Stalled         bool   // the controller's last term has ended because it made no progress, and its work is still stuck
}

// CountsKnowledge says what is known of the task counts of a job.
type CountsKnowledge int

const (
	// CountsUnknown means that no leader has reported the counts lately.
	CountsUnknown CountsKnowledge = iota
	// CountsUnconfirmed means that the leader knows of attempts of an earlier term that may run, but no heartbeat of
	// its own term has shown yet whether any of them does.
	CountsUnconfirmed
	// CountsStarting means that the leader has sent launches of the job, and that no task of it was running at the last
	// heartbeats of the machines. This changes without notice if a machine becomes unreachable, so the leader has to be
	// asked about the job.
	CountsStarting
	// CountsKnown means that the counts are those of the last heartbeats of the job's machines.
	CountsKnown
)

// TaskCounts are the numbers of a job's tasks that are done and that run. They are zero unless Knowledge is CountsKnown.
type TaskCounts struct {
	Done, Running int
	Knowledge     CountsKnowledge
}

// Cancellation is the committed cancellation of a job.
type Cancellation struct {
	UID         string
	Record      records.Job
	ModRevision uint64 // mod revision of the record in the state store
}

// HeartbeatBatch is a batch of heartbeats that a follower relays to the leader.
type HeartbeatBatch struct {
	From       string // label of the follower
	Term       uint64 // term of the leader to which the batch is sent
	Heartbeats []RelayedHeartbeat
	// Bodies contains the JSON bodies of the heartbeats that are sent in full, concatenated in the order of Heartbeats
	// and compressed as one S2 block.
	Bodies []byte
}

// RelayedHeartbeat is one heartbeat in a batch. It is sent in full, or as a reference to an earlier heartbeat of the
// same worker incarnation that differs only in its sequence number.
type RelayedHeartbeat struct {
	Host        string
	Incarnation uint64
	Sequence    uint64
	RepeatOf    uint64 // sequence number of the heartbeat that this one refers to; 0: sent in full
	Size        int    // bytes of the body if sent in full; 0: sent as a reference
	Pressure    uint8  // connection pressure at the follower: a relay.Pressure
}

// HeartbeatBatchReply contains the answers to heartbeats in this batch and in earlier ones that the leader has ready
// for the follower.
type HeartbeatBatchReply struct {
	Term    uint64
	Leading bool // the callee leads the term of the batch; if false, it has accepted no heartbeat
	Answers []HeartbeatAnswer
	Resend  []string // hosts whose heartbeats the leader needs in full, since it does not have the one referred to
}

// HeartbeatAnswer is the leader's answer to one relayed heartbeat. The follower passes it on to the worker that waits
// for it.
type HeartbeatAnswer struct {
	Host        string
	Incarnation uint64        // of the heartbeat
	Sequence    uint64        // of the heartbeat
	Status      int           // HTTP status
	Response    wire.Commands // only with status 200
	Redirect    wire.Redirect // only with status 421
}
