package store

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// Whatever is refused for too many requests cuts the budgets of users' reads, also a read that is a
// transaction without changes; a commit that changes something does not, since it may have been refused
// for its changes. The transaction was once taken for such a commit.
func TestThrottledRequestsCutUserReads(t *testing.T) {
	compares := []wire.Compare{{Key: "j/run-000001"}}
	for _, tc := range []struct {
		name string
		send func(c *Client) error
		cut  bool
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
			throttling := fixedStore{status: http.StatusTooManyRequests}
			client := New("state:1", Limits{RequestsPerSecond: 100, WritesPerSecond: 100, Nodes: 1}, time.Second, throttling)
			before := client.LookupLimiter().Rate()
			if err := tc.send(client); !errors.Is(err, ErrThrottled) || !errors.Is(err, ErrRefused) {
				t.Errorf("the request ends with %v", err)
			}
			cut := client.LookupLimiter().Rate() < before && client.SharedReadLimiter().Cuts() == 1
			if cut != tc.cut || client.ThrottledRequests() != 1 {
				t.Errorf("users' reads are cut: %v, want %v", cut, tc.cut)
			}
		})
	}
}
