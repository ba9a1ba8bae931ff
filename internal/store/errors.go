package store

import (
	"errors"
	"fmt"
	"time"
)

// Errors that callers tell apart. What a caller may conclude about a commit:
//
//	ErrRefused         not executed and never will be; it may be sent again. Statuses that the
//	                   protocol does not name are taken for this too; see Commit
//	ErrThrottled       the same (it wraps ErrRefused): the store gets too many requests
//	*BusyError         not sent: this node's budget has no room for it now
//	*ConflictError     not executed: a compare failed, and reading the keys again tells why
//	*RejectedError     not executed, nor would it be if sent again unchanged
//	ErrLeaseNotFound   not executed: the lease that it names has ended
//	ErrOutcomeUnknown  executed, not executed, or executed later: only a read of the keys tells
var (
	// ErrRefused means that the state store did not execute the request.
	ErrRefused = errors.New("state store refused the request")
	// ErrThrottled means that the store refused the request because it gets too many. It wraps
	// ErrRefused.
	ErrThrottled = fmt.Errorf("%w: too many requests", ErrRefused)
	// ErrOutcomeUnknown means that the store may have executed the request, or may still do so.
	ErrOutcomeUnknown = errors.New("outcome at the state store is unknown")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrPageOutOfOrder means that a page of a listing does not continue the page before.
	ErrPageOutOfOrder = errors.New("page of a listing is out of order")
	// ErrCompacted means that a watch asked for changes that the store no longer keeps: list
	// the keys again.
	ErrCompacted = errors.New("changes are no longer kept")
)

// BusyError means that a user's commit does not fit into this node's budget now. It was not
// sent.
type BusyError struct {
	RetryAfter time.Duration // when there will be room
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("no room in the write budget for %s", e.RetryAfter.Round(time.Millisecond))
}

// RejectedError means that the store takes a commit for malformed or for larger than its limits
// allow. Sent again unchanged, it would be rejected again.
type RejectedError struct {
	Keys   []string // that the commit was to change
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
