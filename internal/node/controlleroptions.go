package node

import (
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// controllerPeers is the controller.Peers of a node.
type controllerPeers struct{ *leadership }

// RenewedHosts lists the machines whose leases peers renew on the leader's behalf.
func (p controllerPeers) RenewedHosts() []string {
	var hosts []string
	for _, other := range p.peers {
		if r, ok := other.LastPing(p.cfg.LeaderLeaseTTL()); ok {
			hosts = append(hosts, r.RenewedHosts...)
		}
	}
	return hosts
}

// ReachableZones lists the zones of the controllers that answer, this one's own included.
func (p controllerPeers) ReachableZones() []string {
	zones := []string{p.cfg.Location}
	for _, other := range p.peers {
		if _, ok := other.LastPing(p.cfg.LeaderLeaseTTL()); ok {
			zones = append(zones, other.Location)
		}
	}
	return zones
}

// RelayReachable reports whether a follower that relays heartbeats answers pings.
func (p controllerPeers) RelayReachable(label string) bool {
	return p.isReached(label, p.cfg.LeaderLeaseTTL())
}

// termObserver is the controller.Observer of a node.
type termObserver struct{ node *Node }

// TermObserved tells the elector of another leader's term.
func (o termObserver) TermObserved(term uint64) { o.node.elector.ObserveTerm(term, "") }

// CycleFinished records how long a scheduling cycle took.
func (o termObserver) CycleFinished(took time.Duration) { o.node.metrics.observeCycle(took) }

// JobFinished records a final status that has been committed.
func (o termObserver) JobFinished(uid string, status wire.JobStatus) {
	o.node.statuses.RecordFinal(uid, status)
}

// FailoverFinished records how the failover to this node went.
func (o termObserver) FailoverFinished(report records.Failover) {
	if o.node.standby.enabled() {
		o.node.standby.recordFailover(report)
	}
}
