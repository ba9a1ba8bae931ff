package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/net/netutil"

	"lotusstile.dev/lotusstile/internal/ledger"
	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/provision"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// Handler answers users, workers and health checks.
func (n *Node) Handler() http.Handler { return n.echo }

func (n *Node) routes() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		if c.Response().Committed {
			return
		}
		status, text := http.StatusInternalServerError, "internal error"
		var he *echo.HTTPError
		if errors.As(err, &he) {
			status, text = he.Code, http.StatusText(he.Code)
			if s, ok := he.Message.(string); ok {
				text = s
			}
		} else {
			slog.Error("request failed", "path", c.Path(), "err", err)
		}
		if err := c.JSON(status, wire.Fault{Error: text}); err != nil {
			slog.Debug("answer not written", "err", err)
		}
	}
	e.POST("/checkin", n.checkIn)
	e.POST("/work", n.user(n.submit))
	e.GET("/work/:id", n.user(n.poll))
	e.POST("/work/:id/withdraw", n.user(n.withdraw))
	e.GET("/ready", n.ready)
	e.GET("/admin/status", n.adminStatus)
	e.GET("/admin/metrics", n.adminMetrics)
	e.GET("/admin/settings", n.adminSettings)
	e.PUT("/admin/settings", n.adminChange)
	return e
}

// serve answers on l until it closes.
func (n *Node) serve(l net.Listener) error {
	srv := &http.Server{
		Handler:           n.Handler(),
		ReadHeaderTimeout: n.cfg.Lease() / 2,
		ReadTimeout:       n.cfg.Lease() / 2,
		WriteTimeout:      n.cfg.Lease(),
		IdleTimeout:       3 * n.cfg.Lease(),
		MaxHeaderBytes:    8 << 10,
	}
	// The rest of the sockets is for the services, the workers and the peers.
	err := srv.Serve(netutil.LimitListener(l, n.cfg.Cluster.Limits.MaxConnections*3/4))
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// errElsewhere means that this node cannot serve a request now, but another
// one may.
var errElsewhere = errors.New("the state service is not reached from here")

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
		if n.serving() {
			if err := h(c); !errors.Is(err, errElsewhere) {
				return err
			}
		}
		if c.Get("passed") == nil {
			req := c.Request()
			for _, p := range n.peers {
				if r, ok := p.Last(n.cfg.HoldTTL()); !ok || !r.Serving {
					continue
				}
				r, err := p.User(peer.UserArgs{Method: req.Method, Path: req.URL.Path, Body: body}, pollWait*2/3)
				if err == nil && r.Status != 0 {
					if r.RetryAfter != "" {
						c.Response().Header().Set(echo.HeaderRetryAfter, r.RetryAfter)
					}
					return c.JSONBlob(r.Status, r.Body)
				}
			}
		}
		return retryLater(c, errElsewhere.Error())
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

func readBody(c echo.Context) ([]byte, error) {
	if body, ok := c.Get("body").([]byte); ok {
		return body, nil
	}
	data, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, wire.MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, echo.NewHTTPError(http.StatusRequestEntityTooLarge, "body is over 64 KiB")
	}
	if err != nil {
		return nil, echo.NewHTTPError(http.StatusBadRequest, "body cannot be read")
	}
	return data, nil
}

// retryLater answers a request that cannot be decided now.
func retryLater(c echo.Context, why string) error { return retryAfter(c, time.Second, why) }

func retryAfter(c echo.Context, wait time.Duration, why string) error {
	c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(max(1, int(math.Ceil(wait.Seconds())))))
	return c.JSON(http.StatusServiceUnavailable, wire.Fault{Error: why})
}

// notNow answers a change that could not be recorded: at once with word when to
// come back if the budget is spent, else by another node.
func notNow(c echo.Context, err error) error {
	var busy *store.BusyError
	if errors.As(err, &busy) {
		return retryAfter(c, busy.After, "too many changes at once")
	}
	return errElsewhere
}

