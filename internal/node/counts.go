package node

import (
	"maps"
	"sync"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/wire"
)

// taskCounts is what a follower knows of how many tasks of each job are done and
// running. The leader sends what has changed with its answers to pings, so that a
// poll at a follower needs no call to the leader.
type taskCounts struct {
	mu       sync.Mutex
	leader   string
	term     uint64
	revision uint64                  // of the leader's counts, up to which all are known
	more     bool                    // the leader has told that there are more
	jobs     map[string]wire.JobView // by id
}

// jobIndex is what taskCounts needs of the jobs that are not archived.
type jobIndex interface {
	Len() int
	Has(uid string) bool
}

// known tells which counts of a leader are here already.
func (t *taskCounts) known(leader string) (term, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leader != leader {
		return 0, 0
	}
	return t.term, t.revision
}

// update takes the counts in a peer's answer to a ping. Counts of archived jobs
// are forgotten once they are most of all.
func (t *taskCounts) update(from string, asked peer.PingArgs, r peer.PingResult, jobs jobIndex) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !r.Leading || r.CountsRevision == 0 || r.Term < t.term {
		return
	}
	if t.leader != from || t.term != r.Term {
		t.leader, t.term, t.revision, t.jobs = from, r.Term, 0, map[string]wire.JobView{}
	}
	if asked.CountsTerm == r.Term && asked.CountsRevision > t.revision || r.CountsRevision < t.revision {
		return // what came between is not known here, or it is older than what is
	}
	for _, view := range r.Counts {
		if view.Status.Final() {
			delete(t.jobs, view.UID)
			continue
		}
		t.jobs[view.UID] = view
	}
	t.revision, t.more = r.CountsRevision, r.CountsMore
	const few = 64
	if len(t.jobs) > 2*jobs.Len()+few {
		maps.DeleteFunc(t.jobs, func(uid string, _ wire.JobView) bool { return !jobs.Has(uid) })
	}
}

// get tells the counts of a job; ok is false if not all is known of this leader
// and term.
func (t *taskCounts) get(leader string, term uint64, uid string) (done, running int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leader != leader || t.term != term || t.more {
		return 0, 0, false
	}
	view := t.jobs[uid]
	return view.Done, view.Running, true
}
