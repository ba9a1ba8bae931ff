// Package election elects the one leader. The leader's key is attached to a lease of the state
// store; the modification revision of that key is the term, which is the workers' fencing token.
//
// An Elector follows the keys of the election, campaigns when nobody leads, renews its lease while
// it leads, and transfers the leadership to a node that is better placed.
package election

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// State is the state of a node in the election.
type State int

// The states of a node.
const (
	// Following: another node leads, or no leader is known.
	Following State = iota
	// Campaigning: the node attempts to become leader.
	Campaigning
	// Leading: the node leads, and its lease was renewed in time.
	Leading
	// LeadingUnconfirmed: the node leads, but its lease could not be renewed in time. Another
	// node may lead already. Operators know the state as unproven.
	LeadingUnconfirmed
)

// stateNames are the names that the administration API shows.
var stateNames = [...]string{"following", "campaigning", "leading", "unproven"}

// String returns the name that operators see.
func (s State) String() string { return stateNames[s] }

// Store is what an election needs of the state store.
type Store interface {
	watchcache.Reader
	Get(ctx context.Context, key string) (wire.KeyValue, bool, error)
	Commit(ctx context.Context, tx wire.Transaction) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, leaseID uint64) error
	RevokeLease(ctx context.Context, leaseID uint64) error
}

// View is what a node knows of the leadership.
type View struct {
	// Leader is the label of the leader; empty if none is known.
	Leader string
	// Term is the latest term that this node has observed; it is Leader's if there is one.
	Term uint64
	// ConfirmedTerm is the latest term that the state store or the leader of that term has
	// announced; Term may be known from a worker's fencing token alone.
	ConfirmedTerm uint64
	// Synced is true once the keys of the election have been listed.
	Synced bool
}

// Options say how a node takes part in elections. Store, Node, LeaseTTL and Lead are required.
type Options struct {
	Store Store
	// Node is the label of this node.
	Node string
	// LeaseTTL is the time to live of the leader's lease.
	LeaseTTL time.Duration
	// Lead is called for each term that this node leads; its context ends with the term. The
	// term counts as ended only once it returns.
	Lead func(ctx context.Context, term uint64)
	// Timers aligns the renewals of the lease with the other periodic work of the process.
	Timers timeralign.Grid
	// CampaignDelaySteps returns by how many eighths of LeaseTTL this node lets better placed ones
	// go first; nil is none.
	CampaignDelaySteps func() int
	// DeferToStandby reports whether another node is better prepared to lead and should go first;
	// nil is never.
	DeferToStandby func() bool
	// TransferWanted reports whether a node that is better placed is well, so that this one
	// should transfer the leadership; nil is never.
	TransferWanted func() bool
}

// Elector runs the election at one node. It is safe for concurrent use; Run is called once.
type Elector struct {
	Options

	// mu guards the fields below, except that changed is set once, in New.
	mu              sync.Mutex
	state           State
	view            View
	ownTerm         uint64             // the term that this node leads, or led last
	endTerm         context.CancelFunc // ends that term; nil if this node does not lead
	leaderlessSince time.Time          // see LeaderlessSince
	changed         chan struct{}      // wakes Run: the view may have changed
}

// New makes an elector that follows until Run is called.
func New(options Options) *Elector {
	if options.CampaignDelaySteps == nil {
		options.CampaignDelaySteps = func() int { return 0 }
	}
	if options.DeferToStandby == nil {
		options.DeferToStandby = func() bool { return false }
	}
	if options.TransferWanted == nil {
		options.TransferWanted = func() bool { return false }
	}
	return &Elector{Options: options, changed: make(chan struct{}, 1)}
}

// setState is the one function that changes the state. e.mu is held.
func (e *Elector) setState(to State, reason string) {
	if e.state == to {
		return
	}
	slog.Info("leadership state changed", "from", e.state.String(), "to", to.String(), "term", e.ownTerm, "reason", reason)
	e.state = to
}

// transition is setState for callers that do not hold e.mu.
func (e *Elector) transition(to State, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setState(to, reason)
}

// View returns what is known of the leadership.
func (e *Elector) View() View {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view
}

// State returns the state of this node.
func (e *Elector) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// LeaderlessSince returns when this node first observed in the state store that the latest leader
// was gone; the zero time if it has observed none.
func (e *Elector) LeaderlessSince() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaderlessSince
}
