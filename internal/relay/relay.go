// Package relay lets followers accept the connections of workers and relay their heartbeats
// to the leader in batches, when the fleet is too large for the connections of one
// controller.
//
// A worker sends its heartbeats to the controller that the leader's Router chooses, one of its own
// zone if there is any. A follower's Sender collects the heartbeats of its workers and
// exchanges them for answers with the leader's Receiver, once in a unit of the timer grid.
// The leader decides every answer: a follower only passes it on to the
// request that waits for it, matched by incarnation and sequence. So commands travel in answers
// to heartbeats as they do without relays, and a heartbeat proves the same.
//
// Most heartbeats differ from the one before in nothing but their sequence: such a one is sent as a
// reference to that one. The leader resolves it only if the heartbeat that it refers to is
// the last one that it has received from this host; if not, it requests the heartbeat in full.
package relay

import (
	"errors"
	"time"
)

var (
	// ErrLeaderUnreachable means that the leader did not answer a batch, or no longer
	// leads. It may have acted on the heartbeats all the same.
	ErrLeaderUnreachable = errors.New("the leader was not reached")
	// ErrSuperseded means that the worker has sent a newer heartbeat.
	ErrSuperseded = errors.New("the worker has sent a newer heartbeat")
	// ErrNoAnswer means that the leader did not answer a heartbeat within the time that its
	// worker waits.
	ErrNoAnswer = errors.New("the leader did not answer in time")
	// ErrMalformedBatch means that a batch cannot be decoded.
	ErrMalformedBatch = errors.New("malformed batch of heartbeats")
	// ErrUnknownRelay means that a batch comes from a node that is not a member.
	ErrUnknownRelay = errors.New("batch of heartbeats from a node that is not a member")
)

// Leader is the controller that heartbeats are relayed to, in one of its terms.
type Leader struct {
	Label string
	Term  uint64
}

// WorkerTimeout is how long a worker waits for the answer to a heartbeat, by the protocol.
const WorkerTimeout = 4 * time.Second
