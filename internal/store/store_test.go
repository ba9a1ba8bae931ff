package store

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// lossy is a state service that never answers commits, and reads only if it is
// well.
type lossy struct{ well bool }

func (l *lossy) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasSuffix(r.URL.Path, "/commit") || !l.well {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	rec := httptest.NewRecorder()
	rec.WriteString("{}")
	return rec.Result(), nil
}

// A commit whose answer is lost is given up once later requests are answered,
// and its outcome is unknown; on a service that answers nothing it waits for its
// time-out, so that a slow one is not asked twice.
func TestOvertakenCommitsAreGivenUp(t *testing.T) {
	for _, well := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := New("state:1", Limits{RequestsPerSecond: 100, WritesPerSecond: 100}, 2*time.Second, &lossy{well})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() {
				for ctx.Err() == nil {
					rctx, stop := context.WithTimeout(ctx, 100*time.Millisecond)
					_, _, _ = c.Get(rctx, "e/term") // only whether it is answered matters
					stop()
					time.Sleep(100 * time.Millisecond)
				}
			}()
			begun := time.Now()
			_, err := c.Commit(ctx, wire.Transaction{Changes: []wire.Change{{Drop: "x"}}})
			took := time.Since(begun)
			if !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("well %v: %v", well, err)
			}
			if well && took > 700*time.Millisecond || !well && took != 2*time.Second {
				t.Errorf("well %v: given up after %s", well, took)
			}
			cancel()
			time.Sleep(time.Second)
		})
	}
}

// throttling is a state service that gets too many requests.
type throttling struct{}

func (throttling) RoundTrip(*http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	rec.WriteHeader(http.StatusTooManyRequests)
	return rec.Result(), nil
}

// Whatever is refused for too many requests cuts what users may ask, also a question that is a
// transaction without changes; a commit that changes something does not, since it may have been refused
// for its changes. The transaction was once taken for such a commit.
func TestQuestionsGiveWayToRefusedRequests(t *testing.T) {
	guards := []wire.Compare{{Key: "j/run-000001"}}
	for _, tc := range []struct {
		name string
		ask  func(c *Client) error
		cut  bool
	}{
		{"a hold", func(c *Client) error { return c.RenewLease(WithUrgentLane(t.Context()), 1) }, true},
		{"a question", func(c *Client) error { _, _, err := c.Get(WithLookupLane(t.Context()), "f/run-000001"); return err }, true},
		{"a question by a transaction", func(c *Client) error {
			_, err := c.Commit(WithLookupLane(t.Context()), wire.Transaction{Compares: guards})
			return err
		}, true},
		{"a commit", func(c *Client) error {
			_, err := c.Commit(t.Context(), wire.Transaction{Compares: guards, Changes: []wire.Change{{Drop: "j/run-000001"}}})
			return err
		}, false},
	} {
		c := New("state:1", Limits{RequestsPerSecond: 100, WritesPerSecond: 100, Nodes: 1}, time.Second, throttling{})
		before := c.LookupLimiter().Rate()
		if err := tc.ask(c); !errors.Is(err, ErrThrottled) || !errors.Is(err, ErrRefused) {
			t.Errorf("%s: %v", tc.name, err)
		}
		if cut := c.LookupLimiter().Rate() < before && c.SharedReadLimiter().Cuts() == 1; cut != tc.cut || c.ThrottledRequests() != 1 {
			t.Errorf("%s: what users may ask is cut: %v, want %v", tc.name, cut, tc.cut)
		}
	}
}
