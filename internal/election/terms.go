package election

import (
	"encoding/json"
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// ObserveToken is called when a worker presents a fencing token that is newer than the term that this node leads or
// knows. A worker's word proves nothing: one report with a token that nobody had issued ended the term, and every node
// that remembered the token took no later leader for one. So the token is not recorded. It only ends the term of a leader
// whose own lease was not renewed in time: another node may lead then, and workers that have met it must not be held.
func (e *Elector) ObserveToken(token uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.endTerm != nil && token > e.ownTerm && e.state == LeadingUnconfirmed {
		slog.Info("a worker has seen a newer token and the lease is not renewed: this node's term ends", "term", e.ownTerm, "token", token)
		e.endTerm()
	}
}

// ObserveTerm records a term that this node has learned from another node, rather than from the state store. leader is
// empty if only the term is known. If this node leads an older term, that term ends.
func (e *Elector) ObserveTerm(term uint64, leader string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if leader != "" {
		e.view.ConfirmedTerm = max(e.view.ConfirmedTerm, term)
	}
	if term == e.view.Term && e.view.Leader == "" && e.endTerm == nil {
		// Another follower has shown this term before its leader has. Without this assignment, a node that cannot
		// read the state store would never learn the leader's name, and would keep workers that it should redirect to
		// the leader.
		e.view.Leader = leader
	}
	if term <= e.view.Term {
		return
	}
	e.view.Term, e.view.Leader = term, leader
	if e.endTerm != nil && term > e.ownTerm {
		slog.Info("observed a newer term: this node's term ends", "term", e.ownTerm, "newer", term)
		e.endTerm()
	}
}

// Reset updates the view from a listing of the election's keys. It implements watchcache.Handler.
func (e *Elector) Reset(items []wire.KeyValue, _ uint64, _ time.Time) {
	e.mu.Lock()
	e.view.Synced = true
	hasLeader := false
	for _, item := range items {
		hasLeader = hasLeader || item.Key == records.LeaderKey
		e.applyRecord(item.Key, item.Value, item.ModRevision)
	}
	if !hasLeader {
		e.recordNoLeader()
	}
	e.mu.Unlock()
	e.notifyViewChanged()
}

// Apply updates the view from changes of the election's keys. It implements watchcache.Handler.
func (e *Elector) Apply(changes wire.WatchResponse, _ uint64, _ time.Time) {
	e.mu.Lock()
	for _, event := range changes.Events {
		if event.Drop == records.LeaderKey && event.ModRevision > e.view.Term {
			e.recordNoLeader()
		} else if event.Set != "" {
			e.applyRecord(event.Set, event.Value, event.ModRevision)
		}
	}
	e.mu.Unlock()
	e.notifyViewChanged()
}

// recordNoLeader records that there is no leader. If the view had no leader before, for example because a listing
// repeats what a watch has reported, leaderlessSince keeps the time of the first observation. The caller holds e.mu.
func (e *Elector) recordNoLeader() {
	if e.view.Leader != "" || e.leaderlessSince.IsZero() {
		e.leaderlessSince = time.Now()
	}
	e.view.Leader = ""
}

// applyRecord updates the view from the record of LeaderKey or TermKey, unless the record is older than the view. If
// this node leads an older term, that term ends. The caller holds e.mu.
func (e *Elector) applyRecord(key string, value json.RawMessage, modRevision uint64) {
	if modRevision < e.view.Term {
		return
	}
	var leader records.Leader
	if err := wire.Decode(value, &leader); err != nil {
		slog.Error("leader record cannot be decoded", "key", key, "err", err)
		return
	}
	e.view.Term, e.view.ConfirmedTerm = modRevision, max(e.view.ConfirmedTerm, modRevision)
	if key == records.LeaderKey {
		e.view.Leader = leader.Node
	}
	if e.endTerm != nil && modRevision > e.ownTerm {
		e.endTerm()
	}
}

// notifyViewChanged wakes Run because the view may have changed. It never blocks: if Run has not received the previous
// wake-up yet, that one is enough.
func (e *Elector) notifyViewChanged() {
	select {
	case e.viewChanged <- struct{}{}:
	default:
	}
}
