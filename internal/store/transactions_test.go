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

// A commit whose answer is lost ends with an unknown outcome soon after later requests are answered.
// If the store answers no request at all, the commit waits for the whole timeout: the store may only
// be slow, and giving up early would send it more requests.
func TestOvertakenCommitsAreGivenUp(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			client := New("state:1", Limits{RequestsPerSecond: 100, WritesPerSecond: 100}, 2*time.Second, &lossyStore{reachable})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() {
				for ctx.Err() == nil {
					readCtx, stop := context.WithTimeout(ctx, 100*time.Millisecond)
					_, _, _ = client.Get(readCtx, "e/term") // only whether it is answered matters, not the result
					stop()
					time.Sleep(100 * time.Millisecond)
				}
			}()
			startedAt := time.Now()
			_, err := client.Commit(ctx, wire.Transaction{Changes: []wire.Change{{Drop: "x"}}})
			elapsed := time.Since(startedAt)
			if !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("store reachable %v: the commit returned error %v, want %v", reachable, err, ErrOutcomeUnknown)
			}
			if reachable && elapsed > 700*time.Millisecond || !reachable && elapsed != 2*time.Second {
				t.Errorf("store reachable %v: the commit ended after %s, want at most 700ms if reachable, else 2s", reachable, elapsed)
			}
			cancel()
			time.Sleep(time.Second)
		})
	}
}

// The error of a commit tells the caller whether the commit was executed and why it failed.
func TestCommitErrorsSayWhatHappened(t *testing.T) {
	for _, tc := range []struct {
		name    string
		status  int
		body    string
		wantErr error // compared with errors.Is; nil for *ConflictError and *RejectedError
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
			if tc.wantErr != nil && !errors.Is(err, tc.wantErr) {
				t.Errorf("error is %v, want %v", err, tc.wantErr)
			}
			if isUnknown := errors.Is(err, ErrOutcomeUnknown); isUnknown != errors.Is(tc.wantErr, ErrOutcomeUnknown) {
				t.Errorf("outcome is unknown: %v, want %v; error is %v", isUnknown, !isUnknown, err)
			}
			var conflict *ConflictError
			isConflict := errors.As(err, &conflict) && slices.Equal(conflict.Failed, []string{"j/run-000001"})
			if want := tc.status == http.StatusConflict; isConflict != want {
				t.Errorf("error names the conflicting key: %v, want %v; error is %v", isConflict, want, err)
			}
			var rejected *RejectedError
			isRejected := errors.As(err, &rejected) && slices.Equal(rejected.Keys, []string{"j/run-000001"})
			if want := tc.name == "rejected"; isRejected != want || (client.RejectedCommits() == 1) != want {
				t.Errorf("error names the rejected key: %v, want %v; counted %d; error is %v", isRejected, want, client.RejectedCommits(), err)
			}
		})
	}
}
