// Package workerlease holds the one rule that decides whether the answer to a worker's
// heartbeat may renew the worker's lease. docs/safety.md ("Withdrawn work: cancellations")
// argues why it suffices.
package workerlease

import (
	"errors"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// ErrStale means that no lease may be renewed now: what this node knows of cancelled
// jobs is too old. Its text is part of the answer to the worker.
var ErrStale = errors.New("what is known of cancellations is too old to renew a lease on")

// CancelledJobs is what a node knows of cancelled jobs. It must be safe for concurrent use.
type CancelledJobs interface {
	// FreshAsOf is the time up to which every cancellation is known; zero before the first read.
	FreshAsOf() time.Time
	// Cancelled returns which of the jobs are cancelled, and FreshAsOf of the same moment.
	Cancelled(uids []string) (cancelled map[string]bool, freshAsOf time.Time)
}

// Renewer decides whether worker leases may be renewed. It is safe for concurrent use.
type Renewer struct {
	jobs   CancelledJobs
	maxAge time.Duration
}

// NewRenewer returns the rule of a node whose knowledge of cancelled jobs may be at most maxAge
// old: cancel_s less a worker lease and a margin (config.MaxCancellationAge).
func NewRenewer(jobs CancelledJobs, maxAge time.Duration) *Renewer {
	return &Renewer{jobs: jobs, maxAge: maxAge}
}

// CheckFresh returns ErrStale if no lease may be renewed now. Callers use it to refuse a
// heartbeat early; only Renew permits an answer.
func (r *Renewer) CheckFresh() error { return r.check(r.jobs.FreshAsOf()) }

// check returns ErrStale if a node that knows every cancellation up to freshAsOf, and perhaps
// none after it, must not renew a lease.
func (r *Renewer) check(freshAsOf time.Time) error {
	if time.Since(freshAsOf) > r.maxAge {
		return ErrStale
	}
	return nil
}

// Renew must be called for every answer that renews a lease, whichever node and path the
// answer comes from: this is the one place that permits it and that stops cancelled work.
// A cancellation is either known here, and then this answer stops the task, or it was
// committed after the last read of the cancellations, and then that read is recent enough
// that the task ends with its lease within cancel_s. The lease counts from when the worker
// sent the heartbeat, which was before this call: how long the answer takes from here on
// does not matter.
//
// It returns ErrStale if the lease may not be renewed. Otherwise it adds the stops to
// the answer, and removes launches of cancelled work from it.
func (r *Renewer) Renew(heartbeat *wire.Heartbeat, answer *wire.Commands) error {
	// One call returns both: a cancellation that was applied between two calls would be
	// missing from the set although the time read after it covers it.
	cancelled, freshAsOf := r.jobs.Cancelled(concernedJobs(heartbeat, answer))
	if err := r.check(freshAsOf); err != nil {
		return err
	}
	if len(cancelled) > 0 {
		stopCancelled(heartbeat, answer, cancelled)
	}
	return nil
}

// concernedJobs lists the jobs whose tasks the heartbeat reports as not ended or the answer
// launches.
func concernedJobs(heartbeat *wire.Heartbeat, answer *wire.Commands) []string {
	uids := make([]string, 0, len(heartbeat.Tasks)+len(answer.Commands))
	for _, task := range heartbeat.Tasks {
		if uid, _, ok := wire.SplitTaskName(task.Task); ok && task.Status != wire.TaskEnded {
			uids = append(uids, uid)
		}
	}
	for _, command := range answer.Commands {
		if uid, _, ok := wire.SplitTaskName(command.Task); ok && command.Verb == wire.Launch {
			uids = append(uids, uid)
		}
	}
	return uids
}

// stopCancelled makes the answer stop every reported task of a cancelled job, without a
// grace period, and launch none.
func stopCancelled(heartbeat *wire.Heartbeat, answer *wire.Commands, cancelled map[string]bool) {
	isCancelled := func(task string) bool {
		uid, _, _ := wire.SplitTaskName(task)
		return cancelled[uid]
	}
	stops := map[wire.Command]bool{}
	for _, task := range heartbeat.Tasks {
		if task.Status != wire.TaskEnded && isCancelled(task.Task) {
			stops[wire.Command{Verb: wire.Stop, Task: task.Task, Attempt: task.Attempt}] = true
		}
	}
	answer.Commands = slices.DeleteFunc(answer.Commands, func(command wire.Command) bool {
		command.GracePeriodS = 0
		return command.Verb == wire.Launch && isCancelled(command.Task) || stops[command]
	})
	for command := range stops {
		answer.Commands = append(answer.Commands, command)
	}
}
