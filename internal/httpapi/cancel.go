package httpapi

import (
	"context"
	"errors"
	"log/slog"
	"net/http"

	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// cancel cancels a job unless its status is final already, and answers with the final status. If
// another request or node changes the job's record meanwhile, cancel reads the record again and
// retries, for up to submitWait.
func (s *Server) cancel(c echo.Context) error {
	uid, err := jobID(c)
	if err != nil {
		return err
	}
	ctx, cancel := userContext(c, submitWait)
	defer cancel()
	for ctx.Err() == nil {
		if status, ok := s.Statuses.CachedFinal(uid); ok {
			return c.JSON(http.StatusOK, wire.JobView{UID: uid, Status: status})
		}
		item, found, err := s.Store.Get(ctx, records.JobKey(uid))
		if err != nil {
			return errCannotServeHere
		}
		if found {
			if err := s.cancelRecord(ctx, uid, item); err != nil {
				return err
			}
			continue
		}
		view, known, err := s.Statuses.ReadFromStore(ctx, uid)
		switch {
		case err != nil:
			return errCannotServeHere
		case !known:
			return errNoSuchJob()
		case view.Status.Final():
			return c.JSON(http.StatusOK, view)
		}
	}
	return retryLater("cannot be decided now")
}

// cancelRecord commits a job's record as cancelled unless its status is final already. In both
// cases it stores the final status in s.Statuses. If it returns nil and s.Statuses has no final
// status, the record was changed meanwhile: the caller has to read it again.
func (s *Server) cancelRecord(ctx context.Context, uid string, item wire.KeyValue) error {
	var job records.Job
	if err := wire.Decode(item.Value, &job); err != nil {
		return err
	}
	if job.Status.Final() {
		s.Statuses.RecordFinal(uid, job.Status)
		return nil
	}
	job.SetFinal(wire.JobAborted, s.Config.MaxValueBytes())
	modRevision, err := s.Store.Commit(ctx, wire.Transaction{
		Compares: []wire.Compare{{Key: item.Key, ModRevision: item.ModRevision}},
		Changes:  []wire.Change{{Set: item.Key, Value: records.Encode(job)}},
	})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		s.AnnounceCancelled(peer.Cancellation{UID: uid, Record: job, ModRevision: modRevision})
	case errors.As(err, &conflict):
	default:
		slog.Info("could not commit a cancellation, or its outcome is unknown", "uid", uid, "err", err)
		return commitError(err)
	}
	return nil
}