// ready answers health checks. A node is out only while it cannot serve and
// another can: in an outage that all share, leaving would help nobody.
func (n *Node) ready(c echo.Context) error {
	if !n.mirror.Synced() || n.cat.Load() == nil {
		return retryLater(c, "still catching up")
	}
	if n.store.ProofAge() > n.cfg.HoldTTL()*3/2 && n.elsewhere() {
		return retryLater(c, errElsewhere.Error())
	}
	return c.NoContent(http.StatusOK)
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
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	ctx, cancel := userContext(c, submitWait)
	defer cancel()
	cat := n.cat.Load()
	why, never := "", false
	if cat != nil {
		why, never = n.refusal(cat, &w)
	}
	if cat == nil || never {
		// A job that is known already is not refused.
		view, known, err := n.lookup(ctx, w.Uid)
		switch {
		case err != nil:
			return errElsewhere
		case known:
			return c.JSON(http.StatusOK, view)
		case cat == nil:
			return retryLater(c, "the machine types are not known yet")
		}
		return c.JSON(http.StatusUnprocessableEntity, wire.Fault{Error: why})
	}
	rec := ledger.Job{Spec: w, Status: wire.JobQueued, AtMs: time.Now().UnixMilli(), Per: ledger.LegsPerPiece(n.cfg.ValueBytes())}
	value := ledger.Encode(rec)
	if len(value) > n.cfg.ValueBytes() {
		return echo.NewHTTPError(http.StatusBadRequest, "the description is too long")
	}
	// When many come at once, those of higher rank are taken first: each rank
	// leaves a quarter of the budget to each rank above it.
	leave := float64(wire.Critical.Level()-w.Rank.Level()) / float64(wire.Critical.Level())
	_, err = n.store.Commit(store.User(ctx, leave), wire.Commit{
		Guards: []wire.Guard{{Key: ledger.JobKey(w.Uid)}, {Key: ledger.FinalKey(w.Uid)}},
		Apply:  []wire.Change{{Set: ledger.JobKey(w.Uid), Value: value}},
	})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		view, known, err := n.lookup(ctx, w.Uid)
		if err != nil {
			return errElsewhere
		}
		if !known {
			return retryLater(c, "cannot decide yet")
		}
		return c.JSON(http.StatusOK, view)
	}
	if err != nil {
		slog.Info("submission not recorded", "uid", w.Uid, "err", err)
		return notNow(c, err)
	}
	return c.JSON(http.StatusCreated, wire.JobView{Uid: w.Uid, Status: wire.JobQueued})
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

// lookup reads how a job stands. A final status is cached for ever; any other
// is as fresh as the read.
func (n *Node) lookup(ctx context.Context, uid string) (wire.JobView, bool, error) {
	view := wire.JobView{Uid: uid}
	if s, ok := n.finals.get(uid); ok {
		view.Status = s
		return view, true, nil
	}
	item, found, err := n.store.Get(ctx, ledger.JobKey(uid))
	if err != nil {
		return view, false, err
	}
	if found {
		var rec ledger.Job
		if err := json.Unmarshal(item.Value, &rec); err != nil {
			return view, false, err
		}
		view.Status = rec.Status
		if rec.Status.Final() {
			n.finals.put(uid, rec.Status)
		} else {
			n.counts(&view)
		}
		return view, true, nil
	}
	// Archiving writes the final status in the same commit that drops the
	// record: a job without a record has one, or never was.
	item, found, err = n.store.Get(ctx, ledger.FinalKey(uid))
	if err != nil || !found {
		return view, false, err
	}
	var rec ledger.Final
	if err := json.Unmarshal(item.Value, &rec); err != nil {
		return view, false, err
	}
	n.finals.put(uid, rec.Status)
	view.Status = rec.Status
	return view, true, nil
}

// counts adds how many tasks are done and running, as far as the leader tells.
func (n *Node) counts(view *wire.JobView) {
	if c := n.lead.Load(); c != nil {
		view.Done, view.Running, _ = c.Counts(view.Uid)
	} else if p := n.leader(); p != nil {
		if r, err := p.Counts(view.Uid); err == nil {
			view.Done, view.Running = r.Done, r.Running
		}
	}
	if view.Running > 0 {
		view.Status = wire.JobRunning
	}
}

func (n *Node) poll(c echo.Context) error {
	uid := c.Param("id")
	if !wire.ValidUid(uid) {
		return echo.NewHTTPError(http.StatusNotFound, "no such job")
	}
	ctx, cancel := userContext(c, pollWait)
	defer cancel()
	view, known, err := n.lookup(ctx, uid)
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
	if !wire.ValidUid(uid) {
		return echo.NewHTTPError(http.StatusNotFound, "no such job")
	}
	ctx, cancel := userContext(c, submitWait)
	defer cancel()
	for ctx.Err() == nil {
		if s, ok := n.finals.get(uid); ok {
			return c.JSON(http.StatusOK, wire.JobView{Uid: uid, Status: s})
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
		rec.Status = wire.JobAborted
		_, err = n.store.Commit(ctx, wire.Commit{
			Guards: []wire.Guard{{Key: item.Key, Stamp: item.Stamp}},
			Apply:  []wire.Change{{Set: item.Key, Value: ledger.Encode(rec)}},
		})
		var conflict *store.ConflictError
		switch {
		case err == nil:
			n.finals.put(uid, rec.Status)
		case errors.As(err, &conflict):
		default:
			slog.Info("withdrawal not recorded", "uid", uid, "err", err)
			return notNow(c, err)
		}
	}
	return retryLater(c, "cannot be decided now")
}

// checkIn answers a worker: the leader itself, or a follower that sends the
// worker to the leader, relays its report, or keeps its lease.
func (n *Node) checkIn(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	status, answer := n.answerReport(c.Request().Context(), body, true)
	if status == http.StatusServiceUnavailable {
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(1))
	}
	n.count("checkin", status)
	return c.JSONBlob(status, answer)
}

