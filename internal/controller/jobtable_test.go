package controller

import (
	"fmt"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// A follower that asks repeatedly learns the final status of every job that ends, without gaps, and
// of none that has not ended; the number of final statuses stored for followers is limited.
func TestFollowersLearnEachFinalStatus(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	own := map[string]wire.JobStatus{}
	c.Observer = fakeObserver{finished: own}
	const jobs, atOnce = 3 * maxFinalStatuses, maxFinalStatuses / 4
	for i := range jobs {
		uid := fmt.Sprintf("run-%06d", i)
		c.addTestJob(wire.JobSpec{UID: uid, TaskCount: 1}, 1)
	}
	announced, revision := map[string]wire.JobStatus{}, uint64(0)
	ask := func() {
		for more := true; more; {
			var views []wire.JobView
			views, revision, more = c.CountsSince(revision)
			for _, v := range views {
				if v.Status.Final() {
					announced[v.UID] = v.Status
				}
			}
		}
	}
	want := map[string]wire.JobStatus{}
	for i := range jobs / 2 {
		uid, status := fmt.Sprintf("run-%06d", i), []wire.JobStatus{wire.JobDone, wire.JobAborted}[i%2]
		c.markFinished(uid, status, now)
		want[uid] = status
		if i%atOnce == 0 {
			ask()
		}
	}
	ask()
	for uid, status := range want {
		if announced[uid] != status || own[uid] != status {
			t.Fatalf("%s is %s: a follower learned %q, this node %q", uid, status, announced[uid], own[uid])
		}
	}
	if len(announced) != len(want) || len(c.jobs.finalStatuses) > maxFinalStatuses {
		t.Errorf("a follower learned %d statuses of %d jobs, %d are kept", len(announced), len(want), len(c.jobs.finalStatuses))
	}
}
