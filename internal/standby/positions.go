package standby

// positionTracker derives the position of a term: the revision of the state store up to which the
// leader knows the outcome of all its commits of the term. The Source's mu guards it.
//
// A commit is open from before it is sent until its outcome is settled. It can only get a
// revision above its floor, the newest one that was known before it was sent, since
// revisions grow. So every commit at or below the least floor of the open ones is closed:
// what it changed is known, or it changed nothing.
type positionTracker struct {
	newestRevision uint64 // of all commits that are known to be carried out; at first the term
	lastID         uint64 // of commits, and of the source's transfers
	open           map[uint64]*openCommit
}

// openCommit is a commit whose outcome is not settled.
type openCommit struct {
	floor     uint64
	unsettled map[string]bool // after an unknown outcome: keys that it may still change
}

// begin opens a commit and returns its id. It must be called before the commit is sent.
func (p *positionTracker) begin() uint64 {
	p.lastID++
	p.open[p.lastID] = &openCommit{floor: p.newestRevision}
	return p.lastID
}

// close settles a commit whose outcome is known.
func (p *positionTracker) close(id uint64) { delete(p.open, id) }

// markUnknown records that a commit's outcome is unknown: it may have been carried out, or may be
// later. It is settled once a later commit has changed each of its keys: its compares of these keys
// fail from then on. keys must be keys that it compares; without any it is settled at once.
func (p *positionTracker) markUnknown(id uint64, keys []string) {
	commit := p.open[id]
	if commit == nil {
		return
	}
	if len(keys) == 0 {
		p.close(id)
		return
	}
	commit.unsettled = map[string]bool{}
	for _, key := range keys {
		commit.unsettled[key] = true
	}
}

// markCommitted records that a commit has changed keys at a revision, and settles the commits of unknown
// outcome that began before it and can no longer change anything.
func (p *positionTracker) markCommitted(id uint64, keys []string, revision uint64) {
	p.close(id)
	p.newestRevision = max(p.newestRevision, revision)
	for openID, commit := range p.open {
		if commit.unsettled == nil || openID > id {
			continue
		}
		for _, key := range keys {
			delete(commit.unsettled, key)
		}
		if len(commit.unsettled) == 0 {
			p.close(openID)
		}
	}
}

// position returns the revision up to which the outcome of every commit of the term is known.
func (p *positionTracker) position() uint64 {
	least := p.newestRevision
	for _, commit := range p.open {
		least = min(least, commit.floor)
	}
	return least
}
