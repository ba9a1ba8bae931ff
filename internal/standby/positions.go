package standby

// positionTracker computes the position of a term: the revision of the state store up to which the leader knows the
// outcome of all its commits of the term. Source.mu guards it.
//
// A commit is open from before it is sent until its outcome is settled: the leader knows what the commit changed, or
// the commit can no longer change anything. The floor of a commit is the newest revision that the leader knew before
// it sent the commit. Since revisions only increase, the commit can only get a revision above its floor. The position
// is the lowest floor of the open commits, or newestRevision if no commit is open: no open commit can get a revision at
// or below the position.
type positionTracker struct {
	newestRevision uint64 // of the commits that are known to have been executed; at first the term
	lastID         uint64 // the last id given to a commit or to a transfer of the source
	open           map[uint64]*openCommit
}

// openCommit is a commit whose outcome is not settled yet.
type openCommit struct {
	floor     uint64          // the commit can only get a higher revision
	unsettled map[string]bool // keys that the commit may still change; set by markUnknown
}

// begin opens a commit and returns its id. It must be called before the commit is sent.
func (p *positionTracker) begin() uint64 {
	p.lastID++
	p.open[p.lastID] = &openCommit{floor: p.newestRevision}
	return p.lastID
}

// close settles a commit: it is no longer open.
func (p *positionTracker) close(id uint64) { delete(p.open, id) }

// markUnknown records that a commit's outcome is unknown: it may have been executed already, or may be executed later.
// keys must be keys whose mod revisions the commit compares. Once later commits have changed all of these keys, the
// commit is settled, because its compares fail from then on. A commit without such keys is settled at once.
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

// markCommitted records that a commit has changed keys at a revision. It also settles commits with an unknown outcome
// that began earlier and can no longer change anything.
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
