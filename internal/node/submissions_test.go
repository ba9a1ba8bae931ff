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

// serve lets a node answer a request.
func serve(ctx context.Context, n *Node, method, path, body string) *httptest.ResponseRecorder {
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	rec := httptest.NewRecorder()
	n.Handler().ServeHTTP(rec, httptest.NewRequestWithContext(ctx, method, path, content))
	return rec
}

// reachStore lets a node read the state store, so that it serves users.
func reachStore(t *testing.T, n *Node) {
	t.Helper()
	if _, _, err := n.store.Get(t.Context(), "e/term"); err != nil {
		t.Fatal(err)
	}
}

// A submission that cannot be accepted is answered at once with a Retry-After, from the
// first moment of an outage of the state store and when the write budget is spent:
// a wait would only postpone the refusal.
func TestSubmissionsThatCannotBeCommittedAreRefusedAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name     string
		state    fixedStatus
		budget   float64
		accepted int
	}{
		{"outage", http.StatusServiceUnavailable, 100, 0},
		{"budget", http.StatusOK, 5, 3}, // a node has six tenths
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkRefusals(t, tc.state, tc.budget, tc.accepted) })
		})
	}
}

// checkRefusals submits 20 jobs to a node whose state store answers with a status once it
// has been reached.
func checkRefusals(t *testing.T, status fixedStatus, budget float64, want int) {
	t.Helper()
	state := fixedStatus(http.StatusOK)
	n := New(testConfig(100, budget), Network{State: &state})
	n.catalog.Store(testCatalog())
	time.Sleep(time.Millisecond)
	reachStore(t, n)
	state = status
	accepted, last := 0, ""
	for i := range 20 {
		began := time.Now()
		rec := serve(t.Context(), n, http.MethodPost, "/work", fmt.Sprintf(jobDescription, i))
		if took := time.Since(began); took > 0 {
			t.Errorf("answered after %s", took)
		}
		last = rec.Body.String()
		switch rec.Code {
		case http.StatusCreated:
			accepted++
		case http.StatusServiceUnavailable:
			if rec.Header().Get(echo.HeaderRetryAfter) == "" {
				t.Error("no Retry-After")
			}
		default:
			t.Errorf("answered %d: %s", rec.Code, rec.Body)
		}
	}
	if accepted != want {
		t.Errorf("%d submissions were accepted, expected %d; last answer %s", accepted, want, last)
	}
}

// A submission whose commit gets no answer is committed again while the state store answers
// other requests, so that the user need not repeat it: before, each such submission took
// 1.25 s and was then forwarded to another node.
func TestSubmissionIsCommittedAgainWhenItsAnswerIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := &lossyStore{fixedStatus(http.StatusOK), 1}
		n := New(testConfig(100, 100), Network{State: state})
		n.catalog.Store(testCatalog())
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for ctx.Err() == nil {
				// A read that the end of the test cancels at once has not failed: the answer
				// to the submission and the start of this read may fall on the same instant,
				// in either order.
				if _, _, err := n.store.Get(ctx, "e/term"); err != nil && ctx.Err() == nil {
					t.Error(err)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		time.Sleep(time.Second)
		begun := time.Now()
		rec := serve(t.Context(), n, http.MethodPost, "/work", fmt.Sprintf(jobDescription, 1))
		if took := time.Since(begun); rec.Code != http.StatusCreated || took > time.Second {
			t.Errorf("answered %d after %s", rec.Code, took)
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// A poll whose read is slow is not answered with a status that was true before another node
// confirmed that the job is cancelled.
func TestAnswersAreNotOlderThanWhatPeersAnnounced(t *testing.T) {
	state := &slowStore{fixedStatus: http.StatusOK}
	n := New(testConfig(100, 100), Network{State: state})
	reachStore(t, n)
	ask := func() string { return serve(t.Context(), n, http.MethodGet, "/work/run-000001", "").Body.String() }
	if got := ask(); !strings.Contains(got, `"queued"`) {
		t.Fatalf("before it is announced the answer is %s", got)
	}
	state.meanwhile = func() {
		n.ApplyCancellation(peer.Cancellation{UID: "run-000001", Record: records.Job{Status: wire.JobAborted}, ModRevision: 8})
	}
	if got := ask(); !strings.Contains(got, `"aborted"`) {
		t.Errorf("after another node announced that it is cancelled: %s", got)
	}
}
