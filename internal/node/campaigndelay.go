package node

import (
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/peer"
)

// The node that should lead is one whose workers find another controller in time if it fails. That
// depends on the zones, which do not change, and on which nodes are unreachable, which does. While a
// controller had been unreachable for over a minute, the leader before it in the workers' order
// paused for 5 s: its workers tried the unreachable one next, and the leases of all 112 machines ended.

// transferLeases is the number of worker leases that a leader must have led, and a peer with a
// shorter campaign delay must have been serving, before the leadership is transferred.
const transferLeases = 3

// campaign computes how long nodes should wait before they campaign in an election.
type campaign struct {
	*leadership
	// isRelaying reports whether this node leads and wants followers to relay heartbeats.
	isRelaying func() bool
}

// isUnreachable reports whether a peer has not answered a ping for patience. It is false for this
// node.
func (c *campaign) isUnreachable(label string, patience time.Duration) bool {
	return c.peer(label) != nil && !c.isReached(label, patience)
}

// delayOf returns how long a node should wait before it campaigns, in the elector's
// CampaignDelaySteps: 0 for the node that is placed best to lead.
func (c *campaign) delayOf(label string, unreachable func(label string) bool) int {
	return c.cfg.CampaignDelaySteps(label) + c.cfg.UnreachableSuccessors(label, unreachable)
}

// ownDelay is this node's campaign delay when nobody leads.
func (c *campaign) ownDelay() int {
	return c.delayOf(c.cfg.Label, func(label string) bool { return c.isUnreachable(label, c.cfg.LeaderLeaseTTL()) })
}

// successorDelay is a node's campaign delay once this one, which leads, is unreachable.
func (c *campaign) successorDelay(label string) int {
	return c.delayOf(label, func(other string) bool {
		return other == c.cfg.Label || c.isUnreachable(other, c.cfg.LeaderLeaseTTL())
	})
}

// shouldTransfer reports whether a peer with a shorter campaign delay has been serving for so long
// that a change of leader is worth it. An unreachable node counts only after a worker lease, so that
// a restart does not, and only while all workers send their heartbeats to the leader.
func (c *campaign) shouldTransfer() bool {
	own := c.controller()
	enough := transferLeases * c.cfg.WorkerLease()
	if own == nil || time.Since(own.StartedAt()) < enough {
		return false
	}
	unreachable := func(label string) bool { return !c.isRelaying() && c.isUnreachable(label, c.cfg.WorkerLease()) }
	delay := c.delayOf(c.cfg.Label, unreachable)
	return slices.ContainsFunc(c.peers, func(p *peer.Peer) bool {
		return p.ServingFor() > enough && c.delayOf(p.Label, unreachable) < delay
	})
}
