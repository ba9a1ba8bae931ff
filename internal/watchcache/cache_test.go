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

// storeAt is the content of the store at a time.
type storeAt struct {
	at    time.Time
	items map[string]wire.KeyValue
}

// cacheModel drives a cache with reads that overlap, and knows what the store held at each time.
type cacheModel struct {
	store   *fakeStore
	cache   *Cache
	clock   time.Time
	history []storeAt
	late    []func() // answers that are under way
}

// deliver gives the cache an answer now, or keeps it for later.
func (m *cacheModel) deliver(t *rapid.T, answer func()) {
	if rapid.Bool().Draw(t, "late") {
		m.late = append(m.late, answer)
	} else {
		answer()
	}
}

// step changes the store, sends a read or delivers a late answer.
func (m *cacheModel) step(t *rapid.T) {
	uid := fmt.Sprintf("run-%06d", rapid.IntRange(0, 1).Draw(t, "job"))
	_, exists := m.store.items[records.JobKey(uid)]
	begun := m.clock
	switch rapid.IntRange(0, 14).Draw(t, "step") {
	case 0, 1, 2, 3:
		m.submitOrCancel(t, uid)
	case 4, 5:
		if exists {
			m.store.drop(uid)
		}
	case 6, 7, 8:
		m.cache.mu.Lock()
		after := m.cache.revision
		m.cache.mu.Unlock()
		if changes, err := m.store.Watch(t.Context(), records.JobPrefix, after, 0); err == nil && m.cache.HasSynced() {
			m.deliver(t, func() { m.cache.Apply(changes, after, begun) })
		}
	case 9, 10:
		items, revision, _ := m.store.List(t.Context(), records.JobPrefix)
		m.deliver(t, func() { m.cache.Reset(items, revision, begun) })
	case 11, 12, 13:
		if len(m.late) > 0 {
			i := rapid.IntRange(0, len(m.late)-1).Draw(t, "which")
			m.late[i]()
			m.late = append(m.late[:i], m.late[i+1:]...)
		}
	case 14:
		if rapid.IntRange(0, 9).Draw(t, "compact") == 0 {
			m.store.compacted = m.store.revision
		}
	}
}

// submitOrCancel submits a job, or cancels it and perhaps sends the record as a peer does.
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

// check compares the cache with the store at the latest time up to which the cache is fresh.
func (m *cacheModel) check(t *rapid.T) {
	for _, then := range slices.Backward(m.history) {
		if then.at.After(m.cache.FreshAsOf()) {
			continue
		}
		for key, item := range then.items {
			if m.store.items[key].ModRevision == item.ModRevision { // else its record has changed since
				m.checkJob(t, strings.TrimPrefix(key, records.JobPrefix), item.ModRevision)
			}
		}
		return
	}
}

// checkJob checks that a job is known as of a revision, and whether it is cancelled.
func (m *cacheModel) checkJob(t *rapid.T, uid string, modRevision uint64) {
	known := m.cache.jobs[uid]
	if known.ModRevision != modRevision {
		t.Fatalf("fresh as of %v, but %s is known as of %d, not %d",
			m.cache.FreshAsOf().Unix(), uid, known.ModRevision, modRevision)
	}
	cancelled, freshAsOf := m.cache.Cancelled([]string{uid})
	if cancelled[uid] != (known.Job.Status == wire.JobAborted) || !freshAsOf.Equal(m.cache.FreshAsOf()) {
		t.Fatalf("%s cancelled: %v as of %v", uid, cancelled[uid], freshAsOf)
	}
}

// finish delivers all answers, refreshes the cache and checks that it holds what the store does.
func (m *cacheModel) finish(t *rapid.T) {
	for _, answer := range m.late {
		answer()
	}
	if err := m.cache.Refresh(t.Context(), m.store); err != nil {
		items, revision, _ := m.store.List(t.Context(), records.JobPrefix)
		m.cache.Reset(items, revision, m.clock)
	}
	if len(m.cache.jobs) != len(m.store.items) {
		t.Fatalf("%d jobs are known, there are %d", len(m.cache.jobs), len(m.store.items))
	}
	for uid, entry := range m.cache.jobs {
		if m.store.items[records.JobKey(uid)].ModRevision != entry.ModRevision {
			t.Fatalf("%s is known as of %d", uid, entry.ModRevision)
		}
	}
}

// A cache that is fresh as of a time knows every cancellation that
// was committed before, and no job stays in it that was dropped before, however
// reads overlap: listings, watches and refreshes that are answered late, records from peers,
// and changes that are no longer kept. A cancellation that it knew once is not
// forgotten while the job has a record.
func TestCacheKnowsAllCommitsBeforeFreshAsOf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &cacheModel{store: newFakeStore(), cache: New(), clock: time.Unix(1000, 0)}
		for range rapid.IntRange(5, 100).Draw(t, "steps") {
			model.clock = model.clock.Add(time.Second)
			model.step(t)
			model.history = append(model.history, storeAt{model.clock, maps.Clone(model.store.items)})
			model.check(t)
		}
		model.finish(t)
	})
}

// A listing that is answered late, after what it shows was archived, and a change
// that was asked for before it: the job must not stay for ever.
func TestCacheForgetsArchivedJobsAfterALateListing(t *testing.T) {
	fake := newFakeStore()
	cache := New()
	at := time.Unix(1000, 0)
	refresh := func() func() {
		changes, err := fake.Watch(t.Context(), records.JobPrefix, cache.revision, 0)
		if err != nil {
			t.Fatal(err)
		}
		after := cache.revision
		return func() { cache.Apply(changes, after, at) }
	}
	cache.Reset(nil, 0, at)
	fake.set("run-000001", wire.JobQueued)
	items, revision, _ := fake.List(t.Context(), records.JobPrefix)
	refresh()()
	fake.drop("run-000001")
	refresh()()
	fake.set("run-000002", wire.JobQueued)
	late := refresh()
	cache.Reset(items, revision, at)
	late() // follows on what the listing went back behind
	refresh()()
	if _, known := cache.jobs["run-000001"]; known || cache.jobs["run-000002"].Job == nil {
		t.Errorf("known are %v", cache.jobs)
	}
}
