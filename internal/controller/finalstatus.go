package controller

import (
	"slices"

	"lotusstile.dev/lotusstile/wire"
)

// maxFinalStatuses is how many final statuses a leader keeps to tell: as many as counts at once. Who
// has not been told by then reads them from the state service.
const maxFinalStatuses = maxCountsPerReply

// finalStatus is the committed final status of a job, and the revision of the counts at which
// it became known here.
type finalStatus struct {
	uid      string
	status   wire.JobStatus
	revision uint64
}

// recordFinalStatus notes a final status that is committed, so that followers are told of it with the
// counts of tasks. Without that every node read every job's final status by itself when its
// user asked, at the very time at which many ended. What is committed as final never changes,
// so no rule rests on who tells it, or when.
func (c *Controller) recordFinalStatus(uid string, status wire.JobStatus) {
	c.countsRevision++
	if len(c.finals) >= maxFinalStatuses {
		c.finals = slices.Delete(c.finals, 0, maxFinalStatuses/4)
	}
	c.finals = append(c.finals, finalStatus{uid, status, c.countsRevision})
	c.Observer.JobFinished(uid, status)
}

// finalStatusesBetween lists the final statuses that became known after a revision and up to another.
func (c *Controller) finalStatusesBetween(after, upTo uint64) []wire.JobView {
	var views []wire.JobView
	for _, f := range c.finals {
		if f.revision > after && f.revision <= upTo {
			views = append(views, wire.JobView{UID: f.uid, Status: f.status})
		}
	}
	return views
}
