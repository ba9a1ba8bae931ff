package store

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// Watch returns the changes under a prefix after a revision. If there are none yet, it waits for the
// first for up to maxWait. Its error wraps ErrCompacted if the store no longer keeps all of them.
func (c *Client) Watch(ctx context.Context, prefix string, afterRevision uint64, maxWait time.Duration) (wire.WatchResponse, error) {
	query := url.Values{
		"Under":  {prefix},
		"After":  {strconv.FormatUint(afterRevision, 10)},
		"HoldMs": {strconv.FormatInt(maxWait.Milliseconds(), 10)},
	}
	status, answer, err := c.call(ctx, http.MethodGet, "/changes?"+query.Encode(), nil, maxWait)
	if err != nil {
		return wire.WatchResponse{}, fmt.Errorf("watch %s: %w", prefix, err)
	}
	switch status {
	case http.StatusOK:
		var changes wire.WatchResponse
		if err := wire.Decode(answer, &changes); err != nil {
			return wire.WatchResponse{}, fmt.Errorf("watch %s: %w", prefix, err)
		}
		return changes, nil
	case http.StatusGone:
		return wire.WatchResponse{}, fmt.Errorf("watch %s: %w", prefix, ErrCompacted)
	}
	return wire.WatchResponse{}, fmt.Errorf("watch %s: status %d", prefix, status)
}
