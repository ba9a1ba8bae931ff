// Package relay lets followers accept the connections of workers and relay their heartbeats to the leader in
// batches, when the fleet is too large for the connections of one controller.
//
// A worker sends its heartbeats to the controller that the leader's Router chooses, preferably one in its own zone.
// A follower's Sender collects the heartbeats of its workers and sends them to the leader's Receiver in batches, once
// per SenderConfig.Period and aligned to the timer grid. It gets back the answers that are ready. The leader decides
// every answer. A follower only passes the answer on to the request that waits for it, matched by incarnation and
// sequence number. Commands are therefore still delivered in answers to heartbeats, and a relayed heartbeat proves as
// much about its worker as a direct one.
//
// Most heartbeats differ from the previous one of the same worker only in the sequence number, and are sent as a
// reference to it. The leader resolves the reference only if it names the last heartbeat received from that host,
// and otherwise requests the heartbeat in full.
package relay

import (
	"errors"
	"time"
)

var (
	// ErrLeaderUnreachable means that the leader did not answer a batch, or no longer leads. It may nevertheless
	// have processed the heartbeats.
	ErrLeaderUnreachable = errors.New("the leader was not reached")
	// ErrSuperseded means that the worker has sent a newer heartbeat.
	ErrSuperseded = errors.New("the worker has sent a newer heartbeat")
	// ErrNoAnswer means that the leader did not answer a heartbeat within SenderConfig.AnswerTimeout.
	ErrNoAnswer = errors.New("the leader did not answer in time")
	// ErrMalformedBatch means that a batch cannot be decoded.
	ErrMalformedBatch = errors.New("malformed batch of heartbeats")
	// ErrUnknownRelay means that a batch comes from a node that is not a member.
	ErrUnknownRelay = errors.New("batch of heartbeats from a node that is not a member")
)

// Leader identifies the controller to which heartbeats are relayed, and its term.
type Leader struct {
	Label string
	Term  uint64
}

// WorkerTimeout is how long a worker waits for the answer to a heartbeat, as the worker protocol specifies.
const WorkerTimeout = 4 * time.Second
