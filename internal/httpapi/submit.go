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

// errOlderRelease means that a controller of an older release may be serving: it does not
// understand dependencies (Awaits) and would start the job at once.
var errOlderRelease = fmt.Errorf("not all controllers are known to understand Awaits yet: %w", errElsewhere)

// submit accepts a job, or answers why it does not.
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
	if reason := s.neverRuns(catalog, &spec); reason != "" {
		return s.refuse(c, spec.UID, http.StatusUnprocessableEntity, reason)
	}
	ctx, cancel := userContext(c, submitWait)
	defer cancel()
	if len(spec.Dependencies) > 0 && s.Version.InForce() < clusterversion.JobDAGs {
		return errOlderRelease
	}
	status, err := s.Statuses.Initial(ctx, &spec)
	if err != nil {
		return s.refuseDependency(c, spec.UID, err)
	}
	value := s.newRecord(&spec, status)
	if len(value) > s.Config.MaxValueBytes() {
		return s.refuse(c, spec.UID, http.StatusBadRequest, tooLongMessage(&spec, len(value), s.Config.MaxValueBytes()))
	}
	switch known, err := s.recordJob(ctx, &spec, value); {
	case err != nil:
		slog.Info("submission could not be recorded", "uid", spec.UID, "err", err)
		return changeError(err)
	case known:
		return s.answerKnown(ctx, c, spec.UID)
	}
	if status.Final() {
		s.Statuses.RecordFinal(spec.UID, status)
	}
	return c.JSON(http.StatusCreated, wire.JobView{UID: spec.UID, Status: status})
}

// refuseDependency answers a submission whose first status could not be decided.
func (s *Server) refuseDependency(c echo.Context, uid string, err error) error {
	var impossible *jobstatus.DependencyError
	if errors.As(err, &impossible) {
		return s.refuse(c, uid, http.StatusUnprocessableEntity, impossible.Error())
	}
	return errElsewhere
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

// recordJob commits the record of a new job, unless the job is known.
func (s *Server) recordJob(ctx context.Context, spec *wire.JobSpec, value json.RawMessage) (known bool, err error) {
	// When many submissions come at once, those of higher priority are admitted first: each
	// priority leaves a quarter of the write budget to each priority above it.
	reserved := float64(wire.Critical.Level()-admissionPriority(spec).Level()) / float64(wire.Critical.Level())
	tx := wire.Transaction{
		Compares: []wire.Compare{{Key: records.JobKey(spec.UID)}, {Key: records.FinalKey(spec.UID)}},
		Changes:  []wire.Change{{Set: records.JobKey(spec.UID), Value: value}},
	}
	_, err = s.Store.Commit(store.WithUserLane(ctx, reserved), tx)
	for errors.Is(err, store.ErrOutcomeUnknown) && ctx.Err() == nil {
		// The commit may have been carried out, or may be carried out late. It is sent
		// again: the compares let only one of them succeed.
		_, err = s.Store.Commit(store.WithUserLane(ctx, reserved), tx)
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return true, nil
	}
	return false, err
}

// answerKnown answers the repeated submission of a job with the job's current status.
func (s *Server) answerKnown(ctx context.Context, c echo.Context, uid string) error {
	view, known, err := s.Statuses.Lookup(ctx, uid)
	switch {
	case err != nil:
		return errElsewhere
	case !known:
		return retryLater("cannot decide yet")
	}
	return c.JSON(http.StatusOK, view)
}

// admissionPriority is the priority by which a submission is admitted when many come at once.
// A job that depends on others is a stage of a pipeline. Users give the priority that they
// care about only to the last stage, and can submit that one only once the others are
// accepted: all stages with dependencies are admitted with at least high priority.
func admissionPriority(spec *wire.JobSpec) wire.Priority {
	if len(spec.Dependencies) > 0 && spec.Priority.Level() < wire.High.Level() {
		return wire.High
	}
	return spec.Priority
}

// refuse answers a submission that is not accepted, unless the job is known already:
// one that was accepted is never refused later.
func (s *Server) refuse(c echo.Context, uid string, status int, reason string) error {
	ctx, cancel := userContext(c, submitWait)
	defer cancel()
	switch view, known, err := s.Statuses.Lookup(ctx, uid); {
	case err != nil:
		return errElsewhere
	case known:
		return c.JSON(http.StatusOK, view)
	case status == http.StatusServiceUnavailable:
		return retryLater(reason)
	}
	return echo.NewHTTPError(status, reason)
}

// neverRuns returns why a job can never run; "" if it can.
func (s *Server) neverRuns(catalog *wire.Catalog, spec *wire.JobSpec) string {
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

// tooLongMessage returns the error text for a description of size bytes where limit can be
// stored, and estimates how many dependencies would fit.
func tooLongMessage(spec *wire.JobSpec, size, limit int) string {
	if len(spec.Dependencies) == 0 {
		return fmt.Sprintf("the description is too long: it takes %d bytes of at most %d", size, limit)
	}
	without := *spec
	without.Dependencies = nil
	perID := len(records.Encode(spec.Dependencies[0])) + 1
	room := max(0, (limit-size+len(records.Encode(spec))-len(records.Encode(without)))/perID)
	return fmt.Sprintf("the description is too long: it takes %d bytes of at most %d; Awaits may name about %d jobs beside the rest",
		size, limit, room)
}
