package jobstatus

import (
	"context"
	"errors"
	"fmt"

	"lotusstile.dev/lotusstile/wire"
)

// DependencyError says why a submission can never run for a job that it depends on.
type DependencyError struct {
	UID    string // of the dependency
	Reason string
}

// Error is part of the answer to the user.
func (e *DependencyError) Error() string { return fmt.Sprintf("Awaits names %s, %s", e.UID, e.Reason) }

// errInconsistent means that a job which was accepted has neither a record nor a final
// status that this node can see.
var errInconsistent = errors.New("a job that others wait for is not found")

// Initial is the status that a new job's record is made with: cancelled if a job
// that it depends on is, also by way of others. Its error is a *DependencyError if the job
// can never run, or another one if that cannot be decided now.
//
// All is decided on a read that began after the request. What happens to the named
// jobs between that read and the commit is not lost: readers derive a job's status
// from the records of those that it needs, each time (see dependencyCancelled).
func (r *Reader) Initial(ctx context.Context, spec *wire.JobSpec) (wire.JobStatus, error) {
	if len(spec.Dependencies) == 0 {
		return wire.JobQueued, nil
	}
	if err := r.refresher.Refresh(ctx); err != nil {
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

// checkDependency checks that a job may wait for another one.
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

// dependencyCancelled reports whether one of the named jobs, or one that they need in
// turn, is cancelled, as of the last read of the jobs. It follows from records alone,
// whether anyone has written it into the records of those that wait or not. A job that
// is done cannot be cancelled any more, so nothing before it matters.
func (r *Reader) dependencyCancelled(ctx context.Context, dependencies []string, visited map[string]bool) (bool, error) {
	for _, uid := range dependencies {
		if visited[uid] {
			continue
		}
		visited[uid] = true
		status, needs, err := r.ownStatus(ctx, uid)
		switch {
		case err != nil:
			return false, err
		case status == wire.JobAborted:
			return true, nil
		case status == wire.JobDone:
			continue
		}
		if cancelled, err := r.dependencyCancelled(ctx, needs, visited); cancelled || err != nil {
			return cancelled, err
		}
	}
	return false, nil
}

// ownStatus returns a job's status by its own records, and the jobs that it depends on.
func (r *Reader) ownStatus(ctx context.Context, uid string) (wire.JobStatus, []string, error) {
	if status, ok := r.finals.get(uid); ok {
		return status, nil, nil
	}
	if entry, ok := r.jobs.Job(uid); ok {
		return entry.Job.Status, entry.Job.Spec.Dependencies, nil
	}
	// Its record is gone, and its final status was written with that.
	view, found, err := r.readFinal(ctx, uid)
	switch {
	case err != nil:
		return "", nil, err
	case !found:
		return "", nil, errInconsistent
	}
	return view.Status, nil, nil
}
