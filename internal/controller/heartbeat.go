package controller

import (
	"context"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// HeartbeatOptions says how a heartbeat has arrived and how it may be answered.
type HeartbeatOptions struct {
	// Relayed is true if another controller has forwarded this single heartbeat.
	Relayed bool
	// Via is the label of the follower that keeps the worker and relays its heartbeats in
	// batches; "" if there is none.
	Via string
	// MayWait lets an answer without commands wait for commands. The worker lease runs from when
	// the heartbeat was sent, so the wait does not lengthen it.
	MayWait bool
}

// Heartbeat applies a worker's heartbeat and returns the commands that answer it. It locks the
// controller itself and may wait up to half of a heartbeat interval; ctx ends the wait, after which
// the answer has no commands. ok is false if the heartbeat shows that this term is over. Until the
// state is loaded, and to a heartbeat that is no newer than the last one, the answer has no
// commands.
//
// With MayWait, an answer to a ready machine that has no commands waits for some: launches and
// stops then travel at once instead of with the next heartbeat. While the cancellation data is too
// old for launches the answer does not wait: no launch can come up, and the wait only delays the
// next heartbeat. When a leader that was cut off with its zone had to stop answering, its workers'
// leases were half of an interval older than a follower's, and of some 700 machines 170 to 220
// lost them just before the cut ended.
func (c *Controller) Heartbeat(ctx context.Context, h *wire.Heartbeat, opts HeartbeatOptions) (answer wire.Commands, ok bool) {
	if h.FencingToken > c.term {
		c.Observer.TermObserved(h.FencingToken)
		c.stepDown("a worker has seen a higher fencing token")
		return wire.Commands{}, false
	}
	answer = wire.Commands{FencingToken: c.term, Commands: []wire.Command{}}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded {
		return answer, true
	}
	now := c.now()
	m, fresh := c.applyHeartbeat(h, opts, now)
	if !fresh {
		return answer, true
	}
	answer.Commands = c.fleet.Commands(m, now, c.mayLaunch())
	if len(answer.Commands) > 0 || !opts.MayWait || m.State != fleet.Ready || !c.mayLaunch() {
		return answer, true
	}
	c.waitForCommands(ctx, m)
	// Only the answer to the newest heartbeat may carry commands: the worker drops this answer if
	// it has sent another heartbeat meanwhile.
	if m.Incarnation == h.Incarnation && m.Sequence == h.Sequence && ctx.Err() == nil {
		answer.Commands = c.fleet.Commands(m, c.now(), c.mayLaunch())
	}
	return answer, true
}

// applyHeartbeat applies a heartbeat to its machine; fresh is false if it changes nothing. c.mu
// is held.
func (c *Controller) applyHeartbeat(h *wire.Heartbeat, opts HeartbeatOptions, now time.Time) (m *fleet.Machine, fresh bool) {
	before := c.fleet.Get(h.Host)
	wasDirect := before != nil && before.Incarnation != 0 && before.RelayedBy == ""
	m, fresh = c.fleet.ApplyHeartbeat(h, now)
	if !fresh {
		return m, false
	}
	c.setCapacity(m)
	m.RelayedBy = opts.Via
	if opts.Relayed || wasDirect && opts.Via != "" {
		// It may not reach this node any more: its heartbeat was forwarded singly, or a follower
		// keeps it although it came here directly before.
		m.LastRelayedHeartbeat = now
	}
	return m, true
}

// waitForCommands waits until there is a command for a machine, half of a heartbeat interval passes
// or ctx ends. c.mu is held by the caller and released during the wait. The waits of many machines
// end at the same moments, on the grid of periodic work: when each had a wake-up of its own, they
// took an eighth of a leader's processor time.
func (c *Controller) waitForCommands(ctx context.Context, m *fleet.Machine) {
	wake := make(chan struct{})
	c.waitingAnswers[m.ID] = wake
	c.mu.Unlock()
	timer := time.NewTimer(c.Config.TimerGrid().UntilLastWithin(time.Now(), c.Config.HeartbeatInterval()/2))
	select {
	case <-wake:
	case <-timer.C:
	case <-ctx.Done():
	}
	timer.Stop()
	c.mu.Lock()
	if c.waitingAnswers[m.ID] == wake {
		delete(c.waitingAnswers, m.ID)
	}
}

// mayLaunch reports whether launches may be sent: the cancellation data is younger than the TTL of
// the leader lease. If an outage begins between the commit of a launch and its answer, another
// node may have confirmed a cancellation of the job meanwhile: the launch waits until this node
// would know of that.
func (c *Controller) mayLaunch() bool {
	return c.now().Sub(c.JobCache.FreshAsOf()) < c.Config.LeaderLeaseTTL()
}

// endAnswerWait ends the wait of the answer to a machine's heartbeat, if there is one. c.mu is held.
func (c *Controller) endAnswerWait(m *fleet.Machine) {
	if wake := c.waitingAnswers[m.ID]; wake != nil {
		delete(c.waitingAnswers, m.ID)
		close(wake)
	}
}
