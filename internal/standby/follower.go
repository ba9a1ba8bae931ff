package standby

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/peer"
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Label string // of this node
	// Fetch requests one part from a leader, by its label. It may wait for the answer.
	Fetch func(leader string, args peer.FollowArgs) (peer.FollowReply, error)
	// BehindAfter is the age of the copy after which the follower counts as behind.
	BehindAfter time.Duration
}

// Follower has a copy of the leader's state and keeps it up to date. It is safe for concurrent use,
// but Pull must be called by one goroutine at a time.
type Follower struct {
	FollowerConfig
	now func() time.Time

	mu            sync.Mutex
	state         State
	cause         string            // of the last change of state
	copy          *stateCopy        // nil: none
	refused       map[string]uint64 // by cause
	receivedBytes uint64            // of bodies
}

// stateCopy is a complete copy of a leader's state. It is immutable.
type stateCopy struct {
	contents
	term        uint64
	leader      string
	sequence    uint64
	position    uint64
	requestedAt time.Time // start of the transfer that brought it
}

// NewFollower returns a follower without a copy.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{FollowerConfig: cfg, now: time.Now, refused: map[string]uint64{}}
}

// FollowerStatus is the state of a follower and of its copy. The fields from Leader to Bytes are zero
// without a copy.
type FollowerStatus struct {
	State         State
	Cause         string // of the last change of state
	Leader        string
	Term          uint64
	Sequence      uint64
	Position      uint64
	Lag           time.Duration // age of the copy
	Entries       int
	Bytes         int
	ReceivedBytes uint64
	Refused       map[string]uint64 // transfers by cause
}

// Status returns the state of the follower and of its copy.
func (f *Follower) Status() FollowerStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	status := FollowerStatus{State: f.state, Cause: f.cause, ReceivedBytes: f.receivedBytes, Refused: map[string]uint64{}}
	for cause, count := range f.refused {
		status.Refused[cause] = count
	}
	if c := f.copy; c != nil {
		status.Leader, status.Term, status.Sequence, status.Position = c.leader, c.term, c.sequence, c.position
		status.Lag, status.Entries, status.Bytes = f.now().Sub(c.requestedAt), c.tree.Len(), c.bytes
	}
	return status
}

// HasCopy reports whether there is a complete copy that Prove could check.
func (f *Follower) HasCopy() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy != nil && (f.state == Following || f.state == Behind)
}

// Pull updates the copy from the leader of a term, by one transfer. A transfer that fails is logged
// and leaves the copy as it was. If what the leader sent is wrong, that is counted too and the copy is
// discarded.
func (f *Follower) Pull(leader string, term uint64) {
	base, ok := f.beginPull(leader, term)
	if !ok {
		return
	}
	began := f.now()
	next, err := f.transfer(leader, term, base)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.state > Behind:
		return // this node was elected meanwhile
	case err == nil && next != nil:
		next.requestedAt = began
		f.copy = next
		f.setState(Following, fmt.Sprintf("complete up to %d", next.sequence))
	case causeOf(err) == otherCause:
		f.recordFailedTransfer(err)
	default:
		f.discardRefused(err)
	}
}

// beginPull returns the copy that the next transfer builds on, nil for a whole transfer. ok is false
// if no transfer may begin, since this node has been elected.
func (f *Follower) beginPull(leader string, term uint64) (base *stateCopy, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state > Behind {
		return nil, false
	}
	if f.copy == nil {
		f.setState(Syncing, fmt.Sprintf("follows %s in term %d", leader, term))
		return nil, true
	}
	if f.copy.term != term || f.copy.leader != leader {
		return nil, true // another leader: everything is pulled again, and this copy stays until then
	}
	return f.copy, true
}

// MarkLeaderUnreachable must be called regularly while no leader is reached: the state changes once
// the copy is older than BehindAfter.
func (f *Follower) MarkLeaderUnreachable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == Following {
		f.recordFailedTransfer(errLeaderUnreachable)
	}
}

// recordFailedTransfer changes the state after a transfer that was not completed. f.mu is held.
func (f *Follower) recordFailedTransfer(err error) {
	slog.Debug("standby received no state from the leader", "err", err)
	switch {
	case f.copy == nil:
		f.setState(Empty, "the transfer was cut off")
	case f.now().Sub(f.copy.requestedAt) > f.BehindAfter:
		f.setState(Behind, "the leader is unreachable")
	}
}

// discardRefused discards the copy because what the leader sent, or the copy itself, is wrong. f.mu is
// held.
func (f *Follower) discardRefused(err error) {
	slog.Warn("standby discards its copy and starts again", "err", err)
	f.refused[causeOf(err)]++
	f.copy = nil
	f.setState(Empty, err.Error())
}

// Discard discards the copy, since this node's term is over or it must no longer follow.
func (f *Follower) Discard(cause string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copy = nil
	f.setState(Empty, cause)
}
