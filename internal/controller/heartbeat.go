package controller

import (
	"context"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// HeartbeatOptions says how a heartbeat has come and how it may be answered.
type HeartbeatOptions struct {
	// Relayed: another controller passes the heartbeat on by itself.
	Relayed bool
	// Via is the label of the follower that keeps the worker and relays its heartbeats in
	// batches; "" if there is none.
	Via string
	// MayWait: an answer without commands may wait for some to come up. The worker lease runs
	// from when the heartbeat was sent, so the wait costs it nothing.
	MayWait bool
}

// Heartbeat applies a worker's heartbeat and returns the commands that answer it. ok is false if
// the heartbeat shows that this term is over. An answer to a ready machine that has no commands
// waits for some a part of a heartbeat's interval: launches and stops then travel at once instead
// of with the next heartbeat. While the state store is not read no launch can come up, and an
// answer that waits only makes the next heartbeat come later: when a leader that was cut off with
// its zone had to stop answering, its workers' leases were half of an interval older than a
// follower's, and of some 700 machines 170 to 220 lost them just before the cut ended.
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
	// Commands answer the newest heartbeat only: the worker drops this answer if it has sent
	// another one.
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
		m.LastRelayedHeartbeat = now // it came here by itself before, and may not reach this node any more
	}
	return m, true
}

// waitForCommands waits until a command comes up for a machine, half of a heartbeat's interval
// passes or ctx ends. It gives c.mu up meanwhile. The waits of many machines end together, on
// the grid of periodic work: each with a wake-up of its own, they took an eighth of a leader's
// processor time.
func (c *Controller) waitForCommands(ctx context.Context, m *fleet.Machine) {
	wake := make(chan struct{})
	c.waitingAnswers[m.ID] = wake
	c.mu.Unlock()
	timer := time.NewTimer(c.Config.Grid().Within(time.Now(), c.Config.HeartbeatInterval()/2))
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

// mayLaunch reports whether launches may be sent. In an outage that begins between the commit of
// a launch and its answer, another node may have confirmed that the job is cancelled: the launch
// waits until that would be known.
func (c *Controller) mayLaunch() bool {
	return c.now().Sub(c.JobCache.Fresh()) < c.Config.LeaderLeaseTTL()
}

// endAnswerWait lets the answer to a machine go that waits for commands, if there is one.
func (c *Controller) endAnswerWait(m *fleet.Machine) {
	if wake := c.waitingAnswers[m.ID]; wake != nil {
		delete(c.waitingAnswers, m.ID)
		close(wake)
	}
}
