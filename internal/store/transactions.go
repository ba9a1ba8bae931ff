package store

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// commitPath is where transactions are sent.
const commitPath = "/commit"

// overtakenDivisor: a commit waits at least this fraction (one over it) of the request time-out
// before it counts as overtaken.
const overtakenDivisor = 5

// Commit executes a compare-and-swap transaction and returns its revision. Its error wraps a
// *ConflictError, *BusyError, *RejectedError, ErrLeaseNotFound, ErrRefused (nothing happened) or
// ErrOutcomeUnknown.
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
		if bytes.Contains(answer, []byte("lease")) || bytes.Contains(answer, []byte("hold")) {
			return 0, fmt.Errorf("commit: %w", ErrLeaseNotFound)
		}
		c.rejectedCommits.Add(1)
		return 0, fmt.Errorf("commit: %w", &RejectedError{Keys: changedKeys(tx), Detail: string(answer)})
	}
	return 0, fmt.Errorf("commit: %w: status %d: %.200s", ErrRefused, status, answer)
}

// changedKeys lists the keys that a transaction changes.
func changedKeys(tx wire.Transaction) []string {
	keys := make([]string, 0, len(tx.Changes))
	for _, change := range tx.Changes {
		keys = append(keys, change.Set+change.Drop)
	}
	return keys
}

// withOvertakenCancel makes a context that ends when the request is overtaken: requests that
// were begun well after it have been executed, and it has no answer. Its answer is then
// lost or the store delays it, and to wait on would only delay what waits
// for the outcome. While nothing else is answered either, as on a slow node or
// link, that proves nothing: to give up would only add requests.
func (c *Client) withOvertakenCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	begun := time.Since(c.created)
	patience := c.timeout / overtakenDivisor
	var check func()
	var mu sync.Mutex
	var timer *time.Timer
	check = func() {
		mu.Lock()
		defer mu.Unlock()
		if time.Duration(c.lastExecuted.Load()) > begun+patience/2 {
			cancel()
		} else if ctx.Err() == nil {
			timer = time.AfterFunc(patience/4, check)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(patience, check)
	return ctx, func() {
		cancel()
		mu.Lock()
		defer mu.Unlock()
		timer.Stop()
	}
}
