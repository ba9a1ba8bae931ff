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
	Label string // label of this node
	// Fetch requests one part from the leader with a label. It may block until the reply arrives.
	Fetch func(leader string, args peer.FollowArgs) (peer.FollowReply, error)
	// BehindAfter is the age of the copy above which the state changes to Behind.
	BehindAfter time.Duration
}

// Follower holds a copy of the leader's state and keeps it up to date. It is safe for concurrent use, except that
// only one goroutine at a time may call Pull. Outside this package, a follower is any node that does not lead.
type Follower struct {
	FollowerConfig
	now func() time.Time

	mu            sync.Mutex
	state         State
	cause         string            // cause of the last change of state
	copy          *stateCopy        // nil if there is none
	refused       map[string]uint64 // number of refused transfers and copies by cause
	receivedBytes uint64            // total size of the bodies of parts
}

// stateCopy is a complete copy of a leader's state. It is immutable.
type stateCopy struct {
	contents
	term        uint64
	leader      string
	sequence    uint64
	position    uint64
	requestedAt time.Time // when the transfer that resulted in this copy began
}

// NewFollower returns a follower without a copy.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{FollowerConfig: cfg, now: time.Now, refused: map[string]uint64{}}
}

// FollowerStatus describes a follower and its copy. The fields from Leader to Bytes are zero if there is no copy.
type FollowerStatus struct {
	State         State
	Cause         string // cause of the last change of state
	Leader        string
	Term          uint64
	Sequence      uint64
	Position      uint64
	Lag           time.Duration // age of the copy
	Entries       int
	Bytes         int
	ReceivedBytes uint64            // total size of the bodies of parts
	Refused       map[string]uint64 // number of refused transfers and copies by cause
}

// Status returns the status of the follower and its copy.
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

// HasCopy reports whether the state is Following or Behind, in which there is a complete copy that Prove can check.
func (f *Follower) HasCopy() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy != nil && (f.state == Following || f.state == Behind)
}

// Pull updates the copy by one transfer from the leader of a term. A transfer that is not completed is logged and
// leaves the copy as it was. If what the leader has sent is wrong, Pull also counts the cause and discards the copy.
func (f *Follower) Pull(leader string, term uint64) {
	base, ok := f.beginPull(leader, term)
	if !ok {
		return
	}
	began := f.now()
	next, err := f.receiveTransfer(leader, term, base)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.state > Behind:
		return // this node was elected during the transfer
	case err == nil && next != nil:
		next.requestedAt = began
		f.copy = next
		f.setState(Following, fmt.Sprintf("complete up to %d", next.sequence))
	case causeOf(err) == uncountedCause:
		f.recordFailedTransfer(err)
	default:
		f.discardAndCount(err)
	}
}

// beginPull returns the copy that the next transfer builds on, or nil if the next transfer must contain everything.
// ok is false if no transfer may begin because this node has been elected.
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
		return nil, true // the leader is new: pull everything, and keep this copy until that is complete
	}
	return f.copy, true
}

// MarkLeaderUnreachable must be called regularly while this node reaches no leader. It changes the state to Behind once
// the copy is older than BehindAfter.
func (f *Follower) MarkLeaderUnreachable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == Following {
		f.recordFailedTransfer(errLeaderUnreachable)
	}
}

// recordFailedTransfer changes the state after a transfer that was not completed, to Empty if there is no copy and to
// Behind if the copy is older than BehindAfter. The caller holds f.mu.
func (f *Follower) recordFailedTransfer(err error) {
	slog.Debug("standby did not complete a transfer from the leader", "err", err)
	switch {
	case f.copy == nil:
		f.setState(Empty, "the transfer was cut off")
	case f.now().Sub(f.copy.requestedAt) > f.BehindAfter:
		f.setState(Behind, "the leader is unreachable")
	}
}

// discardAndCount discards the copy because a transfer or the copy itself is wrong, and counts the cause. The caller
// holds f.mu.
func (f *Follower) discardAndCount(err error) {
	slog.Warn("standby discards its copy", "err", err)
	f.refused[causeOf(err)]++
	f.copy = nil
	f.setState(Empty, err.Error())
}

// Discard discards the copy. It must be called when this node's term has ended or this node must no longer follow.
func (f *Follower) Discard(cause string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copy = nil
	f.setState(Empty, cause)
}
