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
		if r, ok := p.Last(l.cfg.LeaderLeaseTTL() * 3 / 4); ok && r.Leading && r.Term >= v.Term {
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
	_, reached := p.Last(within)
	return reached
}

// answersPings reports whether a peer has answered a ping within a leader's lease.
func (l *leadership) answersPings(label string) bool {
	return l.isReached(label, l.cfg.LeaderLeaseTTL())
}

// reachedZones lists the zones of the controllers that answer, this one's own included.
func (l *leadership) reachedZones() []string {
	zones := []string{l.cfg.Location}
	for _, p := range l.peers {
		if _, ok := p.Last(l.cfg.LeaderLeaseTTL()); ok {
			zones = append(zones, p.Location)
		}
	}
	return zones
}

// renewedByPeers lists the machines whose leases peers renew on the leader's behalf.
func (l *leadership) renewedByPeers() []string {
	var hosts []string
	for _, p := range l.peers {
		if r, ok := p.Last(l.cfg.LeaderLeaseTTL()); ok {
			hosts = append(hosts, r.RenewedHosts...)
		}
	}
	return hosts
}
