package standby

import (
	"context"
	"errors"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// Views is what a leader knows beyond its records.
type Views interface {
	// DrainChangedViews returns views that have changed since it was last called, at most
	// so many, and whether there are more. The first call after a while returns all.
	DrainChangedViews(most int) (changed []*Entry, more bool)
}

// Limits of a source.
const (
	// minLoggedChanges is how many changes a follower may lag behind at least before it has
	// to take everything anew. It is more in a large fleet: see loggedChanges.
	minLoggedChanges = 1 << 10
	// viewBatchSize is how many views are taken in one go: the leader's rounds wait for no
	// more than these.
	viewBatchSize = 256
)

// maxLoggedChanges is how many changes a follower may lag behind: as many as there are entries.
// One that lags further takes everything at less cost than the changes one by one. s.mu is
// held.
func (s *Source) maxLoggedChanges() int { return max(minLoggedChanges, s.contents.tree.Len()) }

// setState is what was changed by a sequence number.
type change struct {
	sequence uint64
	key      string
}

// Source is what a leader's term offers to its standby.
type Source struct {
	term     uint64
	members  []string
	lifetime time.Duration // of a transfer that nobody asks for
	now      func() time.Time

	mu        sync.Mutex
	seeded    bool
	contents  contents
	sequence  uint64
	log       []change // the newest changes, oldest first
	positions positionTracker
	transfers map[string]*transfer // by the standby's label
	views     Views
	sentBytes uint64 // bytes of bodies
}

// transfer is one that is under way: it reads what was held when it began.
type transfer struct {
	id            uint64
	nextPart      int // that have been sent
	contents      contents
	remainingKeys []string         // that are still to be sent
	header        peer.FollowReply // what all its parts have in common
	lastRequested time.Time
}

// NewSource makes the source of a term. members are the labels of the other controllers;
// a transfer that is not asked for is forgotten after lifetime.
func NewSource(term uint64, members []string, lifetime time.Duration) *Source {
	return &Source{term: term, members: members, lifetime: lifetime, now: time.Now, contents: emptyContents(),
		positions: positionTracker{open: map[uint64]*openCommit{}}, transfers: map[string]*transfer{}}
}

// Seed takes the records that a term began with: all that were committed before it did.
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

// admit takes entries in as one change each. s.mu is held.
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

// Status is how much a source holds and has sent.
type Status struct {
	Sequence, Position, SentBytes uint64
	Entries, Bytes                int
}

// Status tells how much it holds.
func (s *Source) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{s.sequence, s.positions.position(), s.sentBytes, s.contents.tree.Len(), s.contents.bytes}
}

