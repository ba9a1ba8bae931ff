package node

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/autoscaler"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// submit takes a job in, or says why not.
func (n *Node) submit(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	w, err := wire.ParseJobSpec(body)
	if err != nil {
		uid, ok := wire.UIDOf(body)
		if !ok {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		return n.refuse(c, uid, http.StatusBadRequest, err.Error())
	}
	cat := n.catalog.Load()
	if cat == nil {
		return n.refuse(c, w.UID, http.StatusServiceUnavailable, "the machine types are not known yet")
	}
	if why, never := n.refusal(cat, &w); never {
		return n.refuse(c, w.UID, http.StatusUnprocessableEntity, why)
	}
	ctx, cancel := userContext(c, submitWait)
	defer cancel()
	status, err := n.initialStatus(ctx, &w)
	if err != nil {
		return n.refuseDependency(c, w.UID, err)
	}
	record := records.Job{Spec: w, Status: status, AtMs: time.Now().UnixMilli(), Per: records.TasksPerPlacement(n.cfg.CurrentValueBytes(), n.cfg.ValueBytes())}
	value := records.Encode(record)
	if len(value) > n.cfg.ValueBytes() {
		return n.refuse(c, w.UID, http.StatusBadRequest, tooLong(&w, len(value), n.cfg.ValueBytes()))
	}
	err = n.recordJob(ctx, &w, value)
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		return n.answerKnown(ctx, c, w.UID)
	case err != nil:
		slog.Info("submission not recorded", "uid", w.UID, "err", err)
		return notNow(c, err)
	}
	if status.Final() {
		n.finals.put(w.UID, status)
	}
	return c.JSON(http.StatusCreated, wire.JobView{UID: w.UID, Status: status})
}

// recordJob commits the record of a new job. A *store.ConflictError means that the job
// is known.
func (n *Node) recordJob(ctx context.Context, work *wire.JobSpec, value json.RawMessage) error {
	// When many come at once, those of higher rank are taken first: each rank
	// leaves a quarter of the budget to each rank above it.
	leave := float64(wire.Critical.Level()-admissionPriority(work).Level()) / float64(wire.Critical.Level())
	tx := wire.Transaction{
		Compares: []wire.Compare{{Key: records.JobKey(work.UID)}, {Key: records.FinalKey(work.UID)}},
		Changes:  []wire.Change{{Set: records.JobKey(work.UID), Value: value}},
	}
	_, err := n.store.Commit(store.User(ctx, leave), tx)
	for errors.Is(err, store.ErrUnknown) && ctx.Err() == nil {
		// Its answer is lost: once more. If it was carried out, or will be, the
		// guards let only one of them through.
		_, err = n.store.Commit(store.User(ctx, leave), tx)
	}
	return err
}

// answerKnown answers the repeated submission of a job with how it stands.
func (n *Node) answerKnown(ctx context.Context, c echo.Context, uid string) error {
	view, known, err := n.lookup(ctx, uid)
	switch {
	case err != nil:
		return errElsewhere
	case !known:
		return retryLater(c, "cannot decide yet")
	}
	return c.JSON(http.StatusOK, view)
}

// admissionPriority is the rank by which a submission is admitted when many come at once.
// A job that waits for others is a stage of a pipeline. Users give the rank that they
// care about to its last stage only, and can submit that only once the others are
// accepted: all of them are admitted like work of high rank.
func admissionPriority(work *wire.JobSpec) wire.Priority {
	if len(work.Dependencies) > 0 && work.Priority.Level() < wire.High.Level() {
		return wire.High
	}
	return work.Priority
}

// refuse answers a submission that is not taken, unless the job is known already:
// one that was accepted is never refused later.
func (n *Node) refuse(c echo.Context, uid string, status int, why string) error {
	ctx, cancel := userContext(c, submitWait)
	defer cancel()
	switch view, known, err := n.lookup(ctx, uid); {
	case err != nil:
		return errElsewhere
	case known:
		return c.JSON(http.StatusOK, view)
	case status == http.StatusServiceUnavailable:
		return retryLater(c, why)
	}
	return echo.NewHTTPError(status, why)
}

// refusal tells why a job can never run.
func (n *Node) refusal(cat *wire.Catalog, w *wire.JobSpec) (string, bool) {
	team, ok := n.cfg.Team(w.Team)
	if !ok {
		return "unknown team", true
	}
	if !autoscaler.FitsAnyMachine(cat, w) {
		return "a task fits no machine type that the job allows", true
	}
	tasks := 1.0
	if w.Kind != wire.JobArray {
		tasks = float64(w.TaskCount)
	}
	if (team.CpusMax > 0 && tasks*w.Cores > team.CpusMax) || (team.GpusMax > 0 && tasks*w.Gpus > team.GpusMax) {
		return "the job needs more than its team's limit", true
	}
	return "", false
}
