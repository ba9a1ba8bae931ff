package standby

import (
	"slices"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// Views provides the views of a leader: what it knows beyond its records.
type Views interface {
	// DrainChangedViews returns views that have changed since a call last returned them, at most limit of them, and
	// whether there are more. The first calls of a term return all views.
	DrainChangedViews(limit int) (changed []*Entry, more bool)
}

// Limits of a source.
const (
	// minLoggedChanges is how many changes a follower may lag behind before it has to pull everything again. A large
	// fleet allows more: see maxLoggedChanges.
	minLoggedChanges = 1 << 10
	// viewBatchSize is the most views that one call drains. It limits how long a scheduling cycle of the leader waits
	// for a call.
	viewBatchSize = 256
)

// loggedChange is the sequence number of a change and the key that it changed.
type loggedChange struct {
	sequence uint64
	key      string
}

// Source offers the state of a leader's term to the leader's standbys. It is safe for concurrent use.
type Source struct {
	term             uint64
	members          []string      // labels of the other controllers
	transferLifetime time.Duration // how long a transfer is kept after its latest request
	now              func() time.Time

	mu        sync.Mutex
	seeded    bool // Seed has been called
	contents  contents
	sequence  uint64         // number of the newest change
	changeLog []loggedChange // the newest changes, oldest first
	positions positionTracker
	transfers map[string]*outgoingTransfer // by the standby's label
	views     Views
	sentBytes uint64 // total size of the bodies of parts
}

// NewSource returns the source of a term. It offers nothing until Seed is called. members are the labels of the other
// controllers. A transfer whose latest request is longer ago than lifetime is dropped.
func NewSource(term uint64, members []string, lifetime time.Duration) *Source {
	return &Source{
		term:             term,
		members:          members,
		transferLifetime: lifetime,
		now:              time.Now,
		contents:         emptyContents(),
		positions:        positionTracker{open: map[uint64]*openCommit{}},
		transfers:        map[string]*outgoingTransfer{},
	}
}

// Seed adds the records that were committed before the term began, and sets the leader's views.
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
	// The term is the revision of its election. Records of earlier terms have lower revisions, and the commits of this
	// term are reported to this source.
	s.positions.newestRevision = max(s.positions.newestRevision, s.term)
	s.seeded, s.views = true, views
}

// Status describes what a source offers and how much it has sent.
type Status struct {
	Sequence  uint64
	Position  uint64 // revision up to which the contents include all commits of the term
	SentBytes uint64 // total size of the bodies of parts
	Entries   int
	Bytes     int // total size of all keys and values
}

// Status returns what the source offers and how much it has sent.
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

// isMember reports whether a label belongs to another controller.
func (s *Source) isMember(label string) bool { return slices.Contains(s.members, label) }

// apply applies entries to the contents and logs one change for each. The caller holds s.mu.
func (s *Source) apply(entries []*Entry) {
	if len(entries) == 0 {
		return
	}
	edit := s.contents.edit()
	for _, entry := range entries {
		edit.apply(entry)
		s.sequence++
		s.changeLog = append(s.changeLog, loggedChange{s.sequence, entry.Key})
	}
	s.contents = edit.contents()
	if keep := s.maxLoggedChanges(); len(s.changeLog) > 2*keep {
		s.changeLog = append([]loggedChange(nil), s.changeLog[len(s.changeLog)-keep:]...)
	}
}

// maxLoggedChanges returns how many changes a follower may lag behind: as many as there are entries, but at least
// minLoggedChanges. For a follower that lags further behind, pulling everything costs less than pulling the changes.
// The caller holds s.mu.
func (s *Source) maxLoggedChanges() int { return max(minLoggedChanges, s.contents.tree.Len()) }

// applyChangedViews drains the changed views, viewBatchSize at a time, and applies them. It holds s.mu only while it
// applies a batch, because commits wait for s.mu.
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

// beginCommit must be called before a commit is sent. It returns an id. The caller reports the commit's outcome with
// this id, by calling commitSucceeded, commitUnknown or commitFailed.
func (s *Source) beginCommit() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.positions.begin()
}

// commitSucceeded applies a commit that has been executed.
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

// commitUnknown records that a commit's outcome is unknown: it may have been executed, or may be executed later.
func (s *Source) commitUnknown(id uint64, keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.positions.markUnknown(id, keys)
}

// commitFailed records that a commit has not been executed and never will be.
func (s *Source) commitFailed(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.positions.close(id)
}

// applyRead applies a record that a read has returned, or drops the record if the read did not find it.
func (s *Source) applyRead(key string, item wire.KeyValue, found bool) {
	entry := absentEntry(key)
	if found {
		entry = &Entry{Key: key, Value: item.Value, ModRevision: item.ModRevision}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]*Entry{entry})
}
