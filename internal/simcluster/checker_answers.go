package simcluster

import (
	"net/http"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// FinalStatus returns the final status that a job's user was answered, "" if there was none yet.
func (c *Checker) FinalStatus(uid string) wire.JobStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.job(uid).finalStatus
}

// isAccepted reports whether a job's user was answered that it is accepted.
func (c *Checker) isAccepted(uid string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.job(uid).acceptedAt.IsZero()
}

// cancelRequested records that a job's user asks to cancel it. It must be called before the request is
// sent: the cancellation may be visible before it is answered.
func (c *Checker) cancelRequested(uid string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.job(uid).cancelRequested = true
}

// checkSubmissionStatus checks that a well-formed submission is not refused as malformed or impossible,
// which a user does not repeat.
func (c *Checker) checkSubmissionStatus(uid, node string, status int) {
	if status == http.StatusBadRequest || status == http.StatusUnprocessableEntity {
		c.report(ruleForgotten, "%s is answered %d at %s", uid, status, node)
	}
}

// checkAnswer checks an answer against all answers of any node that came before its request was sent at
// asked, and records what is new in it. It reports whether anything is.
func (c *Checker) checkAnswer(uid string, asked time.Time, status int, view wire.JobView) (isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.job(uid)
	isAccepted, isOver := !job.acceptedAt.IsZero(), job.finalStatus != ""
	switch {
	case status == http.StatusNotFound && isAccepted && job.acceptedAt.Before(asked):
		c.violated(ruleForgotten, "%s gets 404", uid)
		return false
	case status != http.StatusOK && status != http.StatusCreated:
		return false
	case !job.uploaded:
		c.violated(ruleInvented, "%s is told %s", uid, view.Status)
		return false
	}
	c.checkStatus(uid, asked, view.Status)
	c.checkNotOrphaned(uid, asked, view.Status)
	now := time.Now()
	if !isAccepted {
		job.acceptedAt = now
	}
	if view.Status.Final() && !isOver {
		job.finalStatus, job.finalAt = view.Status, now
		if view.Status == wire.JobAborted {
			job.cancelledAt = now
		}
		return true
	}
	return !isAccepted
}

// checkStatus checks the status in an answer against what the machines ran, what users cancelled and
// earlier answers. c.mu is held.
func (c *Checker) checkStatus(uid string, asked time.Time, status wire.JobStatus) {
	job := c.job(uid)
	isOver := job.finalStatus != ""
	switch {
	case isOver && job.finalAt.Before(asked) && status != job.finalStatus:
		c.violated(ruleWentBack, "%s was %s, is %s", uid, job.finalStatus, status)
	case status == wire.JobDone && len(job.completedTasks) != job.spec.TaskCount:
		c.violated(ruleNotDone, "%s is told done", uid)
	case status == wire.JobAborted && !c.isCancelRequested(uid):
		c.violated(ruleWentBack, "%s is told cancelled, but nobody cancelled it", uid)
	case isOver && status.Final() && status != job.finalStatus:
		c.violated(ruleWentBack, "%s is told %s and %s", uid, job.finalStatus, status)
	}
}

// checkDependenciesDone checks, at the start of a task, that all jobs that its job depends on are done.
// c.mu is held.
func (c *Checker) checkDependenciesDone(task string, spec *wire.JobSpec) {
	for _, uid := range spec.Dependencies {
		if needed := c.job(uid); len(needed.completedTasks) < needed.spec.TaskCount {
			c.violated(ruleTooEarly, "%s starts before %s is done", task, uid)
		}
	}
}

// eachDependency calls visit for every job that a job depends on, directly or through others, until
// visit returns false. It reports whether visit never did. c.mu is held.
func (c *Checker) eachDependency(uid string, visit func(uid string) bool) bool {
	for _, needed := range c.job(uid).spec.Dependencies {
		if !visit(needed) || !c.eachDependency(needed, visit) {
			return false
		}
	}
	return true
}

// isCancelRequested reports whether a user has asked to cancel a job or one that it depends on. c.mu is
// held.
func (c *Checker) isCancelRequested(uid string) bool {
	return c.job(uid).cancelRequested ||
		!c.eachDependency(uid, func(needed string) bool { return !c.job(needed).cancelRequested })
}

// checkNotOrphaned checks that a job whose status is not final depends on no job that was answered to be
// cancelled longer than cancel_s before the request was sent. c.mu is held.
func (c *Checker) checkNotOrphaned(uid string, asked time.Time, status wire.JobStatus) {
	if status.Final() {
		return
	}
	c.eachDependency(uid, func(needed string) bool {
		job := c.job(needed)
		if !c.isOverCancelTime(job, asked) {
			return true
		}
		c.violated(ruleOrphaned, "%s is called %s, %.1f s after %s was called cancelled",
			uid, status, asked.Sub(job.cancelledAt).Seconds(), needed)
		return false
	})
}
