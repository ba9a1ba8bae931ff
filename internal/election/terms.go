package election

import (
	"encoding/json"
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// ObserveTerm records a term that this node has learned of other than from the state store: from a
// worker's heartbeat (leader is then empty) or from another node. A leader of an older term steps
// down.
func (e *Elector) ObserveTerm(term uint64, leader string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if leader != "" {
		e.view.ConfirmedTerm = max(e.view.ConfirmedTerm, term)
	}
	if term == e.view.Term && e.view.Leader == "" && e.endTerm == nil {
		// A worker's fencing token showed the term before the leader itself did. A node that
		// cannot read the state store would otherwise never learn the name, and keep workers
		// that it should redirect to the leader.
		e.view.Leader = leader
	}
	if term <= e.view.Term {
		return
	}
	e.view.Term, e.view.Leader = term, leader
	if e.endTerm != nil && term > e.ownTerm {
		slog.Info("a newer term was seen, so this one ends", "term", e.ownTerm, "newer", term)
		e.endTerm()
	}
}

// Reset applies a listing of the keys of the election. It implements watchcache.Handler.
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
	e.notifyChanged()
}

// Apply applies changes of the keys of the election. It implements watchcache.Handler.
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
	e.notifyChanged()
}

// recordNoLeader records that nobody leads. A listing may show it again: the time of the first
// observation stays. e.mu is held.
func (e *Elector) recordNoLeader() {
	if e.view.Leader != "" || e.leaderlessSince.IsZero() {
		e.leaderlessSince = time.Now()
	}
	e.view.Leader = ""
}

// applyRecord updates the view from the value of LeaderKey or TermKey, unless it is older than the
// view. A leader of an older term steps down. e.mu is held.
func (e *Elector) applyRecord(key string, value json.RawMessage, modRevision uint64) {
	if modRevision < e.view.Term {
		return
	}
	var leader records.Leader
	if err := json.Unmarshal(value, &leader); err != nil {
		slog.Error("leader record cannot be read", "key", key, "err", err)
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

// notifyChanged wakes Run. It never blocks: one wake-up that is not yet seen stands for all.
func (e *Elector) notifyChanged() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}
