package controller

import (
	"cmp"
	"slices"

	"lotusstile.dev/lotusstile/internal/jobdag"
	"lotusstile.dev/lotusstile/wire"
)

const (
	// maxCountsPerReply is the maximum number of jobs whose task counts one reply carries, so that
	// the time to answer a ping does not grow with the number of jobs.
	maxCountsPerReply = 2000
	// maxFinalStatuses is the maximum number of final statuses that are kept for followers. A
	// follower that has not asked for a final status before the status is discarded reads it from the
	// state store.
	maxFinalStatuses = maxCountsPerReply
)

// jobTable holds the jobs that are not archived, the graph of their dependencies and the changes
// that followers have yet to learn. It is a plain data structure: it neither locks nor blocks.
type jobTable struct {
	byUID map[string]*job
	graph *jobdag.Graph
	// revision counts the changes of jobs' task counts and the added final statuses.
	revision      uint64
	finalStatuses []finalStatus // in the order of their revisions
}

// finalStatus is the committed final status of a job, and the revision of the table at which it was
// added.
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

// remove removes an archived job from the table. The job stays in the graph while others depend on it.
func (t *jobTable) remove(j *job) { delete(t.byUID, j.uid) }

// markCountsChanged records that a job's task counts may have changed.
func (t *jobTable) markCountsChanged(j *job) {
	t.revision++
	j.countsRevision = t.revision
}

// addFinalStatus stores a committed final status, so that followers receive it with the task counts.
// Otherwise every node would read each job's final status from the state store when a user asks for
// it, and most of these reads would come when many jobs end. A committed final status never changes,
// so it does not matter for safety which node sends it, or when.
func (t *jobTable) addFinalStatus(uid string, status wire.JobStatus) {
	t.revision++
	if len(t.finalStatuses) >= maxFinalStatuses {
		t.finalStatuses = slices.Delete(t.finalStatuses, 0, maxFinalStatuses/4)
	}
	t.finalStatuses = append(t.finalStatuses, finalStatus{uid: uid, status: status, revision: t.revision})
}

// changedSince returns the jobs whose task counts have changed after a revision, and the revision to ask from next. If
// there are more than maxCountsPerReply, it returns those that changed first, and more is true.
func (t *jobTable) changedSince(revision uint64) (changed []*job, upTo uint64, more bool) {
	for _, j := range t.byUID {
		if j.countsRevision > revision {
			changed = append(changed, j)
		}
	}
	if len(changed) <= maxCountsPerReply {
		return changed, t.revision, false
	}
	slices.SortFunc(changed, func(a, b *job) int { return cmp.Compare(a.countsRevision, b.countsRevision) })
	changed = changed[:maxCountsPerReply]
	return changed, changed[maxCountsPerReply-1].countsRevision, true
}

// finalStatusViews returns the final statuses that were added after one revision and up to another.
func (t *jobTable) finalStatusViews(after, upTo uint64) []wire.JobView {
	var views []wire.JobView
	for _, f := range t.finalStatuses {
		if f.revision > after && f.revision <= upTo {
			views = append(views, wire.JobView{UID: f.uid, Status: f.status})
		}
	}
	return views
}
