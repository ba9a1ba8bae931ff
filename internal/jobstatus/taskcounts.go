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
// It is safe for concurrent use.
type TaskCounts struct {
	mu       sync.Mutex
	leader   string
	term     uint64
	revision uint64                  // of the leader's counts, up to which all are known
	more     bool                    // the leader has more that did not fit its last answer
	jobs     map[string]wire.JobView // by job id
}

// jobIndex says which jobs are not archived.
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

// Update applies the counts in a peer's answer to a ping. asked are the arguments of that ping:
// counts that build on more than is known here are ignored, as are older ones. Counts of
// archived jobs are dropped once most counts are of such jobs.
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
		return // it builds on counts that are not known here, or is older than those that are
	}
	for _, view := range answer.Counts {
		if view.Status.Final() {
			delete(t.jobs, view.UID)
			continue
		}
		t.jobs[view.UID] = view
	}
	t.revision, t.more = answer.CountsRevision, answer.CountsMore
	const slack = 64 // so that a small cluster does not search the counts at every ping
	if len(t.jobs) > 2*jobs.Len()+slack {
		maps.DeleteFunc(t.jobs, func(uid string, _ wire.JobView) bool { return !jobs.Has(uid) })
	}
}

// Get returns the counts of a job, zeros for a job without any. ok is false unless all counts of
// this leader and term are known.
func (t *TaskCounts) Get(leader string, term uint64, uid string) (done, running int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leader != leader || t.term != term || t.more {
		return 0, 0, false
	}
	view := t.jobs[uid]
	return view.Done, view.Running, true
}
