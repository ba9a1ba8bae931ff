package jobstatus

import (
	"flag"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/wire"
)

// The same inputs every run; -rapid.seed draws others.
func init() { _ = flag.Set("rapid.seed", "1") }

// fakeLeader sends counts as a controller does.
type fakeLeader struct {
	term, revision uint64
	jobs           map[string]wire.JobView
	changed        map[string]uint64
}

func (l *fakeLeader) change(uid string, done int) {
	l.revision++
	l.jobs[uid] = wire.JobView{UID: uid, Done: done, Running: done + 1}
	l.changed[uid] = l.revision
}

func (l *fakeLeader) answer(a peer.PingArgs) peer.PingResult {
	r := peer.PingResult{Term: l.term, Leading: true, CountsRevision: l.revision}
	since := a.CountsRevision
	if a.CountsTerm != l.term {
		since = 0
	}
	for uid, v := range l.jobs {
		if l.changed[uid] > since {
			r.Counts = append(r.Counts, v)
		}
	}
	return r
}

// allJobs is an index that has every job.
type allJobs struct{}

func (allJobs) Len() int        { return 1 << 20 }
func (allJobs) Has(string) bool { return true }

// A follower that has applied an answer knows all counts as the leader had them when it sent the
// answer, or newer ones, whichever answers get lost or arrive late and whoever leads: applying an
// older answer would undo counts that are never sent again.
func TestTaskCountsAreNeverOlderThanTheLastAnswerTaken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader := &fakeLeader{term: 3, revision: 1, jobs: map[string]wire.JobView{}, changed: map[string]uint64{}}
		var counts TaskCounts
		type exchange struct {
			asked  peer.PingArgs
			answer peer.PingResult
			truth  map[string]wire.JobView
		}
		var late []exchange
		best, truth := uint64(0), map[string]wire.JobView{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				leader.change(fmt.Sprintf("run-%06d", rapid.IntRange(0, 5).Draw(t, "job")), rapid.IntRange(0, 9).Draw(t, "done"))
			case 3, 4:
				var e exchange
				e.asked.CountsTerm, e.asked.CountsRevision = counts.Known("leader")
				e.answer, e.truth = leader.answer(e.asked), maps.Clone(leader.jobs)
				late = append(late, e)
			case 5:
				leader.term, leader.revision = leader.term+1, 1
				for uid := range leader.jobs {
					leader.changed[uid] = 1
				}
				best = 0
			}
			if len(late) == 0 || rapid.Bool().Draw(t, "still under way") {
				continue
			}
			i := rapid.IntRange(0, len(late)-1).Draw(t, "arrives")
			e := late[i]
			late = append(late[:i], late[i+1:]...)
			counts.Update("leader", e.asked, e.answer, allJobs{})
			if term, revision := counts.Known("leader"); term == leader.term && revision > best {
				best, truth = revision, e.truth
			}
			for uid, want := range truth {
				done, running, ok := counts.Get("leader", leader.term, uid)
				if ok && best > 0 && (done != want.Done || running != want.Running) {
					t.Fatalf("%s has %d done and %d running, want %+v", uid, done, running, want)
				}
			}
		}
	})
}

// Counts are unknown from a leader that does not send them, such as one of an older release.
func TestTaskCountsAreUnknownIfTheLeaderSendsNone(t *testing.T) {
	var counts TaskCounts
	counts.Update("leader", peer.PingArgs{}, peer.PingResult{Term: 3, Leading: true}, allJobs{})
	if _, _, ok := counts.Get("leader", 3, "run-000001"); ok {
		t.Error("counts are known although none were sent")
	}
}
