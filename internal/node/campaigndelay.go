package node

import (
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/peer"
)

// The best leader is a node after whose failure the workers find another controller within their lease. Which
// node that is depends on the zones, which do not change, and on the nodes that are unreachable at the moment.
// Workers try the controllers in a fixed order. If the one after the leader is unreachable, a short pause of
// the leader is enough to end worker leases: with that controller unreachable for over a minute, the leases
// of all 112 machines ended when the leader paused for 5 s.

// transferAfterLeases is the minimum time, in worker leases, for which this node must have led and a peer with
// a shorter campaign delay must have been serving before leadership is transferred.
const transferAfterLeases = 3

// campaignPolicy computes how long nodes should wait before they campaign in an election, and decides when the
// leader should transfer leadership.
type campaignPolicy struct {
	*leadership
	// isRelaying reports whether this node leads and wants followers to relay heartbeats.
	isRelaying func() bool
}

// isUnreachable reports whether a peer has not answered any ping sent within maxAge. It is false for
// this node.
func (c *campaignPolicy) isUnreachable(label string, maxAge time.Duration) bool {
	return c.peer(label) != nil && !c.isReachable(label, maxAge)
}

// delaySteps returns how long a node should wait before it campaigns, in steps of the elector's campaign
// delay (election.Options.CampaignDelaySteps): 0 for the node that is best placed to lead.
func (c *campaignPolicy) delaySteps(label string, unreachable func(label string) bool) int {
	return c.cfg.CampaignDelaySteps(label) + c.cfg.UnreachableSuccessors(label, unreachable)
}

// ownDelaySteps returns this node's campaign delay while there is no leader.
func (c *campaignPolicy) ownDelaySteps() int {
	return c.delaySteps(c.cfg.Label, func(label string) bool { return c.isUnreachable(label, c.cfg.LeaderLeaseTTL()) })
}

// successorDelaySteps returns the campaign delay that another node will have once this node, the current leader,
// is unreachable.
func (c *campaignPolicy) successorDelaySteps(label string) int {
	return c.delaySteps(label, func(other string) bool {
		return other == c.cfg.Label || c.isUnreachable(other, c.cfg.LeaderLeaseTTL())
	})
}

// shouldTransfer reports whether this node leads and should transfer leadership to a peer that has a shorter
// campaign delay and has been serving for long enough. Unreachable nodes add to the delays only after a
// worker lease without an answered ping, so that a restart does not count, and only while all workers
// send their heartbeats to the leader.
func (c *campaignPolicy) shouldTransfer() bool {
	own := c.controller()
	minServing := transferAfterLeases * c.cfg.WorkerLease()
	if own == nil || time.Since(own.StartedAt()) < minServing {
		return false
	}
	unreachable := func(label string) bool { return !c.isRelaying() && c.isUnreachable(label, c.cfg.WorkerLease()) }
	delay := c.delaySteps(c.cfg.Label, unreachable)
	return slices.ContainsFunc(c.peers, func(p *peer.Peer) bool {
		return p.ServingFor() > minServing && c.delaySteps(p.Label, unreachable) < delay
	})
}
