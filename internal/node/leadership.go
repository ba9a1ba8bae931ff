package node

import (
	"sync/atomic"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/controller"
	"lotusstile.dev/lotusstile/internal/election"
	"lotusstile.dev/lotusstile/internal/peer"
)

// leadership knows who leads: this node, or a peer that answers pings. It is safe for concurrent
// use once the node is made.
type leadership struct {
	cfg     *config.Config
	elector *election.Elector
	peers   []*peer.Peer
	own     atomic.Pointer[controller.Controller] // of the term that this node leads; nil while it follows
}

// controller returns the controller of the term that this node leads, or nil.
func (l *leadership) controller() *controller.Controller { return l.own.Load() }

// leader returns the peer that leads, or nil. A peer counts only while it says itself, in an answer
// to a ping within three quarters of a leader lease, that it leads a term that is not older than the
// elector's.
func (l *leadership) leader() *peer.Peer {
	view := l.elector.View()
	for _, p := range l.peers {
		if p.Label != view.Leader {
			continue
		}
		if last, ok := p.LastPing(l.cfg.LeaderLeaseTTL() * 3 / 4); ok && last.Leading && last.Term >= view.Term {
			return p
		}
	}
	return nil
}

// peer returns the peer with a label, or nil.
func (l *leadership) peer(label string) *peer.Peer {
	for _, p := range l.peers {
		if p.Label == label {
			return p
		}
	}
	return nil
}

// isReached reports whether a peer has answered a ping that was sent at most maxAge ago. It is false
// for a label that is not a peer's, such as this node's own.
func (l *leadership) isReached(label string, maxAge time.Duration) bool {
	p := l.peer(label)
	if p == nil {
		return false
	}
	_, reached := p.LastPing(maxAge)
	return reached
}
