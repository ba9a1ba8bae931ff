package timeralign

import (
	"context"
	"time"
)

// Sleep waits for d and returns true. It returns false at once when ctx ends before that.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
