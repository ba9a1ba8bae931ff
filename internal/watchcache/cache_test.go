package watchcache

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// termRecords is a state service of job termRecords with a history.
type fakeStore struct {
	revision    uint64
	items       map[string]wire.KeyValue
	log         []wire.WatchEvent
	oldestKnown uint64 // changes up to here are forgotten
}

func (s *fakeStore) set(uid string, status wire.JobStatus) {
	s.revision++
	key := records.JobKey(uid)
	item := wire.KeyValue{Key: key, Value: records.Encode(records.Job{Status: status}), ModRevision: s.revision}
	s.items[key] = item
	s.log = append(s.log, wire.WatchEvent{Set: key, Value: item.Value, ModRevision: s.revision})
}

func (s *fakeStore) drop(uid string) {
	s.revision++
	delete(s.items, records.JobKey(uid))
	s.log = append(s.log, wire.WatchEvent{Drop: records.JobKey(uid), ModRevision: s.revision})
}

func (s *fakeStore) List(context.Context, string) ([]wire.KeyValue, uint64, error) {
	var rows []wire.KeyValue
	for _, it := range s.items {
		rows = append(rows, it)
	}
	return rows, s.revision, nil
}

func (s *fakeStore) Watch(_ context.Context, _ string, after uint64, _ time.Duration) (wire.WatchResponse, error) {
	if after < s.oldestKnown {
		return wire.WatchResponse{}, store.ErrCompacted
	}
	ch := wire.WatchResponse{Revision: s.revision}
	for _, n := range s.log {
		if n.ModRevision > after {
			ch.Events = append(ch.Events, n)
		}
	}
	return ch, nil
}

// A mirror that says that it is fresh up to a time knows every withdrawal that
// was committed before, and no job stays in it that was dropped before, however
// reads overlap: listings, watches and refreshes that are answered late, hints,
// and changes that are no longer kept. A withdrawal that it knew once is not
// forgotten while the job has a record.
func TestCacheKnowsWhatItSays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeStore{items: map[string]wire.KeyValue{}}
		m := New()
		clock := time.Unix(1000, 0)
		type then struct { // the records as they stood at a time
			at       time.Time
			revision uint64
			items    map[string]wire.KeyValue
		}
		var history []then
		var late []func() // answers that are under way
		for range rapid.IntRange(5, 100).Draw(t, "steps") {
			clock = clock.Add(time.Second)
			uid := fmt.Sprintf("run-%06d", rapid.IntRange(0, 1).Draw(t, "job"))
			it, exists := s.items[records.JobKey(uid)]
			begun := clock
			answer := func(f func()) {
				if rapid.Bool().Draw(t, "late") {
					late = append(late, f)
				} else {
					f()
				}
			}
			switch rapid.IntRange(0, 14).Draw(t, "step") {
			case 0, 1, 2, 3:
				if exists && !strings.Contains(string(it.Value), string(wire.JobAborted)) {
					s.set(uid, wire.JobAborted)
					if modRevision := s.revision; rapid.Bool().Draw(t, "hint") {
						answer(func() { m.ApplyFromPeer(uid, records.Job{Status: wire.JobAborted}, modRevision) })
					}
				} else if !exists {
					s.set(uid, wire.JobQueued)
				}
			case 4, 5:
				if exists {
					s.drop(uid)
				}
			case 6, 7, 8:
				m.mu.Lock()
				after := m.revision
				m.mu.Unlock()
				if ch, err := s.Watch(t.Context(), records.JobPrefix, after, 0); err == nil && m.HasSynced() {
					answer(func() { m.Apply(ch, after, begun) })
				}
			case 9, 10:
				rows, revision, _ := s.List(t.Context(), records.JobPrefix)
				answer(func() { m.Reset(rows, revision, begun) })
			case 11, 12, 13:
				if len(late) > 0 {
					i := rapid.IntRange(0, len(late)-1).Draw(t, "which")
					late[i]()
					late = append(late[:i], late[i+1:]...)
				}
			case 14:
				if rapid.IntRange(0, 9).Draw(t, "forget") == 0 {
					s.oldestKnown = s.revision
				}
			}
			history = append(history, then{clock, s.revision, maps.Clone(s.items)})
			for _, h := range slices.Backward(history) {
				if h.at.After(m.FreshAsOf()) {
					continue
				}
				for key, it := range h.items {
					uid := strings.TrimPrefix(key, records.JobPrefix)
					if s.items[key].ModRevision != it.ModRevision {
						continue // its record has changed since
					}
					if m.jobs[uid].ModRevision != it.ModRevision {
						t.Fatalf("fresh up to %v, but %s is known as of %d, not %d", m.FreshAsOf().Unix(), uid, m.jobs[uid].ModRevision, it.ModRevision)
					}
					w, fresh := m.CancelledAmong([]string{uid})
					if w[uid] != (m.jobs[uid].Job.Status == wire.JobAborted) || !fresh.Equal(m.FreshAsOf()) {
						t.Fatalf("%s withdrawn: %v up to %v", uid, w[uid], fresh)
					}
				}
				break
			}
		}
		// Once all is told, the mirror is what the records are.
		for _, f := range late {
			f()
		}
		if err := m.Refresh(t.Context(), s); err != nil {
			rows, revision, _ := s.List(t.Context(), records.JobPrefix)
			m.Reset(rows, revision, clock)
		}
		if len(m.jobs) != len(s.items) {
			t.Fatalf("%d jobs are known, there are %d", len(m.jobs), len(s.items))
		}
		for uid, e := range m.jobs {
			if s.items[records.JobKey(uid)].ModRevision != e.ModRevision {
				t.Fatalf("%s is known as of %d", uid, e.ModRevision)
			}
		}
	})
}

// A listing that is answered late, after what it shows was archived, and a change
// that was asked for before it: the job must not stay for ever.
func TestCacheForgetsWhatIsArchived(t *testing.T) {
	s := &fakeStore{items: map[string]wire.KeyValue{}}
	m := New()
	at := time.Unix(1000, 0)
	refresh := func() func() {
		ch, err := s.Watch(t.Context(), records.JobPrefix, m.revision, 0)
		if err != nil {
			t.Fatal(err)
		}
		after := m.revision
		return func() { m.Apply(ch, after, at) }
	}
	m.Reset(nil, 0, at)
	s.set("run-000001", wire.JobQueued)
	rows, revision, _ := s.List(t.Context(), records.JobPrefix)
	refresh()()
	s.drop("run-000001")
	refresh()()
	s.set("run-000002", wire.JobQueued)
	late := refresh()
	m.Reset(rows, revision, at)
	late() // follows on what the listing went back behind
	refresh()()
	if _, known := m.jobs["run-000001"]; known || m.jobs["run-000002"].Job == nil {
		t.Errorf("known are %v", m.jobs)
	}
}
