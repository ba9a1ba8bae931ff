package jobstatus

import (
	"context"
	"errors"
	"fmt"

	"lotusstile.dev/lotusstile/wire"
)

// DependencyError means that a submitted job can never run because of a job that it depends on.
type DependencyError struct {
	UID    string // of the dependency
	Reason string
}

// Error is part of the answer to the user.
func (e *DependencyError) Error() string { return fmt.Sprintf("Awaits names %s, %s", e.UID, e.Reason) }

// errDependencyNotFound means that this node finds neither a record nor a final status of a dependency
// that was accepted.
var errDependencyNotFound = errors.New("accepted dependency has neither a record nor a final status")

// InitialStatus returns the status for the record of a new job: aborted if a job that it depends on, directly
// or indirectly, is cancelled, otherwise queued. The error is a *DependencyError if the job can never
// run, or another error if this node cannot decide now.
//
// The decision is based on a read that began after the request. A dependency that is cancelled between
// that read and the commit of the record is not missed, since every later poll derives the job's status
// from the records of its dependencies again (see dependencyCancelled).
func (r *Reader) InitialStatus(ctx context.Context, spec *wire.JobSpec) (wire.JobStatus, error) {
	if len(spec.Dependencies) == 0 {
		return wire.JobQueued, nil
	}
	if err := r.linearizable.Refresh(ctx); err != nil {
		return "", err
	}
	for _, dependency := range spec.Dependencies {
		if err := r.checkDependency(ctx, spec.UID, dependency); err != nil {
			return "", err
		}
	}
	cancelled, err := r.dependencyCancelled(ctx, spec.Dependencies, map[string]bool{})
	switch {
	case err != nil:
		return "", err
	case cancelled:
		return wire.JobAborted, nil
	}
	return wire.JobQueued, nil
}

// checkDependency returns a *DependencyError if a job may not depend on the given dependency, or the
// error of a failed read.
func (r *Reader) checkDependency(ctx context.Context, uid, dependency string) error {
	if uid == dependency {
		return &DependencyError{UID: dependency, Reason: "which is the job itself"}
	}
	if entry, ok := r.jobs.Job(dependency); ok {
		if entry.Job.Spec.Kind == wire.Service {
			return &DependencyError{UID: dependency, Reason: "which is a service and never done"}
		}
		return nil
	}
	if _, ok := r.finals.get(dependency); ok {
		return nil
	}
	switch _, found, err := r.readFinal(ctx, dependency); {
	case err != nil:
		return err
	case !found:
		return &DependencyError{UID: dependency, Reason: "which was never accepted"}
	}
	return nil
}

// dependencyCancelled reports whether one of the dependencies, or a job that they depend on directly or
// indirectly, is cancelled, as of the last read of the jobs. Only the records of the dependencies count;
// the records of the jobs that wait for them may not show the cancellation yet. The dependencies of a job
// that is done are skipped, since that job can no longer be cancelled. visited holds the jobs that have
// been checked, and is extended.
func (r *Reader) dependencyCancelled(ctx context.Context, dependencies []string, visited map[string]bool) (bool, error) {
	for _, uid := range dependencies {
		if visited[uid] {
			continue
		}
		visited[uid] = true
		status, indirect, err := r.recordedStatus(ctx, uid)
		switch {
		case err != nil:
			return false, err
		case status == wire.JobAborted:
			return true, nil
		case status == wire.JobDone:
			continue
		}
		if cancelled, err := r.dependencyCancelled(ctx, indirect, visited); cancelled || err != nil {
			return cancelled, err
		}
	}
	return false, nil
}

// recordedStatus returns the status in a job's own records and the job's dependencies. It returns no
// dependencies for a job that is archived or whose final status is cached.
func (r *Reader) recordedStatus(ctx context.Context, uid string) (wire.JobStatus, []string, error) {
	if status, ok := r.finals.get(uid); ok {
		return status, nil, nil
	}
	if entry, ok := r.jobs.Job(uid); ok {
		return entry.Job.Status, entry.Job.Spec.Dependencies, nil
	}
	// The job is archived: the commit that deleted its record wrote its final status.
	view, found, err := r.readFinal(ctx, uid)
	switch {
	case err != nil:
		return "", nil, err
	case !found:
		return "", nil, errDependencyNotFound
	}
	return view.Status, nil, nil
}
