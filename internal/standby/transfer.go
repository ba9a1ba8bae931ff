package standby

import (
	"time"

	"lotusstile.dev/lotusstile/internal/peer"
)

// transfer is a transfer that is under way at the source. It sends the contents as they were when it
// began. The Source's mu guards it.
type transfer struct {
	id            uint64
	nextPart      int
	contents      contents
	remainingKeys []string         // of entries that no part has contained yet
	header        peer.FollowReply // the fields that are the same in all parts
	lastRequested time.Time
}

// Follow returns the part of a transfer that a standby requests. The reply has Leading false and no part
// if the request is for another term, not from a member, or comes before the source is seeded; it has no
// part if the transfer is no longer known.
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
	return s.sendPart(t, args)
}

// dropAbandonedTransfers drops transfers that are not requested any more. s.mu is held.
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
	t.header = peer.FollowReply{
		Term:     s.term,
		Leading:  true,
		Transfer: t.id,
		Base:     have,
		Sequence: s.sequence,
		Position: s.positions.position(),
		Digest:   s.contents.digest,
	}
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

// changedSince returns the keys that have changed since a sequence number, each once. ok is
// false if the log does not reach back that far. s.mu is held.
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

// sendPart returns the next part of a transfer. A request for any other part ends the transfer: the
// standby has to begin another one. s.mu is held.
func (s *Source) sendPart(t *transfer, args peer.FollowArgs) (peer.FollowReply, error) {
	if args.Part != t.nextPart {
		delete(s.transfers, args.From)
		return peer.FollowReply{Term: s.term, Leading: true}, nil
	}
	entries := t.takeEntries()
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

// takeEntries removes keys from those that remain until their entries fill a part, and returns the
// entries.
func (t *transfer) takeEntries() []*Entry {
	var entries []*Entry
	for size := 0; len(t.remainingKeys) > 0 && size < partBytes; t.remainingKeys = t.remainingKeys[1:] {
		key := t.remainingKeys[0]
		entry, ok := t.contents.tree.Get([]byte(key))
		if !ok {
			entry = absentEntry(key)
		}
		entries = append(entries, entry)
		size += entry.size()
	}
	return entries
}
