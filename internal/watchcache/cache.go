// Package watchcache keeps a node's copy of the jobs that the state store holds. A watch keeps the copy
// up to date. Before the node answers a user, a linearizable read makes sure that the copy has every
// commit from before the user's request.
package watchcache

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// Entry is a job and the modification revision of its record.
type Entry struct {
	Job         *records.Job // nil if the record was dropped
	ModRevision uint64
}

// Listener is called for every change of a job's record. entry.Job is nil if the record was dropped,
// which means that the job is archived. See SetListener for what a listener may call.
type Listener func(uid string, entry Entry)

// Cache is a node's copy of the jobs that are not archived. Every node has one, so that a follower
// knows which jobs are cancelled and a new leader has the jobs at once. It is safe for concurrent use.
//
// The cache records how fresh its copy is: the copy has every commit from before the start of the
// latest read that was applied. The time of the node's latest answered request would not show that:
// while other requests succeed, the watch may be refused, hang on a dead connection or sleep after an
// error.
type Cache struct {
	mu        sync.Mutex // guards all fields but freshAsOf; held while the listener is called
	jobs      map[string]Entry
	revision  uint64                    // all changes up to this revision are applied
	freshAsOf atomic.Pointer[time.Time] // every commit before this time is applied; nil before the first listing
	listener  Listener
}

// New makes an empty cache.
func New() *Cache { return &Cache{jobs: map[string]Entry{}} }

// Run keeps the cache up to date until ctx ends. See Follow for maxWait and retryDelay.
func (c *Cache) Run(ctx context.Context, reader Reader, maxWait, retryDelay time.Duration) {
	Follow(ctx, reader, records.JobPrefix, maxWait, retryDelay, c)
}

// ErrNotSynced means that Refresh failed because a listing has to be applied to the cache first.
var ErrNotSynced = errors.New("jobs are not listed yet")

// Refresh applies every commit from before the call, independently of the watch: it reads the changes
// since the cache's revision, without waiting for one. Before the first listing it sends no request
// and returns ErrNotSynced.
func (c *Cache) Refresh(ctx context.Context, reader Reader) error {
	c.mu.Lock()
	afterRevision := c.revision
	c.mu.Unlock()
	if !c.HasSynced() {
		return ErrNotSynced
	}
	startedAt := time.Now()
	changes, err := reader.Watch(ctx, records.JobPrefix, afterRevision, 0)
	if err != nil {
		return fmt.Errorf("refresh jobs: %w", err)
	}
	c.Apply(changes, afterRevision, startedAt)
	if c.FreshAsOf().Before(startedAt) {
		return ErrNotSynced // Apply skipped the changes: an older listing was applied during the read
	}
	return nil
}

// Reset applies a listing that started at startedAt. A listing is read page by page, so only what was
// committed before its start is sure to be in it. Changes after its revision therefore have to be
// applied again. Reset implements Handler.
func (c *Cache) Reset(items []wire.KeyValue, revision uint64, startedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		uid := strings.TrimPrefix(item.Key, records.JobPrefix)
		listed[uid] = true
		c.decodeAndSet(uid, item.Value, item.ModRevision)
	}
	for uid := range c.jobs {
		if !listed[uid] {
			c.deleteEntry(uid, revision)
		}
	}
	// The listing may be older than the cache. Going back to its revision makes the later changes apply
	// again. Otherwise a job that is in the listing but was archived later would stay for ever.
	c.revision = revision
	c.advanceFreshness(startedAt)
}

// Apply applies the changes after afterRevision, from a read that started at startedAt. A watch and a
// Refresh may overlap, so changes that are already applied are skipped. If there is a gap between the
// cache's revision and afterRevision, none of the changes are applied. Apply implements Handler.
func (c *Cache) Apply(changes wire.WatchResponse, afterRevision uint64, startedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if afterRevision > c.revision {
		return // a listing has set the revision back since the read started
	}
	for _, event := range changes.Events {
		if event.ModRevision <= c.revision {
			continue
		}
		if event.Drop != "" {
			c.deleteEntry(strings.TrimPrefix(event.Drop, records.JobPrefix), event.ModRevision)
		} else {
			c.decodeAndSet(strings.TrimPrefix(event.Set, records.JobPrefix), event.Value, event.ModRevision)
		}
	}
	c.revision = max(c.revision, changes.Revision)
	c.advanceFreshness(startedAt)
}

