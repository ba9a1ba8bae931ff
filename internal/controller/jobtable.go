package controller

import (
	"cmp"
	"slices"

	"lotusstile.dev/lotusstile/internal/jobdag"
	"lotusstile.dev/lotusstile/wire"
)

const (
	// maxCountsPerReply is how many jobs' counts of tasks one reply carries: the answer to a
	// ping must not take longer the more jobs there are.
	maxCountsPerReply = 2000
	// maxFinalStatuses is how many final statuses are kept for followers: as many as counts in
	// one reply. A follower that has not asked by then reads them from the state store.
	maxFinalStatuses = maxCountsPerReply
)

// jobTable holds the jobs that are not archived, the graph of their dependencies and what
// followers have yet to learn of them. It is a plain data structure: it neither locks nor waits.
type jobTable struct {
	byUID map[string]*job
	graph *jobdag.Graph
	// revision counts the changes of jobs' counts of tasks and of final statuses.
	revision      uint64
	finalStatuses []finalStatus // in the order of their revisions
}

// finalStatus is the committed final status of a job, and the revision of the table at which
// it became known here.
type finalStatus struct {
	uid      string
	status   wire.JobStatus
	revision uint64
}

func newJobTable() *jobTable {
	return &jobTable{byUID: map[string]*job{}, graph: jobdag.New(), revision: 1}
}

// get returns a job, or nil if it is not in the table.
func (t *jobTable) get(uid string) *job { return t.byUID[uid] }

func (t *jobTable) add(j *job) { t.byUID[j.uid] = j }

// remove drops a job that is archived. It stays in the graph while others depend on it.
func (t *jobTable) remove(j *job) { delete(t.byUID, j.uid) }

// markCountsChanged says that a job's counts of tasks may have changed.
func (t *jobTable) markCountsChanged(j *job) {
	t.revision++
	j.countsRevision = t.revision
}

// addFinalStatus stores a final status that is committed, so that followers receive it with the
// counts of tasks. Without that every node read every job's final status by itself when its
// user asked, at the very time at which many ended. A committed final status never changes, so
// no safety rule rests on which node sends it, or when.
func (t *jobTable) addFinalStatus(uid string, status wire.JobStatus) {
	t.revision++
	if len(t.finalStatuses) >= maxFinalStatuses {
		t.finalStatuses = slices.Delete(t.finalStatuses, 0, maxFinalStatuses/4)
	}
	t.finalStatuses = append(t.finalStatuses, finalStatus{uid: uid, status: status, revision: t.revision})
}

// changesSince returns the counts of the jobs that have changed after a revision with the final
// statuses that were added after it, and the revision to ask from next. If there are more changes
// than maxCountsPerReply it returns the oldest, and more is true.
func (t *jobTable) changesSince(revision uint64) (views []wire.JobView, upTo uint64, more bool) {
	var changed []*job
	for _, j := range t.byUID {
		if j.countsRevision > revision {
			changed = append(changed, j)
		}
	}
	upTo = t.revision
	if more = len(changed) > maxCountsPerReply; more {
		slices.SortFunc(changed, func(a, b *job) int { return cmp.Compare(a.countsRevision, b.countsRevision) })
		changed = changed[:maxCountsPerReply]
		upTo = changed[maxCountsPerReply-1].countsRevision
	}
	views = make([]wire.JobView, 0, len(changed))
	for _, j := range changed {
		views = append(views, wire.JobView{UID: j.uid, Done: j.done, Running: j.runningCount()})
	}
	for _, f := range t.finalStatuses {
		if f.revision > revision && f.revision <= upTo {
			views = append(views, wire.JobView{UID: f.uid, Status: f.status})
		}
	}
	return views, upTo, more
}
