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
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/workerlease"
	"lotusstile.dev/lotusstile/wire"
)

// errElsewhere means that this node cannot serve a request now, but another
// one may. Its text is part of the answer.
var errElsewhere = errors.New("cannot be served from here now")

// unavailableError means that a request cannot be decided now, here or elsewhere: 503.
type unavailableError struct {
	reason     string        // part of the answer
	retryAfter time.Duration // answered in whole seconds, at least one
}

// Error is part of the answer.
func (e *unavailableError) Error() string { return e.reason }

// retryLater is the error of a request that is worth another attempt in a second.
func retryLater(reason string) error {
	return &unavailableError{reason: reason, retryAfter: time.Second}
}

// Users are refused with these while the node is short of a resource.
var (
	errOverloaded       = retryLater("too much to do")
	errNoUserConnection = retryLater("no connection is free")
)

// ErrNoTerm means that a heartbeat cannot be answered before a term is known. Its text
// is part of the answer.
var ErrNoTerm = errors.New("no answer can be given yet")

// RedirectError means that a worker has to send its heartbeats elsewhere.
type RedirectError struct {
	Leader string // label of the controller to go to; "" if the worker has to look for it
}

// Error says where to go; the answer has it as a wire.Redirect.
func (e *RedirectError) Error() string {
	if e.Leader == "" {
		return "not the leader, which is not known"
	}
	return "not the leader, which is " + e.Leader
}

// errNoRoom sends a worker to another node at once: this one has no connection for it.
var errNoRoom = &RedirectError{}

// MalformedError means that a heartbeat cannot be parsed.
type MalformedError struct{ Err error }

// Error is part of the answer.
func (e *MalformedError) Error() string { return e.Err.Error() }

// Unwrap returns why it cannot be parsed.
func (e *MalformedError) Unwrap() error { return e.Err }

// StatusOf is the one mapping from the error of a request to the status of its answer.
// The answer has a Retry-After if retryAfter is over zero.
func StatusOf(err error) (status int, retryAfter time.Duration) {
	if err == nil {
		return http.StatusOK, 0
	}
	var unavailable *unavailableError
	var redirect *RedirectError
	var malformed *MalformedError
	var failed *echo.HTTPError
	switch {
	case errors.As(err, &unavailable):
		return http.StatusServiceUnavailable, unavailable.retryAfter
	case errors.Is(err, errElsewhere), errors.Is(err, workerlease.ErrStale), errors.Is(err, ErrNoTerm):
		return http.StatusServiceUnavailable, time.Second
	case errors.As(err, &redirect):
		return http.StatusMisdirectedRequest, 0
	case errors.As(err, &malformed):
		return http.StatusBadRequest, 0
	case errors.As(err, &failed):
		return failed.Code, 0
	}
	return http.StatusInternalServerError, 0
}

// isUnavailable reports whether an error says that a request cannot be decided now.
func isUnavailable(err error) bool {
	if err == nil {
		return false
	}
	var unavailable *unavailableError
	return errors.As(err, &unavailable) || errors.Is(err, errElsewhere)
}

// respondError answers a request with the status and the text of an error.
func respondError(c echo.Context, err error) error {
	status, retryAfter := StatusOf(err)
	if retryAfter > 0 {
		setRetryAfter(c, retryAfter)
	}
	text := err.Error()
	var failed *echo.HTTPError
	if errors.As(err, &failed) {
		text = http.StatusText(failed.Code)
		if message, ok := failed.Message.(string); ok {
			text = message
		}
	} else if status == http.StatusInternalServerError {
		slog.Error("request failed", "path", c.Path(), "err", err)
		text = "internal error"
	}
	return c.JSON(status, wire.ErrorResponse{Error: text})
}

// setRetryAfter sets Retry-After: the wait in whole seconds, rounded up, at least one.
func setRetryAfter(c echo.Context, wait time.Duration) {
	c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(max(1, int(math.Ceil(wait.Seconds())))))
}

// EncodeHeartbeatAnswer returns the status and the body of the answer to a heartbeat:
// the commands, or what the error maps to.
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

// changeError maps why a change could not be committed: the user is refused at once with a
// Retry-After if this node's write budget is spent; otherwise another node may serve the request.
func changeError(err error) error {
	var busy *store.BusyError
	if errors.As(err, &busy) {
		return &unavailableError{reason: "too many changes at once", retryAfter: busy.RetryAfter}
	}
	return errElsewhere
}

// pollError maps why a status could not be read: the user is refused at once with a Retry-After
// if the state store gets too many requests, since a peer's request would only add to them;
// otherwise another node may serve the request.
func pollError(err error) error {
	var busy *aimd.BusyError
	switch {
	case errors.As(err, &busy):
		return &unavailableError{reason: "too many questions at once", retryAfter: busy.RetryAfter}
	case errors.Is(err, store.ErrThrottled):
		return retryLater("too many requests at once")
	}
	return errElsewhere
}
