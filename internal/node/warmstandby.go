package node

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lotusstile.dev/lotusstile/internal/controller"
	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/standby"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/wire"
)

// warmStandby is a node's part in the warm standby: the follower in any term, and the source while
// the node leads. Unless the configuration enables it, follower is nil and nothing is done.
type warmStandby struct {
	*leadership
	store    *store.Client
	campaign *campaign
	follower *standby.Follower
	source   atomic.Pointer[standby.Source]

	mu         sync.Mutex
	chosen     string // at the leader: the label of the node that is to follow it
	announced  string // at a follower: the label that the leader announced last
	failoverMs int64  // of the last term here: from when nobody led to its first decision
}

// newWarmStandby makes the parts that a node needs in any term.
func newWarmStandby(l *leadership, st *store.Client, c *campaign) *warmStandby {
	w := &warmStandby{leadership: l, store: st, campaign: c}
	if w.enabled() {
		w.follower = standby.NewFollower(standby.FollowerConfig{
			Label:       l.cfg.Label,
			Fetch:       w.fetch,
			BehindAfter: l.cfg.LeaderLeaseTTL(),
		})
	}
	return w
}

// enabled reports whether this node may follow a leader and offer its state to a follower.
func (w *warmStandby) enabled() bool { return w.cfg.WarmStandby }

// fetch asks a leader for a part of its state.
func (w *warmStandby) fetch(leader string, args peer.FollowArgs) (peer.FollowReply, error) {
	if p := w.peer(leader); p != nil {
		return p.FollowState(args)
	}
	return peer.FollowReply{}, fmt.Errorf("no peer is named %q", leader)
}

// answer answers a standby that asks this node for a part of its state.
func (w *warmStandby) answer(args peer.FollowArgs) (peer.FollowReply, error) {
	source := w.source.Load()
	if source == nil {
		return peer.FollowReply{Term: w.elector.View().Term}, nil
	}
	return source.Follow(args)
}

// beginTerm sets the options with which a term starts from the copy that this node has followed,
// and offers its own state to a standby. The caller must call endTerm when the term is over.
func (w *warmStandby) beginTerm(options *controller.Options, term uint64) {
	if !w.enabled() {
		return
	}
	var members []string
	for _, p := range w.peers {
		members = append(members, p.Label)
	}
	source := standby.NewSource(term, members, 2*w.cfg.LeaderLeaseTTL())
	options.StandbySource, options.Store = source, standby.NewRecordingStore(w.store, source)
	options.ProveStandbyCopy = func(ctx context.Context, term uint64) (*standby.ProvenCopy, error) {
		return w.follower.Prove(ctx, w.store, term)
	}
	w.source.Store(source)
}

// recordFailover records how long the failover to this node took and whether it used the copy.
func (w *warmStandby) recordFailover(failover records.Failover) {
	if failover.Warm {
		w.follower.MarkPromoted(fmt.Sprintf("decides after %d ms", failover.DecidedMs))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failoverMs = failover.DecidedMs
}

// lastFailover returns the time from when nobody led to the first decision of the last term here; 0
// before there was one.
func (w *warmStandby) lastFailover() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.failoverMs) * time.Millisecond
}

// endTerm drops the term's source and the copy: a later term of this node starts from a new one.
func (w *warmStandby) endTerm() {
	if !w.enabled() {
		return
	}
	w.source.Store(nil)
	w.follower.Discard("this node's term is over")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.chosen, w.announced = "", ""
}

// choose returns the label of the node that is to follow this leader, "" for none: one that is
// reached, serves and has as short a campaign delay as any. The choice stays the same while that is
// true of it.
func (w *warmStandby) choose() string {
	if w.source.Load() == nil {
		return ""
	}
	var candidates []string
	for _, p := range w.peers {
		if w.canFollow(p) {
			candidates = append(candidates, p.Label)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	best := ""
	if len(candidates) > 0 {
		best = slices.MinFunc(candidates, func(a, b string) int {
			return cmp.Or(cmp.Compare(w.campaign.successorDelay(a), w.campaign.successorDelay(b)), strings.Compare(a, b))
		})
	}
	if !slices.Contains(candidates, w.chosen) || w.campaign.successorDelay(best) < w.campaign.successorDelay(w.chosen) {
		if w.chosen != best {
			slog.Info("chosen warm standby changed", "from", w.chosen, "to", best)
		}
		w.chosen = best
	}
	return w.chosen
}

// canFollow reports whether a peer is reached, serves and is able to follow a leader.
func (w *warmStandby) canFollow(p *peer.Peer) bool {
	last, ok := p.LastPing(w.cfg.LeaderLeaseTTL())
	return ok && last.Serving && last.CanFollow
}

// followLeader pulls the leader's state while it wants this node to, until ctx ends.
func (w *warmStandby) followLeader(ctx context.Context) {
	if !w.enabled() {
		return
	}
	for timeralign.Sleep(ctx, w.cfg.TimerGrid().UntilNext(time.Now(), w.cfg.LeaderLeaseTTL()/4)) {
		if w.controller() != nil {
			continue
		}
		leader, term, announced := w.announcement()
		w.mu.Lock()
		if leader != "" {
			w.announced = announced
		}
		w.mu.Unlock()
		switch {
		case leader == "":
			w.follower.MarkLeaderUnreachable()
		case announced == w.cfg.Label:
			w.follower.Pull(leader, term)
		case announced != "":
			w.follower.Discard("another node follows the leader")
		}
	}
}

// announcement returns the leader, its term and the node that it wants to follow it, by its last
// answer to a ping; "" if no leader is reached.
func (w *warmStandby) announcement() (leader string, term uint64, follower string) {
	p := w.leader()
	if p == nil {
		return "", 0, ""
	}
	last, ok := p.LastPing(w.cfg.LeaderLeaseTTL())
	if !ok || !last.Leading {
		return "", 0, ""
	}
	return p.Label, last.Term, last.Standby
}

// peerIsPreferred reports whether a peer is the better successor: this node has no copy of the
// leader's state, and the standby that the leader announced last is reached.
func (w *warmStandby) peerIsPreferred() bool {
	if !w.enabled() || w.follower.HasCopy() {
		return false
	}
	w.mu.Lock()
	announced := w.announced
	w.mu.Unlock()
	return slices.ContainsFunc(w.peers, func(p *peer.Peer) bool {
		return p.Label == announced && w.canFollow(p)
	})
}

// status returns the state of the follower; at a leader, sizes and positions are those of the source
// that it offers. It must not be called unless the warm standby is enabled.
func (w *warmStandby) status() *wire.StandbyStatus {
	following := w.follower.Status()
	status := &wire.StandbyStatus{
		State:    following.State.String(),
		Cause:    following.Cause,
		Leader:   following.Leader,
		Term:     following.Term,
		Sequence: following.Sequence,
		Position: following.Position,
		LagS:     following.Lag.Seconds(),
		Entries:  following.Entries,
		Bytes:    following.Bytes,
		Moved:    following.ReceivedBytes,
		Refused:  following.Refused,
	}
	if source := w.source.Load(); source != nil {
		offered := source.Status()
		status.Sequence, status.Position = offered.Sequence, offered.Position
		status.Entries, status.Bytes = offered.Entries, offered.Bytes
		status.Moved = offered.SentBytes
		status.LagS = 0
		w.mu.Lock()
		status.Standby = w.chosen
		w.mu.Unlock()
	}
	return status
}
