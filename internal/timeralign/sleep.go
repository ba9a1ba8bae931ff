package timeralign

import (
	"context"
	"time"
)

// Sleep waits for d and returns true. If ctx ends first, it returns false at once.
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
