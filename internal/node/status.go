package node

import (
	"time"

	"lotusstile.dev/lotusstile/internal/controller"
	"lotusstile.dev/lotusstile/internal/election"
	"lotusstile.dev/lotusstile/wire"
)

// Status returns the status of this node and, if the leader is reachable, of the whole service.
func (n *Node) Status() wire.Status {
	view := n.elector.View()
	status := wire.Status{
		Node:               n.cfg.Label,
		State:              n.elector.State().String(),
		Leader:             view.Leader,
		Term:               view.Term,
		SinceLastExecutedS: min(n.store.SinceLastExecuted(), time.Hour).Seconds(),
	}
	if c := n.controller(); c != nil {
		status.Lead = n.leaderStatus(c)
	} else if p := n.leader(); p != nil {
		if lead, err := p.LeadStatus(); err == nil {
			status.Lead = lead
		}
	}
	if n.standby.enabled() {
		status.WarmStandby = n.standby.status()
	}
	return status
}

// LeadStatus answers a peer that asks for the leader's status. It returns nil if this node does not lead.
func (n *Node) LeadStatus() *wire.LeadStatus {
	c := n.controller()
	if c == nil || n.elector.State() == election.Following {
		return nil
	}
	return n.leaderStatus(c)
}

// leaderStatus returns the leader's status. If heartbeats can be relayed, it includes the number of workers at
// each controller.
func (n *Node) leaderStatus(c *controller.Controller) *wire.LeadStatus {
	status := c.Status()
	if router := n.relay.router.Load(); router != nil {
		status.HeartbeatRouting, status.Workers = router.Mode().String(), router.Load()
	}
	return &status
}
