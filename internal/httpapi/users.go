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

// How long this node tries to serve a request itself. Users wait longer for the answer, which leaves
// time to forward the request to a peer.
const (
	submitWait = 1250 * time.Millisecond // users wait 5 s for the answer to a submission
	pollWait   = 1200 * time.Millisecond // users wait 2 s for the answer to a poll
)

// userHandler wraps a handler of users' requests. It refuses a request while the node is overloaded
// or already answers the maximum number of users' requests, in total or on connections of the
// reserve. It forwards the request to a peer if this node cannot serve it.
func (s *Server) userHandler(h echo.HandlerFunc) echo.HandlerFunc {
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
			return respondError(c, err) // respond now: the deferred CountRequest reads the status
		}
		return err
	}
}

// serveOrForward answers a user's request at this node. If this node cannot serve it, it forwards
// the request to a peer that reaches the state store, unless a peer forwarded it here.
func (s *Server) serveOrForward(c echo.Context, h echo.HandlerFunc) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	c.Set(bodyKey, body)
	localErr := errCannotServeHere
	if s.Serving() {
		if localErr = h(c); !errors.Is(localErr, errCannotServeHere) {
			return localErr
		}
	}
	if c.Get(forwardedKey) != nil {
		return localErr
	}
	reply, ok := s.forward(c.Request(), body)
	if !ok {
		return localErr
	}
	if reply.RetryAfter != "" {
		c.Response().Header().Set(echo.HeaderRetryAfter, reply.RetryAfter)
	}
	return c.JSONBlob(reply.Status, reply.Body)
}

// forward sends a user's request to the peers that reach the state store, one after another, until
// one answers.
func (s *Server) forward(req *http.Request, body []byte) (peer.UserReply, bool) {
	for _, p := range s.Peers {
		ping, ok := p.LastPing(s.Config.LeaderLeaseTTL())
		if !ok || !ping.Serving || !understandsRequest(p.SupportedVersion(), req.Method, req.URL.Path, body) {
			continue
		}
		reply, err := p.ForwardUserRequest(peer.UserArgs{Method: req.Method, Path: req.URL.Path, Body: body}, pollWait*2/3)
		if err == nil && reply.Status != 0 {
			return reply, true
		}
	}
	return peer.UserReply{}, false
}

// understandsRequest reports whether a peer that supports a cluster version interprets a user's
// request as this node does: an older release ignores the dependencies of a submission.
func understandsRequest(version clusterversion.Version, method, path string, body []byte) bool {
	if method != http.MethodPost || path != submitPath || version >= clusterversion.JobDAGs {
		return true
	}
	return !wire.HasDependencies(body)
}

// AnswerForwarded answers a user's request that a peer forwards. The status in the reply is 0 if the
// method or the path is malformed.
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

// responseRecorder is the http.ResponseWriter of a forwarded request: it records the answer, which
// is then sent back to the peer.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the answer's header.
func (r *responseRecorder) Header() http.Header { return r.header }

// WriteHeader records the status.
func (r *responseRecorder) WriteHeader(status int) { r.status = status }

// Write appends a part of the body.
func (r *responseRecorder) Write(part []byte) (int, error) { return r.body.Write(part) }

// userContext returns the context of a user's submission or cancellation. It ends after limit. Its
// commits use the users' lane, which refuses them at once while the write budget is used up.
func userContext(c echo.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(store.WithUserLane(c.Request().Context(), 0), limit)
}

// jobID returns the id in the path of a request about a job.
func jobID(c echo.Context) (string, error) {
	uid := c.Param("id")
	if !wire.ValidUID(uid) {
		return "", errNoSuchJob()
	}
	return uid, nil
}

// errNoSuchJob returns the error of a request about a job that is not known.
func errNoSuchJob() error { return echo.NewHTTPError(http.StatusNotFound, "no such job") }

// poll answers with the status of a job.
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
		return s.statusError(err)
	case !known:
		return errNoSuchJob()
	}
	return c.JSON(http.StatusOK, view)
}
