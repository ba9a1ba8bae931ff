package watchcache

import (
	"context"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/store"
)

// Pacer limits how often reads are sent: Wait returns when the next one may be. It is implemented by
// aimd.Limiter.
type Pacer interface {
	Wait(ctx context.Context) error
}

// LinearizableReader brings a cache up to date for many callers at once. Every caller gets a read
// that began after its call; callers that arrive while one read is under way, or waits for its
// turn, share the next. So however many callers there are, the state store gets no more reads than
// the pacer allows. This is the one place that decides which read answers which caller. It is safe
// for concurrent use.
//
// A read belongs to all who wait for it, so it does not end with the context of any of them; it
// ends after the reader's time-out.
type LinearizableReader struct {
	cache    *Cache
	reader   Reader
	pacer    Pacer
	timeout  time.Duration // of one read
	patience time.Duration // for how long a read without an answer delays the next one

	mu      sync.Mutex
	running *sharedRead // the read that began latest; nil if it has ended
	waiting *sharedRead // the read that begins next; nil if nobody waits for one
}

// sharedRead is one read that several callers wait for.
type sharedRead struct {
	begun time.Time     // set under LinearizableReader.mu when the read starts
	done  chan struct{} // closed when the read has ended
	err   error         // set before done is closed
}

// patienceDivisor of the time-out of a read is how long it may delay the next one.
const patienceDivisor = 20

// NewLinearizableReader makes a LinearizableReader. timeout bounds one read from its start; the wait
// for the pacer comes before that.
func NewLinearizableReader(cache *Cache, reader Reader, pacer Pacer, timeout time.Duration) *LinearizableReader {
	return &LinearizableReader{
		cache:    cache,
		reader:   reader,
		pacer:    pacer,
		timeout:  timeout,
		patience: timeout / patienceDivisor,
	}
}

// Refresh returns nil once the cache has applied everything that was committed before the call. Its
// error is that of the read, or of ctx if that ends first.
func (r *LinearizableReader) Refresh(ctx context.Context) error {
	read := r.joinNextRead() //nolint:contextcheck // the read belongs to all who wait for it and has a time-out of its own
	select {
	case <-read.done:
		return read.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// joinNextRead returns the read that has not begun yet; if there is none it queues one.
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

// startRead starts a read in a goroutine of its own. r.mu is held.
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
func (r *LinearizableReader) startReadAfter(previous, next *sharedRead) {
	if previous != nil {
		patience := time.NewTimer(r.patience - time.Since(previous.begun))
		select {
		case <-previous.done:
		case <-patience.C:
		}
		patience.Stop()
	}
	// Its turn always comes: nobody else waits for the pacer, and its rate never falls to zero.
	err := r.pacer.Wait(context.Background())
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
