package controller

import (
	"context"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// CheckInOptions says how a report has come and how it may be answered.
type CheckInOptions struct {
	// Relayed: another controller passes the report on.
	Relayed bool
	// MayWait: an answer without commands may wait for some to come up. The lease
	// runs from when the report was sent, so the wait costs it nothing.
	MayWait bool
}

// CheckIn answers a worker's report. ok is false if the report shows that this
// term is over. Where commands are likely to come up, an answer that has none waits
// for them a part of a report's interval: they then travel at once instead of with
// the next report.
func (c *Controller) CheckIn(ctx context.Context, r *wire.Report, opts CheckInOptions) (o wire.Orders, ok bool) {
	if r.Baton > c.term {
		c.Saw(r.Baton)
		c.depose("a worker has seen a higher token")
		return wire.Orders{}, false
	}
	o = wire.Orders{Baton: c.term, Orders: []wire.Order{}}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded {
		return o, true
	}
	now := c.now()
	m, fresh := c.fleet.Report(r, now)
	if !fresh {
		return o, true
	}
	c.capacity(m)
	if opts.Relayed {
		m.Relayed = now
	}
	o.Orders = c.fleet.Orders(m, now, c.mayLaunch())
	if len(o.Orders) > 0 || !opts.MayWait || !c.expectsCommands(m, now) {
		return o, true
	}
	c.waitForCommands(ctx, m)
	// Commands answer the newest report only: the worker drops this answer if it
	// has sent another one.
	if m.Shift == r.Shift && m.Tick == r.Tick && ctx.Err() == nil {
		o.Orders = c.fleet.Orders(m, c.now(), c.mayLaunch())
	}
	return o, true
}

// expectsCommands reports whether a launch is likely to come up for a machine
// soon: one is being recorded, or there is room for a task. Answers to all other
// machines go out at once. Each that waits costs a timer, two wake-ups and a system
// call more; when all waited, that was an eighth of a leader's processor time.
func (c *Controller) expectsCommands(m *fleet.Machine, now time.Time) bool {
	if m.State != fleet.Ready {
		return false
	}
	return m.Launching() || m.Takes(now) && m.Free().Holds(c.leastNeed)
}

// waitForCommands waits until a command comes up for a machine, half of a report's
// interval passes or ctx ends. It gives c.mu up meanwhile.
func (c *Controller) waitForCommands(ctx context.Context, m *fleet.Machine) {
	wake := make(chan struct{})
	c.waitingAnswers[m.ID] = wake
	c.mu.Unlock()
	t := time.NewTimer(c.Config.Grid().Within(time.Now(), c.Config.ReportEvery()/2))
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
	return c.now().Sub(c.Mirror.Fresh()) < c.Config.HoldTTL()
}

// answerNow lets an answer to a machine go that waits for commands.
func (c *Controller) answerNow(m *fleet.Machine) {
	if wake := c.waitingAnswers[m.ID]; wake != nil {
		delete(c.waitingAnswers, m.ID)
		close(wake)
	}
}
