package watchcache

import (
	"context"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/store"
)

// Pacer limits how often reads are sent: Wait returns when the next read may be sent. aimd.Limiter
// implements it.
type Pacer interface {
	Wait(ctx context.Context) error
}

// LinearizableReader brings a cache up to date for many callers at once. Every caller waits for a read
// that starts after its call. All callers that arrive before that read starts share it, so the state
// store receives no more reads than the pacer allows, however many callers there are. No other code
// decides which read answers which caller. A LinearizableReader is safe for concurrent use.
//
// Since callers share a read, it does not end when the context of one of them ends. It has the timeout
// of the LinearizableReader instead.
type LinearizableReader struct {
	cache    *Cache
	reader   Reader
	pacer    Pacer
	timeout  time.Duration // of one read
	maxDelay time.Duration // how long a read without an answer may delay the next one

	mu      sync.Mutex
	running *sharedRead // the read that started last; nil if it has ended
	waiting *sharedRead // the read that starts next; nil if no caller waits for one
}

// sharedRead is one read that several callers wait for.
type sharedRead struct {
	startedAt time.Time     // set under LinearizableReader.mu when the read starts
	done      chan struct{} // closed when the read has ended
	err       error         // set before done is closed
}

// maxDelayDivisor: a read without an answer delays the next one for at most the read's timeout divided
// by this.
const maxDelayDivisor = 20

// NewLinearizableReader makes a LinearizableReader. timeout bounds one read; the wait for the pacer
// before the read does not count.
func NewLinearizableReader(cache *Cache, reader Reader, pacer Pacer, timeout time.Duration) *LinearizableReader {
	return &LinearizableReader{
		cache:    cache,
		reader:   reader,
		pacer:    pacer,
		timeout:  timeout,
		maxDelay: timeout / maxDelayDivisor,
	}
}

// Refresh returns nil once the cache has applied everything that was committed before the call. Its
// error is that of the read, or that of ctx if ctx ends first.
func (r *LinearizableReader) Refresh(ctx context.Context) error {
	read := r.joinNextRead() //nolint:contextcheck // callers share the read, which has its own timeout
	select {
	case <-read.done:
		return read.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// joinNextRead returns the read that has not started yet; if there is none, it queues one.
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
	read.startedAt = time.Now()
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

// startReadAfter starts the next read once the previous one, if there is any, has ended or has taken
// maxDelay, and the pacer allows it.
func (r *LinearizableReader) startReadAfter(previous, next *sharedRead) {
	if previous != nil {
		delayTimer := time.NewTimer(r.maxDelay - time.Since(previous.startedAt))
		select {
		case <-previous.done:
		case <-delayTimer.C:
		}
		delayTimer.Stop()
	}
	// This wait always ends: nothing else waits for the pacer, and the pacer's rate never falls to 0.
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
