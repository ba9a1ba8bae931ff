package node

import (
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/peer"
)

// Which node should lead: one whose workers find another controller in time if it ends. That is
// a matter of zones, which do not change, and of who is lost, which does. After a controller had
// been lost for over a minute the leader before it in the workers' order stood still for 5 s:
// its workers tried the lost one next, and the leases of all 112 machines ended.

// handoverLeases is for how many leases a leader has led, and a better one has been well, before
// it hands over.
const handoverLeases = 3

// unreachableFor reports whether a node has not answered for a time. This node is never lost.
func (n *Node) unreachableFor(label string, patience time.Duration) bool {
	for _, p := range n.peers {
		if p.Label == label {
			_, reached := p.LastPing(patience)
			return !reached
		}
	}
	return false
}

// delay says how badly a node is placed to lead now: 0 for the best.
func (n *Node) delay(label string, unreachable func(label string) bool) int {
	return n.cfg.CampaignDelay(label) + n.cfg.UnreachableSuccessors(label, unreachable)
}

// campaignDelay is this node's handicap when nobody leads.
func (n *Node) campaignDelay() int {
	return n.delay(n.cfg.Label, func(label string) bool { return n.unreachableFor(label, n.cfg.LeaderLeaseTTL()) })
}

// successorDelay is a node's handicap once this one, which leads, is lost.
func (n *Node) successorDelay(label string) int {
	return n.delay(label, func(other string) bool {
		return other == n.cfg.Label || n.unreachableFor(other, n.cfg.LeaderLeaseTTL())
	})
}

// better reports whether a peer that is better placed to lead has been well for so long that it
// is worth a change of leader. Who is lost counts once it has been for a lease, so that restarts
// do not, and only while all workers report to the leader.
func (n *Node) better() bool {
	c := n.lead.Load()
	enough := handoverLeases * n.cfg.WorkerLease()
	if c == nil || time.Since(c.StartedAt()) < enough {
		return false
	}
	unreachable := func(label string) bool { return !n.relayMode() && n.unreachableFor(label, n.cfg.WorkerLease()) }
	own := n.delay(n.cfg.Label, unreachable)
	return slices.ContainsFunc(n.peers, func(p *peer.Peer) bool {
		return p.ServingFor() > enough && n.delay(p.Label, unreachable) < own
	})
}
