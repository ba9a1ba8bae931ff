package controller

import (
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/wire"
)

// This file tells users' polls how many tasks of a job are done and run. Only heartbeats of this term show which
// attempts run: what they have not shown is not counted as zero, but reported as not known.

// reportDelay is how long a heartbeat may take until it is applied.
const reportDelay = time.Second

// CountsChanges are the changes of the jobs' task counts after a revision.
type CountsChanges struct {
	// Views are the counts that have changed, and the final statuses that were added. All final statuses are committed.
	Views []wire.JobView
	// Starting and Unconfirmed are the jobs whose counts have changed and are peer.CountsStarting or
	// peer.CountsUnconfirmed.
	Starting, Unconfirmed []string
	Revision              uint64 // to ask from next; 0 until the state is loaded
	More                  bool   // there are more changes than one reply carries; these are the oldest
}

// CountsSince returns the changes of the task counts after a revision.
func (c *Controller) CountsSince(revision uint64) CountsChanges {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded {
		return CountsChanges{}
	}
	jobs, upTo, more := c.jobs.changedSince(revision)
	changes := CountsChanges{Views: make([]wire.JobView, 0, len(jobs)), Revision: upTo, More: more}
	now := c.now()
	for _, j := range jobs {
		switch counts := c.taskCounts(j, now); counts.Knowledge {
		case peer.CountsKnown:
			changes.Views = append(changes.Views, wire.JobView{UID: j.uid, Done: counts.Done, Running: counts.Running})
		case peer.CountsStarting:
			changes.Starting = append(changes.Starting, j.uid)
		default:
			changes.Unconfirmed = append(changes.Unconfirmed, j.uid)
		}
	}
	changes.Views = append(changes.Views, c.jobs.finalStatusViews(revision, upTo)...)
	return changes
}

// Counts returns the task counts of a job. Its starting attempts count as not running if the heartbeats of their
// machines are recent.
func (c *Controller) Counts(uid string) peer.TaskCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs.get(uid)
	if j == nil || !c.loaded {
		return peer.TaskCounts{}
	}
	now := c.now()
	counts := c.taskCounts(j, now)
	if counts.Knowledge != peer.CountsStarting {
		return counts
	}
	return c.startingCounts(j, now)
}

// taskCounts returns the task counts of a job as far as heartbeats show them. One running task is enough to know the
// job's status: Running then counts the tasks that are known to run. c.mu is held.
func (c *Controller) taskCounts(j *job, now time.Time) peer.TaskCounts {
	running, starting, unconfirmed := 0, 0, 0
	j.eachAttempt(func(a *fleet.Attempt) {
		switch a.Activity() {
		case fleet.Active:
			running++
		case fleet.Starting:
			starting++
		case fleet.Unconfirmed:
			if !c.tasksHaveEnded(a.Machine, now) {
				unconfirmed++
			}
		}
	})
	switch {
	case running > 0:
	case unconfirmed > 0:
		return peer.TaskCounts{Knowledge: peer.CountsUnconfirmed}
	case starting > 0:
		return peer.TaskCounts{Knowledge: peer.CountsStarting}
	}
	return peer.TaskCounts{Done: j.doneTasks, Running: running, Knowledge: peer.CountsKnown}
}

// startingCounts returns the task counts of a job that has starting attempts and none that is known to run. A worker
// reports a start within half a second if it has a connection, and sends a heartbeat in any two intervals: on a machine
// that has been silent for longer, a starting attempt may have begun to run. So it may if only one heartbeat has come
// after such a silence, since that one may have been held up: a relayed heartbeat came 6 s late and showed an attempt as
// fetching that had long been running. c.mu is held.
func (c *Controller) startingCounts(j *job, now time.Time) peer.TaskCounts {
	silenceLimit := max(wire.MaxStatusLag-reportDelay, 2*c.Config.HeartbeatInterval())
	unconfirmed := false
	j.eachAttempt(func(a *fleet.Attempt) {
		silence := max(a.Machine.SinceReport(now), a.Machine.ReportGap())
		isStale := a.Activity() == fleet.Starting && silence > silenceLimit
		unconfirmed = unconfirmed || isStale && !c.tasksHaveEnded(a.Machine, now)
	})
	if unconfirmed {
		return peer.TaskCounts{Knowledge: peer.CountsUnconfirmed}
	}
	return peer.TaskCounts{Done: j.doneTasks, Knowledge: peer.CountsKnown}
}

// tasksHaveEnded reports whether the worker lease of a machine has run out, whichever node renewed it last, so that the
// machine runs none of its tasks. That is good enough for a status, but no proof that an attempt is off its machine:
// see docs/safety.md. c.mu is held.
func (c *Controller) tasksHaveEnded(m *fleet.Machine, now time.Time) bool {
	return now.Sub(m.LastHeartbeat) > c.Config.CancelTimeout()
}

// reviseUnconfirmedCounts makes followers ask again about the jobs with unconfirmed attempts, whose counts become known
// with time: see taskCounts. It does so once every heartbeat interval while there are such jobs. c.mu is held.
func (c *Controller) reviseUnconfirmedCounts(now time.Time) {
	if c.countsRevisionDue.IsZero() || now.Before(c.countsRevisionDue) {
		return
	}
	c.countsRevisionDue = now.Add(c.Config.HeartbeatInterval())
	found := false
	for _, j := range c.jobs.byUID {
		hasUnconfirmed := false
		j.eachAttempt(func(a *fleet.Attempt) {
			hasUnconfirmed = hasUnconfirmed || a.Activity() == fleet.Unconfirmed
		})
		if hasUnconfirmed {
			found = true
			c.jobs.markCountsChanged(j)
		}
	}
	if !found {
		c.countsRevisionDue = time.Time{}
	}
}
