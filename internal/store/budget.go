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
	records    lane = iota // waits its turn
	urgent                 // never waits: the leader's hold depends on it
	user                   // is refused at once if there is no room now
	note                   // only takes what records leave
	lookup                 // a single record that a user asks about: it has a budget of its own
	sharedRead             // a read for many users at once, which whoever sends it has paced
)

type laneKey struct{}

// leaveKey holds the part of a budget's burst that a commit leaves to others.
type leaveKey struct{}

// Urgent marks requests that must not queue behind others of this node for its
// share of the rate.
func Urgent(ctx context.Context) context.Context { return context.WithValue(ctx, laneKey{}, urgent) }

// User marks what a user asks for. A commit that has no room in the budget is
// refused at once with a BusyError: the user is told when to come back. leave is
// the part of the budget's burst that it leaves to those of higher rank.
func User(ctx context.Context, leave float64) context.Context {
	return context.WithValue(context.WithValue(ctx, laneKey{}, user), leaveKey{}, leave)
}

// Note marks commits that are useful, but that nothing waits for. They are
// refused while less than half of the budget's burst is left for records.
func Note(ctx context.Context) context.Context { return context.WithValue(ctx, laneKey{}, note) }

// Lookup marks reads of single records that answer a user's question. They are refused with an
// *aimd.BusyError if their own budget has no room in time.
func Lookup(ctx context.Context) context.Context { return context.WithValue(ctx, laneKey{}, lookup) }

// SharedRead marks reads that answer many users at once. They wait for no budget: their sender
// has waited for Client.SharedReads.
func SharedRead(ctx context.Context) context.Context {
	return context.WithValue(ctx, laneKey{}, sharedRead)
}

// SharedReads paces the reads that answer many users at once.
func (c *Client) SharedReads() *aimd.Limiter { return c.shared }

// Lookups is the budget of the reads of single records that answer users.
func (c *Client) Lookups() *aimd.Limiter { return c.lookups }

// admit waits for room for one request in the budget of the context's lane.
func (c *Client) admit(ctx context.Context) error {
	switch laneOf(ctx) {
	case sharedRead:
		return nil
	case lookup:
		if err := c.lookups.Wait(ctx); err != nil {
			return fmt.Errorf("%w: %w", ErrRefused, err)
		}
		return nil
	case urgent:
		c.reqs.Allow() // counts against the budget but never waits for it
		return nil
	}
	if err := c.reqs.Wait(ctx); err != nil {
		return fmt.Errorf("%w: over this node's budget", ErrRefused)
	}
	return nil
}

// noteThrottled notes that the service refused a request since it gets too many. What users ask
// gives way first, whatever was refused: a leader whose hold is not renewed helps nobody. Only a
// commit that changes something may have been refused for its changes, of which questions make
// none.
func (c *Client) noteThrottled(body any) {
	c.throttled.Add(1)
	if tx, ok := body.(wire.Transaction); ok && len(tx.Changes) > 0 {
		return
	}
	now := time.Now()
	c.shared.Refused(now)
	c.lookups.Refused(now)
}

// noteAnswered notes that the service has carried out a request.
func (c *Client) noteAnswered(ctx context.Context) {
	switch laneOf(ctx) {
	case sharedRead:
		c.shared.Answered(time.Now())
	case lookup:
		c.lookups.Answered(time.Now())
	}
}

func laneOf(ctx context.Context) lane {
	l, _ := ctx.Value(laneKey{}).(lane)
	return l
}

// fit finds room for n changes in the budget of the context's lane.
func (c *Client) fit(ctx context.Context, n int) error {
	now := time.Now()
	switch laneOf(ctx) {
	case urgent:
		return nil
	case user:
		leave, _ := ctx.Value(leaveKey{}).(float64)
		short := float64(n) + leave*float64(c.users.Burst()) - c.users.TokensAt(now)
		if short <= 0 && c.users.AllowN(now, n) {
			return nil
		}
		wait := time.Duration(max(short, 0) / float64(c.users.Limit()) * float64(time.Second))
		return &BusyError{After: c.promise(now, wait)}
	case note:
		burst := c.writes.Burst()
		n = min(n, max(1, burst/2))
		if c.writes.TokensAt(now) < float64(n+burst/2) || !c.writes.AllowN(now, n) {
			return fmt.Errorf("%w: left for later", ErrRefused)
		}
		return nil
	}
	wctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// One wait for all: to take a part and fail on the rest would spend the
	// budget on nothing, again and again.
	if err := c.writes.WaitN(wctx, min(n, c.writes.Burst())); err != nil {
		return fmt.Errorf("%w: over this node's write budget", ErrRefused)
	}
	return nil
}

// promise tells a user that was refused when there will be room. Each gets a
// later time, so that they do not all come back at once.
func (c *Client) promise(now time.Time, wait time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := now.Add(wait)
	if c.promised.After(next) {
		next = c.promised
	}
	c.promised = next.Add(time.Duration(float64(time.Second) / float64(c.users.Limit())))
	if most := now.Add(5 * c.timeout); c.promised.After(most) {
		c.promised = most
	}
	return next.Sub(now)
}
