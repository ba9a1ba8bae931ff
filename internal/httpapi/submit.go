package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/autoscaler"
	"lotusstile.dev/lotusstile/internal/clusterversion"
	"lotusstile.dev/lotusstile/internal/jobstatus"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// errOlderRelease means that a controller of an older release may still run. It would ignore the
// job's dependencies (Awaits) and start the job at once.
var errOlderRelease = fmt.Errorf("not all controllers are known to understand Awaits yet: %w", errCannotServeHere)

// submit accepts a job, or answers with the reason why the job is refused.
func (s *Server) submit(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	spec, err := wire.ParseJobSpec(body)
	if err != nil {
		uid, ok := wire.UIDOf(body)
		if !ok {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		return s.refuse(c, uid, http.StatusBadRequest, err.Error())
	}
	catalog := s.Catalog()
	if catalog == nil {
		return s.refuse(c, spec.UID, http.StatusServiceUnavailable, "the machine types are not known yet")
	}
	if reason := s.unrunnableReason(catalog, &spec); reason != "" {
		return s.refuse(c, spec.UID, http.StatusUnprocessableEntity, reason)
	}
	ctx, cancel := userContext(c, submitWait)
	defer cancel()
	if len(spec.Dependencies) > 0 && s.Version.InForce() < clusterversion.JobDAGs {
		return errOlderRelease
	}
	status, err := s.Statuses.InitialStatus(ctx, &spec)
	if err != nil {
		return s.refuseDependency(c, spec.UID, err)
	}
	value := s.newRecord(&spec, status)
	if len(value) > s.Config.MaxValueBytes() {
		return s.refuse(c, spec.UID, http.StatusBadRequest, tooLongMessage(&spec, len(value), s.Config.MaxValueBytes()))
	}
	switch known, err := s.recordJob(ctx, &spec, value); {
	case err != nil:
		slog.Info("could not commit a submission, or its outcome is unknown", "uid", spec.UID, "err", err)
		return commitError(err)
	case known:
		return s.answerKnownJob(ctx, c, spec.UID)
	}
	if status.Final() {
		s.Statuses.RecordFinal(spec.UID, status)
	}
	return c.JSON(http.StatusCreated, wire.JobView{UID: spec.UID, Status: status})
}

// refuseDependency answers a submission whose initial status could not be decided because of its dependencies.
func (s *Server) refuseDependency(c echo.Context, uid string, err error) error {
	var dependencyErr *jobstatus.DependencyError
	if errors.As(err, &dependencyErr) {
		return s.refuse(c, uid, http.StatusUnprocessableEntity, dependencyErr.Error())
	}
	return errCannotServeHere
}

// newRecord encodes the record of a new job.
func (s *Server) newRecord(spec *wire.JobSpec, status wire.JobStatus) json.RawMessage {
	return records.Encode(records.Job{
		Spec:              *spec,
		Status:            status,
		AcceptedAtMs:      time.Now().UnixMilli(),
		TasksPerPlacement: records.TasksPerPlacement(s.Config.CurrentMaxValueBytes(), s.Config.MaxValueBytes()),
	})
}

// recordJob commits the record of a new job. known means that the job has a record or a final status already.
func (s *Server) recordJob(ctx context.Context, spec *wire.JobSpec, value json.RawMessage) (known bool, err error) {
	// When many submissions arrive at once, those of higher priority are admitted first: each
	// priority leaves a quarter of the write budget to each priority above it.
	reserved := float64(wire.Critical.Level()-admissionPriority(spec).Level()) / float64(wire.Critical.Level())
	tx := wire.Transaction{
		Compares: []wire.Compare{{Key: records.JobKey(spec.UID)}, {Key: records.FinalKey(spec.UID)}},
		Changes:  []wire.Change{{Set: records.JobKey(spec.UID), Value: value}},
	}
	_, err = s.Store.Commit(store.WithUserLane(ctx, reserved), tx)
	for errors.Is(err, store.ErrOutcomeUnknown) && ctx.Err() == nil {
		// The commit may have been executed, or may still be executed late. It is sent again:
		// the compares let only one of these commits succeed.
		_, err = s.Store.Commit(store.WithUserLane(ctx, reserved), tx)
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return true, nil
	}
	return false, err
}

// answerKnownJob answers the repeated submission of a job with the job's current status.
func (s *Server) answerKnownJob(ctx context.Context, c echo.Context, uid string) error {
	view, known, err := s.Statuses.ReadFromStore(ctx, uid)
	switch {
	case err != nil:
		return s.statusError(err)
	case !known:
		return retryLater("cannot decide yet")
	}
	return c.JSON(http.StatusOK, view)
}

// admissionPriority is the priority by which a submission is admitted when many arrive at once.
// A job that depends on others is a stage of a pipeline. Users set the intended priority only on
// the last stage, which they can submit only once the earlier stages are accepted. So all stages with
// dependencies are admitted with at least high priority.
func admissionPriority(spec *wire.JobSpec) wire.Priority {
	if len(spec.Dependencies) > 0 && spec.Priority.Level() < wire.High.Level() {
		return wire.High
	}
	return spec.Priority
}

// refuse answers a submission that is not accepted with status and reason. If the job is known
// already, it answers with the job's status instead: an accepted job is never refused later.
func (s *Server) refuse(c echo.Context, uid string, status int, reason string) error {
	ctx, cancel := userContext(c, submitWait)
	defer cancel()
	switch view, known, err := s.Statuses.ReadFromStore(ctx, uid); {
	case err != nil:
		return s.statusError(err)
	case known:
		return c.JSON(http.StatusOK, view)
	case status == http.StatusServiceUnavailable:
		return retryLater(reason)
	}
	return echo.NewHTTPError(status, reason)
}

// unrunnableReason returns the reason why a job can never run, or "" if it can run.
func (s *Server) unrunnableReason(catalog *wire.Catalog, spec *wire.JobSpec) string {
	team, ok := s.Config.Team(spec.Team)
	if !ok {
		return "unknown team"
	}
	if !autoscaler.FitsAnyMachine(catalog, spec) {
		return "a task fits no machine type that the job allows"
	}
	tasks := 1.0
	if spec.Kind != wire.JobArray {
		tasks = float64(spec.TaskCount)
	}
	if (team.CpusMax > 0 && tasks*spec.Cores > team.CpusMax) || (team.GpusMax > 0 && tasks*spec.Gpus > team.GpusMax) {
		return "the job needs more than its team's limit"
	}
	return ""
}

// tooLongMessage returns the error text for a job whose record takes size bytes, more than the limit
// of the state store. For a job with dependencies, the text estimates how many of them would fit.
func tooLongMessage(spec *wire.JobSpec, size, limit int) string {
	if len(spec.Dependencies) == 0 {
		return fmt.Sprintf("the description is too long: it takes %d bytes of at most %d", size, limit)
	}
	bare := *spec
	bare.Dependencies = nil
	bytesPerDependency := len(records.Encode(spec.Dependencies[0])) + 1
	maxDependencies := max(0, (limit-size+len(records.Encode(spec))-len(records.Encode(bare)))/bytesPerDependency)
	return fmt.Sprintf("the description is too long: it takes %d bytes of at most %d; Awaits may name about %d jobs beside the rest",
		size, limit, maxDependencies)
}
