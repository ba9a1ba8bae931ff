// Package workerlease decides whether the answer to a worker's heartbeat may renew the worker's lease. No other code
// makes that decision. docs/safety.md ("Withdrawn work: cancellations") argues why the rule suffices.
package workerlease

import (
	"errors"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// ErrStale means that no lease may be renewed now because this node's knowledge of cancelled jobs is too old. Its
// text is part of the answer to the worker.
var ErrStale = errors.New("what is known of cancellations is too old to renew a lease on")

// CancelledJobs is a node's knowledge of cancelled jobs. Implementations must be safe for concurrent use.
type CancelledJobs interface {
	// FreshAsOf returns the time up to which this node knows every cancellation; zero before the first read.
	FreshAsOf() time.Time
	// Cancelled returns which of the jobs are cancelled, and what FreshAsOf returns at the same moment.
	Cancelled(uids []string) (cancelled map[string]bool, freshAsOf time.Time)
}

// Renewer decides whether worker leases may be renewed. It is safe for concurrent use.
type Renewer struct {
	jobs   CancelledJobs
	maxAge time.Duration
}

// NewRenewer returns a Renewer that renews leases while the node's knowledge of cancelled jobs is at most maxAge old.
// maxAge is cancel_s minus a worker lease and a margin (config.MaxCancellationAge).
func NewRenewer(jobs CancelledJobs, maxAge time.Duration) *Renewer {
	return &Renewer{jobs: jobs, maxAge: maxAge}
}

// CheckFresh returns ErrStale if no lease may be renewed now. Callers use it to refuse a heartbeat early. Its success
// does not permit an answer: only Renew does.
func (r *Renewer) CheckFresh() error { return r.check(r.jobs.FreshAsOf()) }

// check returns ErrStale if freshAsOf is too long ago to renew a lease. freshAsOf is the time up to which the node
// knows every cancellation; it may know none of the later ones.
func (r *Renewer) check(freshAsOf time.Time) error {
	if time.Since(freshAsOf) > r.maxAge {
		return ErrStale
	}
	return nil
}

// Renew decides whether an answer may renew the worker's lease, and makes the answer stop cancelled work. It must be
// called for every answer that renews a lease, whichever node and path the answer comes from.
//
// Renew returns ErrStale if the lease may not be renewed. Otherwise it adds stop commands for tasks of cancelled jobs
// to the answer, and removes their launches.
//
// This is why cancelled work ends within cancel_s. If this node knows of a cancellation, this answer stops the task.
// Otherwise the cancellation was committed after the last read of the cancellations. That read is recent enough: even if
// the job was cancelled right after the read, the lease that this answer renews expires, and with it the task ends,
// within cancel_s of the cancellation. The lease counts from when the worker sent the heartbeat, which was before this
// call, so it does not matter how long the answer takes to arrive.
func (r *Renewer) Renew(heartbeat *wire.Heartbeat, answer *wire.Commands) error {
	// One call returns the set and its time. With two calls, a cancellation that was applied between them would be
	// missing from the set, while the time would say that it is known.
	cancelled, freshAsOf := r.jobs.Cancelled(concernedJobs(heartbeat, answer))
	if err := r.check(freshAsOf); err != nil {
		return err
	}
	if len(cancelled) > 0 {
		stopCancelled(heartbeat, answer, cancelled)
	}
	return nil
}

// concernedJobs returns the jobs of the reported tasks that have not ended, and of the tasks that the answer launches.
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

// stopCancelled makes the answer stop every reported task of a cancelled job that has not ended, without a grace
// period, and removes the launches of such jobs from the answer.
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
