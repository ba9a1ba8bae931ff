package controller

import (
	"context"
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// HeartbeatOptions describe how a heartbeat has arrived and how it may be answered.
type HeartbeatOptions struct {
	// RelayedSingly is true if another controller has relayed this heartbeat singly, not in a batch.
	RelayedSingly bool
	// RelayedBy is the label of the follower that receives the worker's heartbeats and relays them in batches; "" if there is
	// none.
	RelayedBy string
	// MayWait lets an answer without commands wait for commands. The worker lease runs from the time when the heartbeat
	// was sent, so the wait does not extend the lease.
	MayWait bool
}

// Heartbeat applies a worker's heartbeat and returns the commands for the worker. It locks the controller itself and
// may wait up to half of a heartbeat interval; if ctx ends the wait, the answer has no commands. ok is false if the
// worker has seen a newer fencing token. The answer also has no commands while the state is not loaded, and if the
// heartbeat is no newer than the last one.
//
// With MayWait, an answer that has no commands for a ready machine waits for some, so that launches and stops are sent
// at once instead of with the next heartbeat. The answer does not wait while the cancellation data is too old to
// send launches (see mayLaunch): the wait would only delay the next heartbeat. Without this exception, when the leader
// had to stop answering because its zone was partitioned, the leases of its workers were half of an interval older than
// those of a follower's workers: 170 to 220 of some 700 machines lost their leases just before the partition ended.
func (c *Controller) Heartbeat(ctx context.Context, h *wire.Heartbeat, opts HeartbeatOptions) (answer wire.Commands, ok bool) {
	if h.FencingToken > c.term {
		// The worker would drop any answer of this term. Its heartbeat is not applied, so it proves nothing.
		slog.Debug("a worker presents a newer fencing token", "host", h.Host, "token", h.FencingToken, "term", c.term)
		c.Observer.TokenObserved(h.FencingToken)
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
	// Only the answer to the newest heartbeat may carry commands: the worker ignores this answer if it has sent another
	// heartbeat meanwhile.
	if m.Incarnation == h.Incarnation && m.Sequence == h.Sequence && ctx.Err() == nil {
		answer.Commands = c.fleet.Commands(m, c.now(), c.mayLaunch())
	}
	return answer, true
}

// applyHeartbeat applies a heartbeat to its machine; fresh is false if the heartbeat changes nothing. c.mu is held.
func (c *Controller) applyHeartbeat(h *wire.Heartbeat, opts HeartbeatOptions, now time.Time) (m *fleet.Machine, fresh bool) {
	before := c.fleet.Get(h.Host)
	wasDirect := before != nil && before.Incarnation != 0 && before.RelayedBy == ""
	m, fresh = c.fleet.ApplyHeartbeat(h, now)
	if !fresh {
		return m, false
	}
	c.setCapacity(m)
	m.RelayedBy = opts.RelayedBy
	if opts.RelayedSingly || wasDirect && opts.RelayedBy != "" {
		// The worker may no longer reach this node: its heartbeat was relayed singly, or a follower now relays the
		// heartbeats that came here directly before.
		m.LastRelayedHeartbeat = now
	}
	return m, true
}

// waitForCommands waits until there is a command for a machine, half of a heartbeat interval has passed, or ctx ends.
// c.mu is held by the caller and released during the wait. The waits end on the timer grid, so that those of many
// machines end at the same moments: a separate wake-up for each wait took an eighth of a leader's processor time.
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

// mayLaunch reports whether launches may be sent: the cancellation data must be younger than the TTL of the leader
// lease. If the state store becomes unreachable between the commit of a launch and the answer that carries it, another
// node may have confirmed a cancellation of the job meanwhile, so the launch is not sent until this
// node can read the cancellation.
func (c *Controller) mayLaunch() bool {
	return c.now().Sub(c.JobCache.FreshAsOf()) < c.Config.LeaderLeaseTTL()
}

// endAnswerWait ends the wait if a heartbeat answer to a machine is waiting for commands. c.mu is held.
func (c *Controller) endAnswerWait(m *fleet.Machine) {
	if wake := c.waitingAnswers[m.ID]; wake != nil {
		delete(c.waitingAnswers, m.ID)
		close(wake)
	}
}
