package store

import (
	"context"
	"sync"
	"time"
)

const (
	// overtakenPatienceDivisor of the request time-out is the patience with a commit: how long it
	// waits for its answer at least before it counts as overtaken.
	overtakenPatienceDivisor = 5
	// overtakenLeadDivisor of the patience is by how much a request must have begun later than the
	// commit to overtake it: one that began at about the same time may have been executed before
	// the commit's trouble began.
	overtakenLeadDivisor = 2
	// overtakenCheckDivisor of the patience is the interval of the checks once it has passed.
	overtakenCheckDivisor = 4
)

// withOvertakenCancel returns a context for a commit that is sent now. The context ends when the
// commit is overtaken: it has no answer after its patience, and the store has executed a request
// that was begun well after it. The commit's answer is then lost or delayed by the store, and to
// wait longer would only delay what waits for its outcome. While nothing else is answered either,
// as on a slow node or link, a missing answer proves nothing: to give up would only add requests.
//
// The caller calls the returned function when the commit has ended; it stops the checks.
func (c *Client) withOvertakenCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	patience := c.timeout / overtakenPatienceDivisor
	// overtakenAfter is compared with lastExecuted, so it counts from created too.
	overtakenAfter := time.Since(c.created) + patience/overtakenLeadDivisor
	var mu sync.Mutex // guards timer, also while it is first set
	var timer *time.Timer
	check := func() {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case time.Duration(c.lastExecuted.Load()) > overtakenAfter:
			cancel()
		case ctx.Err() == nil:
			timer.Reset(patience / overtakenCheckDivisor)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(patience, check)
	return ctx, func() {
		cancel() // first: a check that runs now starts no other
		mu.Lock()
		defer mu.Unlock()
		timer.Stop()
	}
}
