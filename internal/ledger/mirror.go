package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// Reader is what a mirror needs of the state service.
type Reader interface {
	List(ctx context.Context, under string) ([]wire.Item, uint64, error)
	Changes(ctx context.Context, under string, after uint64, hold time.Duration) (wire.Changes, error)
}

// Follow keeps a view of the keys under a prefix: it lists them, then watches.
// reset gets each listing, change each later change. It returns when ctx ends.
func Follow(ctx context.Context, r Reader, under string, hold, pause time.Duration,
	reset func(rows []wire.Item, epoch uint64), change func(n wire.News)) {
	sleep := func() {
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	for ctx.Err() == nil {
		rows, epoch, err := r.List(ctx, under)
		if err != nil {
			slog.Debug("cannot list", "under", under, "err", err)
			sleep()
			continue
		}
		reset(rows, epoch)
		for ctx.Err() == nil {
			ch, err := r.Changes(ctx, under, epoch, hold)
			if errors.Is(err, store.ErrTooOld) {
				break
			}
			if err != nil {
				slog.Debug("watch failed", "under", under, "err", err)
				sleep()
				continue
			}
			for _, n := range ch.News {
				change(n)
			}
			epoch = max(epoch, ch.Epoch)
		}
	}
}

// Entry is a job and the stamp of its record.
type Entry struct {
	Job   *Job
	Stamp uint64
}

// Listener is told of every change of a job's record; e.Job is nil when the
// record was dropped (the job is archived).
type Listener func(uid string, e Entry)

// Mirror is a node's copy of the jobs that are not archived. Every node keeps
// one, so that a follower knows which jobs are withdrawn and a new leader
// starts warm.
type Mirror struct {
	mu       sync.Mutex
	jobs     map[string]Entry
	synced   bool
	listener Listener
}

// NewMirror makes an empty mirror.
func NewMirror() *Mirror { return &Mirror{jobs: map[string]Entry{}} }

// Run keeps the mirror up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context, r Reader, hold, pause time.Duration) {
	Follow(ctx, r, JobPrefix, hold, pause, m.reset, m.change)
}

func (m *Mirror) reset(rows []wire.Item, epoch uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := make(map[string]bool, len(rows))
	for _, row := range rows {
		uid := strings.TrimPrefix(row.Key, JobPrefix)
		seen[uid] = true
		m.put(uid, row.Value, row.Stamp)
	}
	for uid := range m.jobs {
		if !seen[uid] {
			m.drop(uid, epoch)
		}
	}
	m.synced = true
}

func (m *Mirror) change(n wire.News) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n.Drop != "" {
		m.drop(strings.TrimPrefix(n.Drop, JobPrefix), n.Stamp)
		return
	}
	m.put(strings.TrimPrefix(n.Set, JobPrefix), n.Value, n.Stamp)
}

func (m *Mirror) put(uid string, value json.RawMessage, stamp uint64) {
	if old, ok := m.jobs[uid]; ok && old.Stamp >= stamp {
		return
	}
	var j Job
	if err := json.Unmarshal(value, &j); err != nil {
		slog.Error("job record cannot be read", "uid", uid, "err", err)
		return
	}
	m.jobs[uid] = Entry{&j, stamp}
	if m.listener != nil {
		m.listener(uid, m.jobs[uid])
	}
}

func (m *Mirror) drop(uid string, stamp uint64) {
	if old, ok := m.jobs[uid]; ok && old.Stamp > stamp {
		return
	}
	delete(m.jobs, uid)
	if m.listener != nil {
		m.listener(uid, Entry{nil, stamp})
	}
}

// Synced reports whether the mirror has caught up once.
func (m *Mirror) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.synced
}

// Aborted reports whether the job is known to be withdrawn.
func (m *Mirror) Aborted(uid string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.jobs[uid]
	return ok && e.Job.Status == wire.JobAborted
}

// Listen hands every known job and then every change to l, one at a time, or
// ends that if l is nil. l must not call back into the mirror.
func (m *Mirror) Listen(l Listener) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listener = l
	if l != nil {
		for uid, e := range m.jobs {
			l(uid, e)
		}
	}
}
