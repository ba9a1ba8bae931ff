package node

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lotusstile.dev/lotusstile/internal/controller"
	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/standby"
	"lotusstile.dev/lotusstile/wire"
)

// warmStandby is a node's part in keeping a warm standby: the follower in any term, and the
// source while it leads.
type warmStandby struct {
	follower *standby.Follower
	source   atomic.Pointer[standby.Source]

	mu       sync.Mutex
	chosen   string // at the leader: the label of the node that is to follow it
	reported string // at a follower: the label that the leader told last
	tookMs   int64  // from when nobody led to the first decision of the last term here
}

// newStandby makes the part that a node needs in any term.
func (n *Node) newStandby() {
	if !n.cfg.WarmStandby {
		return
	}
	n.standby.follower = standby.NewFollower(standby.FollowerConfig{Label: n.cfg.Label, Fetch: n.fetchState, BehindAfter: n.cfg.LeaderLeaseTTL()})
	for _, name := range standby.StateNames() {
		n.meters.NewGauge(fmt.Sprintf(`lotusstile_standby_state{state=%q}`, name), func() float64 {
			if n.standby.follower.Status().State.String() == name {
				return 1
			}
			return 0
		})
	}
	n.meters.NewGauge("lotusstile_standby_position", func() float64 { return float64(n.standbyStatus().Position) })
	n.meters.NewGauge("lotusstile_standby_lag_seconds", func() float64 { return n.standbyStatus().LagS })
	n.meters.NewGauge("lotusstile_standby_moved_bytes_total", func() float64 { return float64(n.standbyStatus().Moved) })
	n.meters.NewGauge("lotusstile_takeover_seconds", func() float64 {
		n.standby.mu.Lock()
		defer n.standby.mu.Unlock()
		return (time.Duration(n.standby.tookMs) * time.Millisecond).Seconds()
	})
}

// fetchState asks a peer for a part of its state.
func (n *Node) fetchState(leader string, args peer.FollowArgs) (peer.FollowReply, error) {
	for _, p := range n.peers {
		if p.Label == leader {
			return p.FollowState(args)
		}
	}
	return peer.FollowReply{}, fmt.Errorf("no peer is named %q", leader)
}

// FollowState answers a standby.
func (n *Node) FollowState(a peer.FollowArgs) (peer.FollowReply, error) {
	source := n.standby.source.Load()
	if source == nil {
		return peer.FollowReply{Term: n.elector.View().Term}, nil
	}
	return source.Follow(a)
}

// beginStandby lets a term take over what this node has followed, and offer what it knows.
func (n *Node) beginStandby(options *controller.Options, term uint64) {
	if !n.cfg.WarmStandby {
		return
	}
	var members []string
	for _, p := range n.peers {
		members = append(members, p.Label)
	}
	source := standby.NewSource(term, members, 2*n.cfg.LeaderLeaseTTL())
	options.Source, options.Store = source, standby.NewRecordingStore(n.store, source)
	options.Prove = func(ctx context.Context, term uint64) (*standby.Proven, error) {
		return n.standby.follower.Prove(ctx, n.store, term)
	}
	n.standby.source.Store(source)
}

// promoted takes how the takeover went.
func (n *Node) promoted(rec records.Takeover) {
	if rec.Warm {
		n.standby.follower.MarkPromoted(fmt.Sprintf("decides after %d ms", rec.DecidedMs))
	}
	n.standby.mu.Lock()
	defer n.standby.mu.Unlock()
	n.standby.tookMs = rec.DecidedMs
}

// endStandby ends a term's part.
func (n *Node) endStandby() {
	if !n.cfg.WarmStandby {
		return
	}
	n.standby.source.Store(nil)
	n.standby.follower.Discard("this node's term is over")
	n.standby.mu.Lock()
	defer n.standby.mu.Unlock()
	n.standby.chosen, n.standby.reported = "", ""
}

