package node

import (
	"sync/atomic"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/controller"
	"lotusstile.dev/lotusstile/internal/election"
	"lotusstile.dev/lotusstile/internal/peer"
)

// leadership tells which node leads: this node, or a peer that answers pings. It is safe for concurrent
// use once New has returned.
type leadership struct {
	cfg           *config.Config
	elector       *election.Elector
	peers         []*peer.Peer
	ownController atomic.Pointer[controller.Controller] // of the term that this node leads; nil while it follows
}

// controller returns the controller of the term that this node leads, or nil.
func (l *leadership) controller() *controller.Controller { return l.ownController.Load() }

// leader returns the peer that leads, or nil. The elector must name that peer, and the peer itself must have
// confirmed, in its answer to a ping sent within three quarters of a leader lease, that it leads the
// elector's term or a newer one.
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

// peer returns the peer with the given label, or nil if there is none.
func (l *leadership) peer(label string) *peer.Peer {
	for _, p := range l.peers {
		if p.Label == label {
			return p
		}
	}
	return nil
}

// isReachable reports whether the peer with the given label has answered a ping that was sent at most maxAge
// ago. It is false for a label that no peer has, such as this node's own.
func (l *leadership) isReachable(label string, maxAge time.Duration) bool {
	p := l.peer(label)
	if p == nil {
		return false
	}
	_, answered := p.LastPing(maxAge)
	return answered
}

// leaderProgress returns the progress of the term that this node leads. It does not change while there is none.
func (l *leadership) leaderProgress() uint64 {
	if c := l.controller(); c != nil {
		return c.Progress()
	}
	return 0
}

// minHealthyPeers is the number of healthy peers with which a leader whose work has stalled gives up its term: one to
// lead, and one to renew the workers' leases if the new leader stalls for the same cause.
const minHealthyPeers = 2

// othersCanTakeOver reports whether enough peers are healthy for this node to give up a stalled term.
func (l *leadership) othersCanTakeOver() bool {
	healthy := 0
	for _, p := range l.peers {
		if last, ok := p.LastPing(l.cfg.LeaderLeaseTTL()); ok && last.Serving && !last.Stalled {
			healthy++
		}
	}
	return healthy >= minHealthyPeers
}
