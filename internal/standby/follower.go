package standby

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/peer"
)

// FollowerConfig is what a Follower is made with.
type FollowerConfig struct {
	Label string
	// Fetch asks a leader for one part.
	Fetch func(leader string, args peer.FollowArgs) (peer.FollowReply, error)
	// BehindAfter is how old what is held may be before the follower counts as behind.
	BehindAfter time.Duration
}

// Follower is a successor's copy of what the leader knows. It is safe for concurrent use;
// Pull is called by one goroutine.
type Follower struct {
	FollowerConfig
	now func() time.Time

	mu            sync.Mutex
	state         State
	cause         string // of the last change of state
	copy          *stateCopy
	refused       map[string]uint64 // by cause
	receivedBytes uint64            // bytes of bodies
}

// stateCopy is a complete copy. It is not changed once it is made.
type stateCopy struct {
	contents
	term               uint64
	leader             string
	sequence, position uint64
	requestedAt        time.Time // when the transfer that it comes from was asked for
}

// NewFollower makes a follower that holds nothing.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{FollowerConfig: cfg, now: time.Now, refused: map[string]uint64{}}
}

// FollowerStatus tells how a follower stands.
type FollowerStatus struct {
	State              State
	Cause              string
	Leader             string
	Term               uint64
	Sequence, Position uint64
	Lag                time.Duration // age of what is held
	Entries, Bytes     int
	ReceivedBytes      uint64            // bytes that were sent to it
	Refused            map[string]uint64 // by cause
}

// Status tells how the follower stands.
func (f *Follower) Status() FollowerStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	st := FollowerStatus{State: f.state, Cause: f.cause, ReceivedBytes: f.receivedBytes, Refused: map[string]uint64{}}
	for cause, n := range f.refused {
		st.Refused[cause] = n
	}
	if h := f.copy; h != nil {
		st.Leader, st.Term, st.Sequence, st.Position = h.leader, h.term, h.sequence, h.position
		st.Lag, st.Entries, st.Bytes = f.now().Sub(h.requestedAt), h.tree.Len(), h.bytes
	}
	return st
}

// Fits reports whether a complete copy is held that could be verified.
func (f *Follower) HasCopy() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy != nil && (f.state == Following || f.state == Behind)
}

// Pull brings the copy up to date with the leader of a term, by one transfer. What goes
// wrong is counted and logged: the copy is then as it was, or empty if the leader's words
// cannot be trusted.
func (f *Follower) Pull(leader string, term uint64) {
	base, ok := f.startPull(leader, term)
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
		f.setState(Following, "complete up to "+fmt.Sprint(next.sequence))
	case causeOf(err) == "other":
		f.recordFailedTransfer(err)
	default:
		f.refuse(err)
	}
}

// startPull says what the next transfer builds on, and whether one may begin now.
func (f *Follower) startPull(leader string, term uint64) (base *stateCopy, ok bool) {
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
		return nil, true // another leader: everything is taken anew, and the copy is kept till then
	}
	return f.copy, true
}

// setState moves to a state. f.mu is held.
func (f *Follower) setState(to State, cause string) {
	if err := f.transition(to, cause); err != nil {
		slog.Error("standby", "err", err)
	}
}

// recordFailedTransfer notes that a transfer did not come to its end. f.mu is held.
func (f *Follower) recordFailedTransfer(err error) {
	slog.Debug("leader not followed", "err", err)
	switch {
	case f.copy == nil:
		f.setState(Empty, "the transfer was cut off")
	case f.now().Sub(f.copy.requestedAt) > f.BehindAfter:
		f.setState(Behind, "the leader is not heard")
	}
}

// MarkLeaderUnreachable notes that no leader is reached: what is held grows old.
func (f *Follower) MarkLeaderUnreachable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == Following {
		f.recordFailedTransfer(errLeaderUnreachable)
	}
}

// refuse drops everything: what the leader sent is wrong. f.mu is held.
func (f *Follower) refuse(err error) {
	slog.Warn("standby starts anew", "err", err)
	f.refused[causeOf(err)]++
	f.copy = nil
	f.setState(Empty, err.Error())
}

// Discard forgets what is held: this node's term is over, or it is not to follow any more.
func (f *Follower) Discard(cause string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copy = nil
	f.setState(Empty, cause)
}

// transfer takes all parts of one transfer. It returns nil without an error if the leader
// has nothing to offer.
func (f *Follower) transfer(leader string, term uint64, base *stateCopy) (*stateCopy, error) {
	args := peer.FollowArgs{From: f.Label, Term: term}
	if base != nil {
		args.Have = base.sequence
	}
	var edit *editor
	for {
		reply, err := f.Fetch(leader, args)
		switch {
		case err != nil:
			return nil, fmt.Errorf("part %d: %w", args.Part, err)
		case !reply.Leading || reply.Transfer == 0:
			return nil, errNotOffered
		case reply.Term != term:
			return nil, fmt.Errorf("%w: %d, not %d", ErrWrongTerm, reply.Term, term)
		}
		if err := checkPart(args, &reply, base); err != nil {
			return nil, err
		}
		if edit == nil {
			edit = f.editorFor(&reply, base)
		}
		entries, err := decodePart(&reply)
		if err != nil {
			return nil, err
		}
		for _, entry := range entries {
			edit.apply(entry)
		}
		f.addReceived(len(reply.Body))
		if reply.Last {
			return finish(edit, &reply, leader)
		}
		args.Transfer, args.Part = reply.Transfer, args.Part+1
	}
}

var errLeaderUnreachable = errors.New("no leader is reached")

var errNotOffered = errors.New("the leader offers nothing now")

// checkPart refuses a part that does not follow on what is held or on the part before.
func checkPart(args peer.FollowArgs, reply *peer.FollowReply, base *stateCopy) error {
	switch {
	case reply.Part != args.Part, args.Transfer != 0 && reply.Transfer != args.Transfer:
		return fmt.Errorf("%w: part %d of %d, not %d of %d", ErrOutOfOrder, reply.Part, reply.Transfer, args.Part, args.Transfer)
	case !reply.Full && (base == nil || reply.Base != base.sequence || reply.Sequence < base.sequence):
		return fmt.Errorf("%w: changes from %d to %d", ErrOutOfOrder, reply.Base, reply.Sequence)
	case !reply.Full && reply.Position < base.position:
		return fmt.Errorf("%w: the position goes back from %d to %d", ErrOutOfOrder, base.position, reply.Position)
	}
	return nil
}

// editorFor starts with what a transfer builds on. A follower that has to take everything
// anew has fallen behind.
func (f *Follower) editorFor(reply *peer.FollowReply, base *stateCopy) *editor {
	if !reply.Full {
		return base.edit()
	}
	if base != nil {
		f.mu.Lock()
		f.setState(Behind, "the leader does not keep changes that old")
		f.mu.Unlock()
	}
	return emptyContents().edit()
}

// finish makes the copy that a complete transfer leads to, if its digest agrees.
func finish(edit *editor, reply *peer.FollowReply, leader string) (*stateCopy, error) {
	next := &stateCopy{contents: edit.contents(), term: reply.Term, leader: leader, sequence: reply.Sequence, position: reply.Position}
	if next.digest != reply.Digest {
		return nil, fmt.Errorf("%w at %d", ErrDigest, reply.Sequence)
	}
	return next, nil
}

func (f *Follower) addReceived(bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receivedBytes += uint64(bytes)
}
