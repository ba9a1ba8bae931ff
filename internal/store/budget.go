package store

import (
	"context"
	"fmt"
	"time"
)

// lane says how a request is fitted into the node's share of the limits.
type lane int

const (
	records lane = iota // waits its turn
	urgent              // never waits: the leader's hold depends on it
	user                // is refused at once if there is no room now
	note                // only takes what records leave
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
