package store

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net/http"

	"lotusstile.dev/lotusstile/wire"
)

// commitPath is where transactions are sent.
const commitPath = "/commit"

// Commit executes a compare-and-swap transaction and returns its revision. Its error wraps a
// *ConflictError, *BusyError, *RejectedError, ErrLeaseNotFound, ErrRefused or ErrOutcomeUnknown;
// errors.go lists what a caller may conclude from each.
func (c *Client) Commit(ctx context.Context, tx wire.Transaction) (revision uint64, err error) {
	if len(tx.Changes) > 0 {
		if err := c.reserveWrites(ctx, len(tx.Changes)); err != nil {
			return 0, fmt.Errorf("commit: %w", err)
		}
	}
	// The protocol wants empty lists, not null.
	if tx.Compares == nil {
		tx.Compares = []wire.Compare{}
	}
	if tx.Changes == nil {
		tx.Changes = []wire.Change{}
	}
	status, answer, err := c.call(ctx, http.MethodPost, commitPath, tx, 0)
	if err != nil {
		return 0, fmt.Errorf("commit: %w", err)
	}
	var response wire.TransactionResponse
	switch status {
	case http.StatusOK, http.StatusConflict:
		if err := wire.Decode(answer, &response); err != nil {
			return 0, fmt.Errorf("commit: %w: %w", ErrOutcomeUnknown, err)
		}
		if status == http.StatusConflict {
			return 0, &ConflictError{Failed: response.Failed}
		}
		return response.Revision, nil
	case http.StatusBadRequest:
		if namesLease(answer) {
			return 0, fmt.Errorf("commit: %w", ErrLeaseNotFound)
		}
		c.rejectedCommits.Add(1)
		return 0, fmt.Errorf("commit: %w", &RejectedError{Keys: changedKeys(tx), Detail: string(answer)})
	}
	// The protocol names no other status for a commit (call has dealt with 429 and 503), so it
	// promises nothing about the outcome: it calls that unknown only if there is no answer. That a
	// commit answered otherwise (500, 502, 504...) was not executed is this client's assumption.
	return 0, fmt.Errorf("commit: %w: status %d: %.200s", ErrRefused, status, answer)
}

// namesLease reports whether the answer to a commit with status 400 complains of a lease that has
// ended. The protocol has one status for that and for malformed or too large commits, so only the
// text of the error tells them apart ("no such lease"). The protocol's paths call a lease a hold,
// so either word is taken for it.
func namesLease(answer []byte) bool {
	return bytes.Contains(answer, []byte("lease")) || bytes.Contains(answer, []byte("hold"))
}

// changedKeys lists the keys that a transaction changes.
func changedKeys(tx wire.Transaction) []string {
	keys := make([]string, 0, len(tx.Changes))
	for _, change := range tx.Changes {
		keys = append(keys, cmp.Or(change.Set, change.Drop)) // a change has one of them
	}
	return keys
}
