package store

import (
	"context"
	"fmt"
	"time"

	"lotusstile.dev/lotusstile/internal/aimd"
	"lotusstile.dev/lotusstile/wire"
)

// lane says how a request is fitted into the node's share of the limits.
type lane int

const (
	recordsLane    lane = iota // waits its turn
	urgentLane                 // never waits: the leader's hold depends on it
	userLane                   // is refused at once if there is no room now
	backgroundLane             // only takes what records leave
	lookupLane                 // a single record that a user asks about: it has a budget of its own
	sharedReadLane             // a read for many users at once, which whoever sends it has paced
)

type laneKey struct{}

// reservedShareKey holds the part of a budget's burst that a commit leaves to others.
type reservedShareKey struct{}

// WithUrgentLane marks requests that must not queue behind others of this node for its
// share of the rate.
func WithUrgentLane(ctx context.Context) context.Context {
	return context.WithValue(ctx, laneKey{}, urgentLane)
}

// WithUserLane marks what a user asks for. A commit that has no room in the budget is
// refused at once with a BusyError: the user is told when to come back. leave is
// the part of the budget's burst that it leaves to those of higher rank.
func WithUserLane(ctx context.Context, leave float64) context.Context {
	return context.WithValue(context.WithValue(ctx, laneKey{}, userLane), reservedShareKey{}, leave)
}

// WithBackgroundLane marks commits that are useful, but that nothing waits for. They are
// refused while less than half of the budget's burst is left for records.
func WithBackgroundLane(ctx context.Context) context.Context {
	return context.WithValue(ctx, laneKey{}, backgroundLane)
}

// WithLookupLane marks reads of single records that answer a user's question. They are refused with an
// *aimd.BusyError if their own budget has no room in time.
func WithLookupLane(ctx context.Context) context.Context {
	return context.WithValue(ctx, laneKey{}, lookupLane)
}

// WithSharedReadLane marks reads that answer many users at once. They wait for no budget: their sender
// has waited for Client.SharedReadLimiter.
func WithSharedReadLane(ctx context.Context) context.Context {
	return context.WithValue(ctx, laneKey{}, sharedReadLane)
}

// SharedReadLimiter paces the reads that answer many users at once.
func (c *Client) SharedReadLimiter() *aimd.Limiter { return c.sharedReads }

// LookupLimiter is the budget of the reads of single records that answer users.
func (c *Client) LookupLimiter() *aimd.Limiter { return c.lookups }

// waitForRequestBudget waits for room for one request in the budget of the context's lane.
func (c *Client) waitForRequestBudget(ctx context.Context) error {
	switch laneOf(ctx) {
	case sharedReadLane:
		return nil
	case lookupLane:
		if err := c.lookups.Wait(ctx); err != nil {
			return fmt.Errorf("%w: %w", ErrRefused, err)
		}
		return nil
	case urgentLane:
		c.requestBudget.Allow() // counts against the budget but never waits for it
		return nil
	}
	if err := c.requestBudget.Wait(ctx); err != nil {
		return fmt.Errorf("%w: over this node's budget", ErrRefused)
	}
	return nil
}

// onThrottled notes that the service refused a request since it gets too many. What users ask
// gives way first, whatever was refused: a leader whose hold is not renewed helps nobody. Only a
// commit that changes something may have been refused for its changes, of which questions make
// none.
func (c *Client) onThrottled(body any) {
	c.throttledRequests.Add(1)
	if tx, ok := body.(wire.Transaction); ok && len(tx.Changes) > 0 {
		return
	}
	now := time.Now()
	c.sharedReads.OnThrottled(now)
	c.lookups.OnThrottled(now)
}

// onExecuted notes that the service has carried out a request.
func (c *Client) onExecuted(ctx context.Context) {
	switch laneOf(ctx) {
	case sharedReadLane:
		c.sharedReads.OnAnswered(time.Now())
	case lookupLane:
		c.lookups.OnAnswered(time.Now())
	}
}

func laneOf(ctx context.Context) lane {
	l, _ := ctx.Value(laneKey{}).(lane)
	return l
}

// fit finds room for n changes in the budget of the context's lane.
func (c *Client) reserveWrites(ctx context.Context, n int) error {
	now := time.Now()
	switch laneOf(ctx) {
	case urgentLane:
		return nil
	case userLane:
		leave, _ := ctx.Value(reservedShareKey{}).(float64)
		short := float64(n) + leave*float64(c.userWrites.Burst()) - c.userWrites.TokensAt(now)
		if short <= 0 && c.userWrites.AllowN(now, n) {
			return nil
		}
		wait := time.Duration(max(short, 0) / float64(c.userWrites.Limit()) * float64(time.Second))
		return &BusyError{RetryAfter: c.nextRetryAfter(now, wait)}
	case backgroundLane:
		burst := c.recordWrites.Burst()
		n = min(n, max(1, burst/2))
		if c.recordWrites.TokensAt(now) < float64(n+burst/2) || !c.recordWrites.AllowN(now, n) {
			return fmt.Errorf("%w: left for later", ErrRefused)
		}
		return nil
	}
	wctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// One wait for all: to take a part and fail on the rest would spend the
	// budget on nothing, again and again.
	if err := c.recordWrites.WaitN(wctx, min(n, c.recordWrites.Burst())); err != nil {
		return fmt.Errorf("%w: over this node's write budget", ErrRefused)
	}
	return nil
}

// nextRetryAfter tells a user that was refused when there will be room. Each gets a
// later time, so that they do not all come back at once.
func (c *Client) nextRetryAfter(now time.Time, wait time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := now.Add(wait)
	if c.nextRetryAt.After(next) {
		next = c.nextRetryAt
	}
	c.nextRetryAt = next.Add(time.Duration(float64(time.Second) / float64(c.userWrites.Limit())))
	if most := now.Add(5 * c.timeout); c.nextRetryAt.After(most) {
		c.nextRetryAt = most
	}
	return next.Sub(now)
}
