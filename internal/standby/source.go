package standby

import (
	"slices"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// Views gives access to what a leader knows beyond its records.
type Views interface {
	// DrainChangedViews returns views that have changed since the last call, at most so many, and
	// whether there are more. The first call of a term returns all.
	DrainChangedViews(most int) (changed []*Entry, more bool)
}

// Limits of a source.
const (
	// minLoggedChanges is the least number of changes that a follower may lag behind before it has
	// to pull everything again. It is more in a large fleet: see maxLoggedChanges.
	minLoggedChanges = 1 << 10
	// viewBatchSize is the number of views that are drained at a time: the leader's scheduling cycles
	// wait for no more than these.
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
	// Records of earlier terms are older than the term, and this term's own pass here.
	s.positions.newestRevision = max(s.positions.newestRevision, s.term)
	s.seeded, s.views = true, views
}

// Status is how much a source holds and has sent.
type Status struct {
	Sequence  uint64
	Position  uint64 // revision up to which all commits of the term are part of the contents
	SentBytes uint64
	Entries   int
	Bytes     int // of all keys and values
}

// Status returns how much the source holds and has sent.
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
// One that lags further pulls everything at less cost than the changes one by one. s.mu is
// held.
func (s *Source) maxLoggedChanges() int { return max(minLoggedChanges, s.contents.tree.Len()) }

// applyChangedViews drains the views that have changed, a few at a time. It must not hold s.mu for
// long: commits wait for it.
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

// beginCommit is called before a commit is sent, and returns the number by which its outcome is told.
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

// commitUnknown is called for a commit whose outcome is unknown: it may be carried out late.
func (s *Source) commitUnknown(id uint64, keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.positions.markUnknown(id, keys)
}

// commitFailed is called for a commit that was not carried out, and will not be.
func (s *Source) commitFailed(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.positions.close(id)
}

// applyRead applies a record as it was read.
func (s *Source) applyRead(key string, item wire.KeyValue, found bool) {
	entry := absentEntry(key)
	if found {
		entry = &Entry{Key: key, Value: item.Value, ModRevision: item.ModRevision}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]*Entry{entry})
}