// Follow answers a standby with one part of a transfer.
func (s *Source) Follow(args peer.FollowArgs) (peer.FollowReply, error) {
	if args.Term != s.term || !s.isMember(args.From) {
		return peer.FollowReply{Term: s.term}, nil
	}
	if args.Transfer == 0 {
		s.applyChangedViews()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.seeded {
		return peer.FollowReply{Term: s.term}, nil
	}
	s.dropAbandonedTransfers()
	t := s.transfers[args.From]
	if args.Transfer == 0 {
		t = s.beginTransfer(args.Have)
		s.transfers[args.From] = t
	}
	if t == nil || args.Transfer != 0 && args.Transfer != t.id {
		return peer.FollowReply{Term: s.term, Leading: true}, nil
	}
	t.lastRequested = s.now()
	return s.nextPart(t, args)
}

func (s *Source) isMember(label string) bool {
	for _, m := range s.members {
		if m == label {
			return true
		}
	}
	return false
}

// applyChangedViews takes the views that have changed, a few at a time. It must not hold s.mu for
// long: commits pass here.
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

// dropAbandonedTransfers drops transfers that are no longer asked for. s.mu is held.
func (s *Source) dropAbandonedTransfers() {
	for label, t := range s.transfers {
		if s.now().Sub(t.lastRequested) > s.lifetime {
			delete(s.transfers, label)
		}
	}
}

// beginTransfer begins a transfer of what has changed since a sequence number, or of everything.
// s.mu is held.
func (s *Source) beginTransfer(have uint64) *transfer {
	s.positions.lastID++
	t := &transfer{id: s.positions.lastID, contents: s.contents}
	t.header = peer.FollowReply{Term: s.term, Leading: true, Transfer: t.id, Base: have, Sequence: s.sequence,
		Position: s.positions.position(), Digest: s.contents.digest}
	if keys, ok := s.changedSince(have); ok {
		t.remainingKeys = keys
		return t
	}
	t.header.Full, t.header.Base = true, 0
	t.remainingKeys = make([]string, 0, s.contents.tree.Len())
	s.contents.tree.Root().Walk(func(_ []byte, entry *Entry) bool {
		t.remainingKeys = append(t.remainingKeys, entry.Key)
		return false
	})
	return t
}

// changedSince lists the keys that have changed since a sequence number, each once. ok is
// false if that is no longer known. s.mu is held.
func (s *Source) changedSince(have uint64) (keys []string, ok bool) {
	if have == 0 || have > s.sequence || have < s.sequence && (len(s.log) == 0 || s.log[0].sequence > have+1) {
		return nil, false
	}
	seen := map[string]bool{}
	for i := len(s.log) - 1; i >= 0 && s.log[i].sequence > have; i-- {
		if key := s.log[i].key; !seen[key] {
			seen[key] = true
			keys = append(keys, key)
		}
	}
	return keys, true
}

// nextPart makes the next part of a transfer. s.mu is held.
func (s *Source) nextPart(t *transfer, args peer.FollowArgs) (peer.FollowReply, error) {
	if args.Part != t.nextPart {
		delete(s.transfers, args.From)
		return peer.FollowReply{Term: s.term, Leading: true}, nil
	}
	var entries []*Entry
	for size := 0; len(t.remainingKeys) > 0 && size < partBytes; t.remainingKeys = t.remainingKeys[1:] {
		entry, ok := t.contents.tree.Get([]byte(t.remainingKeys[0]))
		if !ok {
			entry = &Entry{Key: t.remainingKeys[0], Dropped: true, ModRevision: ^uint64(0)}
		}
		entries = append(entries, entry)
		size += entry.size()
	}
	body, size, err := encodePart(entries)
	if err != nil {
		return peer.FollowReply{Term: s.term}, err
	}
	reply := t.header
	reply.Part, reply.Entries, reply.Size, reply.Body = t.nextPart, len(entries), size, body
	reply.Last = len(t.remainingKeys) == 0
	t.nextPart++
	s.sentBytes += uint64(len(body))
	if reply.Last {
		delete(s.transfers, args.From)
	}
	return reply, nil
}

// Store is what a controller needs of the state service.
type Store interface {
	watchcache.Reader
	Get(ctx context.Context, key string) (wire.KeyValue, bool, error)
	Commit(ctx context.Context, tx wire.Transaction) (uint64, error)
}

// RecordingStore is a Store that tells a Source of every commit.
type RecordingStore struct {
	Store
	source *Source
}

// NewRecordingStore makes the store of a controller whose commits a source offers.
func NewRecordingStore(s Store, source *Source) *RecordingStore { return &RecordingStore{s, source} }

// Get reads a key. What it shows is at least as new as what the source holds.
func (r *RecordingStore) Get(ctx context.Context, key string) (wire.KeyValue, bool, error) {
	item, found, err := r.Store.Get(ctx, key)
	if err == nil && isRecord(key) {
		r.source.applyRead(key, item, found)
	}
	return item, found, err
}

// MarkCommitted passes a commit on and takes its outcome into the source.
func (r *RecordingStore) Commit(ctx context.Context, tx wire.Transaction) (uint64, error) {
	keys := recordKeys(tx)
	if len(keys) == 0 {
		return r.Store.Commit(ctx, tx)
	}
	id := r.source.beginCommit()
	revision, err := r.Store.Commit(ctx, tx)
	switch {
	case err == nil:
		r.source.commitSucceeded(id, tx, keys, revision)
	case errors.Is(err, store.ErrUnknown):
		r.source.commitUnknown(id, guardedKeys(tx, keys))
	default:
		r.source.commitFailed(id)
	}
	return revision, err
}

// guardedKeys leaves out the keys of hints, which nothing rests on: a machine's images are
// written without a guard of their own.
func guardedKeys(tx wire.Transaction, keys []string) []string {
	guarded := map[string]bool{}
	for _, guard := range tx.Compares {
		guarded[guard.Key] = true
	}
	var out []string
	for _, key := range keys {
		if guarded[key] {
			out = append(out, key)
		}
	}
	return out
}

func (s *Source) beginCommit() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.positions.begin()
}

func (s *Source) commitUnknown(id uint64, keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.positions.markUnknown(id, keys)
}

func (s *Source) commitFailed(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.positions.close(id)
}

// commitSucceeded takes a commit in that was carried out.
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

// applyRead takes a record in as it was read.
func (s *Source) applyRead(key string, item wire.KeyValue, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found {
		s.apply([]*Entry{{Key: key, Value: item.Value, ModRevision: item.ModRevision}})
	} else {
		s.apply([]*Entry{{Key: key, Dropped: true, ModRevision: ^uint64(0)}})
	}
}
