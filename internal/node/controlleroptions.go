package node

import (
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// controllerPeers is the controller.Peers of a node.
type controllerPeers struct{ node *Node }

// RenewedHosts implements controller.Peers.
func (p controllerPeers) RenewedHosts() []string { return p.node.renewedByPeers() }

// ReachedZones implements controller.Peers.
func (p controllerPeers) ReachedZones() []string { return p.node.reached() }

// RelayReached implements controller.Peers.
func (p controllerPeers) RelayReached(label string) bool { return p.node.relayReached(label) }

// termObserver is the controller.Observer of a node.
type termObserver struct{ node *Node }

// TermObserved implements controller.Observer.
func (o termObserver) TermObserved(term uint64) { o.node.elector.ObserveTerm(term, "") }

// CycleFinished implements controller.Observer.
func (o termObserver) CycleFinished(took time.Duration) { o.node.rounded(took) }

// JobFinished implements controller.Observer.
func (o termObserver) JobFinished(uid string, status wire.JobStatus) { o.node.finals.put(uid, status) }

// FailoverFinished implements controller.Observer. Only a node that may have followed the leader
// before keeps how long it took.
func (o termObserver) FailoverFinished(report records.Takeover) {
	if o.node.cfg.WarmStandby {
		o.node.promoted(report)
	}
}
