package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/ledger"
	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/provision"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// user wraps what answers a user: if this node has lost the state service and
// a peer has not, the request is passed on to the peer.
func (n *Node) user(h echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		defer func() { n.count("user", c.Response().Status) }()
		if !n.load.admit() {
			return retryLater(c, "too much to do")
		}
		defer n.load.done()
		body, err := readBody(c)
		if err != nil {
			return err
		}
		c.Set("body", body)
		unserved := errElsewhere
		if n.serving() {
			if unserved = h(c); !errors.Is(unserved, errElsewhere) {
				return unserved
			}
		}
		if c.Get("passed") == nil {
			req := c.Request()
			for _, p := range n.peers {
				r, ok := p.Last(n.cfg.HoldTTL())
				if !ok || !r.Serving || !understands(p.Understands(), req.Method, req.URL.Path, body) {
					continue
				}
				reply, err := p.User(peer.UserArgs{Method: req.Method, Path: req.URL.Path, Body: body}, pollWait*2/3)
				if err == nil && reply.Status != 0 {
					if reply.RetryAfter != "" {
						c.Response().Header().Set(echo.HeaderRetryAfter, reply.RetryAfter)
					}
					return c.JSONBlob(reply.Status, reply.Body)
				}
			}
		}
		return retryLater(c, unserved.Error())
	}
}

// elsewhere reports whether a peer reaches the state service.
func (n *Node) elsewhere() bool {
	for _, p := range n.peers {
		if r, ok := p.Last(n.cfg.HoldTTL()); ok && r.Serving {
			return true
		}
	}
	return false
}

// User answers a user's request that a peer passes on.
func (n *Node) User(a peer.UserArgs) peer.UserReply {
	w := &answer{header: http.Header{}}
	req, err := http.NewRequest(a.Method, a.Path, bytes.NewReader(a.Body))
	if err != nil {
		return peer.UserReply{}
	}
	c := n.echo.NewContext(req, w)
	n.echo.Router().Find(a.Method, a.Path, c)
	c.Set("passed", true)
	if err := c.Handler()(c); err != nil {
		n.echo.HTTPErrorHandler(err, c)
	}
	return peer.UserReply{Status: w.status, RetryAfter: w.header.Get(echo.HeaderRetryAfter), Body: w.body.Bytes()}
}

// answer keeps an answer that goes back to a peer.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header is the answer's header.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader notes the status.
func (a *answer) WriteHeader(status int) { a.status = status }

// Write keeps a part of the body.
func (a *answer) Write(p []byte) (int, error) { return a.body.Write(p) }

// notNow answers a change that could not be recorded: at once with word when to
// come back if the budget is spent, else by another node.
func notNow(c echo.Context, err error) error {
	var busy *store.BusyError
	if errors.As(err, &busy) {
		return retryAfter(c, busy.After, "too many changes at once")
	}
	return errElsewhere
}

// userContext bounds the work for a user who waits for at most limit.
func userContext(c echo.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(store.User(c.Request().Context(), 0), limit)
}

const (
	submitWait = 1250 * time.Millisecond // users wait 5 s for an answer to a submission
	pollWait   = 1200 * time.Millisecond // and 2 s for one to a poll; a peer may still be asked
)

