package store

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// A request that the store refuses because it receives too many cuts the budgets of users' reads. This
// includes a transaction without changes, which is a read; it was once mistaken for a commit. A commit
// with changes cuts no budget, since it may have exceeded the write limit.
func TestThrottledRequestsCutUserReads(t *testing.T) {
	compares := []wire.Compare{{Key: "j/run-000001"}}
	for _, tc := range []struct {
		name    string
		send    func(c *Client) error
		wantCut bool
	}{
		{"renewal of the leader's lease", func(c *Client) error {
			return c.RenewLease(WithUrgentLane(t.Context()), 1)
		}, true},
		{"lookup", func(c *Client) error {
			_, _, err := c.Get(WithLookupLane(t.Context()), "f/run-000001")
			return err
		}, true},
		{"lookup by a transaction", func(c *Client) error {
			_, err := c.Commit(WithLookupLane(t.Context()), wire.Transaction{Compares: compares})
			return err
		}, true},
		{"commit", func(c *Client) error {
			changes := []wire.Change{{Drop: "j/run-000001"}}
			_, err := c.Commit(t.Context(), wire.Transaction{Compares: compares, Changes: changes})
			return err
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			throttlingStore := fixedStore{status: http.StatusTooManyRequests}
			client := New("state:1", Limits{RequestsPerSecond: 100, WritesPerSecond: 100, Nodes: 1}, time.Second, throttlingStore)
			before := client.LookupLimiter().Rate()
			if err := tc.send(client); !errors.Is(err, ErrThrottled) || !errors.Is(err, ErrRefused) {
				t.Errorf("the request returned error %v, want %v", err, ErrThrottled)
			}
			cut := client.LookupLimiter().Rate() < before && client.SharedReadLimiter().Cuts() == 1
			if cut != tc.wantCut || client.ThrottledRequests() != 1 {
				t.Errorf("budgets of users' reads cut: %v, want %v; %d throttled requests, want 1", cut, tc.wantCut, client.ThrottledRequests())
			}
		})
	}
}
