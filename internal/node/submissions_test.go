package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// serve passes a request to the handler of a node and returns the answer.
func serve(ctx context.Context, n *Node, method, path, body string) *httptest.ResponseRecorder {
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	rec := httptest.NewRecorder()
	n.Handler().ServeHTTP(rec, httptest.NewRequestWithContext(ctx, method, path, content))
	return rec
}

// reachStore makes a node read the state store, since it serves users only after a recent read.
func reachStore(t *testing.T, n *Node) {
	t.Helper()
	if _, _, err := n.store.Get(t.Context(), "e/term"); err != nil {
		t.Fatal(err)
	}
}

// A submission that cannot be committed is refused at once with a Retry-After header, both from the first
// moment of an outage of the state store and when the write budget is spent: waiting would only delay
// the refusal.
func TestSubmissionsThatCannotBeCommittedAreRefusedAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name        string
		state       fixedStatus
		writeBudget float64
		accepted    int
	}{
		{"outage", http.StatusServiceUnavailable, 100, 0},
		{"budget", http.StatusOK, 5, 3}, // each node may use six tenths of the writes for users
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkRefusals(t, tc.state, tc.writeBudget, tc.accepted) })
		})
	}
}

// checkRefusals submits 20 jobs to a node whose state store answers every request with a status after the first
// read, and checks that want of them are accepted and the others refused at once.
func checkRefusals(t *testing.T, status fixedStatus, writeBudget float64, want int) {
	t.Helper()
	state := fixedStatus(http.StatusOK)
	n := New(testConfig(100, writeBudget), Network{State: &state})
	n.catalog.Store(testCatalog())
	time.Sleep(time.Millisecond)
	reachStore(t, n)
	state = status
	accepted, last := 0, ""
	for i := range 20 {
		start := time.Now()
		rec := serve(t.Context(), n, http.MethodPost, "/work", fmt.Sprintf(jobDescription, i))
		if took := time.Since(start); took > 0 {
			t.Errorf("submission answered after %s, want at once", took)
		}
		last = rec.Body.String()
		switch rec.Code {
		case http.StatusCreated:
			accepted++
		case http.StatusServiceUnavailable:
			if rec.Header().Get(echo.HeaderRetryAfter) == "" {
				t.Error("submission refused without a Retry-After header")
			}
		default:
			t.Errorf("submission answered %d, want 201 or 503: %s", rec.Code, rec.Body)
		}
	}
	if accepted != want {
		t.Errorf("%d submissions were accepted, want %d; last answer %s", accepted, want, last)
	}
}

// A submission whose commit gets no answer is committed again while the state store answers other
// requests, so that the user need not repeat the submission. Without the second commit each such
// submission took 1.25 s and was then forwarded to another node.
func TestSubmissionIsCommittedAgainWhenItsAnswerIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := &lossyStore{fixedStatus(http.StatusOK), 1}
		n := New(testConfig(100, 100), Network{State: state})
		n.catalog.Store(testCatalog())
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for ctx.Err() == nil {
				// The test may cancel a read at the instant at which the read starts. That is not
				// a failed read.
				if _, _, err := n.store.Get(ctx, "e/term"); err != nil && ctx.Err() == nil {
					t.Error(err)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		time.Sleep(time.Second)
		start := time.Now()
		rec := serve(t.Context(), n, http.MethodPost, "/work", fmt.Sprintf(jobDescription, 1))
		if took := time.Since(start); rec.Code != http.StatusCreated || took > time.Second {
			t.Errorf("submission answered %d after %s, want 201 within 1 s", rec.Code, took)
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// A poll whose read is slow is not answered with an outdated status if another node has announced
// meanwhile that the job is cancelled.
func TestAnswersAreNotOlderThanWhatPeersAnnounced(t *testing.T) {
	state := &queuedJobStore{fixedStatus: http.StatusOK}
	n := New(testConfig(100, 100), Network{State: state})
	reachStore(t, n)
	poll := func() string { return serve(t.Context(), n, http.MethodGet, "/work/run-000001", "").Body.String() }
	if got := poll(); !strings.Contains(got, `"queued"`) {
		t.Fatalf("before the cancellation is announced the answer is %s, want status queued", got)
	}
	state.beforeAnswer = func() {
		n.ApplyCancellation(peer.Cancellation{UID: "run-000001", Record: records.Job{Status: wire.JobAborted}, ModRevision: 8})
	}
	if got := poll(); !strings.Contains(got, `"aborted"`) {
		t.Errorf("after the cancellation was announced the answer is %s, want status aborted", got)
	}
}
