package jobstatus

import (
	"maps"
	"sync"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/wire"
)

// TaskCounts is what a follower knows of how many tasks of each job are done and
// running. The leader sends what has changed with its answers to pings, so that a
// poll at a follower needs no call to the leader. The zero TaskCounts knows none.
type TaskCounts struct {
	mu       sync.Mutex
	leader   string
	term     uint64
	revision uint64                  // of the leader's counts, up to which all are known
	more     bool                    // the leader has said that there are more
	jobs     map[string]wire.JobView // by job id
}

// jobIndex is the jobs that are not archived.
type jobIndex interface {
	Len() int
	Has(uid string) bool
}

// Known returns up to which revision of which term the counts of a leader are known.
func (t *TaskCounts) Known(leader string) (term, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leader != leader {
		return 0, 0
	}
	return t.term, t.revision
}

// Update applies the counts in a peer's answer to a ping. Counts of archived jobs
// are dropped once they are most of all.
func (t *TaskCounts) Update(from string, asked peer.PingArgs, answer peer.PingResult, jobs jobIndex) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !answer.Leading || answer.CountsRevision == 0 || answer.Term < t.term {
		return
	}
	if t.leader != from || t.term != answer.Term {
		t.leader, t.term, t.revision, t.jobs = from, answer.Term, 0, map[string]wire.JobView{}
	}
	if asked.CountsTerm == answer.Term && asked.CountsRevision > t.revision || answer.CountsRevision < t.revision {
		return // what came between is not known here, or it is older than what is
	}
	for _, view := range answer.Counts {
		if view.Status.Final() {
			delete(t.jobs, view.UID)
			continue
		}
		t.jobs[view.UID] = view
	}
	t.revision, t.more = answer.CountsRevision, answer.CountsMore
	const few = 64
	if len(t.jobs) > 2*jobs.Len()+few {
		maps.DeleteFunc(t.jobs, func(uid string, _ wire.JobView) bool { return !jobs.Has(uid) })
	}
}

// Get returns the counts of a job; ok is false if not all counts of this leader and term
// are known.
func (t *TaskCounts) Get(leader string, term uint64, uid string) (done, running int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leader != leader || t.term != term || t.more {
		return 0, 0, false
	}
	view := t.jobs[uid]
	return view.Done, view.Running, true
}
