package standby

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// leader is a fake leader that writes the records of its term.
type leader struct {
	fake         *fakeStore
	store        *RecordingStore
	source       *Source
	term         uint64
	modRevisions map[string]uint64 // mod revisions of the records that the leader knows
}

// newLeader elects a new leader, which reads all records as a controller does.
func newLeader(s *fakeStore) *leader {
	l := &leader{fake: s, term: s.elect(), modRevisions: map[string]uint64{}}
	l.source = NewSource(l.term, []string{"n1", "n2"}, time.Minute)
	l.store = NewRecordingStore(s, l.source)
	lists := make([][]wire.KeyValue, 0, len(recordPrefixes))
	for _, prefix := range recordPrefixes {
		rows, _, _ := s.List(context.Background(), prefix)
		for _, row := range rows {
			l.modRevisions[row.Key] = row.ModRevision
		}
		lists = append(lists, rows)
	}
	l.source.Seed(nil, lists...)
	return l
}

// write sets or drops records in one commit that has the same compares as a controller's, and reads the records again
// if the commit fails.
func (l *leader) write(value string, drop bool, keys ...string) {
	tx := wire.Transaction{Compares: []wire.Compare{{Key: records.LeaderKey, ModRevision: l.term}}}
	for _, key := range keys {
		tx.Compares = append(tx.Compares, wire.Compare{Key: key, ModRevision: l.modRevisions[key]})
		change := wire.Change{Set: key, Value: []byte(value)}
		if drop {
			change = wire.Change{Drop: key}
		}
		tx.Changes = append(tx.Changes, change)
	}
	revision, err := l.store.Commit(context.Background(), tx)
	for _, key := range keys {
		if err == nil {
			l.modRevisions[key] = revision
			if drop {
				l.modRevisions[key] = 0
			}
			continue
		}
		item, _, _ := l.store.Get(context.Background(), key)
		l.modRevisions[key] = item.ModRevision
	}
}

// fetchFunc requests one part from a leader.
type fetchFunc func(leader string, args peer.FollowArgs) (peer.FollowReply, error)

// newFollower returns a follower that counts as behind when its copy is older than one second.
func newFollower(label string, fetch fetchFunc) *Follower {
	return NewFollower(FollowerConfig{Label: label, BehindAfter: time.Second, Fetch: fetch})
}

// followSources returns a follower that fetches parts from sources. The keys of sources are the leaders' labels.
func followSources(label string, sources map[string]*Source) *Follower {
	return newFollower(label, func(leader string, args peer.FollowArgs) (peer.FollowReply, error) {
		source := sources[leader]
		if source == nil {
			return peer.FollowReply{}, errors.New("leader is unreachable")
		}
		return source.Follow(args)
	})
}

// newLargeLeader returns a leader with so many records that a transfer of everything takes several parts.
func newLargeLeader(s *fakeStore) *leader {
	l := newLeader(s)
	value := fmt.Sprintf("%q", make([]byte, 3000))
	for i := range 200 {
		l.write(value, false, fmt.Sprintf("p/run-%d/000000", i))
	}
	return l
}

// fakeViews is a Views with a fixed list of views and returns each of them once.
type fakeViews struct{ entries []*Entry }

func (v *fakeViews) DrainChangedViews(limit int) ([]*Entry, bool) {
	count := min(limit, len(v.entries))
	drained := v.entries[:count]
	v.entries = v.entries[count:]
	return drained, len(v.entries) > 0
}