// chooseStandby names the node that is to follow this leader: one that is reached, reads
// the state service and is as well placed to lead as any. It stays the same while that
// holds.
func (n *Node) chooseStandby() string {
	if n.standby.source.Load() == nil {
		return ""
	}
	var fit []string
	for _, p := range n.peers {
		if last, ok := p.LastPing(n.cfg.LeaderLeaseTTL()); ok && last.Serving && last.CanFollow {
			fit = append(fit, p.Label)
		}
	}
	n.standby.mu.Lock()
	defer n.standby.mu.Unlock()
	best := ""
	if len(fit) > 0 {
		best = slices.MinFunc(fit, func(a, b string) int {
			return cmp.Or(cmp.Compare(n.successorDelay(a), n.successorDelay(b)), strings.Compare(a, b))
		})
	}
	if !slices.Contains(fit, n.standby.chosen) || n.successorDelay(best) < n.successorDelay(n.standby.chosen) {
		if n.standby.chosen != best {
			slog.Info("standby chosen", "from", n.standby.chosen, "to", best)
		}
		n.standby.chosen = best
	}
	return n.standby.chosen
}

// followLeader pulls the leader's state while it wants this node to.
func (n *Node) followLeader(ctx context.Context) {
	if !n.cfg.WarmStandby {
		return
	}
	for ctx.Err() == nil {
		time.Sleep(n.cfg.Grid().Next(time.Now(), n.cfg.LeaderLeaseTTL()/4))
		if n.lead.Load() != nil {
			continue
		}
		leader, term, announced := n.standbyOf()
		n.standby.mu.Lock()
		if leader != "" {
			n.standby.reported = announced
		}
		n.standby.mu.Unlock()
		switch {
		case leader == "":
			n.standby.follower.MarkLeaderUnreachable()
		case announced == n.cfg.Label:
			n.standby.follower.Pull(leader, term)
		case announced != "":
			n.standby.follower.Discard("another node follows the leader")
		}
	}
}

// standbyOf is the leader, its term and the node that it wants to follow it.
func (n *Node) standbyOf() (leader string, term uint64, standby string) {
	p := n.leader()
	if p == nil {
		return "", 0, ""
	}
	last, ok := p.LastPing(n.cfg.LeaderLeaseTTL())
	if !ok || !last.Leading {
		return "", 0, ""
	}
	return p.Label, last.Term, last.Standby
}

// otherStandsBy reports whether a peer that is reached follows the leader and this node
// does not: it is the better successor.
func (n *Node) otherStandsBy() bool {
	if !n.cfg.WarmStandby || n.standby.follower.HasCopy() {
		return false
	}
	n.standby.mu.Lock()
	announced := n.standby.reported
	n.standby.mu.Unlock()
	return slices.ContainsFunc(n.peers, func(p *peer.Peer) bool {
		last, ok := p.LastPing(n.cfg.LeaderLeaseTTL())
		return ok && p.Label == announced && last.Serving && last.CanFollow
	})
}

// standbyStatus tells how the node follows, or what it offers as the leader.
func (n *Node) standbyStatus() *wire.StandbyStatus {
	f := n.standby.follower.Status()
	st := &wire.StandbyStatus{State: f.State.String(), Cause: f.Cause, Leader: f.Leader, Term: f.Term, Sequence: f.Sequence, Position: f.Position,
		LagS: f.Lag.Seconds(), Entries: f.Entries, Bytes: f.Bytes, Moved: f.ReceivedBytes, Refused: f.Refused}
	if source := n.standby.source.Load(); source != nil {
		s := source.Status()
		st.Sequence, st.Position, st.Entries, st.Bytes, st.Moved = s.Sequence, s.Position, s.Entries, s.Bytes, s.SentBytes
		st.LagS = 0
		n.standby.mu.Lock()
		st.Standby = n.standby.chosen
		n.standby.mu.Unlock()
	}
	return st
}

// writeStandbyMetrics writes the metrics that are made on demand.
func (n *Node) writeStandbyMetrics(out io.Writer) {
	if !n.cfg.WarmStandby {
		return
	}
	for cause, count := range n.standby.follower.Status().Refused {
		metrics.WriteCounterUint64(out, fmt.Sprintf(`lotusstile_standby_refused_total{cause=%q}`, cause), count)
	}
}
