// Package watchcache keeps a node's copy of the jobs that the state store holds. A watch keeps it
// up to date, and linearizable reads bring it past a given moment before a user is answered.
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

// Entry is a job with the modification revision of its record.
type Entry struct {
	Job         *records.Job // nil if the record was dropped
	ModRevision uint64
}

// Listener is called for every change of a job's record; entry.Job is nil when the
// record was dropped (the job is archived). See SetListener for what it may call.
type Listener func(uid string, entry Entry)

// Cache is a node's copy of the jobs that are not archived. Every node has one, so that a follower
// knows which jobs are cancelled and a new leader starts warm. It is safe for concurrent use.
//
// It knows how fresh its copy is: as of the start of the latest read that brought it up to date.
// The time of the latest answered request would prove less: a watch may wait through a refusal,
// hang on a dead connection or sleep after an error while other requests of the node succeed.
type Cache struct {
	mu        sync.Mutex // guards all but freshAsOf; held while the listener is called
	jobs      map[string]Entry
	revision  uint64                    // all changes up to here are applied
	freshAsOf atomic.Pointer[time.Time] // every commit before it is applied; nil before the first listing
	listener  Listener
}

// New makes an empty cache.
func New() *Cache { return &Cache{jobs: map[string]Entry{}} }

// Run keeps the cache up to date until ctx ends. See Follow for wait and pause.
func (c *Cache) Run(ctx context.Context, reader Reader, wait, pause time.Duration) {
	Follow(ctx, reader, records.JobPrefix, wait, pause, c)
}

// ErrNotSynced means that the cache has to be listed before it can be refreshed.
var ErrNotSynced = errors.New("jobs are not listed yet")

// Refresh brings the cache up to date with every commit before the call, independently of the
// watch: it asks for the changes since its revision, without waiting for one. Before the first
// listing it sends nothing and returns ErrNotSynced.
func (c *Cache) Refresh(ctx context.Context, reader Reader) error {
	c.mu.Lock()
	after := c.revision
	c.mu.Unlock()
	if !c.HasSynced() {
		return ErrNotSynced
	}
	begun := time.Now()
	changes, err := reader.Watch(ctx, records.JobPrefix, after, 0)
	if err != nil {
		return fmt.Errorf("refresh jobs: %w", err)
	}
	c.Apply(changes, after, begun)
	if c.FreshAsOf().Before(begun) {
		return ErrNotSynced // a listing was applied meanwhile that the changes do not follow on
	}
	return nil
}

// Reset applies a listing that began at begun. A listing is read page by page: only what was
// committed before it began is sure to be in it, and later changes are applied once more from its
// revision on. It implements Handler.
func (c *Cache) Reset(items []wire.KeyValue, revision uint64, begun time.Time) {
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
	// A listing may be older than what is known. The changes between are then applied again:
	// otherwise a job that was listed and has been archived since would stay for ever.
	c.revision = revision
	c.advanceFreshness(begun)
}

// Apply applies the changes after a revision. A watch and a Refresh may overlap: changes that are
// known already are skipped, and changes that leave a gap after the cache's revision are not
// applied at all. It implements Handler.
func (c *Cache) Apply(changes wire.WatchResponse, after uint64, begun time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after > c.revision {
		return // a listing has set the revision back since the read began
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
	c.advanceFreshness(begun)
}

// advanceFreshness records that every commit before begun is applied. c.mu is held.
func (c *Cache) advanceFreshness(begun time.Time) {
	if begun.After(c.FreshAsOf()) {
		c.freshAsOf.Store(&begun)
	}
}

// ApplyFromPeer applies a job's record that another node sends ahead of the state store's watch. It
// does not change FreshAsOf. A job that is not known may be archived already and is ignored.
func (c *Cache) ApplyFromPeer(uid string, job records.Job, modRevision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.jobs[uid]; ok && old.ModRevision < modRevision {
		c.setEntry(uid, Entry{&job, modRevision})
	}
}

// decodeAndSet sets a job from the value of its record, unless the same or a newer one is known.
// c.mu is held.
func (c *Cache) decodeAndSet(uid string, value json.RawMessage, modRevision uint64) {
	if old, ok := c.jobs[uid]; ok && old.ModRevision >= modRevision {
		return
	}
	var job records.Job
	if err := wire.Decode(value, &job); err != nil {
		slog.Error("job record cannot be read", "uid", uid, "err", err)
		return
	}
	c.setEntry(uid, Entry{&job, modRevision})
}

// setEntry is the one function that sets a job. c.mu is held.
func (c *Cache) setEntry(uid string, entry Entry) {
	c.jobs[uid] = entry
	if c.listener != nil {
		c.listener(uid, entry)
	}
}

// deleteEntry is the one function that removes a job, unless a newer record is known. c.mu is held.
func (c *Cache) deleteEntry(uid string, modRevision uint64) {
	if old, ok := c.jobs[uid]; ok && old.ModRevision > modRevision {
		return
	}
	delete(c.jobs, uid)
	if c.listener != nil {
		c.listener(uid, Entry{nil, modRevision})
	}
}

// FreshAsOf returns the time up to which every commit is applied: the zero time before the
// first listing. It takes no lock: a Listener's locks may be held by the caller.
func (c *Cache) FreshAsOf() time.Time {
	if at := c.freshAsOf.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// HasSynced reports whether the jobs have been listed. Like FreshAsOf it takes no lock.
func (c *Cache) HasSynced() bool { return !c.FreshAsOf().IsZero() }

// Len returns the number of jobs.
func (c *Cache) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.jobs)
}

// Job returns a job that is not archived, as far as the cache knows. The caller must not change it.
func (c *Cache) Job(uid string) (Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, found := c.jobs[uid]
	return entry, found
}

// Has reports whether a job is known and not archived.
func (c *Cache) Has(uid string) bool {
	_, found := c.Job(uid)
	return found
}

// Cancelled returns which of the jobs are cancelled, as far as the cache knows (nil if none
// is), and the time up to which every cancellation is known.
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

// SetListener calls a listener for every known job and then for every change, one at a time; nil
// ends the calls. The listener must not call methods of the cache other than FreshAsOf and HasSynced.
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
