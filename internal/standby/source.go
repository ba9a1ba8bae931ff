package standby

import (
	"slices"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// Views gives access to what a leader knows beyond its records.
type Views interface {
	// DrainChangedViews returns at most so many of the views that no call has returned since they
	// changed, and whether there are more. The first calls of a term return all views.
	DrainChangedViews(most int) (changed []*Entry, more bool)
}

// Limits of a source.
const (
	// minLoggedChanges is the number of changes that a follower may lag behind before it has to pull
	// everything again. It is larger in a large fleet: see maxLoggedChanges.
	minLoggedChanges = 1 << 10
	// viewBatchSize is the most views that are drained at a time, so that the leader's scheduling
	// cycles do not wait for longer than that takes.
	viewBatchSize = 256
)

// change names the key that was changed at a sequence number.
type change struct {
	sequence uint64
	key      string
}

// Source offers the state of a leader's term to its standby. It is safe for concurrent use.
type Source struct {
	term     uint64
	members  []string
	lifetime time.Duration // of a transfer that is not requested any more
	now      func() time.Time

	mu        sync.Mutex
	seeded    bool
	contents  contents
	sequence  uint64
	log       []change // the newest changes, oldest first
	positions positionTracker
	transfers map[string]*transfer // by the standby's label
	views     Views
	sentBytes uint64 // of bodies
}

// NewSource returns the source of a term, which offers nothing until it is seeded. members are the
// labels of the other controllers; a transfer that is not requested for the lifetime is dropped.
func NewSource(term uint64, members []string, lifetime time.Duration) *Source {
	return &Source{
		term:      term,
		members:   members,
		lifetime:  lifetime,
		now:       time.Now,
		contents:  emptyContents(),
		positions: positionTracker{open: map[uint64]*openCommit{}},
		transfers: map[string]*transfer{},
	}
}

// Seed adds the records that a term began with: all that were committed before it did.
func (s *Source) Seed(views Views, lists ...[]wire.KeyValue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit := s.contents.edit()
	for _, rows := range lists {
		for _, row := range rows {
			entry := &Entry{Key: row.Key, Value: row.Value, ModRevision: row.ModRevision}
			if isRecord(entry.Key) {
				edit.apply(entry)
			}
		}
	}
	s.contents = edit.contents()
	// The term is the revision of its election: records of earlier terms are older, and those of
	// this term are recorded here.
	s.positions.newestRevision = max(s.positions.newestRevision, s.term)
	s.seeded, s.views = true, views
}

// Status is how much a source offers and has sent.
type Status struct {
	Sequence  uint64
	Position  uint64 // revision up to which all commits of the term are part of the contents
	SentBytes uint64
	Entries   int
	Bytes     int // of all keys and values
}

// Status returns how much the source offers and has sent.
func (s *Source) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		Sequence:  s.sequence,
		Position:  s.positions.position(),
		SentBytes: s.sentBytes,
		Entries:   s.contents.tree.Len(),
		Bytes:     s.contents.bytes,
	}
}

// isMember reports whether a label is that of another controller.
func (s *Source) isMember(label string) bool { return slices.Contains(s.members, label) }

// apply applies entries as one change each. s.mu is held.
func (s *Source) apply(entries []*Entry) {
	if len(entries) == 0 {
		return
	}
	edit := s.contents.edit()
	for _, entry := range entries {
		edit.apply(entry)
		s.sequence++
		s.log = append(s.log, change{s.sequence, entry.Key})
	}
	s.contents = edit.contents()
	if keep := s.maxLoggedChanges(); len(s.log) > 2*keep {
		s.log = append([]change(nil), s.log[len(s.log)-keep:]...)
	}
}

// maxLoggedChanges returns how many changes a follower may lag behind: as many as there are entries.
// For one that lags further, pulling everything costs less than pulling the changes. s.mu is held.
func (s *Source) maxLoggedChanges() int { return max(minLoggedChanges, s.contents.tree.Len()) }

// applyChangedViews drains the views that have changed, viewBatchSize at a time. It holds s.mu only
// for each batch, because commits wait for it.
func (s *Source) applyChangedViews() {
	s.mu.Lock()
	views := s.views
	s.mu.Unlock()
	for more := views != nil; more; {
		var changed []*Entry
		changed, more = views.DrainChangedViews(viewBatchSize)
		s.mu.Lock()
		s.apply(changed)
		s.mu.Unlock()
	}
}

// beginCommit must be called before a commit is sent. It returns the id with which the caller reports
// the outcome, by one of the three methods below.
func (s *Source) beginCommit() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.positions.begin()
}

// commitSucceeded applies a commit that was carried out.
func (s *Source) commitSucceeded(id uint64, tx wire.Transaction, keys []string, revision uint64) {
	var entries []*Entry
	for _, c := range tx.Changes {
		if key := c.Set + c.Drop; isRecord(key) {
			entries = append(entries, &Entry{Key: key, Value: c.Value, ModRevision: revision, Dropped: c.Drop != ""})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(entries)
	s.positions.markCommitted(id, keys, revision)
}

// commitUnknown records that a commit's outcome is unknown: it may be carried out late.
func (s *Source) commitUnknown(id uint64, keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.positions.markUnknown(id, keys)
}

// commitFailed records that a commit was not carried out and will not be.
func (s *Source) commitFailed(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.positions.close(id)
}

// applyRead applies a record as a read returned it, or drops it if the read did not find it.
func (s *Source) applyRead(key string, item wire.KeyValue, found bool) {
	entry := absentEntry(key)
	if found {
		entry = &Entry{Key: key, Value: item.Value, ModRevision: item.ModRevision}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]*Entry{entry})
}
