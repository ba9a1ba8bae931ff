package standby

import (
	"time"

	"lotusstile.dev/lotusstile/internal/peer"
)

// outgoingTransfer is a transfer that a source is sending. It sends the contents as they were when it began.
// Source.mu guards it.
type outgoingTransfer struct {
	id            uint64
	nextPart      int
	contents      contents
	remainingKeys []string         // keys of the entries that have not been sent yet
	header        peer.FollowReply // the fields of the reply that are the same in all parts
	lastRequested time.Time        // when the standby last requested a part
}

// Follow returns the part of a transfer that a standby requests. The reply has no part and Leading is false if the
// request is for another term, does not come from a member, or arrives before the source is seeded. The reply has no
// part and Leading is true if the transfer is no longer known.
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

// dropAbandonedTransfers drops transfers whose latest request is longer ago than s.transferLifetime. The caller holds
// s.mu.
func (s *Source) dropAbandonedTransfers() {
	for label, t := range s.transfers {
		if s.now().Sub(t.lastRequested) > s.transferLifetime {
			delete(s.transfers, label)
		}
	}
}

// beginTransfer begins a transfer of the changes after the sequence number base, or of everything if the log no longer
// has all these changes. The caller holds s.mu.
func (s *Source) beginTransfer(base uint64) *outgoingTransfer {
	s.positions.lastID++
	t := &outgoingTransfer{id: s.positions.lastID, contents: s.contents}
	t.header = peer.FollowReply{
		Term:     s.term,
		Leading:  true,
		Transfer: t.id,
		Base:     base,
		Sequence: s.sequence,
		Position: s.positions.position(),
		Digest:   s.contents.digest,
	}
	if keys, ok := s.changedSince(base); ok {
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

// changedSince returns the keys of the changes after the sequence number base, each key once. ok is false if base is
// 0 or newer than the contents, or if the log no longer has all these changes. The caller holds s.mu.
func (s *Source) changedSince(base uint64) (keys []string, ok bool) {
	if base == 0 || base > s.sequence || base < s.sequence && (len(s.changeLog) == 0 || s.changeLog[0].sequence > base+1) {
		return nil, false
	}
	seen := map[string]bool{}
	for i := len(s.changeLog) - 1; i >= 0 && s.changeLog[i].sequence > base; i-- {
		if key := s.changeLog[i].key; !seen[key] {
			seen[key] = true
			keys = append(keys, key)
		}
	}
	return keys, true
}

// sendPart returns the next part of a transfer. A request for any other part ends the transfer, and the standby has to
// begin a new one. The caller holds s.mu.
func (s *Source) sendPart(t *outgoingTransfer, args peer.FollowArgs) (peer.FollowReply, error) {
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

// takeEntries removes keys from remainingKeys until their entries fill a part, and returns these entries.
func (t *outgoingTransfer) takeEntries() []*Entry {
	var entries []*Entry
	for size := 0; len(t.remainingKeys) > 0 && size < targetPartBytes; t.remainingKeys = t.remainingKeys[1:] {
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
