package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/clusterversion"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// dependencyError tells why a submission can never run for a job that it names.
type dependencyError struct {
	UID string
	Why string
}

func (e *dependencyError) Error() string { return fmt.Sprintf("Awaits names %s, %s", e.UID, e.Why) }

// errInconsistent means that a job which was accepted has neither a record nor a final
// status that this node can see.
var errInconsistent = errors.New("a job that others wait for is not found")

// errOlderRelease means that a controller may serve which does not understand Awaits.
var errOlderRelease = fmt.Errorf("not all controllers are known to understand Awaits yet: %w", errElsewhere)

// initialStatus is the status that a new job's record is made with: cancelled if a job
// that it names is, also by way of others. Its error is a *dependencyError if the job
// can never run, or another one if that cannot be decided now.
//
// All is decided on a read that began after the request. What happens to the named
// jobs between that read and the commit is not lost: readers derive a job's status
// from the records of those that it needs, each time (see dependencyCancelled).
func (n *Node) initialStatus(ctx context.Context, work *wire.JobSpec) (wire.JobStatus, error) {
	if len(work.Dependencies) == 0 {
		return wire.JobQueued, nil
	}
	if n.version.InForce() < clusterversion.JobDAGs {
		return "", errOlderRelease // it would start the job at once
	}
	if err := n.jobReader.Refresh(ctx); err != nil {
		return "", err
	}
	for _, uid := range work.Dependencies {
		if err := n.checkDependency(ctx, work.UID, uid); err != nil {
			return "", err
		}
	}
	cancelled, err := n.dependencyCancelled(ctx, work.Dependencies, map[string]bool{})
	switch {
	case err != nil:
		return "", err
	case cancelled:
		return wire.JobAborted, nil
	}
	return wire.JobQueued, nil
}

// checkDependency checks that a job may wait for another one.
func (n *Node) checkDependency(ctx context.Context, uid, dependency string) error {
	if uid == dependency {
		return &dependencyError{dependency, "which is the job itself"}
	}
	if entry, ok := n.jobCache.Job(dependency); ok {
		if entry.Job.Spec.Kind == wire.Service {
			return &dependencyError{dependency, "which is a service and never done"}
		}
		return nil
	}
	if _, ok := n.finals.get(dependency); ok {
		return nil
	}
	switch _, found, err := n.readFinal(ctx, dependency); {
	case err != nil:
		return err
	case !found:
		return &dependencyError{dependency, "which was never accepted"}
	}
	return nil
}

// dependencyCancelled reports whether one of the named jobs, or one that they need in
// turn, is cancelled, as of the last read of the jobs. It follows from records alone,
// whether anyone has written it into the records of those that wait or not. A job that
// is done cannot be cancelled any more, so nothing before it matters.
func (n *Node) dependencyCancelled(ctx context.Context, dependencies []string, seen map[string]bool) (bool, error) {
	for _, uid := range dependencies {
		if seen[uid] {
			continue
		}
		seen[uid] = true
		status, needs, err := n.dependency(ctx, uid)
		switch {
		case err != nil:
			return false, err
		case status == wire.JobAborted:
			return true, nil
		case status == wire.JobDone:
			continue
		}
		if cancelled, err := n.dependencyCancelled(ctx, needs, seen); cancelled || err != nil {
			return cancelled, err
		}
	}
	return false, nil
}

// dependency tells a job's own status and what it needs.
func (n *Node) dependency(ctx context.Context, uid string) (wire.JobStatus, []string, error) {
	if status, ok := n.finals.get(uid); ok {
		return status, nil, nil
	}
	if entry, ok := n.jobCache.Job(uid); ok {
		return entry.Job.Status, entry.Job.Spec.Dependencies, nil
	}
	// Its record is gone, and its final status was written with that.
	view, found, err := n.readFinal(ctx, uid)
	switch {
	case err != nil:
		return "", nil, err
	case !found:
		return "", nil, errInconsistent
	}
	return view.Status, nil, nil
}

// refuseDependency answers a submission whose status could not be told.
func (n *Node) refuseDependency(c echo.Context, uid string, err error) error {
	var never *dependencyError
	if errors.As(err, &never) {
		return n.refuse(c, uid, http.StatusUnprocessableEntity, never.Error())
	}
	if errors.Is(err, errElsewhere) {
		return err
	}
	return errElsewhere
}

// understands reports whether a peer that a user's request would be passed to reads it
// as this node does.
func understands(version clusterversion.Version, method, path string, body []byte) bool {
	if method != http.MethodPost || path != submitPath || version >= clusterversion.JobDAGs {
		return true
	}
	return !wire.HasDependencies(body)
}

// tooLong tells how much of a job's description can be stored.
func tooLong(work *wire.JobSpec, size, most int) string {
	if len(work.Dependencies) == 0 {
		return fmt.Sprintf("the description is too long: it takes %d bytes of at most %d", size, most)
	}
	without := *work
	without.Dependencies = nil
	perID := len(records.Encode(work.Dependencies[0])) + 1
	room := max(0, (most-size+len(records.Encode(work))-len(records.Encode(without)))/perID)
	return fmt.Sprintf("the description is too long: it takes %d bytes of at most %d; Awaits may name about %d jobs beside the rest", size, most, room)
}
