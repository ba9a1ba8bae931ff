package store

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net/http"

	"lotusstile.dev/lotusstile/wire"
)

// commitPath is the path to which transactions are sent.
const commitPath = "/commit"

// Commit executes a compare-and-swap transaction and returns its revision. Its error wraps a
// *ConflictError, *BusyError, *RejectedError, ErrLeaseNotFound, ErrRefused or ErrOutcomeUnknown;
// errors.go lists what a caller may conclude from each of them.
func (c *Client) Commit(ctx context.Context, tx wire.Transaction) (revision uint64, err error) {
	if len(tx.Changes) > 0 {
		if err := c.reserveWrites(ctx, len(tx.Changes)); err != nil {
			return 0, fmt.Errorf("commit: %w", err)
		}
	}
	// The protocol requires empty lists, not null.
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
	// The protocol defines no other status for a commit (call has handled 429 and 503). It says that the
	// outcome is unknown if there is no answer, but nothing about an answer with another status (500,
	// 502, 504...). This client assumes that such a commit was not executed.
	return 0, fmt.Errorf("commit: %w: status %d: %.200s", ErrRefused, status, answer)
}

// namesLease reports whether an answer with status 400 means that a lease of the commit has ended. The
// protocol uses the same status for commits that are malformed or too large, so only the error text
// tells them apart ("no such lease"). The protocol's paths call a lease a hold, so both words count.
func namesLease(answer []byte) bool {
	return bytes.Contains(answer, []byte("lease")) || bytes.Contains(answer, []byte("hold"))
}

// changedKeys lists the keys that a transaction changes.
func changedKeys(tx wire.Transaction) []string {
	keys := make([]string, 0, len(tx.Changes))
	for _, change := range tx.Changes {
		keys = append(keys, cmp.Or(change.Set, change.Drop)) // a change has exactly one of the two
	}
	return keys
}
