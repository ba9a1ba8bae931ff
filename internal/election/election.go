// Package election chooses the one leader. The leader's key hangs on a hold;
// the Stamp of that key is the term and, to workers, the token (Baton).
package election

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// State is where this node stands.
type State int

// The states of a node.
const (
	Following          State = iota // another node leads, or nobody is known to
	Campaigning                     // is trying to become leader
	Leading                         // leads
	LeadingUnconfirmed              // leads, but its hold could not be renewed in time
)

var stateNames = [...]string{"following", "campaigning", "leading", "unproven"}

func (s State) String() string { return stateNames[s] }

// Store is what an election needs of the state service.
type Store interface {
	watchcache.Reader
	Get(ctx context.Context, key string) (wire.KeyValue, bool, error)
	Commit(ctx context.Context, tx wire.Transaction) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, leaseID uint64) error
	RevokeLease(ctx context.Context, leaseID uint64) error
}

// deferShare is the part of the hold's time by which a node lets one go first that is
// better prepared to lead: longer than the chance in the wait of either.
const deferShare = 16

const (
	// renewals is how often a hold is renewed in its time.
	renewals = 4
	// throttledRenewals is how many tries there are in that time while the state service
	// answers that it gets too many requests.
	throttledRenewals = 20
)

// View is what is known of the leadership.
type View struct {
	Leader        string // empty: nobody leads
	Term          uint64 // the last term there was, of that leader if there is one
	ConfirmedTerm uint64 // the last one that the state service or its own leader told of
	Synced        bool
}

// Elector runs the election at one node.
type Elector struct {
	store  Store
	node   string
	ttl    time.Duration
	delay  func() int
	grid   timeralign.Grid
	better func() bool
	// deferring reports whether another node is better prepared to lead.
	deferring func() bool
	lead      func(ctx context.Context, ownTerm uint64)

	mu              sync.Mutex
	state           State
	view            View
	ownTerm         uint64 // our term while we lead
	endTerm         context.CancelFunc
	leaderlessSince time.Time // when it was last seen that nobody leads
	changed         chan struct{}
}

// New makes an elector. lead is called for each term that this node leads; its
// context ends with the term.
func New(s Store, label string, ttl time.Duration, lead func(ctx context.Context, term uint64)) *Elector {
	return &Elector{store: s, node: label, ttl: ttl, lead: lead, delay: func() int { return 0 }, better: func() bool { return false }, deferring: func() bool { return false }, changed: make(chan struct{}, 1)}
}

// Prefer lets others go first: this node waits a little for each point of its
// handicap, as it is when nobody leads, before it campaigns, and hands its leadership over once better says
// that a node with a lower one is well. It is called before Run.
func (e *Elector) Prefer(delay func() int, better func() bool) {
	e.delay, e.better = delay, better
}

// DeferTo lets another node go first while first says so: it is better prepared to lead.
// It is called before Run.
func (e *Elector) DeferTo(first func() bool) { e.deferring = first }

// Align lets the renewals of the hold fall on a grid. It is called before Run.
func (e *Elector) Align(grid timeralign.Grid) { e.grid = grid }

// set is the one function that changes the state. e.mu is held.
func (e *Elector) setState(to State, why string) {
	if e.state == to {
		return
	}
	slog.Info("leadership", "from", e.state.String(), "to", to.String(), "term", e.ownTerm, "why", why)
	e.state = to
}

func (e *Elector) transition(to State, why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setState(to, why)
}

// View tells what is known of the leadership.
func (e *Elector) View() View {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view
}

// State tells where this node stands.
func (e *Elector) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// ObserveTerm notes that a term was seen elsewhere: in a worker's report or at another
// node. A leader of an older term steps down.
func (e *Elector) ObserveTerm(term uint64, leader string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if leader != "" {
		e.view.ConfirmedTerm = max(e.view.ConfirmedTerm, term)
	}
	if term == e.view.Term && e.view.Leader == "" && e.endTerm == nil {
		// A worker's token told the term before the leader itself did. A node
		// that cannot read the state service would otherwise never learn the
		// name, and keep workers that it should send on.
		e.view.Leader = leader
	}
	if term <= e.view.Term {
		return
	}
	e.view.Term, e.view.Leader = term, leader
	if e.endTerm != nil && term > e.ownTerm {
		slog.Info("newer term seen", "ours", e.ownTerm, "newer", term)
		e.endTerm()
	}
}

func (e *Elector) notifyChanged() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// Reset takes a listing of the keys of the election.
func (e *Elector) Reset(rows []wire.KeyValue, _ uint64, _ time.Time) {
	e.mu.Lock()
	e.view.Synced = true
	leading := false
	for _, row := range rows {
		leading = leading || row.Key == records.LeaderKey
		e.applyRecord(row.Key, row.Value, row.ModRevision)
	}
	if !leading {
		e.recordNoLeader()
	}
	e.mu.Unlock()
	e.notifyChanged()
}

// Apply takes changes of the keys of the election.
func (e *Elector) Apply(ch wire.WatchResponse, _ uint64, _ time.Time) {
	e.mu.Lock()
	for _, n := range ch.Events {
		if n.Drop == records.LeaderKey && n.ModRevision > e.view.Term {
			e.recordNoLeader()
		} else if n.Set != "" {
			e.applyRecord(n.Set, n.Value, n.ModRevision)
		}
	}
	e.mu.Unlock()
	e.notifyChanged()
}

// recordNoLeader notes that nobody leads. e.mu is held.
func (e *Elector) recordNoLeader() {
	if e.view.Leader != "" || e.leaderlessSince.IsZero() {
		e.leaderlessSince = time.Now()
	}
	e.view.Leader = ""
}

