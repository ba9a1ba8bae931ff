package store

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"lotusstile.dev/lotusstile/internal/aimd"
	"lotusstile.dev/lotusstile/wire"
)

// RecordWriteShare is the share of the store's write limit that the leader has for records.
const RecordWriteShare = 0.6

// Shares of any single node. They are not divided by the number of nodes, so that one node can use
// over half of the store's limits. Several nodes may therefore ask for more than the store allows
// when many users come at once. No budget reserves room for records then: the store refuses what
// is above its limits (ErrThrottled), whoever sent it.
const (
	// RequestShare is the share of the store's request limit.
	RequestShare = 0.6
	// userWriteShare is the share of the store's write limit for changes that users ask for.
	userWriteShare = 0.6
)

// Shares of the store's request limit that all nodes together have for users' reads. With what the
// leader takes they stay below the limit: each node once asked up to RequestShare for users
// alone, and when they asked eight times as often the leader's lease was not renewed, a new
// leader could not read the records for 12 s, and users got 503.
const (
	sharedReadShare = 0.15
	lookupShare     = 0.2
)

// maxRetryAfterTimeouts, in request time-outs from now, bounds how far the queue of retry times
// given to refused users may reach.
const maxRetryAfterTimeouts = 5

// Limits are the rate limits of the state store, which all nodes share.
type Limits struct {
	RequestsPerSecond float64
	WritesPerSecond   float64 // changes in commits; a commit may have several
	Nodes             int     // how many nodes share the limits
}

// budget is one node's share of the store's limits, by kind of request.
type budget struct {
	requests     *rate.Limiter
	recordWrites *rate.Limiter // recordsLane and backgroundLane
	userWrites   *rate.Limiter // userLane; nobody waits for it
	sharedReads  *aimd.Limiter // sharedReadLane
	lookups      *aimd.Limiter // lookupLane
}

func newBudget(limits Limits) budget {
	limiter := func(perSecond float64) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
	nodes := float64(max(1, limits.Nodes))
	return budget{
		requests:     limiter(limits.RequestsPerSecond * RequestShare),
		recordWrites: limiter(limits.WritesPerSecond * RecordWriteShare),
		userWrites:   limiter(limits.WritesPerSecond * userWriteShare),
		sharedReads:  aimd.New(limits.RequestsPerSecond * sharedReadShare / nodes),
		lookups:      aimd.New(limits.RequestsPerSecond * lookupShare / nodes),
	}
}

// SharedReadLimiter paces the reads that answer many users at once.
func (c *Client) SharedReadLimiter() *aimd.Limiter { return c.budget.sharedReads }

// LookupLimiter paces the reads of single records that answer users.
func (c *Client) LookupLimiter() *aimd.Limiter { return c.budget.lookups }

// waitForRequestBudget waits for room for one request in the budget of the context's lane. Its
// error wraps ErrRefused, and for lookupLane *aimd.BusyError or ctx's error.
func (c *Client) waitForRequestBudget(ctx context.Context) error {
	switch laneOf(ctx) {
	case sharedReadLane:
		return nil
	case lookupLane:
		if err := c.budget.lookups.Wait(ctx); err != nil {
			return fmt.Errorf("%w: %w", ErrRefused, err)
		}
		return nil
	case urgentLane:
		c.budget.requests.Allow() // counts against the budget but never waits for it
		return nil
	}
	if err := c.budget.requests.Wait(ctx); err != nil {
		return fmt.Errorf("%w: over this node's request budget: %w", ErrRefused, err)
	}
	return nil
}

// cutReadBudgets cuts the budgets of users' reads after the store has refused a request with body
// because it gets too many. They give way first, whatever was refused: a leader whose lease is not
// renewed helps nobody. A commit that changes something cuts no budget, since it may have been
// refused for exceeding the write limit, on which reads do not count.
func (c *Client) cutReadBudgets(body any) {
	if tx, ok := body.(wire.Transaction); ok && len(tx.Changes) > 0 {
		return
	}
	now := time.Now()
	c.budget.sharedReads.OnThrottled(now)
	c.budget.lookups.OnThrottled(now)
}

// growReadBudget lets the budget of ctx's lane grow back after the store has executed a request,
// if that is a budget of users' reads.
func (c *Client) growReadBudget(ctx context.Context) {
	switch laneOf(ctx) {
	case sharedReadLane:
		c.budget.sharedReads.OnAnswered(time.Now())
	case lookupLane:
		c.budget.lookups.OnAnswered(time.Now())
	}
}

// reserveWrites takes room for a number of changes from the write budget of the context's lane.
// recordsLane waits for it, up to the client's timeout; the other lanes never wait. Its error is
// a *BusyError (userLane) or wraps ErrRefused.
func (c *Client) reserveWrites(ctx context.Context, changes int) error {
	switch laneOf(ctx) {
	case urgentLane:
		return nil
	case userLane:
		return c.reserveUserWrites(ctx, changes)
	case backgroundLane:
		return c.reserveBackgroundWrites(changes)
	}
	waitCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// One wait for all changes: a commit that took its room in parts and failed on a later part
	// would spend the budget on nothing, again and again.
	if err := c.budget.recordWrites.WaitN(waitCtx, min(changes, c.budget.recordWrites.Burst())); err != nil {
		return fmt.Errorf("%w: over this node's write budget: %w", ErrRefused, err)
	}
	return nil
}

// reserveUserWrites takes room for a user's changes, or returns a *BusyError at once. Part of the
// burst is left to users of higher priority; see WithUserLane.
func (c *Client) reserveUserWrites(ctx context.Context, changes int) error {
	now := time.Now()
	limiter := c.budget.userWrites
	reservedShare, _ := ctx.Value(reservedShareKey{}).(float64)
	missing := float64(changes) + reservedShare*float64(limiter.Burst()) - limiter.TokensAt(now)
	if missing <= 0 && limiter.AllowN(now, changes) {
		return nil
	}
	wait := time.Duration(max(missing, 0) / float64(limiter.Limit()) * float64(time.Second))
	return &BusyError{RetryAfter: c.nextRetryAfter(now, wait)}
}

// reserveBackgroundWrites takes room for changes if half of the burst is left to records after it.
// Its error wraps ErrRefused.
func (c *Client) reserveBackgroundWrites(changes int) error {
	now := time.Now()
	limiter := c.budget.recordWrites
	burst := limiter.Burst()
	changes = min(changes, max(1, burst/2))
	if limiter.TokensAt(now) < float64(changes+burst/2) || !limiter.AllowN(now, changes) {
		return fmt.Errorf("%w: write budget is left to records", ErrRefused)
	}
	return nil
}

// nextRetryAfter returns how long after now a refused user should come back: after wait at the
// earliest. Each user gets a later time than the one before, at the pace of the user write budget,
// so that they do not all come back at once; see maxRetryAfterTimeouts for the bound.
func (c *Client) nextRetryAfter(now time.Time, wait time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	retryAt := now.Add(wait)
	if c.nextRetryAt.After(retryAt) {
		retryAt = c.nextRetryAt
	}
	c.nextRetryAt = retryAt.Add(time.Duration(float64(time.Second) / float64(c.budget.userWrites.Limit())))
	if latest := now.Add(maxRetryAfterTimeouts * c.timeout); c.nextRetryAt.After(latest) {
		c.nextRetryAt = latest
	}
	return retryAt.Sub(now)
}
