// Package standby replicates the leader's state to a warm standby, so that this node can make
// decisions soon after the leader has failed, without reading all records again.
//
// At the leader a Source contains the followed records and views of what the leader
// knows beyond them, in an immutable radix tree. The standby's Follower pulls that in
// transfers: a whole one first, then what has changed since. Every transfer ends with a
// sequence number, a position in the state store's history and a digest. A transfer
// that is not complete, or whose digest disagrees, is discarded whole.
//
// The proof rests on the position: everything that the leader's term has committed up to it
// is part of the copy. A standby that has been elected reads the changes after
// it from the state store, and then has what a full listing would show (see docs/standby.md).
// Views are hints: no attempt is ever concluded to be off its machine, launched or cancelled
// because of one.
package standby

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
)

// State is the state of a follower.
type State int

// The states of a follower. Their strings are label values of a metric.
const (
	Empty     State = iota // has no copy that can be used
	Syncing                // pulls its first whole transfer
	Following              // has a complete copy and keeps up with the leader
	Behind                 // has an older copy: the leader is unreachable, or no longer has changes that old
	Verifying              // this node is elected: its copy is checked against the state store
	Ready                  // the copy is proven: the controller loads it
	Promoted               // the controller of this node's term has loaded the copy
)

var stateNames = [...]string{"empty", "syncing", "following", "behind", "verifying", "ready", "promoted"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// StateNames returns the names of all states.
func StateNames() []string { return stateNames[:] }

// allowedTransitions lists the states that may follow each state.
var allowedTransitions = map[State][]State{
	Empty:     {Syncing},
	Syncing:   {Following, Empty},
	Following: {Behind, Verifying, Empty},
	Behind:    {Following, Verifying, Empty},
	Verifying: {Ready, Empty},
	Ready:     {Promoted, Verifying, Empty}, // Verifying again if the controller could not load everything else
	Promoted:  {Empty},
}

// TransitionError means that a follower cannot change from one state to the other.
type TransitionError struct{ From, To State }

func (e *TransitionError) Error() string { return fmt.Sprintf("%s cannot follow on %s", e.To, e.From) }

// transition is the one function that changes the state of a follower. f.mu is held.
func (f *Follower) transition(to State, cause string) error {
	from := f.state
	if from == to {
		return nil
	}
	if !slices.Contains(allowedTransitions[from], to) {
		return &TransitionError{from, to}
	}
	slog.Info("standby state changed", "from", from.String(), "to", to.String(), "cause", cause)
	f.state, f.cause = to, cause
	return nil
}

// setState changes the state, and logs a transition that is not allowed. f.mu is held.
func (f *Follower) setState(to State, cause string) {
	if err := f.transition(to, cause); err != nil {
		slog.Error("standby state could not be changed", "err", err)
	}
}

// Errors for what a follower refuses. It discards its copy and starts again after each of them.
var (
	ErrWrongTerm    = errors.New("a transfer is of another term")
	ErrOutOfOrder   = errors.New("a part is out of order")
	ErrTruncated    = errors.New("a part is shorter or longer than it says")
	ErrOversized    = errors.New("a part is larger than is allowed")
	ErrUndecodable  = errors.New("a part cannot be decoded")
	ErrDigest       = errors.New("the digest of the copy is not the leader's")
	ErrNoCopy       = errors.New("there is no copy that can be verified")
	ErrTooFarBehind = errors.New("the state service no longer keeps the changes since the followed position")
)

// Errors of a transfer that was not completed. The follower keeps its copy after them.
var (
	errLeaderUnreachable = errors.New("no leader is reached")
	errNotOffered        = errors.New("the leader offers nothing now")
)

// otherCause is the cause of an error that says nothing against the copy.
const otherCause = "other"

// causes names the errors that are counted, as label values of a metric.
var causes = map[error]string{
	ErrWrongTerm:    "wrong_term",
	ErrOutOfOrder:   "out_of_order",
	ErrTruncated:    "truncated",
	ErrOversized:    "oversized",
	ErrUndecodable:  "undecodable",
	ErrDigest:       "digest",
	ErrTooFarBehind: "too_far_behind",
}

// causeOf returns the name by which an error is counted.
func causeOf(err error) string {
	for known, name := range causes {
		if errors.Is(err, known) {
			return name
		}
	}
	return otherCause
}
