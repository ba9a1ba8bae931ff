// Package standby lets a successor follow what the leader knows, so that it can decide
// soon after the leader's end without reading all records again.
//
// At the leader a Source holds the records that its term has written and views of what it
// knows beyond them, in a persistent tree. The successor's Follower pulls that in
// transfers: a whole one first, then what has changed since. Every transfer ends with a
// sequence number, a position in the state service's history and a digest. A transfer
// that is not complete, or whose digest disagrees, is dropped whole.
//
// The position is the heart of the proof: all that the leader's term has committed up to it
// is part of what is followed. A successor that has been elected reads the changes after
// it from the state service, and then holds what a full listing would show. Views are
// hints: nothing is ever taken for off a machine, launched or withdrawn because of one.
package standby

import (
	"errors"
	"fmt"
	"log/slog"
)

// State is where a follower stands.
type State int

// The states of a follower.
const (
	Empty     State = iota // holds nothing that can be used
	Syncing                // takes its first whole transfer
	Following              // holds what the leader told, and keeps up
	Behind                 // holds an older copy: the leader is not heard, or keeps no changes that old
	Verifying              // this node is elected: what it holds is checked against the state service
	Ready                  // checked: the controller takes it over
	Promoted               // the controller of this node's term has loaded it
)

var stateNames = [...]string{"empty", "syncing", "following", "behind", "verifying", "ready", "promoted"}

func (s State) String() string { return stateNames[s] }

// StateNames lists the names of all states.
func StateNames() []string { return stateNames[:] }

// allowed lists the states that may follow on each.
var allowed = map[State][]State{
	Empty:     {Syncing},
	Syncing:   {Following, Empty},
	Following: {Behind, Verifying, Empty},
	Behind:    {Following, Verifying, Empty},
	Verifying: {Ready, Empty},
	Ready:     {Promoted, Verifying, Empty}, // checked again if the controller could not load the rest
	Promoted:  {Empty},
}

// Errors for what a follower refuses. It starts anew after each of them, and uses nothing
// of what it held.
var (
	ErrWrongTerm    = errors.New("a transfer is of another term")
	ErrOutOfOrder   = errors.New("a part is out of order")
	ErrTruncated    = errors.New("a part is shorter or longer than it says")
	ErrOversized    = errors.New("a part is larger than is allowed")
	ErrUndecodable  = errors.New("a part cannot be decoded")
	ErrDigest       = errors.New("the digest of what is held is not the leader's")
	ErrNoCopy       = errors.New("nothing is held that can be verified")
	ErrTooFarBehind = errors.New("the state service no longer keeps the changes since the followed position")
)

// causes names the errors that are counted.
var causes = map[error]string{ErrWrongTerm: "wrong_term", ErrOutOfOrder: "out_of_order", ErrTruncated: "truncated",
	ErrOversized: "oversized", ErrUndecodable: "undecodable", ErrDigest: "digest", ErrTooFarBehind: "too_far_behind"}

// causeOf names an error for counting.
func causeOf(err error) string {
	for known, name := range causes {
		if errors.Is(err, known) {
			return name
		}
	}
	return "other"
}

// TransitionError means that a state cannot follow on another one.
type TransitionError struct{ From, To State }

func (e *TransitionError) Error() string { return fmt.Sprintf("%s cannot follow on %s", e.To, e.From) }

// transition is the one function that changes the state of a follower. f.mu is held.
func (f *Follower) transition(to State, cause string) error {
	from := f.state
	if from == to {
		return nil
	}
	for _, next := range allowed[from] {
		if next == to {
			slog.Info("standby", "from", from.String(), "to", to.String(), "cause", cause)
			f.state, f.cause = to, cause
			return nil
		}
	}
	return &TransitionError{from, to}
}
