package jobstatus

import (
	"context"
	"errors"
	"fmt"

	"lotusstile.dev/lotusstile/wire"
)

// DependencyError means that a submission can never run because of a job that it depends on.
type DependencyError struct {
	UID    string // of the dependency
	Reason string
}

// Error is part of the answer to the user.
func (e *DependencyError) Error() string { return fmt.Sprintf("Awaits names %s, %s", e.UID, e.Reason) }

// errInconsistent means that a job which was accepted has neither a record nor a final
// status that this node can see.
var errInconsistent = errors.New("a job that others wait for is not found")

// Initial returns the status for a new job's record: cancelled if a job that it depends
// on, directly or through others, is cancelled. Its error is a *DependencyError if the job
// can never run, or another one if that cannot be decided now.
//
// It decides on a read that began after the request. A dependency that is cancelled between
// that read and the commit is not missed: readers derive a job's status from the records of
// its dependencies each time (see dependencyCancelled).
func (r *Reader) Initial(ctx context.Context, spec *wire.JobSpec) (wire.JobStatus, error) {
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

// checkDependency returns a *DependencyError if a job may not depend on another one, or the
// error of a read that failed.
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

// dependencyCancelled reports whether one of the named jobs, or one that they depend on in
// turn, is cancelled, as of the last read of the jobs. It goes by the records of the
// dependencies alone, whether or not anyone has written it to the records of the jobs that
// wait. A job that is done cannot be cancelled any more, so its own dependencies do not
// matter.
func (r *Reader) dependencyCancelled(ctx context.Context, dependencies []string, visited map[string]bool) (bool, error) {
	for _, uid := range dependencies {
		if visited[uid] {
			continue
		}
		visited[uid] = true
		status, ofDependency, err := r.ownStatus(ctx, uid)
		switch {
		case err != nil:
			return false, err
		case status == wire.JobAborted:
			return true, nil
		case status == wire.JobDone:
			continue
		}
		if cancelled, err := r.dependencyCancelled(ctx, ofDependency, visited); cancelled || err != nil {
			return cancelled, err
		}
	}
	return false, nil
}

// ownStatus returns a job's status by its own records, and the jobs that it depends on if it is
// not archived and has no cached final status.
func (r *Reader) ownStatus(ctx context.Context, uid string) (wire.JobStatus, []string, error) {
	if status, ok := r.finals.get(uid); ok {
		return status, nil, nil
	}
	if entry, ok := r.jobs.Job(uid); ok {
		return entry.Job.Status, entry.Job.Spec.Dependencies, nil
	}
	// The job is archived: the commit that dropped its record wrote its final status.
	view, found, err := r.readFinal(ctx, uid)
	switch {
	case err != nil:
		return "", nil, err
	case !found:
		return "", nil, errInconsistent
	}
	return view.Status, nil, nil
}
