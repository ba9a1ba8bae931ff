package watchcache

import (
	"context"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/store"
)

// Pacer lets whoever asks a service wait for its turn.
type Pacer interface {
	Wait(ctx context.Context) error
}

// LinearizableReader brings a mirror up to date for many callers at once. Every caller gets
// a read that began after it called; callers that come while one read is under way, or
// waits for its turn, share the next. This is the one place that decides which read
// answers which question. So however many ask, the state service gets no more reads
// than the pace allows.
type LinearizableReader struct {
	cache    *Cache
	reader   Reader
	pace     Pacer
	timeout  time.Duration // of one read
	patience time.Duration // after it, a read that is not answered holds up no other

	mu      sync.Mutex
	running *sharedRead // the read that began last; nil if it has ended
	waiting *sharedRead // the read that begins next; nil if nobody waits for one
}

// sharedReadLane is one read and those who wait for it.
type sharedRead struct {
	begun time.Time
	done  chan struct{} // closed when it has ended
	err   error         // set before done is closed
}

// NewLinearizableReader makes a Refresher whose reads keep to a pace.
func NewLinearizableReader(cache *Cache, r Reader, pace Pacer, timeout time.Duration) *LinearizableReader {
	const patienceShare = 20
	return &LinearizableReader{cache: cache, reader: r, pace: pace, timeout: timeout, patience: timeout / patienceShare}
}

// Refresh returns nil once the mirror knows all that was committed before the call.
func (r *LinearizableReader) Refresh(ctx context.Context) error {
	read := r.joinNextRead()
	select {
	case <-read.done:
		return read.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// joinNextRead finds a read that has not begun yet, or makes one.
func (r *LinearizableReader) joinNextRead() *sharedRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting != nil {
		return r.waiting
	}
	read := &sharedRead{done: make(chan struct{})}
	r.waiting = read
	go r.startReadAfter(r.running, read)
	return read
}

// startRead starts a read. r.mu is held.
func (r *LinearizableReader) startRead(read *sharedRead) {
	read.begun = time.Now()
	r.running = read
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
		defer cancel()
		read.err = r.cache.Refresh(store.WithSharedReadLane(ctx), r.reader)
		r.mu.Lock()
		if r.running == read {
			r.running = nil
		}
		r.mu.Unlock()
		close(read.done)
	}()
}

// startReadAfter starts the next read in its turn, when the one before, if there is any, has ended
// or has taken too long.
func (r *LinearizableReader) startReadAfter(before, next *sharedRead) {
	if before != nil {
		patience := time.NewTimer(r.patience - time.Since(before.begun))
		select {
		case <-before.done:
		case <-patience.C:
		}
		patience.Stop()
	}
	// Its turn comes: the pace has no other askers, and it has a least rate.
	err := r.pace.Wait(context.Background())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = nil
	if err != nil {
		next.err = err
		close(next.done)
		return
	}
	r.startRead(next)
}
