// Package election elects one leader among the nodes. The leader's key in the state store is attached to a lease. The
// modification revision of that key is the term, which workers use as their fencing token.
//
// An Elector watches the keys of the election, campaigns when there is no leader, renews its lease while it leads, and
// transfers the leadership when a better placed node can lead.
package election

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// State is the role of a node in the election.
type State int

// The states of a node in the election.
const (
	// Following: another node leads, or no leader is known.
	Following State = iota
	// Campaigning: the node attempts to become leader.
	Campaigning
	// Leading: the node leads, and its lease was renewed in time.
	Leading
	// LeadingUnconfirmed: the node leads, but its lease could not be renewed in time, so another node may lead
	// already. Operators see this state as "unproven".
	LeadingUnconfirmed
)

// stateNames are the names of the states in the administration API.
var stateNames = [...]string{"following", "campaigning", "leading", "unproven"}

// String returns the name that operators see.
func (s State) String() string { return stateNames[s] }

// Store is the part of the state store's client that an election needs.
type Store interface {
	watchcache.Reader
	Get(ctx context.Context, key string) (wire.KeyValue, bool, error)
	Commit(ctx context.Context, tx wire.Transaction) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, leaseID uint64) error
	RevokeLease(ctx context.Context, leaseID uint64) error
}

// View is what a node knows about the leadership.
type View struct {
	// Leader is the label of the node that leads Term; empty if no leader is known.
	Leader string
	// Term is the latest term that this node has observed.
	Term uint64
	// ConfirmedTerm is the latest term that the state store or the leader of that term has announced. Term can be
	// newer: this node may have learned it only from another follower.
	ConfirmedTerm uint64
	// Synced is true once this node has listed the keys of the election.
	Synced bool
}

// Options configure how a node takes part in elections. Store, Node, LeaseTTL and Lead are required.
type Options struct {
	Store Store
	// Node is the label of this node.
	Node string
	// LeaseTTL is the time to live of the leader's lease.
	LeaseTTL time.Duration
	// Lead is called for each term that this node leads. Its context ends with the term, and this node campaigns
	// again only after Lead has returned.
	Lead func(ctx context.Context, term uint64)
	// Timers aligns the lease renewals with the other periodic work of the process.
	Timers timeralign.Grid
	// CampaignDelaySteps returns how many eighths of LeaseTTL this node waits before a campaign, so that better
	// placed nodes campaign first; nil means none.
	CampaignDelaySteps func() int
	// DeferToStandby reports whether another node is better prepared to lead and should campaign first; nil means
	// never.
	DeferToStandby func() bool
	// TransferWanted reports whether this node should transfer the leadership because a better placed node is
	// healthy; nil means never.
	TransferWanted func() bool
	// Progress returns a number that changes as long as the work of the term that this node leads goes forward; nil
	// means that it always does.
	Progress func() uint64
	// MayYield reports whether other nodes can take over from this node if its work has stalled; nil means always.
	MayYield func() bool
}

// Elector runs the election at one node. It is safe for concurrent use; Run must be called only once.
type Elector struct {
	Options

	// mu guards the fields below, except viewChanged, which never changes after New.
	mu              sync.Mutex
	state           State
	view            View
	ownTerm         uint64             // the term that this node leads, or the last one that it led
	endTerm         context.CancelFunc // ends ownTerm; nil if this node does not lead
	leaderlessSince time.Time          // see LeaderlessSince
	stalled         bool               // see Stalled
	stalledTerms    int                // number of stalled terms of this node, one soon after another
	viewChanged     chan struct{}      // wakes Run when the view may have changed
}

// New returns an elector, which stays in the state Following until Run is called.
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
	if options.Progress == nil {
		var calls atomic.Uint64
		options.Progress = func() uint64 { return calls.Add(1) }
	}
	if options.MayYield == nil {
		options.MayYield = func() bool { return true }
	}
	return &Elector{Options: options, viewChanged: make(chan struct{}, 1)}
}

// setState changes the state and logs the change. No other function sets e.state. The caller holds e.mu.
func (e *Elector) setState(to State, reason string) {
	if e.state == to {
		return
	}
	slog.Info("leadership state changed", "from", e.state.String(), "to", to.String(), "term", e.ownTerm, "reason", reason)
	e.state = to
}

// transition calls setState for callers that do not hold e.mu.
func (e *Elector) transition(to State, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setState(to, reason)
}

// View returns what this node knows about the leadership.
func (e *Elector) View() View {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view
}

// State returns the state of this node in the election.
func (e *Elector) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// LeaderlessSince returns when this node first saw in the state store that the latest leader's key was gone. It returns
// the zero time if this node has never seen that.
func (e *Elector) LeaderlessSince() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaderlessSince
}
