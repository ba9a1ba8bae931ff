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
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// Reader is what a mirror needs of the state service.
type Reader interface {
	List(ctx context.Context, under string) ([]wire.KeyValue, uint64, error)
	Watch(ctx context.Context, under string, after uint64, wait time.Duration) (wire.WatchResponse, error)
}

// Handler is what a prefix is followed for. begun is when the read that an
// update stems from began: whatever was committed before is part of it.
type Handler interface {
	// Reset takes a whole listing, made at epoch.
	Reset(rows []wire.KeyValue, revision uint64, begun time.Time)
	// Apply takes what changed after the epoch after.
	Apply(ch wire.WatchResponse, after uint64, begun time.Time)
}

// Follow keeps f up to date with the keys under a prefix: it lists them, then
// watches. It returns when ctx ends.
func Follow(ctx context.Context, r Reader, under string, wait, pause time.Duration, f Handler) {
	sleep := func() {
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	for ctx.Err() == nil {
		begun := time.Now()
		rows, revision, err := r.List(ctx, under)
		if err != nil {
			slog.Debug("cannot list", "under", under, "err", err)
			sleep()
			continue
		}
		f.Reset(rows, revision, begun)
		for ctx.Err() == nil {
			begun := time.Now()
			ch, err := r.Watch(ctx, under, revision, wait)
			if errors.Is(err, store.ErrCompacted) {
				break
			}
			if err != nil {
				slog.Debug("watch failed", "under", under, "err", err)
				sleep()
				continue
			}
			f.Apply(ch, revision, begun)
			revision = max(revision, ch.Revision)
		}
	}
}

// KeysListableWithin is how many keys one node can list in a time, of a state service that allows rps
// requests a second.
func KeysListableWithin(rps float64, within time.Duration) int {
	return int(rps*store.RequestShare*within.Seconds()) * store.ListPageSize
}

// HandlerFuncs makes a Follower of functions that get one key's news each: Listed those
// of a listing, Changed those of a later change. Either may be nil.
type HandlerFuncs struct{ OnListed, OnChanged func(n wire.WatchEvent) }

// Reset hands on the keys of a listing.
func (f HandlerFuncs) Reset(rows []wire.KeyValue, _ uint64, _ time.Time) {
	if f.OnListed == nil {
		return
	}
	for _, row := range rows {
		f.OnListed(wire.WatchEvent{Set: row.Key, Value: row.Value, ModRevision: row.ModRevision})
	}
}

// Apply hands on changes.
func (f HandlerFuncs) Apply(ch wire.WatchResponse, _ uint64, _ time.Time) {
	if f.OnChanged == nil {
		return
	}
	for _, n := range ch.Events {
		f.OnChanged(n)
	}
}

// Entry is a job and the stamp of its record.
type Entry struct {
	Job         *records.Job
	ModRevision uint64
}

// Listener is told of every change of a job's record; e.Job is nil when the
// record was dropped (the job is archived).
type Listener func(uid string, e Entry)

// Cache is a node's copy of the jobs that are not archived. Every node keeps
// one, so that a follower knows which jobs are withdrawn and a new leader
// starts warm.
//
// It knows how old its knowledge is. That is not when a request was last
// answered: a watch may wait through a refusal, hang on a dead connection or
// sleep after an error while other requests of the node succeed. It is when the
// read began that it was last brought up to date by.
type Cache struct {
	mu        sync.Mutex
	jobs      map[string]Entry
	revision  uint64                    // all changes up to here are taken
	freshAsOf atomic.Pointer[time.Time] // all that was committed before is taken; nil before the first listing
	listener  Listener
}

// New makes an empty mirror.
func New() *Cache { return &Cache{jobs: map[string]Entry{}} }

// Run keeps the mirror up to date until ctx ends.
func (c *Cache) Run(ctx context.Context, r Reader, wait, pause time.Duration) {
	Follow(ctx, r, records.JobPrefix, wait, pause, c)
}

// ErrNotSynced means that the mirror has to be listed before it can be refreshed.
var ErrNotSynced = errors.New("jobs are not listed yet")

// Refresh brings the mirror up to date with now, past the watch: it asks for
// what has changed, without waiting for a change. Before the first listing it
// does nothing.
func (c *Cache) Refresh(ctx context.Context, r Reader) error {
	c.mu.Lock()
	after := c.revision
	c.mu.Unlock()
	if !c.HasSynced() {
		return ErrNotSynced
	}
	begun := time.Now()
	ch, err := r.Watch(ctx, records.JobPrefix, after, 0)
	if err != nil {
		return fmt.Errorf("refresh jobs: %w", err)
	}
	c.Apply(ch, after, begun)
	if c.FreshAsOf().Before(begun) {
		return ErrNotSynced // a listing was taken meanwhile that the changes do not follow on
	}
	return nil
}

// Reset takes a listing. It was made over a while: only what was committed
// before it began is sure to be in it, and later changes are taken once more
// from its epoch on.
func (c *Cache) Reset(rows []wire.KeyValue, revision uint64, begun time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := make(map[string]bool, len(rows))
	for _, row := range rows {
		uid := strings.TrimPrefix(row.Key, records.JobPrefix)
		seen[uid] = true
		c.decodeAndSet(uid, row.Value, row.ModRevision)
	}
	for uid := range c.jobs {
		if !seen[uid] {
			c.deleteEntry(uid, revision)
		}
	}
	// A listing may be older than what is known: what came between is then
	// gone through again, or a job that was listed and has been archived since
	// would stay for ever.
	c.revision = revision
	c.advanceFreshness(begun)
}

// Apply takes what changed after an epoch. Two reads may overlap, a watch and a
// Refresh: what is known already is passed over, and changes that do not
// follow on what is known are not taken at all.
func (c *Cache) Apply(ch wire.WatchResponse, after uint64, begun time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after > c.revision {
		return // a listing went back behind it
	}
	for _, n := range ch.Events {
		if n.ModRevision <= c.revision {
			continue
		}
		if n.Drop != "" {
			c.deleteEntry(strings.TrimPrefix(n.Drop, records.JobPrefix), n.ModRevision)
		} else {
			c.decodeAndSet(strings.TrimPrefix(n.Set, records.JobPrefix), n.Value, n.ModRevision)
		}
	}
	c.revision = max(c.revision, ch.Revision)
	c.advanceFreshness(begun)
}

// advanceFreshness notes that all that was committed before begun is known. m.mu is held.
func (c *Cache) advanceFreshness(begun time.Time) {
	if begun.After(c.FreshAsOf()) {
		c.freshAsOf.Store(&begun)
	}
}

// ApplyFromPeer takes a job's record that another node tells of, ahead of the state
// service. It changes nothing about how old the mirror's knowledge is. A job
// that is not known may be archived already and is left alone.
func (c *Cache) ApplyFromPeer(uid string, rec records.Job, modRevision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.jobs[uid]; ok && old.ModRevision < modRevision {
		c.setEntry(uid, Entry{&rec, modRevision})
	}
}

func (c *Cache) decodeAndSet(uid string, value json.RawMessage, modRevision uint64) {
	if old, ok := c.jobs[uid]; ok && old.ModRevision >= modRevision {
		return
	}
	var j records.Job
	if err := wire.Decode(value, &j); err != nil {
		slog.Error("job record cannot be read", "uid", uid, "err", err)
		return
	}
	c.setEntry(uid, Entry{&j, modRevision})
}

func (c *Cache) setEntry(uid string, e Entry) {
	c.jobs[uid] = e
	if c.listener != nil {
		c.listener(uid, e)
	}
}

func (c *Cache) deleteEntry(uid string, modRevision uint64) {
	if old, ok := c.jobs[uid]; ok && old.ModRevision > modRevision {
		return
	}
	delete(c.jobs, uid)
	if c.listener != nil {
		c.listener(uid, Entry{nil, modRevision})
	}
}

// FreshAsOf is the time up to which every commit is known: the zero time before the
// first listing. It takes no lock: a Listener's locks may be held by the caller.
func (c *Cache) FreshAsOf() time.Time {
	if at := c.freshAsOf.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// HasSynced reports whether the mirror has caught up once.
func (c *Cache) HasSynced() bool { return !c.FreshAsOf().IsZero() }

// Len is the number of jobs.
func (c *Cache) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.jobs)
}

// Job finds a job that is not archived, as far as is known.
func (c *Cache) Job(uid string) (Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.jobs[uid]
	return e, ok
}

// Has reports whether a job is known and not archived.
func (c *Cache) Has(uid string) bool {
	_, ok := c.Job(uid)
	return ok
}

// CancelledAmong tells which of the jobs are withdrawn, as far as is known, and up to
// which time every withdrawal is known.
func (c *Cache) CancelledAmong(uids []string) (cancelled map[string]bool, fresh time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, uid := range uids {
		if e, ok := c.jobs[uid]; ok && e.Job.Status == wire.JobAborted {
			if cancelled == nil {
				cancelled = map[string]bool{}
			}
			cancelled[uid] = true
		}
	}
	return cancelled, c.FreshAsOf()
}

// SetListener hands every known job and then every change to l, one at a time, or
// ends that if l is nil. l must not call back into the mirror.
func (c *Cache) SetListener(l Listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener = l
	if l != nil {
		for uid, e := range c.jobs {
			l(uid, e)
		}
	}
}
