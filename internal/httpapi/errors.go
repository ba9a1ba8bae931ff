package httpapi

import (
	"errors"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/aimd"
	"lotusstile.dev/lotusstile/internal/jobstatus"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/workerlease"
	"lotusstile.dev/lotusstile/wire"
)

// errCannotServeHere means that this node cannot serve a request now, but another node may.
// Its text is part of the answer.
var errCannotServeHere = errors.New("cannot be served from here now")

// unavailableError means that neither this node nor another one can serve a request now. The status
// of the answer is 503.
type unavailableError struct {
	reason     string        // sent in the answer
	retryAfter time.Duration // sent in whole seconds, rounded up, at least one
}

// Error returns the reason, which is sent in the answer.
func (e *unavailableError) Error() string { return e.reason }

// retryLater returns the error of a request that the client should send again after a second.
func retryLater(reason string) error {
	return &unavailableError{reason: reason, retryAfter: time.Second}
}

// Errors that refuse users' requests while the node is short of processor time or connections.
var (
	errOverloaded       = retryLater("too much to do")
	errNoUserConnection = retryLater("no connection is free")
)

// ErrNoTerm means that a heartbeat cannot be answered now, for example because this node knows no
// leader's term yet. Its text is part of the answer.
var ErrNoTerm = errors.New("no answer can be given yet")

// RedirectError means that a worker has to send its heartbeats to another node.
type RedirectError struct {
	// Leader is the label of that node: the leader, or a controller that relays heartbeats to it. It is ""
	// if the worker has to find the node itself.
	Leader string
}

// Error names the node to go to. The answer carries a wire.Redirect instead of this text.
func (e *RedirectError) Error() string {
	if e.Leader == "" {
		return "not the leader, which is not known"
	}
	return "not the leader, which is " + e.Leader
}

// errNoWorkerConnection sends a worker to another node at once, since this one has no connection left for it.
var errNoWorkerConnection = &RedirectError{}

// MalformedError means that a heartbeat cannot be parsed.
type MalformedError struct{ Err error }

// Error returns the parse error's text, which is sent in the answer.
func (e *MalformedError) Error() string { return e.Err.Error() }

// Unwrap returns the parse error.
func (e *MalformedError) Unwrap() error { return e.Err }

// StatusOf maps the error of a request to the status of its answer; no other code does so.
// The answer has a Retry-After header if retryAfter is above zero.
func StatusOf(err error) (status int, retryAfter time.Duration) {
	if err == nil {
		return http.StatusOK, 0
	}
	var unavailable *unavailableError
	var redirect *RedirectError
	var malformed *MalformedError
	var httpErr *echo.HTTPError
	switch {
	case errors.As(err, &unavailable):
		return http.StatusServiceUnavailable, unavailable.retryAfter
	case errors.Is(err, errCannotServeHere), errors.Is(err, workerlease.ErrStale), errors.Is(err, ErrNoTerm):
		return http.StatusServiceUnavailable, time.Second
	case errors.As(err, &redirect):
		return http.StatusMisdirectedRequest, 0
	case errors.As(err, &malformed):
		return http.StatusBadRequest, 0
	case errors.As(err, &httpErr):
		return httpErr.Code, 0
	}
	return http.StatusInternalServerError, 0
}

// isUnavailable reports whether an error means that this node cannot serve a request now.
func isUnavailable(err error) bool {
	if err == nil {
		return false
	}
	var unavailable *unavailableError
	return errors.As(err, &unavailable) || errors.Is(err, errCannotServeHere)
}

// respondError answers a request with the status and the text that an error maps to.
func respondError(c echo.Context, err error) error {
	status, retryAfter := StatusOf(err)
	if retryAfter > 0 {
		setRetryAfter(c, retryAfter)
	}
	text := err.Error()
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) {
		text = http.StatusText(httpErr.Code)
		if message, ok := httpErr.Message.(string); ok {
			text = message
		}
	} else if status == http.StatusInternalServerError {
		slog.Error("request failed", "path", c.Path(), "err", err)
		text = "internal error"
	}
	return c.JSON(status, wire.ErrorResponse{Error: text})
}

// setRetryAfter sets the Retry-After header to wait in whole seconds, rounded up, at least one.
func setRetryAfter(c echo.Context, wait time.Duration) {
	c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(max(1, int(math.Ceil(wait.Seconds())))))
}

// EncodeHeartbeatAnswer returns the status and the body of the answer to a heartbeat.
// The body holds the commands, or the redirect or error text that err maps to.
func EncodeHeartbeatAnswer(commands *wire.Commands, err error) (status int, body []byte) {
	status, _ = StatusOf(err)
	if err == nil {
		return status, records.Encode(commands)
	}
	var redirect *RedirectError
	if errors.As(err, &redirect) {
		return status, records.Encode(&wire.Redirect{Leader: redirect.Leader})
	}
	return status, records.Encode(&wire.ErrorResponse{Error: err.Error()})
}

// commitError maps the error of a commit that failed, or whose outcome is unknown, to the error of the
// user's request. If this node's write budget is used up, the request is refused at once with a
// Retry-After. Otherwise another node may serve it.
func commitError(err error) error {
	var busy *store.BusyError
	if errors.As(err, &busy) {
		return &unavailableError{reason: "too many changes at once", retryAfter: busy.RetryAfter}
	}
	return errCannotServeHere
}

// statusError maps the error of reading a job's status to the error of the user's request. If the
// state store gets too many requests, the request is refused at once with a Retry-After, since
// forwarding it to a peer would only add to them. So it is if no node can know the status.
// Otherwise another node may serve it.
func (s *Server) statusError(err error) error {
	var busy *aimd.BusyError
	switch {
	case errors.Is(err, jobstatus.ErrCountsUnknown) && !s.LeaderIsCutOff():
		return retryLater(jobstatus.ErrCountsUnknown.Error())
	case errors.As(err, &busy):
		return &unavailableError{reason: "too many questions at once", retryAfter: busy.RetryAfter}
	case errors.Is(err, store.ErrThrottled):
		return retryLater("too many requests at once")
	}
	return errCannotServeHere
}
