package watchcache

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// Every caller waits for a read that starts after its call, even if another read is running already, so
// the cache then has everything that was committed before the call. The answer to the running read
// could lack it. Callers share reads, and a read that is not answered delays the next only for a while.
func TestRefreshReadBeginsAfterTheCall(t *testing.T) {
	const callers, timeout = 40, 2 * time.Second
	for _, tc := range []struct {
		name     string
		delay    func(read int) time.Duration
		maxReads int
		maxWait  time.Duration
	}{
		{"quick", func(int) time.Duration { return time.Millisecond }, callers, 2 * time.Millisecond},
		{"slow", func(int) time.Duration { return 50 * time.Millisecond }, callers / 8, 100 * time.Millisecond},
		{"one is lost", func(read int) time.Duration {
			if read == 0 {
				return time.Hour
			}
			return 5 * time.Millisecond
		}, callers, 105 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				slow := &slowStore{fakeStore: newFakeStore(), delay: tc.delay}
				cache := New()
				cache.Reset(nil, 0, time.Now())
				reader := NewLinearizableReader(cache, slow, noPacer{}, timeout)
				var wg sync.WaitGroup
				for i := range callers {
					time.Sleep(3 * time.Millisecond)
					uid := fmt.Sprintf("run-%06d", i)
					slow.mu.Lock()
					slow.set(uid, wire.JobQueued)
					slow.mu.Unlock()
					wg.Go(func() {
						startedAt := time.Now()
						ctx, cancel := context.WithTimeout(context.Background(), tc.maxWait)
						defer cancel()
						err := reader.Refresh(ctx)
						if err != nil && i == 0 && tc.name == "one is lost" {
							return // the lost read is this caller's own
						}
						if err != nil {
							t.Errorf("%s: refresh failed after %s: %v", uid, time.Since(startedAt), err)
						}
						if !cache.Has(uid) {
							t.Errorf("%s was committed before the call but is not in the cache", uid)
						}
					})
				}
				wg.Wait()
				if slow.reads > tc.maxReads {
					t.Errorf("%d reads for %d calls, want at most %d", slow.reads, callers, tc.maxReads)
				}
				time.Sleep(timeout)
			})
		})
	}
}
