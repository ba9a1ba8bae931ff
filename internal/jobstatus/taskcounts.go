package jobstatus

import (
	"maps"
	"sync"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/wire"
)

// TaskCounts holds a follower's copy of the leader's counts: how many tasks of each job are done and
// running. The leader sends changed counts in its answers to pings, so that a poll at a follower needs no
// call to the leader. The zero TaskCounts holds no counts. TaskCounts is safe for concurrent use.
type TaskCounts struct {
	mu         sync.Mutex
	leader     string
	term       uint64
	revision   uint64                  // of the leader's counts; all up to it are known, unless incomplete
	incomplete bool                    // the leader has more counts, which did not fit in its last answer
	jobs       map[string]wire.JobView // by job id
}

// jobIndex tells how many jobs are not archived, and which.
type jobIndex interface {
	Len() int
	Has(uid string) bool
}

// KnownRevision returns the term and the revision up to which a leader's counts are known, or zeros if no counts
// of this leader are known.
func (t *TaskCounts) KnownRevision(leader string) (term, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leader != leader {
		return 0, 0
	}
	return t.term, t.revision
}

// Update applies the counts in a peer's answer to a ping. args are the arguments of that ping, in which this
// node asked for the changes since args.CountsRevision. Update ignores an answer without counts, and an answer
// that is older than the known counts. If args.CountsRevision is newer than the known counts of the same term,
// Update ignores the answer too, since it lacks the changes between the two revisions. Update deletes the counts of
// archived jobs once there are more than twice as many counts as jobs.
func (t *TaskCounts) Update(from string, args peer.PingArgs, answer peer.PingResult, jobs jobIndex) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !answer.Leading || answer.CountsRevision == 0 || answer.Term < t.term {
		return
	}
	if t.leader != from || t.term != answer.Term {
		t.leader, t.term, t.revision, t.jobs = from, answer.Term, 0, map[string]wire.JobView{}
	}
	if args.CountsTerm == answer.Term && args.CountsRevision > t.revision || answer.CountsRevision < t.revision {
		return // the answer assumes counts that are not known here, or is older than the known counts
	}
	for _, view := range answer.Counts {
		if view.Status.Final() {
			delete(t.jobs, view.UID)
			continue
		}
		t.jobs[view.UID] = view
	}
	t.revision, t.incomplete = answer.CountsRevision, answer.CountsMore
	const slack = 64 // jobs; keeps a small cluster from scanning all counts at every ping
	if len(t.jobs) > 2*jobs.Len()+slack {
		maps.DeleteFunc(t.jobs, func(uid string, _ wire.JobView) bool { return !jobs.Has(uid) })
	}
}

// Get returns the counts of a job, or zeros for a job without counts. ok is false unless all counts of
// the given leader and term are known.
func (t *TaskCounts) Get(leader string, term uint64, uid string) (done, running int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leader != leader || t.term != term || t.incomplete {
		return 0, 0, false
	}
	view := t.jobs[uid]
	return view.Done, view.Running, true
}
