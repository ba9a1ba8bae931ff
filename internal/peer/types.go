package peer

import (
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// PingResult is the state of a controller, in answer to a ping.
type PingResult struct {
	Term    uint64 // newest term that it knows
	Leading bool   // it leads that term
	Serving bool   // it has read the state store lately
	// RenewedHosts are the machines whose worker leases it has renewed on the leader's behalf
	// within the last leader lease.
	RenewedHosts []string
	// Counts are the counts of jobs' tasks that have changed at the leader since the caller's
	// revision, and CountsRevision is the revision that they lead to.
	Counts         []wire.JobView
	CountsRevision uint64
	CountsMore     bool   // more have changed than fit into one answer: the next ping brings them
	Version        int    // cluster version that it understands; 0: an older release
	CanRelay       bool   // it can relay batches of heartbeats
	WantsRelays    bool   // it leads, and wants its followers to relay heartbeats
	CanFollow      bool   // it can be the leader's warm standby
	Standby        string // label of the node that a leader wants to follow its state; "": none
}

// Cancellation is the committed cancellation of a job.
type Cancellation struct {
	UID         string
	Record      records.Job
	ModRevision uint64 // of the record
}

// HeartbeatBatch is a batch of workers' heartbeats that a follower relays to the leader.
type HeartbeatBatch struct {
	From       string // label of the follower
	Term       uint64 // term of the leader that it is for
	Heartbeats []RelayedHeartbeat
	// Bodies is the concatenation of the JSON bodies of the heartbeats that are sent in full, in the
	// order of Heartbeats, as one S2 block.
	Bodies []byte
}

// RelayedHeartbeat is one heartbeat of a batch. It is sent in full, or as a repetition of an
// earlier heartbeat of the same incarnation that differs in nothing but its sequence number.
type RelayedHeartbeat struct {
	Host        string
	Incarnation uint64
	Sequence    uint64
	RepeatOf    uint64 // sequence number of the heartbeat that this one repeats; 0: it is sent in full
	Size        int    // bytes of the body if it is sent in full
	Pressure    uint8  // how short of connections the follower is: a relay.Pressure
}

// HeartbeatBatchReply returns the answers that the leader has ready for the follower's workers, to
// heartbeats of this batch and of earlier ones.
type HeartbeatBatchReply struct {
	Term    uint64
	Leading bool // the callee leads the term of the batch; if not, it has accepted nothing
	Answers []HeartbeatAnswer
	Resend  []string // hosts whose heartbeats repeat one that the leader does not have
}

// HeartbeatAnswer is the leader's answer to one relayed heartbeat, which the follower passes on to the
// worker that waits for it.
type HeartbeatAnswer struct {
	Host        string
	Incarnation uint64        // of the heartbeat
	Sequence    uint64        // of the heartbeat
	Status      int           // HTTP status
	Response    wire.Commands // with status 200
	Redirect    wire.Redirect // with status 421
}