func (n *Node) submit(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	w, err := wire.ParseWork(body)
	if err != nil {
		uid, ok := wire.UIDOf(body)
		if !ok {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		return n.refuse(c, uid, http.StatusBadRequest, err.Error())
	}
	cat := n.cat.Load()
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
	rec := ledger.Job{Spec: w, Status: status, AtMs: time.Now().UnixMilli(), Per: ledger.LegsPerPiece(n.cfg.CurrentValueBytes(), n.cfg.ValueBytes())}
	value := ledger.Encode(rec)
	if len(value) > n.cfg.ValueBytes() {
		return n.refuse(c, w.UID, http.StatusBadRequest, tooLong(&w, len(value), n.cfg.ValueBytes()))
	}
	// When many come at once, those of higher rank are taken first: each rank
	// leaves a quarter of the budget to each rank above it.
	leave := float64(wire.Critical.Level()-admissionRank(&w).Level()) / float64(wire.Critical.Level())
	tx := wire.Commit{
		Guards: []wire.Guard{{Key: ledger.JobKey(w.UID)}, {Key: ledger.FinalKey(w.UID)}},
		Apply:  []wire.Change{{Set: ledger.JobKey(w.UID), Value: value}},
	}
	_, err = n.store.Commit(store.User(ctx, leave), tx)
	for errors.Is(err, store.ErrUnknown) && ctx.Err() == nil {
		// Its answer is lost: once more. If it was carried out, or will be, the
		// guards let only one of them through.
		_, err = n.store.Commit(store.User(ctx, leave), tx)
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		view, known, err := n.lookup(ctx, w.UID)
		if err != nil {
			return errElsewhere
		}
		if !known {
			return retryLater(c, "cannot decide yet")
		}
		return c.JSON(http.StatusOK, view)
	}
	if err != nil {
		slog.Info("submission not recorded", "uid", w.UID, "err", err)
		return notNow(c, err)
	}
	if status.Final() {
		n.finals.put(w.UID, status)
	}
	return c.JSON(http.StatusCreated, wire.JobView{UID: w.UID, Status: status})
}

// admissionRank is the rank by which a submission is admitted when many come at once.
// A job that waits for others is a stage of a pipeline. Users give the rank that they
// care about to its last stage only, and can submit that only once the others are
// accepted: all of them are admitted like work of high rank.
func admissionRank(work *wire.Work) wire.Rank {
	if len(work.Awaits) > 0 && work.Rank.Level() < wire.High.Level() {
		return wire.High
	}
	return work.Rank
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
func (n *Node) refusal(cat *wire.Catalog, w *wire.Work) (string, bool) {
	team, ok := n.cfg.Team(w.Crew)
	if !ok {
		return "unknown team", true
	}
	if !provision.Fits(cat, w) {
		return "a task fits no machine type that the job allows", true
	}
	tasks := 1.0
	if w.Shape != wire.Sweep {
		tasks = float64(w.Legs)
	}
	if (team.CpusMax > 0 && tasks*w.Cores > team.CpusMax) || (team.GpusMax > 0 && tasks*w.Gpus > team.GpusMax) {
		return "the job needs more than its team's limit", true
	}
	return "", false
}

func (n *Node) poll(c echo.Context) error {
	uid := c.Param("id")
	if !wire.ValidUID(uid) {
		return echo.NewHTTPError(http.StatusNotFound, "no such job")
	}
	ctx, cancel := userContext(c, pollWait)
	defer cancel()
	view, known, err := n.readStatus(ctx, uid)
	switch {
	case err != nil:
		return errElsewhere
	case !known:
		return echo.NewHTTPError(http.StatusNotFound, "no such job")
	}
	return c.JSON(http.StatusOK, view)
}

func (n *Node) withdraw(c echo.Context) error {
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
		item, found, err := n.store.Get(ctx, ledger.JobKey(uid))
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
		var rec ledger.Job
		if err := json.Unmarshal(item.Value, &rec); err != nil {
			return err
		}
		if rec.Status.Final() {
			n.finals.put(uid, rec.Status)
			continue
		}
		rec.Finish(wire.JobAborted, n.cfg.ValueBytes())
		stamp, err := n.store.Commit(ctx, wire.Commit{
			Guards: []wire.Guard{{Key: item.Key, Stamp: item.Stamp}},
			Apply:  []wire.Change{{Set: item.Key, Value: ledger.Encode(rec)}},
		})
		var conflict *store.ConflictError
		switch {
		case err == nil:
			n.tellWithdrawn(peer.WithdrawnArgs{UID: uid, Rec: rec, Stamp: stamp})
		case errors.As(err, &conflict):
		default:
			slog.Info("withdrawal not recorded", "uid", uid, "err", err)
			return notNow(c, err)
		}
	}
	return retryLater(c, "cannot be decided now")
}

// tellWithdrawn spreads the word of a committed withdrawal, so that a leader that
// the state service refuses, or whose watch is late, stops the tasks at once. No
// rule rests on it: a peer that it does not reach learns of the withdrawal by
// reading, or stops renewing leases.
func (n *Node) tellWithdrawn(a peer.WithdrawnArgs) {
	n.Withdrawn(a)
	for _, p := range n.peers {
		if _, ok := p.Last(n.cfg.HoldTTL()); !ok {
			continue
		}
		go func() {
			if err := p.Withdrawn(a); err != nil {
				slog.Debug("peer not told of a withdrawal", "peer", p.Label, "uid", a.UID, "err", err)
			}
		}()
	}
}

// Withdrawn takes word of a committed withdrawal.
func (n *Node) Withdrawn(a peer.WithdrawnArgs) {
	n.finals.put(a.UID, a.Rec.Status)
	n.mirror.Hint(a.UID, a.Rec, a.Stamp)
}