// advanceFreshness records that every commit from before at is applied. c.mu is held.
func (c *Cache) advanceFreshness(at time.Time) {
	if at.After(c.FreshAsOf()) {
		c.freshAsOf.Store(&at)
	}
}

// ApplyFromPeer applies a job's record that another node sends, which may arrive before the watch
// returns it. FreshAsOf does not change. A job that is not in the cache is ignored, since it may be
// archived already.
func (c *Cache) ApplyFromPeer(uid string, job records.Job, modRevision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.jobs[uid]; ok && old.ModRevision < modRevision {
		c.setEntry(uid, Entry{&job, modRevision})
	}
}

// decodeAndSet sets a job from the value of its record, unless the cache has the same record or a newer
// one. c.mu is held.
func (c *Cache) decodeAndSet(uid string, value json.RawMessage, modRevision uint64) {
	if old, ok := c.jobs[uid]; ok && old.ModRevision >= modRevision {
		return
	}
	var job records.Job
	if err := wire.Decode(value, &job); err != nil {
		slog.Error("job record cannot be decoded", "uid", uid, "err", err)
		return
	}
	c.setEntry(uid, Entry{&job, modRevision})
}

// setEntry sets a job and calls the listener. No other function sets jobs. c.mu is held.
func (c *Cache) setEntry(uid string, entry Entry) {
	c.jobs[uid] = entry
	if c.listener != nil {
		c.listener(uid, entry)
	}
}

// deleteEntry removes a job and calls the listener, unless the cache has a record that is newer than
// modRevision. No other function removes jobs. c.mu is held.
func (c *Cache) deleteEntry(uid string, modRevision uint64) {
	if old, ok := c.jobs[uid]; ok && old.ModRevision > modRevision {
		return
	}
	delete(c.jobs, uid)
	if c.listener != nil {
		c.listener(uid, Entry{nil, modRevision})
	}
}

// FreshAsOf returns the time before which every commit is applied, or the zero time before the first
// listing. It does not lock c.mu, so a caller may hold locks that the Listener takes.
func (c *Cache) FreshAsOf() time.Time {
	if at := c.freshAsOf.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// HasSynced reports whether a listing has been applied. Like FreshAsOf, it does not lock c.mu.
func (c *Cache) HasSynced() bool { return !c.FreshAsOf().IsZero() }

// Len returns the number of jobs.
func (c *Cache) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.jobs)
}

// Job returns a job in the cache, and whether it is there. The caller must not change the job.
func (c *Cache) Job(uid string) (Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, found := c.jobs[uid]
	return entry, found
}

// Has reports whether a job is in the cache.
func (c *Cache) Has(uid string) bool {
	_, found := c.Job(uid)
	return found
}

// Cancelled returns which of the jobs are cancelled according to the cache (nil if none is), and the time
// before which every cancellation is in the cache.
func (c *Cache) Cancelled(uids []string) (cancelled map[string]bool, freshAsOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, uid := range uids {
		if entry, ok := c.jobs[uid]; ok && entry.Job.Status == wire.JobAborted {
			if cancelled == nil {
				cancelled = map[string]bool{}
			}
			cancelled[uid] = true
		}
	}
	return cancelled, c.FreshAsOf()
}

// SetListener calls listener for every job in the cache and from then on for every change, one call at a
// time. It replaces the listener set before; nil sets none. A listener must not call methods of the
// cache other than FreshAsOf and HasSynced, since c.mu is held.
func (c *Cache) SetListener(listener Listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener = listener
	if listener != nil {
		for uid, entry := range c.jobs {
			listener(uid, entry)
		}
	}
}
