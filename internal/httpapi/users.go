package httpapi

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/clusterversion"
	"lotusstile.dev/lotusstile/internal/connlimit"
	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

const (
	submitWait = 1250 * time.Millisecond // users wait 5 s for an answer to a submission
	pollWait   = 1200 * time.Millisecond // and 2 s for one to a poll; a peer may still be asked
)

// user wraps a handler of users' requests: a request is refused while the node is overloaded
// or already answers as many as it may, and forwarded to a peer if this node cannot serve it.
func (s *Server) user(h echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		defer func() { s.Operations.CountRequest("user", c.Response().Status) }()
		if !s.Load.AdmitUser() {
			return respondError(c, errOverloaded)
		}
		defer s.Load.ReleaseUser()
		if connlimit.OnReserve(c.Request().Context()) {
			if !s.Connections.UserReserve.Acquire() {
				return respondError(c, errNoUserConnection)
			}
			defer s.Connections.UserReserve.Release()
		}
		err := s.serveOrForward(c, h)
		if isUnavailable(err) {
			return respondError(c, err) // here, so that the request is counted by this status
		}
		return err
	}
}

// serveOrForward answers a user's request here, or forwards it to a peer if this node cannot
// reach the state store and the peer can.
func (s *Server) serveOrForward(c echo.Context, h echo.HandlerFunc) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	c.Set(bodyKey, body)
	unserved := errElsewhere
	if s.Serving() {
		if unserved = h(c); !errors.Is(unserved, errElsewhere) {
			return unserved
		}
	}
	if c.Get(forwardedKey) != nil {
		return unserved
	}
	reply, ok := s.forward(c.Request(), body)
	if !ok {
		return unserved
	}
	if reply.RetryAfter != "" {
		c.Response().Header().Set(echo.HeaderRetryAfter, reply.RetryAfter)
	}
	return c.JSONBlob(reply.Status, reply.Body)
}

// forward asks the peers that reach the state store, one after another, until one answers.
func (s *Server) forward(req *http.Request, body []byte) (peer.UserReply, bool) {
	for _, p := range s.Peers {
		r, ok := p.LastPing(s.Config.LeaderLeaseTTL())
		if !ok || !r.Serving || !understands(p.SupportedVersion(), req.Method, req.URL.Path, body) {
			continue
		}
		reply, err := p.ForwardUserRequest(peer.UserArgs{Method: req.Method, Path: req.URL.Path, Body: body}, pollWait*2/3)
		if err == nil && reply.Status != 0 {
			return reply, true
		}
	}
	return peer.UserReply{}, false
}

// understands reports whether a peer of a cluster version interprets a user's request as this
// node does: an older release does not understand the dependencies of a submission.
func understands(version clusterversion.Version, method, path string, body []byte) bool {
	if method != http.MethodPost || path != submitPath || version >= clusterversion.JobDAGs {
		return true
	}
	return !wire.HasDependencies(body)
}

// AnswerForwarded answers a user's request that a peer forwards. Its status is 0 if the
// request is malformed.
func (s *Server) AnswerForwarded(args peer.UserArgs) peer.UserReply {
	recorder := &responseRecorder{header: http.Header{}}
	req, err := http.NewRequestWithContext(context.Background(), args.Method, args.Path, bytes.NewReader(args.Body))
	if err != nil {
		return peer.UserReply{}
	}
	c := s.echo.NewContext(req, recorder)
	s.echo.Router().Find(args.Method, args.Path, c)
	c.Set(forwardedKey, true)
	if err := c.Handler()(c); err != nil {
		s.echo.HTTPErrorHandler(err, c)
	}
	return peer.UserReply{Status: recorder.status, RetryAfter: recorder.header.Get(echo.HeaderRetryAfter), Body: recorder.body.Bytes()}
}

// responseRecorder is the http.ResponseWriter of a forwarded request: it records the answer
// that goes back to the peer.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header is the answer's header.
func (r *responseRecorder) Header() http.Header { return r.header }

// WriteHeader records the status.
func (r *responseRecorder) WriteHeader(status int) { r.status = status }

// Write appends a part of the body.
func (r *responseRecorder) Write(part []byte) (int, error) { return r.body.Write(part) }

// userContext returns the context of a user's change: it ends after limit, and commits go in the
// users' lane, where a spent write budget refuses them at once.
func userContext(c echo.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(store.WithUserLane(c.Request().Context(), 0), limit)
}

// jobID returns the id of the job that a request is about.
func jobID(c echo.Context) (string, error) {
	uid := c.Param("id")
	if !wire.ValidUID(uid) {
		return "", errNoSuchJob()
	}
	return uid, nil
}

func errNoSuchJob() error { return echo.NewHTTPError(http.StatusNotFound, "no such job") }

// poll answers how a job stands.
func (s *Server) poll(c echo.Context) error {
	uid, err := jobID(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(store.WithLookupLane(c.Request().Context()), pollWait)
	defer cancel()
	view, known, err := s.Statuses.Read(ctx, uid)
	switch {
	case err != nil:
		return pollError(err)
	case !known:
		return errNoSuchJob()
	}
	return c.JSON(http.StatusOK, view)
}
