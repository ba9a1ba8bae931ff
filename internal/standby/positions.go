package standby

import "lotusstile.dev/lotusstile/wire"

// positionTracker tells up to which revision of the state service all commits of a term are known
// to the leader that made them.
//
// A commit is open from before it is sent until its outcome is settled. It can only get a
// revision above its floor, the newest one that was known before it was sent, since
// revisions grow. So every commit at or below the least floor of the open ones is closed:
// what it changed is known, or it changed nothing.
type positionTracker struct {
	newestRevision uint64 // newest revision that an answer has told
	lastID         uint64
	open           map[uint64]*openCommit
}

// openCommit is a commit whose outcome is not settled.
type openCommit struct {
	floor     uint64
	unsettled map[string]bool // after an unknown outcome: keys that it may change yet
}

// beginTransfer opens a commit and returns its number.
func (p *positionTracker) begin() uint64 {
	p.lastID++
	p.open[p.lastID] = &openCommit{floor: p.newestRevision}
	return p.lastID
}

// close settles a commit whose outcome is known.
func (p *positionTracker) close(id uint64) { delete(p.open, id) }

// commitUnknown notes that a commit's outcome is unknown: it may have been carried out, or may be
// later. It is settled once each of its keys has been changed by a later commit: its
// guards of these keys fail from then on.
func (p *positionTracker) markUnknown(id uint64, keys []string) {
	c := p.open[id]
	if c == nil {
		return
	}
	if len(keys) == 0 {
		p.close(id)
		return
	}
	c.unsettled = map[string]bool{}
	for _, key := range keys {
		c.unsettled[key] = true
	}
}

// markCommitted notes that a commit has changed keys at a revision, and settles what was lost
// before it began.
func (p *positionTracker) markCommitted(id uint64, keys []string, revision uint64) {
	p.close(id)
	p.newestRevision = max(p.newestRevision, revision)
	for unknown, c := range p.open {
		if c.unsettled == nil || unknown > id {
			continue
		}
		for _, key := range keys {
			delete(c.unsettled, key)
		}
		if len(c.unsettled) == 0 {
			p.close(unknown)
		}
	}
}

// position is the revision up to which every commit of the term is known.
func (p *positionTracker) position() uint64 {
	least := p.newestRevision
	for _, c := range p.open {
		least = min(least, c.floor)
	}
	return least
}

// recordKeys lists the keys of followed records that a commit changes.
func recordKeys(tx wire.Transaction) []string {
	var keys []string
	for _, change := range tx.Changes {
		if key := change.Set + change.Drop; isRecord(key) {
			keys = append(keys, key)
		}
	}
	return keys
}
