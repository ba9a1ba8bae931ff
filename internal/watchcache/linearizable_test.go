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

// Every caller gets a read that began after its call: what was committed before
// is known then, also when another read was under way already. An answer from the
// read under way would have missed it. Callers share reads, and one that is not
// answered delays no other for long.
func TestRefreshReadBeginsAfterTheCall(t *testing.T) {
	const callers, timeout = 40, 2 * time.Second
	for _, tc := range []struct {
		name      string
		answer    func(read int) time.Duration
		mostReads int
		mostWait  time.Duration
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
				service := &slowStore{fakeStore: newFakeStore(), answer: tc.answer}
				cache := New()
				cache.Reset(nil, 0, time.Now())
				reader := NewLinearizableReader(cache, service, unpaced{}, timeout)
				var wg sync.WaitGroup
				for i := range callers {
					time.Sleep(3 * time.Millisecond)
					uid := fmt.Sprintf("run-%06d", i)
					service.mu.Lock()
					service.set(uid, wire.JobQueued)
					service.mu.Unlock()
					wg.Go(func() {
						began := time.Now()
						ctx, cancel := context.WithTimeout(context.Background(), tc.mostWait)
						defer cancel()
						err := reader.Refresh(ctx)
						if err != nil && i == 0 && tc.name == "one is lost" {
							return // its own read is the lost one
						}
						if err != nil {
							t.Errorf("%s: %v after %s", uid, err, time.Since(began))
						}
						if !cache.Has(uid) {
							t.Errorf("%s was committed before the call and is not known", uid)
						}
					})
				}
				wg.Wait()
				if service.reads > tc.mostReads {
					t.Errorf("%d reads for %d calls, want at most %d", service.reads, callers, tc.mostReads)
				}
				time.Sleep(timeout)
			})
		})
	}
}
