package controller

import (
	"context"
	"time"

	"lotusstile.dev/lotusstile/internal/timeralign"
)

// progressChecksPerTTL is how many times the progress is checked in the time to live of the leader's lease.
const progressChecksPerTTL = 4

// Progress returns a number that grows as long as the term goes forward: heartbeats, job events and commits get the
// locks that they need, and scheduling cycles run when they are due. While the state store is unreachable the term
// still makes progress, since it can do nothing better than wait.
func (c *Controller) Progress() uint64 { return c.progress.Load() }

// monitorProgress updates Progress until ctx ends.
func (c *Controller) monitorProgress(ctx context.Context) {
	for timeralign.Sleep(ctx, c.untilNext(c.Config.LeaderLeaseTTL()/progressChecksPerTTL)) {
		c.JobCache.Len() // waits for the lock that job events hold
		if !c.isCycleOverdue() {
			c.progress.Add(1)
		}
	}
}

// isCycleOverdue reports whether the next scheduling cycle should have begun a leader lease ago. No cycle is due before
// the state is loaded.
func (c *Controller) isCycleOverdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.cycleDue.IsZero() && c.now().After(c.cycleDue.Add(c.Config.LeaderLeaseTTL()))
}

// expectCycle records that the next scheduling cycle is due after an interval.
func (c *Controller) expectCycle(interval time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cycleDue = c.now().Add(interval)
}
