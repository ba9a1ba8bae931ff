package node

import (
	"sync/atomic"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/controller"
	"lotusstile.dev/lotusstile/internal/election"
	"lotusstile.dev/lotusstile/internal/peer"
)

// leadership is who leads: this node, or a peer that answers pings.
type leadership struct {
	cfg     *config.Config
	elector *election.Elector
	peers   []*peer.Peer
	own     atomic.Pointer[controller.Controller] // of the term that this node leads; nil while it follows
}

// controller returns the controller of the term that this node leads, or nil.
func (l *leadership) controller() *controller.Controller { return l.own.Load() }

// leader returns the peer that leads, if it answers pings, or nil.
func (l *leadership) leader() *peer.Peer {
	v := l.elector.View()
	for _, p := range l.peers {
		if p.Label != v.Leader {
			continue
		}
		if r, ok := p.LastPing(l.cfg.LeaderLeaseTTL() * 3 / 4); ok && r.Leading && r.Term >= v.Term {
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

// isReached reports whether a peer has answered a ping within a time. It is false for
// labels that are no peer's.
func (l *leadership) isReached(label string, within time.Duration) bool {
	p := l.peer(label)
	if p == nil {
		return false
	}
	_, reached := p.LastPing(within)
	return reached
}
