package simcluster

import (
	"net/http"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// FinalStatus returns the final status that a job's user was told, or "" if there was none yet.
func (c *Checker) FinalStatus(uid string) wire.JobStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.job(uid).finalStatus
}

// isAccepted reports whether a job's user was told that it is accepted.
func (c *Checker) isAccepted(uid string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.job(uid).acceptedAt.IsZero()
}

// recordCancelRequest records that a job's user asks to cancel it. It must be called before the request is
// sent, because the cancellation may be visible before the request is answered.
func (c *Checker) recordCancelRequest(uid string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.job(uid).cancelRequested = true
}

// checkSubmissionStatus checks that a valid submission is not refused as malformed or as impossible to run:
// users do not repeat a submission after such an answer.
func (c *Checker) checkSubmissionStatus(uid, node string, status int) {
	if status == http.StatusBadRequest || status == http.StatusUnprocessableEntity {
		c.report(ruleForgotten, "the submission of %s is answered with status %d by %s", uid, status, node)
	}
}

// checkAnswer checks the answer to a request that was sent at sentAt against all answers that any node gave
// before that time, and records what is new in it. It reports whether anything is new.
func (c *Checker) checkAnswer(uid string, sentAt time.Time, status int, view wire.JobView) (isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.job(uid)
	isAccepted, isOver := !job.acceptedAt.IsZero(), job.finalStatus != ""
	switch {
	case status == http.StatusNotFound && isAccepted && job.acceptedAt.Before(sentAt):
		c.reportLocked(ruleForgotten, "%s is answered with 404 after its acceptance", uid)
		return false
	case status != http.StatusOK && status != http.StatusCreated:
		return false
	case !job.hasSpec:
		c.reportLocked(ruleInvented, "%s is reported %s, but nobody submitted it", uid, view.Status)
		return false
	}
	c.checkStatus(uid, sentAt, view.Status)
	c.checkNotFinalStatus(uid, sentAt, view.Status)
	c.checkNotOrphaned(uid, sentAt, view.Status)
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

// checkStatus checks the status in an answer against the tasks that completed on machines, what users
// cancelled and earlier answers. c.mu is held.
func (c *Checker) checkStatus(uid string, sentAt time.Time, status wire.JobStatus) {
	job := c.job(uid)
	isOver := job.finalStatus != ""
	switch {
	case isOver && job.finalAt.Before(sentAt) && status != job.finalStatus:
		c.reportLocked(ruleWentBack, "%s was reported %s, then %s", uid, job.finalStatus, status)
	case status == wire.JobDone && len(job.completedTasks) != job.spec.TaskCount:
		c.reportLocked(ruleNotDone, "%s is reported done before all its tasks have completed", uid)
	case status == wire.JobAborted && !c.isCancelRequested(uid):
		c.reportLocked(ruleWentBack, "%s is reported cancelled, but nobody cancelled it", uid)
	case isOver && status.Final() && status != job.finalStatus:
		c.reportLocked(ruleWentBack, "%s is reported both %s and %s", uid, job.finalStatus, status)
	}
}

// maxStatusUnknown is how long a node may answer that it does not know the status of a job. After that, the attempts on
// record count as running: see docs/safety.md, "What users are told".
const maxStatusUnknown = wire.MaxUnanswered * 3 / 5

// checkNotFinalStatus checks the statuses "queued" and "running" against the tasks on machines. The state may lag by
// wire.MaxStatusLag, counted from when the task was reported: a heartbeat may be held up on its way, and "the task list
// has the age of the report" then. A suspended machine runs no task. c.mu is held.
func (c *Checker) checkNotFinalStatus(uid string, sentAt time.Time, status wire.JobStatus) {
	job := c.job(uid)
	switch status {
	case wire.JobQueued:
		if task := c.onMachines.reportedBefore(uid, sentAt.Add(-wire.MaxStatusLag), c.isSuspended); task != "" {
			c.reportLocked(ruleWrongStatus, "%s is reported queued, but %s runs and was reported at %.1f s", uid, task,
				c.onMachines.reportedAt[task].Sub(c.createdAt).Seconds())
		}
	case wire.JobRunning:
		if job.firstStart.IsZero() && !job.isPlacedFor(maxStatusUnknown) {
			c.reportLocked(ruleWrongStatus, "%s is reported running before any of its tasks has started", uid)
		}
	}
}

// isPlacedFor reports whether a placement record of the job has listed attempts that may run for at least d.
func (j *jobHistory) isPlacedFor(d time.Duration) bool {
	for _, since := range j.placedSince {
		if time.Since(since) >= d {
			return true
		}
	}
	return false
}

// recordSuspension records that a machine is suspended until the given time.
func (c *Checker) recordSuspension(host string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspendedUntil[host] = until
}

// isSuspended reports whether a machine is suspended. It stays so until its first heartbeat has arrived. c.mu is held.
func (c *Checker) isSuspended(host string) bool {
	return time.Since(c.suspendedUntil[host]) < wire.MaxStatusLag
}

// checkDependenciesDone checks, at the start of a task, that all jobs that its job depends on are done.
// c.mu is held.
func (c *Checker) checkDependenciesDone(task string, spec *wire.JobSpec) {
	for _, uid := range spec.Dependencies {
		if dependency := c.job(uid); len(dependency.completedTasks) < dependency.spec.TaskCount {
			c.reportLocked(ruleTooEarly, "%s starts before %s is done", task, uid)
		}
	}
}

// eachDependency calls visit for every direct or transitive dependency of a job until visit returns false.
// It returns false if visit did. c.mu is held.
func (c *Checker) eachDependency(uid string, visit func(uid string) bool) bool {
	for _, dependency := range c.job(uid).spec.Dependencies {
		if !visit(dependency) || !c.eachDependency(dependency, visit) {
			return false
		}
	}
	return true
}

// isCancelRequested reports whether a user has asked to cancel a job or one of its dependencies. c.mu is
// held.
func (c *Checker) isCancelRequested(uid string) bool {
	return c.job(uid).cancelRequested ||
		!c.eachDependency(uid, func(dependency string) bool { return !c.job(dependency).cancelRequested })
}

// checkNotOrphaned checks a job whose status is not final: none of its dependencies may have been reported cancelled
// more than cancel_s before the request was sent. c.mu is held.
func (c *Checker) checkNotOrphaned(uid string, sentAt time.Time, status wire.JobStatus) {
	if status.Final() {
		return
	}
	c.eachDependency(uid, func(dependency string) bool {
		job := c.job(dependency)
		if !c.isPastCancelDeadline(job, sentAt) {
			return true
		}
		c.reportLocked(ruleOrphaned, "%s is reported %s %.1f s after %s was reported cancelled",
			uid, status, sentAt.Sub(job.cancelledAt).Seconds(), dependency)
		return false
	})
}
