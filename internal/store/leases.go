package store

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// leasesPath is the path at which the state store grants leases; each lease has a path below it. The
// protocol calls leases holds.
const leasesPath = "/holds"

// GrantLease opens a lease that expires unless it is renewed within ttl, and returns its id. When the
// lease ends, the store drops the keys that are attached to it.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (leaseID uint64, err error) {
	status, answer, err := c.call(ctx, http.MethodPost, leasesPath, wire.LeaseRequest{TTLMs: ttl.Milliseconds()}, 0)
	if err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	if status != http.StatusOK {
		return 0, fmt.Errorf("grant lease: status %d", status)
	}
	var lease wire.Lease
	if err := wire.Decode(answer, &lease); err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	return lease.LeaseID, nil
}

// RenewLease extends a lease by its time to live from now. Its error wraps ErrLeaseNotFound if the
// lease has ended; after any other error the lease may still be valid.
func (c *Client) RenewLease(ctx context.Context, leaseID uint64) error {
	status, _, err := c.call(ctx, http.MethodPost, leasePath(leaseID)+"/touch", nil, 0)
	if err != nil {
		return fmt.Errorf("renew lease: %w", err)
	}
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return fmt.Errorf("renew lease: %w", ErrLeaseNotFound)
	}
	return fmt.Errorf("renew lease: status %d", status)
}

// RevokeLease ends a lease at once. Its error wraps ErrRefused or ErrOutcomeUnknown. Every status but
// 429 and 503 counts as success: status 404 means that the lease has ended already, and a lease that
// could not be revoked expires by itself.
func (c *Client) RevokeLease(ctx context.Context, leaseID uint64) error {
	_, _, err := c.call(ctx, http.MethodDelete, leasePath(leaseID), nil, 0)
	if err != nil {
		return fmt.Errorf("revoke lease: %w", err)
	}
	return nil
}

func leasePath(leaseID uint64) string {
	return leasesPath + "/" + strconv.FormatUint(leaseID, 10)
}
