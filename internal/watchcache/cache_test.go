package watchcache

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// storeSnapshot is the content of the store at a time.
type storeSnapshot struct {
	at    time.Time
	items map[string]wire.KeyValue
}

// cacheModel drives a cache with overlapping reads, and records what the store held at each time.
type cacheModel struct {
	store   *fakeStore
	cache   *Cache
	clock   time.Time
	history []storeSnapshot
	delayed []func() // answers that the cache has not received yet
}

// deliver gives the cache an answer now, or keeps it for later.
func (m *cacheModel) deliver(t *rapid.T, answer func()) {
	if rapid.Bool().Draw(t, "late") {
		m.delayed = append(m.delayed, answer)
	} else {
		answer()
	}
}

// step changes the store, sends a read or delivers a delayed answer.
func (m *cacheModel) step(t *rapid.T) {
	uid := fmt.Sprintf("run-%06d", rapid.IntRange(0, 1).Draw(t, "job"))
	_, exists := m.store.items[records.JobKey(uid)]
	startedAt := m.clock
	switch rapid.IntRange(0, 14).Draw(t, "step") {
	case 0, 1, 2, 3:
		m.submitOrCancel(t, uid)
	case 4, 5:
		if exists {
			m.store.drop(uid)
		}
	case 6, 7, 8:
		m.cache.mu.Lock()
		afterRevision := m.cache.revision
		m.cache.mu.Unlock()
		if changes, err := m.store.Watch(t.Context(), records.JobPrefix, afterRevision, 0); err == nil && m.cache.HasSynced() {
			m.deliver(t, func() { m.cache.Apply(changes, afterRevision, startedAt) })
		}
	case 9, 10:
		items, revision, _ := m.store.List(t.Context(), records.JobPrefix)
		m.deliver(t, func() { m.cache.Reset(items, revision, startedAt) })
	case 11, 12, 13:
		if len(m.delayed) > 0 {
			i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "which")
			m.delayed[i]()
			m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
		}
	case 14:
		if rapid.IntRange(0, 9).Draw(t, "compact") == 0 {
			m.store.compactedUpTo = m.store.revision
		}
	}
}

// submitOrCancel submits a job if it does not exist. Otherwise it cancels the job, and in some runs also
// sends the record as a peer does.
func (m *cacheModel) submitOrCancel(t *rapid.T, uid string) {
	item, exists := m.store.items[records.JobKey(uid)]
	if !exists {
		m.store.set(uid, wire.JobQueued)
		return
	}
	if strings.Contains(string(item.Value), string(wire.JobAborted)) {
		return
	}
	m.store.set(uid, wire.JobAborted)
	if modRevision := m.store.revision; rapid.Bool().Draw(t, "from a peer") {
		m.deliver(t, func() { m.cache.ApplyFromPeer(uid, records.Job{Status: wire.JobAborted}, modRevision) })
	}
}

// check checks that the cache has every job as the store had it at the time as of which the cache is fresh.
func (m *cacheModel) check(t *rapid.T) {
	for _, snapshot := range slices.Backward(m.history) {
		if snapshot.at.After(m.cache.FreshAsOf()) {
			continue
		}
		for key, item := range snapshot.items {
			if m.store.items[key].ModRevision == item.ModRevision { // otherwise the record has changed since
				m.checkJob(t, strings.TrimPrefix(key, records.JobPrefix), item.ModRevision)
			}
		}
		return
	}
}

// checkJob checks that the cache has a job's record of a revision, and that Cancelled agrees with it.
func (m *cacheModel) checkJob(t *rapid.T, uid string, modRevision uint64) {
	entry := m.cache.jobs[uid]
	if entry.ModRevision != modRevision {
		t.Fatalf("the cache, fresh as of %v, has %s at modification revision %d, want %d",
			m.cache.FreshAsOf().Unix(), uid, entry.ModRevision, modRevision)
	}
	cancelled, freshAsOf := m.cache.Cancelled([]string{uid})
	if cancelled[uid] != (entry.Job.Status == wire.JobAborted) || !freshAsOf.Equal(m.cache.FreshAsOf()) {
		t.Fatalf("%s cancelled: %v as of %v, want %v as of %v",
			uid, cancelled[uid], freshAsOf, entry.Job.Status == wire.JobAborted, m.cache.FreshAsOf())
	}
}

// finish delivers all delayed answers, refreshes the cache and checks that it has the store's jobs.
func (m *cacheModel) finish(t *rapid.T) {
	for _, answer := range m.delayed {
		answer()
	}
	if err := m.cache.Refresh(t.Context(), m.store); err != nil {
		items, revision, _ := m.store.List(t.Context(), records.JobPrefix)
		m.cache.Reset(items, revision, m.clock)
	}
	if len(m.cache.jobs) != len(m.store.items) {
		t.Fatalf("the cache has %d jobs, want %d", len(m.cache.jobs), len(m.store.items))
	}
	for uid, entry := range m.cache.jobs {
		if m.store.items[records.JobKey(uid)].ModRevision != entry.ModRevision {
			t.Fatalf("the cache has %s at modification revision %d, want %d",
				uid, entry.ModRevision, m.store.items[records.JobKey(uid)].ModRevision)
		}
	}
}

// A cache that is fresh as of a time has every cancellation that was committed before that time, and no
// job whose record was dropped before it. This holds however reads overlap: listings, watches and
// refreshes may be answered late, peers may send records, and the store may no longer keep changes.
// The cache never loses a cancellation while the job has a record.
func TestCacheKnowsAllCommitsBeforeFreshAsOf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &cacheModel{store: newFakeStore(), cache: New(), clock: time.Unix(1000, 0)}
		for range rapid.IntRange(5, 100).Draw(t, "steps") {
			model.clock = model.clock.Add(time.Second)
			model.step(t)
			model.history = append(model.history, storeSnapshot{model.clock, maps.Clone(model.store.items)})
			model.check(t)
		}
		model.finish(t)
	})
}

// An archived job does not stay in the cache for ever if a listing from before it was archived arrives
// late and is followed by the answer to a watch that was sent before the listing arrived.
func TestCacheForgetsArchivedJobsAfterALateListing(t *testing.T) {
	fake := newFakeStore()
	cache := New()
	at := time.Unix(1000, 0)
	refresh := func() func() {
		changes, err := fake.Watch(t.Context(), records.JobPrefix, cache.revision, 0)
		if err != nil {
			t.Fatal(err)
		}
		afterRevision := cache.revision
		return func() { cache.Apply(changes, afterRevision, at) }
	}
	cache.Reset(nil, 0, at)
	fake.set("run-000001", wire.JobQueued)
	items, revision, _ := fake.List(t.Context(), records.JobPrefix)
	refresh()()
	fake.drop("run-000001")
	refresh()()
	fake.set("run-000002", wire.JobQueued)
	applyDelayed := refresh()
	cache.Reset(items, revision, at)
	applyDelayed() // these changes come after the revision to which the listing has set the cache back
	refresh()()
	if _, known := cache.jobs["run-000001"]; known || cache.jobs["run-000002"].Job == nil {
		t.Errorf("the cache has jobs %v, want run-000002 only", cache.jobs)
	}
}
