package node

import (
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// controllerPeers implements controller.Peers from the answers of peers to pings.
type controllerPeers struct{ *leadership }

// RenewedHosts lists the machines whose leases peers renew on the leader's behalf.
func (p controllerPeers) RenewedHosts() []string {
	var hosts []string
	for _, other := range p.peers {
		if last, ok := other.LastPing(p.cfg.LeaderLeaseTTL()); ok {
			hosts = append(hosts, last.RenewedHosts...)
		}
	}
	return hosts
}

// ReachableZones lists the zones of the reachable controllers, including this node's own zone. A zone is listed
// once per controller.
func (p controllerPeers) ReachableZones() []string {
	zones := []string{p.cfg.Location}
	for _, other := range p.peers {
		if _, ok := other.LastPing(p.cfg.LeaderLeaseTTL()); ok {
			zones = append(zones, other.Location)
		}
	}
	return zones
}

// RelayReachable reports whether the follower with this label, which relays heartbeats, answers pings.
func (p controllerPeers) RelayReachable(label string) bool {
	return p.isReachable(label, p.cfg.LeaderLeaseTTL())
}

// termObserver implements controller.Observer: it passes the events of a term to the parts of the node.
type termObserver struct{ node *Node }

// TokenObserved reports a worker's newer fencing token to the elector.
func (o termObserver) TokenObserved(token uint64) {
	o.node.metrics.newerTokens.Inc()
	o.node.elector.ObserveToken(token)
}

// CycleFinished records how long a scheduling cycle took.
func (o termObserver) CycleFinished(took time.Duration) { o.node.metrics.observeCycle(took) }

// JobFinished records a job's final status, which has been committed.
func (o termObserver) JobFinished(uid string, status wire.JobStatus) {
	o.node.statuses.RecordFinal(uid, status)
}

// FailoverFinished records how long the failover to this node took, if the warm standby is enabled.
func (o termObserver) FailoverFinished(report records.Failover) {
	if o.node.standby.enabled() {
		o.node.standby.recordFailover(report)
	}
}
