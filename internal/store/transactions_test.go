package store

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// A commit whose answer is lost is given up once later requests are answered,
// and its outcome is unknown; on a store that answers nothing it waits for its
// time-out, so that a slow one is not asked twice.
func TestOvertakenCommitsAreGivenUp(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			client := New("state:1", Limits{RequestsPerSecond: 100, WritesPerSecond: 100}, 2*time.Second, &lossyStore{reachable})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() {
				for ctx.Err() == nil {
					readCtx, stop := context.WithTimeout(ctx, 100*time.Millisecond)
					_, _, _ = client.Get(readCtx, "e/term") // only whether it is answered matters
					stop()
					time.Sleep(100 * time.Millisecond)
				}
			}()
			begun := time.Now()
			_, err := client.Commit(ctx, wire.Transaction{Changes: []wire.Change{{Drop: "x"}}})
			took := time.Since(begun)
			if !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("store reachable %v: the commit ends with %v", reachable, err)
			}
			if reachable && took > 700*time.Millisecond || !reachable && took != 2*time.Second {
				t.Errorf("store reachable %v: given up after %s", reachable, took)
			}
			cancel()
			time.Sleep(time.Second)
		})
	}
}

// The error of a commit says what the caller may conclude: whether it was executed, and what was
// wrong with it.
func TestCommitErrorsSayWhatHappened(t *testing.T) {
	for _, tc := range []struct {
		name   string
		status int
		body   string
		is     error // matched with errors.Is; nil for the typed errors
	}{
		{"unavailable", http.StatusServiceUnavailable, "", ErrRefused},
		{"throttled", http.StatusTooManyRequests, "", ErrThrottled},
		{"another status", http.StatusTeapot, "", ErrRefused},
		{"unreadable answer", http.StatusOK, "{", ErrOutcomeUnknown},
		{"lease ended", http.StatusBadRequest, `{"Error":"no such hold"}`, ErrLeaseNotFound},
		{"compare failed", http.StatusConflict, `{"failed":["j/run-000001"]}`, nil},
		{"rejected", http.StatusBadRequest, `{"Error":"value too large"}`, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client := New("state:1", Limits{RequestsPerSecond: 100, WritesPerSecond: 100}, time.Second, fixedStore{tc.status, tc.body})
			_, err := client.Commit(t.Context(), wire.Transaction{Changes: []wire.Change{{Drop: "j/run-000001"}}})
			if tc.is != nil && !errors.Is(err, tc.is) {
				t.Errorf("error is %v, want %v", err, tc.is)
			}
			if isUnknown := errors.Is(err, ErrOutcomeUnknown); isUnknown != errors.Is(tc.is, ErrOutcomeUnknown) {
				t.Errorf("outcome is unknown: %v, by %v", isUnknown, err)
			}
			var conflict *ConflictError
			isConflict := errors.As(err, &conflict) && slices.Equal(conflict.Failed, []string{"j/run-000001"})
			if want := tc.status == http.StatusConflict; isConflict != want {
				t.Errorf("is a conflict on the key: %v, want %v: %v", isConflict, want, err)
			}
			var rejected *RejectedError
			isRejected := errors.As(err, &rejected) && slices.Equal(rejected.Keys, []string{"j/run-000001"})
			if want := tc.name == "rejected"; isRejected != want || (client.RejectedCommits() == 1) != want {
				t.Errorf("is rejected: %v, want %v: %v", isRejected, want, err)
			}
		})
	}
}
