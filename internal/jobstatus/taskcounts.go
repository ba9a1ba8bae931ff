package jobstatus

import (
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/wire"
)

// reportDelay is how long it may take from a change on a worker until the leader knows of it. Workers report changes
// within half a second.
const reportDelay = time.Second

// maxCountsAge is how old the leader's counts may be in an answer: with reportDelay, the answer then describes a state
// within wire.MaxStatusLag.
const maxCountsAge = wire.MaxStatusLag - reportDelay

// TaskCounts holds a follower's copy of the leader's counts: how many tasks of each job are done and
// running. The leader sends changed counts in its answers to pings, so that a poll at a follower needs no
// call to the leader. The zero TaskCounts holds no counts. TaskCounts is safe for concurrent use.
type TaskCounts struct {
	mu         sync.Mutex
	leader     string
	term       uint64
	revision   uint64    // of the leader's counts; all up to it are known, unless incomplete
	asOf       time.Time // when the last ping whose answer was applied was sent
	incomplete bool      // the leader has more counts, which did not fit in its last answer
	jobs       map[string]peer.TaskCounts
	// jobsAtSync is the number of jobs when the last full copy was complete; 0 until then.
	jobsAtSync int
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

// Update applies the counts in a peer's answer to a ping that was sent at sentAt. args are the arguments of that ping, in
// which this node asked for the changes since args.CountsRevision. Update ignores an answer without counts, and an
// answer that is older than the known counts. If args.CountsRevision is newer than the known counts of the same term,
// Update ignores the answer too, since it lacks the changes between the two revisions.
func (t *TaskCounts) Update(from string, args peer.PingArgs, answer peer.PingResult, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !answer.Leading || answer.CountsRevision == 0 || answer.Term < t.term {
		return
	}
	if t.leader != from || t.term != answer.Term {
		t.leader, t.term = from, answer.Term
		t.discard()
	}
	if args.CountsTerm == answer.Term && args.CountsRevision > t.revision || answer.CountsRevision < t.revision {
		return // the answer assumes counts that are not known here, or is older than the known counts
	}
	t.applyChanges(answer)
	t.revision, t.incomplete, t.asOf = answer.CountsRevision, answer.CountsMore, sentAt
	if !t.incomplete {
		t.limitSize()
	}
}

// applyChanges applies the changed counts in the leader's answer. t.mu is held.
func (t *TaskCounts) applyChanges(answer peer.PingResult) {
	for _, view := range answer.Counts {
		if view.Status.Final() {
			delete(t.jobs, view.UID)
			continue
		}
		t.jobs[view.UID] = peer.TaskCounts{Done: view.Done, Running: view.Running, Knowledge: peer.CountsKnown}
	}
	for _, uid := range answer.StartingJobs {
		t.jobs[uid] = peer.TaskCounts{Knowledge: peer.CountsStarting}
	}
	for _, uid := range answer.UnconfirmedJobs {
		t.jobs[uid] = peer.TaskCounts{Knowledge: peer.CountsUnconfirmed}
	}
}

// limitSize discards the copy, so that the next answer brings a new one, once it has grown to more than twice the jobs of
// the last full copy: the leader does not always tell of a job that it is archived. Counts must not be deleted singly:
// a job without counts here has none at the leader, and its tasks count as waiting. t.mu is held.
func (t *TaskCounts) limitSize() {
	const slack = 64 // jobs; keeps a small cluster from copying all counts often
	if t.jobsAtSync == 0 {
		t.jobsAtSync = len(t.jobs) + slack
	}
	if len(t.jobs) > 2*t.jobsAtSync {
		t.discard()
	}
}

// discard removes all counts. t.mu is held.
func (t *TaskCounts) discard() {
	t.revision, t.asOf, t.incomplete, t.jobsAtSync = 0, time.Time{}, false, 0
	t.jobs = map[string]peer.TaskCounts{}
}

// Get returns the counts of a job at the leader. A job of which the leader has sent none has zero counts, which are
// known. current is false if the copy is incomplete or too old to tell users.
func (t *TaskCounts) Get(uid string) (counts peer.TaskCounts, current bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.incomplete || t.asOf.IsZero() || time.Since(t.asOf) > maxCountsAge {
		return peer.TaskCounts{}, false
	}
	if counts, found := t.jobs[uid]; found {
		return counts, true
	}
	return peer.TaskCounts{Knowledge: peer.CountsKnown}, true
}
