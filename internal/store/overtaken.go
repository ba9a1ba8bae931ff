package store

import (
	"context"
	"sync"
	"time"
)

const (
	// minCommitWaitDivisor: a commit waits for its answer for at least the request timeout divided by
	// this before it may count as overtaken.
	minCommitWaitDivisor = 5
	// overtakeMarginDivisor: a request overtakes a commit only if it started later by more than that
	// minimum wait divided by this. A request that started at about the same time as the commit may
	// have been executed before the fault that delays the commit's answer.
	overtakeMarginDivisor = 2
	// overtakeCheckDivisor: after the minimum wait, the commit is checked at intervals of the minimum
	// wait divided by this.
	overtakeCheckDivisor = 4
)

// cancelWhenOvertaken returns a context for a commit that is sent now. The context ends when the commit
// is overtaken: the commit has no answer after its minimum wait, although the store has executed a
// request that started well after it. The store has then lost or delayed the answer, and waiting
// longer would only delay the callers that need the outcome. While no other request is answered
// either, for instance on a slow node or link, a missing answer proves nothing, and giving up would
// only add requests.
//
// The caller must call the returned function when the commit has ended, to stop the checks.
func (c *Client) cancelWhenOvertaken(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	minWait := c.timeout / minCommitWaitDivisor
	// overtakenAfter is a time since c.created, as lastExecuted is.
	overtakenAfter := time.Since(c.created) + minWait/overtakeMarginDivisor
	var mu sync.Mutex // guards timer: check may run before timer is set
	var timer *time.Timer
	check := func() {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case time.Duration(c.lastExecuted.Load()) > overtakenAfter:
			cancel()
		case ctx.Err() == nil:
			timer.Reset(minWait / overtakeCheckDivisor)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(minWait, check)
	return ctx, func() {
		cancel() // before timer.Stop, so that a check that is running now does not reset the timer
		mu.Lock()
		defer mu.Unlock()
		timer.Stop()
	}
}
