// Package standby replicates the leader's state to a warm standby. When the standby is elected after the leader has
// failed, it can soon make decisions, because it does not have to read all records first.
//
// At the leader, a Source holds entries in an immutable radix tree: the followed records, and views, which are what
// the leader knows beyond its records. At the standby, a Follower pulls the entries in transfers. The first transfer
// contains everything, later ones contain what has changed since the one before. Each transfer is sent in parts and
// results in a sequence number, a position in the state store's history and a digest. The follower uses only complete
// transfers: it discards a transfer that is cut off, and one whose digest differs from the digest of the resulting
// copy.
//
// The position is what proves a copy: the copy contains everything that the leader's term has committed up to that
// revision. A standby that has been elected reads the changes after the position from the state store, and then has
// what a full listing would return (see docs/standby.md). Views are only hints: the controller never launches or
// cancels an attempt because of a view, and never concludes from one that an attempt is no longer on its machine.
package standby

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
)

// State is the state of a follower.
type State int

// The states of a follower. Their names are label values of a metric.
const (
	Empty     State = iota // there is no usable copy
	Syncing                // the first transfer, of everything, is in progress
	Following              // the copy is complete and kept up to date
	Behind                 // the copy is out of date: the leader is unreachable, or no longer has all changes since the copy
	Verifying              // this node is elected and checks its copy against the state store
	Ready                  // the copy is proven and the controller loads it
	Promoted               // the controller of this node's term has loaded the copy
)

var stateNames = [...]string{"empty", "syncing", "following", "behind", "verifying", "ready", "promoted"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// StateNames returns the names of all states.
func StateNames() []string { return stateNames[:] }

// allowedTransitions lists, for each state, the states that it may change to.
var allowedTransitions = map[State][]State{
	Empty:     {Syncing},
	Syncing:   {Following, Empty},
	Following: {Behind, Verifying, Empty},
	Behind:    {Following, Verifying, Empty},
	Verifying: {Ready, Empty},
	Ready:     {Promoted, Verifying, Empty}, // Verifying if the controller could not load the rest of its state
	Promoted:  {Empty},
}

// TransitionError means that a follower must not change from state From to state To.
type TransitionError struct{ From, To State }

func (e *TransitionError) Error() string { return fmt.Sprintf("%s cannot follow on %s", e.To, e.From) }

// transition changes the state, or returns a TransitionError. No other function sets f.state. The caller holds f.mu.
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

// setState changes the state, or logs an error if the change is not allowed. The caller holds f.mu.
func (f *Follower) setState(to State, cause string) {
	if err := f.transition(to, cause); err != nil {
		slog.Error("standby state could not be changed", "err", err)
	}
}

// Errors that mean that a transfer or the copy is unusable. After each of them the follower discards its copy,
// and its next transfer contains everything.
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

// Errors of a transfer that was not completed. After them the follower keeps its copy.
var (
	errLeaderUnreachable = errors.New("no leader is reached")
	errNotOffered        = errors.New("the leader offers nothing now")
)

// uncountedCause is the cause of an error that does not make the copy unusable.
const uncountedCause = "other"

// causeNames maps each error that is counted to its name, which is a label value of a metric.
var causeNames = map[error]string{
	ErrWrongTerm:    "wrong_term",
	ErrOutOfOrder:   "out_of_order",
	ErrTruncated:    "truncated",
	ErrOversized:    "oversized",
	ErrUndecodable:  "undecodable",
	ErrDigest:       "digest",
	ErrTooFarBehind: "too_far_behind",
}

// causeOf returns the name under which an error is counted, or uncountedCause if it is not counted.
func causeOf(err error) string {
	for known, name := range causeNames {
		if errors.Is(err, known) {
			return name
		}
	}
	return uncountedCause
}
