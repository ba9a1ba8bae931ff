package store

import (
	"errors"
	"fmt"
	"time"
)

// Errors that callers tell apart. What a caller may conclude about a commit that failed:
//
//	ErrRefused         not executed and never will be; it may be sent again. Also returned for
//	                   statuses that the protocol does not define; see Commit
//	ErrThrottled       as ErrRefused, which it wraps: the store receives too many requests
//	*BusyError         not sent: this node's write budget has no free capacity for it now
//	*ConflictError     not executed: a compare failed; read the keys again to see why
//	*RejectedError     not executed, and would not be if sent again unchanged
//	ErrLeaseNotFound   not executed: a lease that it names has ended
//	ErrOutcomeUnknown  executed, not executed, or executed later; only reading the keys shows which
var (
	// ErrRefused means that the state store did not execute the request.
	ErrRefused = errors.New("state store refused the request")
	// ErrThrottled means that the store refused the request because it receives too many. It wraps
	// ErrRefused.
	ErrThrottled = fmt.Errorf("%w: too many requests", ErrRefused)
	// ErrOutcomeUnknown means that the store may have executed the request, or may execute it later.
	ErrOutcomeUnknown = errors.New("outcome at the state store is unknown")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrPageOutOfOrder means that a page of a listing does not continue the previous page.
	ErrPageOutOfOrder = errors.New("page of a listing is out of order")
	// ErrCompacted means that a watch asked for changes that the store no longer keeps. The caller
	// has to list the keys again.
	ErrCompacted = errors.New("changes are no longer kept")
)

// BusyError means that a user's commit was not sent because it would exceed this node's write
// budget now.
type BusyError struct {
	RetryAfter time.Duration // how long the user should wait before trying again
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("no room in the write budget for %s", e.RetryAfter.Round(time.Millisecond))
}

// RejectedError means that the store rejected a commit as malformed or too large. It would reject
// the same commit again.
type RejectedError struct {
	Keys   []string // the keys that the commit would have changed
	Detail string   // body of the store's answer
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("state store rejected a change of %v: %.200s", e.Keys, e.Detail)
}

// ConflictError means that compares of a commit failed, so nothing was changed.
type ConflictError struct {
	Failed []string // keys whose compare failed
}

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("compares failed: %v", e.Failed) }