// RelayCheckIn answers a report that a peer relays.
func (n *Node) RelayCheckIn(a peer.CheckInArgs) peer.CheckInReply {
	if n.lead.Load() == nil {
		return peer.CheckInReply{Status: http.StatusMisdirectedRequest}
	}
	status, answer := n.answerReport(context.Background(), a.Body, false)
	return peer.CheckInReply{Status: status, Body: answer}
}

func encode(v any) []byte { return ledger.Encode(v) }

func (n *Node) answerReport(ctx context.Context, body []byte, direct bool) (int, []byte) {
	r, err := wire.ParseReport(body)
	if err != nil {
		return http.StatusBadRequest, encode(wire.Fault{Error: err.Error()})
	}
	// A task that was withdrawn right after the last proven read must still
	// die in time: past that, no lease is renewed.
	if n.store.ProofAge() > n.cfg.ProofLimit() {
		return http.StatusServiceUnavailable, encode(wire.Fault{Error: "the state service was not reached for too long"})
	}
	if c := n.lead.Load(); c != nil {
		if o, ok := c.CheckIn(ctx, &r, direct); ok {
			return http.StatusOK, encode(o)
		}
		return http.StatusMisdirectedRequest, encode(wire.Redirect{})
	}
	if !direct {
		return http.StatusMisdirectedRequest, encode(wire.Redirect{})
	}
	if p := n.leader(); p != nil {
		if !n.relays(r.Host) {
			return http.StatusMisdirectedRequest, encode(wire.Redirect{Dispatcher: p.Label})
		}
		if reply, err := p.CheckIn(body); err == nil && reply.Status == http.StatusOK {
			return reply.Status, reply.Body
		}
	}
	return n.keepLease(&r)
}

// contact is how a follower has answered a machine.
type contact struct {
	relayed    time.Time // the first report was relayed
	redirected time.Time // a later one was sent to the leader
	until      time.Time // it came back from there: its reports are relayed till then
}

// relays decides whether a machine's report is relayed to the leader or the
// machine is sent there. A machine that comes may have lost seconds of its
// lease to a leader that it cannot reach, and would lose as many again: its
// first report is relayed. If it comes back from the leader, so are the next.
func (n *Node) relays(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, lease := time.Now(), n.cfg.Lease()
	c := n.contacts[host]
	switch {
	case now.Before(c.until):
		return true
	case now.Sub(c.redirected) < lease:
		c.until = now.Add(3 * lease)
	case now.Sub(c.relayed) < lease:
		c = contact{redirected: now}
	default:
		c = contact{relayed: now}
	}
	n.contacts[host] = c
	return c.redirected != now
}

// keepLease answers for a leader that this node cannot reach: the lease goes
// on, nothing is launched, and what is withdrawn is stopped.
func (n *Node) keepLease(r *wire.Report) (int, []byte) {
	v := n.elector.View()
	if !v.Synced || v.Term == 0 {
		return http.StatusServiceUnavailable, encode(wire.Fault{Error: "no term is known yet"})
	}
	if r.Baton > v.Term {
		n.elector.Saw(r.Baton, "")
		return http.StatusMisdirectedRequest, encode(wire.Redirect{})
	}
	o := wire.Orders{Baton: v.Term, Orders: []wire.Order{}}
	for _, l := range r.Legs {
		if uid, _, ok := wire.SplitLeg(l.Leg); ok && l.Status != wire.LegEnded && n.mirror.Aborted(uid) {
			o.Orders = append(o.Orders, wire.Order{Verb: wire.Stop, Leg: l.Leg, Try: l.Try})
		}
	}
	n.mu.Lock()
	if _, ok := n.kept[r.Host]; !ok {
		slog.Info("keeping a lease in the leader's place", "host", r.Host, "term", v.Term)
	}
	n.kept[r.Host] = time.Now()
	n.mu.Unlock()
	return http.StatusOK, encode(o)
}
