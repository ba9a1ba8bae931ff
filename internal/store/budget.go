package store

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"lotusstile.dev/lotusstile/internal/aimd"
	"lotusstile.dev/lotusstile/wire"
)

// RecordWriteShare is the share of the store's write limit that the leader may use for records.
const RecordWriteShare = 0.6

// Shares that each node may use. They are not divided by the number of nodes, so that one node can use
// over half of the store's limits. When many users send requests at once, several nodes together may
// therefore exceed the limits. No part of the limits is reserved for records then: the store refuses
// every request above its limits (ErrThrottled), whichever node sent it.
const (
	// RequestShare is the share of the store's request limit.
	RequestShare = 0.6
	// userWriteShare is the share of the store's write limit for changes that users ask for.
	userWriteShare = 0.6
)

// Shares of the store's request limit that all nodes together may use for users' reads. Their sum and
// the leader's RequestShare stay below the limit. In the past, each node could use up to RequestShare
// for users alone. When users then sent eight times as many requests, the leader's lease was not
// renewed, a new leader could not read the records for 12 s, and users got 503.
const (
	sharedReadShare = 0.15
	lookupShare     = 0.2
)

// maxRetryAfterTimeouts bounds how far in the future nextRetryAt may be, in request timeouts from now.
const maxRetryAfterTimeouts = 5

// Limits are the rate limits of the state store, which all nodes share.
type Limits struct {
	RequestsPerSecond float64
	WritesPerSecond   float64 // changes in commits; a commit may have several
	Nodes             int     // number of nodes that share the limits
}

// budget holds one node's share of the store's limits, with one limiter per kind of request.
type budget struct {
	requests     *rate.Limiter
	recordWrites *rate.Limiter // recordsLane and backgroundLane
	userWrites   *rate.Limiter // userLane, which never waits
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

// SharedReadLimiter returns the limiter of the reads that answer many users at once.
func (c *Client) SharedReadLimiter() *aimd.Limiter { return c.budget.sharedReads }

// LookupLimiter returns the limiter of the reads of single records that answer a user.
func (c *Client) LookupLimiter() *aimd.Limiter { return c.budget.lookups }

// waitForRequestBudget waits until the budget of ctx's lane allows one request. Its error wraps
// ErrRefused, and in lookupLane also an *aimd.BusyError or the error of ctx.
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

// cutReadBudgets cuts the budgets of users' reads after the store has refused a request, whose body is
// given, because it receives too many. Users' reads are cut first, whichever request was refused, so
// that the leader can renew its lease: a leader whose lease is not renewed is of no use to anyone. A
// commit that changes something cuts no budget: it may have exceeded the write limit, to which reads do
// not count.
func (c *Client) cutReadBudgets(body any) {
	if tx, ok := body.(wire.Transaction); ok && len(tx.Changes) > 0 {
		return
	}
	now := time.Now()
	c.budget.sharedReads.OnThrottled(now)
	c.budget.lookups.OnThrottled(now)
}

// growReadBudget lets the budget of ctx's lane grow back after the store has executed a request. In
// lanes other than those of users' reads it does nothing.
func (c *Client) growReadBudget(ctx context.Context) {
	switch laneOf(ctx) {
	case sharedReadLane:
		c.budget.sharedReads.OnAnswered(time.Now())
	case lookupLane:
		c.budget.lookups.OnAnswered(time.Now())
	}
}

// reserveWrites takes tokens for a number of changes from the write budget of ctx's lane. In
// recordsLane it waits for them, up to the client's timeout; in the other lanes it never waits. Its
// error is a *BusyError (userLane) or wraps ErrRefused.
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
	// Take the tokens for all changes at once. If a commit took them in parts and timed out waiting
	// for a later part, the tokens taken before would be wasted, and so they would be at each retry.
	if err := c.budget.recordWrites.WaitN(waitCtx, min(changes, c.budget.recordWrites.Burst())); err != nil {
		return fmt.Errorf("%w: over this node's write budget: %w", ErrRefused, err)
	}
	return nil
}

// reserveUserWrites takes tokens for a user's changes, or returns a *BusyError at once. It leaves part
// of the burst to users of higher priority; see WithUserLane.
func (c *Client) reserveUserWrites(ctx context.Context, changes int) error {
	now := time.Now()
	limiter := c.budget.userWrites
	reservedShare, _ := ctx.Value(reservedShareKey{}).(float64)
	missingTokens := float64(changes) + reservedShare*float64(limiter.Burst()) - limiter.TokensAt(now)
	if missingTokens <= 0 && limiter.AllowN(now, changes) {
		return nil
	}
	wait := time.Duration(max(missingTokens, 0) / float64(limiter.Limit()) * float64(time.Second))
	return &BusyError{RetryAfter: c.nextRetryAfter(now, wait)}
}

// reserveBackgroundWrites takes tokens for changes if that leaves half of the burst to records.
// Otherwise it returns an error that wraps ErrRefused.
func (c *Client) reserveBackgroundWrites(changes int) error {
	now := time.Now()
	limiter := c.budget.recordWrites
	burst := limiter.Burst()
	changes = min(changes, max(1, burst/2))
	if limiter.TokensAt(now) < float64(changes+burst/2) || !limiter.AllowN(now, changes) {
		return fmt.Errorf("%w: the rest of the write budget is reserved for records", ErrRefused)
	}
	return nil
}

// nextRetryAfter returns how long a refused user should wait before trying again; at least wait. Each
// user gets a later time than the previous one, at the rate of the user write budget, so that they do
// not all try again at once. maxRetryAfterTimeouts bounds how far in the future the next user's time is.
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
