package controller

import (
	"fmt"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// Of more jobs than fit one reply, a follower learns the counts of all, ping by ping.
func TestFollowerLearnsTheCountsOfManyJobs(t *testing.T) {
	const jobs = 3*maxCountsPerReply + 1
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	for i := range jobs {
		uid := fmt.Sprintf("run-%06d", i)
		record := &records.Job{Spec: wire.JobSpec{UID: uid, TaskCount: 1}, Status: wire.JobQueued, Per: 1}
		c.applyJobEventLocked(uid, watchcache.Entry{Job: record, ModRevision: 1})
		c.jobs.markCountsChanged(c.jobs.get(uid))
	}
	learned, revision := map[string]bool{}, uint64(0)
	for pings, more := 0, true; more; pings++ {
		var views []wire.JobView
		views, revision, more = c.CountsSince(revision)
		if len(views) > maxCountsPerReply || pings > jobs/maxCountsPerReply {
			t.Fatalf("%d counts by ping %d", len(views), pings)
		}
		for _, v := range views {
			learned[v.UID] = true
		}
	}
	if len(learned) != jobs || revision != c.jobs.revision {
		t.Errorf("%d of %d counts are learned, up to %d of %d", len(learned), jobs, revision, c.jobs.revision)
	}
}
