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

// warmStandby holds the parts of a node that belong to the warm standby: the follower, which keeps a copy of the
// leader's state, and the source, which offers this node's state to a standby and exists while this node leads.
// If the configuration does not enable the warm standby, follower is nil and no term has a source.
type warmStandby struct {
	*leadership
	store    *store.Client
	campaign *campaignPolicy
	follower *standby.Follower
	source   atomic.Pointer[standby.Source]

	mu         sync.Mutex
	chosen     string // while this node leads: label of the standby that it has chosen
	announced  string // while this node follows: label of the standby that the leader announced last
	failoverMs int64  // of the last term led by this node: see lastFailover
}

// newWarmStandby returns a warm standby without a source, which beginTerm adds.
func newWarmStandby(l *leadership, st *store.Client, c *campaignPolicy) *warmStandby {
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

// enabled reports whether this node may keep a copy of a leader's state and offer its own state to a standby.
func (w *warmStandby) enabled() bool { return w.cfg.WarmStandby }

// fetch asks the leader with the given label for a part of its state.
func (w *warmStandby) fetch(leader string, args peer.FollowArgs) (peer.FollowReply, error) {
	if p := w.peer(leader); p != nil {
		return p.FollowState(args)
	}
	return peer.FollowReply{}, fmt.Errorf("no peer is named %q", leader)
}

// answerFollower answers a standby that asks for a part of this node's state. Without a source the reply contains
// only the term that this node knows.
func (w *warmStandby) answerFollower(args peer.FollowArgs) (peer.FollowReply, error) {
	source := w.source.Load()
	if source == nil {
		return peer.FollowReply{Term: w.elector.View().Term}, nil
	}
	return source.Follow(args)
}

// beginTerm sets the options of a term of this node. With them, the term starts from the follower's copy of the
// previous leader's state, and this node offers its state to a standby. The caller must call endTerm when the term
// is over.
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

// lastFailover returns how long the failover to the last term led by this node took, from the loss of the previous
// leader to the first decision. It is 0 before the first failover.
func (w *warmStandby) lastFailover() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.failoverMs) * time.Millisecond
}

// endTerm drops the source, and the copy from which the term started: a later term of this node needs a new copy.
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

// chooseStandby returns the label of the standby for this leader, or "" if there is no candidate. It chooses, of
// the peers that can follow, one with the shortest campaign delay, and keeps that choice until the peer can no
// longer follow or another candidate has a shorter delay.
func (w *warmStandby) chooseStandby() string {
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
			return cmp.Or(cmp.Compare(w.campaign.successorDelaySteps(a), w.campaign.successorDelaySteps(b)), strings.Compare(a, b))
		})
	}
	if !slices.Contains(candidates, w.chosen) || w.campaign.successorDelaySteps(best) < w.campaign.successorDelaySteps(w.chosen) {
		if w.chosen != best {
			slog.Info("choice of warm standby changed", "from", w.chosen, "to", best)
		}
		w.chosen = best
	}
	return w.chosen
}

// canFollow reports whether a peer is reachable, is serving and supports copying a leader's state.
func (w *warmStandby) canFollow(p *peer.Peer) bool {
	last, ok := p.LastPing(w.cfg.LeaderLeaseTTL())
	return ok && last.Serving && last.CanFollow
}

// followLeader pulls the leader's state while the leader announces this node as its standby, until ctx ends.
func (w *warmStandby) followLeader(ctx context.Context) {
	if !w.enabled() {
		return
	}
	for timeralign.Sleep(ctx, w.cfg.TimerGrid().UntilNext(time.Now(), w.cfg.LeaderLeaseTTL()/4)) {
		if w.controller() != nil {
			continue
		}
		leader, term, announced := w.leaderAnnouncement()
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

// leaderAnnouncement returns the leader, its term and the standby that it has chosen, from its last answer to a
// ping. leader is "" if no leader is reachable.
func (w *warmStandby) leaderAnnouncement() (leader string, term uint64, chosen string) {
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

// peerIsPreferred reports whether a peer is a better successor than this node: this node has no copy of the
// leader's state, and the standby that the leader announced last is a reachable peer that can follow.
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

// status returns the status of the follower. If this node leads, sizes and positions are those of its source
// instead. status must be called only if the warm standby is enabled.
func (w *warmStandby) status() *wire.StandbyStatus {
	followerStatus := w.follower.Status()
	status := &wire.StandbyStatus{
		State:      followerStatus.State.String(),
		Cause:      followerStatus.Cause,
		Leader:     followerStatus.Leader,
		Term:       followerStatus.Term,
		Sequence:   followerStatus.Sequence,
		Position:   followerStatus.Position,
		LagS:       followerStatus.Lag.Seconds(),
		Entries:    followerStatus.Entries,
		Bytes:      followerStatus.Bytes,
		MovedBytes: followerStatus.ReceivedBytes,
		Refused:    followerStatus.Refused,
	}
	if source := w.source.Load(); source != nil {
		sourceStatus := source.Status()
		status.Sequence, status.Position = sourceStatus.Sequence, sourceStatus.Position
		status.Entries, status.Bytes = sourceStatus.Entries, sourceStatus.Bytes
		status.MovedBytes = sourceStatus.SentBytes
		status.LagS = 0
		w.mu.Lock()
		status.StandbyNode = w.chosen
		w.mu.Unlock()
	}
	return status
}
