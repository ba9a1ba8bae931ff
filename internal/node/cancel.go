package node

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"

	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// cancel cancels a job, or says that it is done.
func (n *Node) cancel(c echo.Context) error {
	uid := c.Param("id")
	if !wire.ValidUID(uid) {
		return echo.NewHTTPError(http.StatusNotFound, "no such job")
	}
	ctx, cancel := userContext(c, submitWait)
	defer cancel()
	for ctx.Err() == nil {
		if s, ok := n.finals.get(uid); ok {
			return c.JSON(http.StatusOK, wire.JobView{UID: uid, Status: s})
		}
		item, found, err := n.store.Get(ctx, records.JobKey(uid))
		if err != nil {
			return errElsewhere
		}
		if !found {
			view, known, err := n.lookup(ctx, uid)
			if err != nil {
				return errElsewhere
			}
			if !known {
				return echo.NewHTTPError(http.StatusNotFound, "no such job")
			}
			if view.Status.Final() {
				return c.JSON(http.StatusOK, view)
			}
			continue
		}
		var rec records.Job
		if err := json.Unmarshal(item.Value, &rec); err != nil {
			return err
		}
		if rec.Status.Final() {
			n.finals.put(uid, rec.Status)
			continue
		}
		rec.Finish(wire.JobAborted, n.cfg.ValueBytes())
		modRevision, err := n.store.Commit(ctx, wire.Transaction{
			Compares: []wire.Compare{{Key: item.Key, ModRevision: item.ModRevision}},
			Changes:  []wire.Change{{Set: item.Key, Value: records.Encode(rec)}},
		})
		var conflict *store.ConflictError
		switch {
		case err == nil:
			n.notifyCancelled(peer.Cancellation{UID: uid, Record: rec, ModRevision: modRevision})
		case errors.As(err, &conflict):
		default:
			slog.Info("withdrawal not recorded", "uid", uid, "err", err)
			return notNow(c, err)
		}
	}
	return retryLater(c, "cannot be decided now")
}

// notifyCancelled spreads the word of a committed withdrawal, so that a leader that
// the state service refuses, or whose watch is late, stops the tasks at once. No
// rule rests on it: a peer that it does not reach learns of the withdrawal by
// reading, or stops renewing leases.
func (n *Node) notifyCancelled(a peer.Cancellation) {
	n.ApplyCancellation(a)
	for _, p := range n.peers {
		if _, ok := p.LastPing(n.cfg.LeaderLeaseTTL()); !ok {
			continue
		}
		go func() {
			if err := p.NotifyCancelled(a); err != nil {
				slog.Debug("peer not told of a withdrawal", "peer", p.Label, "uid", a.UID, "err", err)
			}
		}()
	}
}

// ApplyCancellation takes word of a committed withdrawal.
func (n *Node) ApplyCancellation(a peer.Cancellation) {
	n.finals.put(a.UID, a.Record.Status)
	n.jobCache.Hint(a.UID, a.Record, a.ModRevision)
}
