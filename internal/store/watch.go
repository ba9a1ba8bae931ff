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

// Watch returns the changes under a prefix after a revision. If there are none yet it waits up to
// wait for the first. Its error wraps ErrCompacted if the store no longer keeps all of them.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (wire.WatchResponse, error) {
	query := url.Values{
		"Under":  {prefix},
		"After":  {strconv.FormatUint(after, 10)},
		"HoldMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	status, answer, err := c.call(ctx, http.MethodGet, "/changes?"+query.Encode(), nil, wait)
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
