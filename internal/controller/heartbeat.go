package controller

import (
	"context"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// HeartbeatOptions says how a report has come and how it may be answered.
type HeartbeatOptions struct {
	// Relayed: another controller passes the report on.
	Relayed bool
	// Via is the follower that keeps the worker and relays its reports in batches; ""
	// if there is none.
	Via string
	// MayWait: an answer without commands may wait for some to come up. The lease
	// runs from when the report was sent, so the wait costs it nothing.
	MayWait bool
}

// Heartbeat answers a worker's report. ok is false if the report shows that this
// term is over. An answer to a ready machine that has no commands waits for some a
// part of a report's interval: launches and stops then travel at once instead of with
// the next report. While the state service is not read no launch can come up, and an answer
// that waits only makes the next report come later: when a leader that was cut off with its
// zone had to stop answering, its workers' leases were half of an interval older than a
// follower's, and of some 700 machines 170 to 220 lost them just before the cut ended.
func (c *Controller) Heartbeat(ctx context.Context, r *wire.Heartbeat, opts HeartbeatOptions) (o wire.Commands, ok bool) {
	if r.FencingToken > c.term {
		c.Observer.TermObserved(r.FencingToken)
		c.stepDown("a worker has seen a higher token")
		return wire.Commands{}, false
	}
	o = wire.Commands{FencingToken: c.term, Commands: []wire.Command{}}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded {
		return o, true
	}
	now := c.now()
	before := c.fleet.Get(r.Host)
	wasDirect := before != nil && before.Incarnation != 0 && before.RelayedBy == ""
	m, fresh := c.fleet.ApplyHeartbeat(r, now)
	if !fresh {
		return o, true
	}
	c.setCapacity(m)
	m.RelayedBy = opts.Via
	if opts.Relayed || wasDirect && opts.Via != "" {
		m.LastRelayedHeartbeat = now // it reported here, and may not reach this node any more
	}
	o.Commands = c.fleet.Commands(m, now, c.mayLaunch())
	if len(o.Commands) > 0 || !opts.MayWait || m.State != fleet.Ready || !c.mayLaunch() {
		return o, true
	}
	c.waitForCommands(ctx, m)
	// Commands answer the newest report only: the worker drops this answer if it
	// has sent another one.
	if m.Incarnation == r.Incarnation && m.Sequence == r.Sequence && ctx.Err() == nil {
		o.Commands = c.fleet.Commands(m, c.now(), c.mayLaunch())
	}
	return o, true
}

// waitForCommands waits until a command comes up for a machine, half of a report's
// interval passes or ctx ends. It gives c.mu up meanwhile. The waits of many machines
// end together, on the grid of periodic work: each with a wake-up of its own, they
// took an eighth of a leader's processor time.
func (c *Controller) waitForCommands(ctx context.Context, m *fleet.Machine) {
	wake := make(chan struct{})
	c.waitingAnswers[m.ID] = wake
	c.mu.Unlock()
	t := time.NewTimer(c.Config.Grid().Within(time.Now(), c.Config.HeartbeatInterval()/2))
	select {
	case <-wake:
	case <-t.C:
	case <-ctx.Done():
	}
	t.Stop()
	c.mu.Lock()
	if c.waitingAnswers[m.ID] == wake {
		delete(c.waitingAnswers, m.ID)
	}
}

// mayLaunch reports whether launches may be given. In an outage that begins
// between the commit of a launch and its answer, another node may have confirmed
// that the job is cancelled: the launch waits until that would be known.
func (c *Controller) mayLaunch() bool {
	return c.now().Sub(c.JobCache.Fresh()) < c.Config.LeaderLeaseTTL()
}

// endAnswerWait lets an answer to a machine go that waits for commands.
func (c *Controller) endAnswerWait(m *fleet.Machine) {
	if wake := c.waitingAnswers[m.ID]; wake != nil {
		delete(c.waitingAnswers, m.ID)
		close(wake)
	}
}