// LeaderlessSince is when this node last saw, by the state service's word, that nobody leads.
func (e *Elector) LeaderlessSince() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaderlessSince
}

// advance takes a key of the election into the view. e.mu is held.
func (e *Elector) applyRecord(key string, value json.RawMessage, modRevision uint64) {
	if modRevision < e.view.Term {
		return
	}
	var l records.Leader
	if err := json.Unmarshal(value, &l); err != nil {
		slog.Error("leader record cannot be read", "key", key, "err", err)
		return
	}
	e.view.Term, e.view.ConfirmedTerm = modRevision, max(e.view.ConfirmedTerm, modRevision)
	if key == records.LeaderKey {
		e.view.Leader = l.Node
	}
	if e.endTerm != nil && modRevision > e.ownTerm {
		e.endTerm()
	}
}

// Run takes part in elections until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	go watchcache.Follow(ctx, e.store, records.ElectionPrefix, 2*e.ttl, e.ttl/8, e)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-e.changed:
		case <-time.After(e.ttl):
		}
		if v := e.View(); !v.Synced || v.Leader != "" {
			continue
		}
		// A little chance keeps nodes from colliding at every try.
		wait := time.Duration(rand.Int64N(int64(e.ttl/40))) + time.Duration(e.delay())*e.ttl/8
		if e.deferring() {
			wait += e.ttl / deferShare
		}
		time.Sleep(wait)
		if v := e.View(); v.Leader != "" {
			continue
		}
		e.transition(Campaigning, "nobody leads")
		if term, leaseID, ok := e.campaign(ctx); ok {
			e.leadTerm(ctx, term, leaseID)
		} else {
			e.transition(Following, "not elected")
			time.Sleep(time.Duration(rand.Int64N(int64(e.ttl / 8))))
			e.notifyChanged()
		}
	}
}

// campaign tries once to become leader.
func (e *Elector) campaign(ctx context.Context) (term, leaseID uint64, ok bool) {
	ctx = store.WithUrgentLane(ctx)
	leaseID, err := e.store.GrantLease(ctx, e.ttl)
	if err != nil {
		slog.Debug("no hold", "err", err)
		return 0, 0, false
	}
	rec := records.Encode(records.Leader{Node: e.node})
	term, err = e.store.Commit(ctx, wire.Transaction{
		Compares: []wire.Compare{{Key: records.LeaderKey, ModRevision: 0}},
		Changes:  []wire.Change{{Set: records.LeaderKey, Value: rec, LeaseID: leaseID}, {Set: records.TermKey, Value: rec}},
	})
	if err == nil {
		return term, leaseID, true
	}
	slog.Debug("not elected", "err", err)
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) && errors.Is(err, store.ErrOutcomeUnknown) {
		// The commit may have been applied: the key then hangs on our hold.
		if item, found, err := e.store.Get(ctx, records.LeaderKey); err == nil && found && item.LeaseID == leaseID {
			return item.ModRevision, leaseID, true
		}
	}
	if err := e.store.RevokeLease(ctx, leaseID); err != nil {
		slog.Debug("hold not closed", "err", err)
	}
	if item, found, err := e.store.Get(ctx, records.LeaderKey); err == nil {
		e.mu.Lock()
		if found {
			e.applyRecord(item.Key, item.Value, item.ModRevision)
		}
		e.mu.Unlock()
	}
	return 0, 0, false
}

// leadTerm leads a term until the hold ends or a newer term is seen. While the
// hold cannot be renewed the term goes on unproven: it may outlive an outage
// of the state service, and every commit is guarded by the leader's key.
func (e *Elector) leadTerm(ctx context.Context, term, leaseID uint64) {
	tctx, stop := context.WithCancel(ctx)
	defer stop()
	e.mu.Lock()
	e.ownTerm, e.endTerm = term, stop
	e.view.Term, e.view.Leader, e.view.ConfirmedTerm = max(term, e.view.Term), e.node, max(term, e.view.ConfirmedTerm)
	if e.view.Term > term {
		stop()
	}
	e.setState(Leading, "elected")
	e.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.lead(tctx, term)
	}()
	renewed := time.Now()
	next := e.grid.UntilNext(renewed, e.ttl/renewals)
	for tctx.Err() == nil {
		select {
		case <-tctx.Done():
			continue
		case <-time.After(next):
		}
		begun := time.Now()
		rctx, cancel := context.WithTimeout(store.WithUrgentLane(tctx), e.ttl/2)
		err := e.store.RenewLease(rctx, leaseID)
		cancel()
		next = e.grid.UntilNext(time.Now(), e.ttl/renewals)
		switch {
		case errors.Is(err, store.ErrThrottled):
			// Nothing is wrong with the service: another try may find room.
			next = e.ttl / throttledRenewals
		case err == nil:
			renewed = begun
			e.transition(Leading, "hold renewed")
		case errors.Is(err, store.ErrLeaseNotFound):
			slog.Info("hold has ended", "term", term)
			stop()
		}
		if time.Since(renewed) > e.ttl {
			e.transition(LeadingUnconfirmed, "hold not renewed")
		}
		if err == nil && e.better() {
			slog.Info("handing over to a node that is better placed", "term", term)
			stop()
			if err := e.store.RevokeLease(store.WithUrgentLane(ctx), leaseID); err != nil {
				slog.Warn("hold not closed", "err", err) // it ends by itself
			}
		}
	}
	e.mu.Lock()
	e.endTerm = nil
	if e.view.Leader == e.node && e.view.Term == term {
		e.view.Leader = ""
	}
	e.setState(Following, "term ended")
	e.mu.Unlock()
	<-done
	e.notifyChanged()
}
