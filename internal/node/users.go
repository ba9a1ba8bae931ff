package node

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/aimd"
	"lotusstile.dev/lotusstile/internal/connlimit"
	"lotusstile.dev/lotusstile/internal/peer"
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
		if connlimit.OnReserve(c.Request().Context()) {
			if !enter(&n.reserve.users, n.reserve.mostUsers) {
				return retryLater(c, "no connection is free")
			}
			defer n.reserve.users.Add(-1)
		}
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
				r, ok := p.LastPing(n.cfg.LeaderLeaseTTL())
				if !ok || !r.Serving || !understands(p.SupportedVersion(), req.Method, req.URL.Path, body) {
					continue
				}
				reply, err := p.ForwardUserRequest(peer.UserArgs{Method: req.Method, Path: req.URL.Path, Body: body}, pollWait*2/3)
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
		if r, ok := p.LastPing(n.cfg.LeaderLeaseTTL()); ok && r.Serving {
			return true
		}
	}
	return false
}

// ServeUserRequest answers a user's request that a peer passes on.
func (n *Node) ServeUserRequest(a peer.UserArgs) peer.UserReply {
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

// notRead answers a question that could not be answered: at once with word when to come back if
// it is the state service that gets too many requests, which a peer would only add to, else by
// another node.
func notRead(c echo.Context, err error) error {
	var busy *aimd.BusyError
	switch {
	case errors.As(err, &busy):
		return retryAfter(c, busy.After, "too many questions at once")
	case errors.Is(err, store.ErrThrottled):
		return retryLater(c, "too many requests at once")
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

func (n *Node) poll(c echo.Context) error {
	uid := c.Param("id")
	if !wire.ValidUID(uid) {
		return echo.NewHTTPError(http.StatusNotFound, "no such job")
	}
	ctx, cancel := context.WithTimeout(store.Lookup(c.Request().Context()), pollWait)
	defer cancel()
	view, known, err := n.readStatus(ctx, uid)
	switch {
	case err != nil:
		return notRead(c, err)
	case !known:
		return echo.NewHTTPError(http.StatusNotFound, "no such job")
	}
	return c.JSON(http.StatusOK, view)
}
