package simcluster_test

import (
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"
)

// pausePhase is a step of the protocol at which a controller's process is paused.
type pausePhase struct {
	name string
	// whoPauses returns the controller that is to pause at an observed request, "" if none is.
	whoPauses  func(sc *scenario, from, to, path string, carriedOut bool) string
	leaderEnds bool // the leader crashes first, so that another is elected
}

// leaderSends pauses the leader when a request of it is carried out and not yet answered.
func leaderSends(isPath func(path string) bool) func(sc *scenario, from, to, path string, carriedOut bool) string {
	return func(sc *scenario, from, _, path string, carriedOut bool) string {
		if carriedOut && isPath(path) && sc.isLeader(from) {
			return from
		}
		return ""
	}
}

// leaderReceivesHeartbeat pauses the leader when it is about to receive a heartbeat, or afterwards: when it
// has applied it and not yet answered.
func leaderReceivesHeartbeat(afterwards bool) func(sc *scenario, from, to, path string, carriedOut bool) string {
	return func(sc *scenario, _, to, path string, carriedOut bool) string {
		if carriedOut == afterwards && path == "/checkin" && sc.isLeader(to) {
			return to
		}
		return ""
	}
}

// leaderWhileOtherCommits pauses the leader when another node has committed.
func leaderWhileOtherCommits(sc *scenario, from, _, path string, carriedOut bool) string {
	if leader := sc.leaderIndex(); carriedOut && path == "/commit" && leader >= 0 && nodeNames[leader] != from {
		return nodeNames[leader]
	}
	return ""
}

// followerCommits pauses a node that does not lead when it has committed.
func followerCommits(sc *scenario, from, _, path string, carriedOut bool) string {
	if carriedOut && path == "/commit" && !sc.isLeader(from) {
		return from
	}
	return ""
}

func isPath(want string) func(path string) bool {
	return func(path string) bool { return path == want }
}

func isRenewal(path string) bool { return strings.HasSuffix(path, "/touch") }

// A controller's process is paused while its clocks run on, in every phase of a term, for less than its
// leader lease, a worker lease or cancel_s, and for longer. When it is resumed it has an old snapshot, old
// heartbeats to answer and old responses to its own requests.
func TestProcessPause(t *testing.T) {
	t.Parallel()
	for _, phase := range []pausePhase{
		{name: "is elected and has no response yet", whoPauses: leaderSends(isPath("/commit")), leaderEnds: true},
		{name: "reads the records", whoPauses: leaderSends(isPath("/kv")), leaderEnds: true},
		{name: "has committed and has no response yet", whoPauses: leaderSends(isPath("/commit"))},
		{name: "is about to receive a heartbeat", whoPauses: leaderReceivesHeartbeat(false)},
		{name: "has applied a heartbeat and not answered it", whoPauses: leaderReceivesHeartbeat(true)},
		{name: "has renewed its lease", whoPauses: leaderSends(isRenewal)},
		{name: "has read the cancellations", whoPauses: leaderSends(isPath("/changes"))},
		{name: "has returned machines", whoPauses: leaderSends(isPath("/machines/return"))},
		{name: "leads while another node records a cancellation", whoPauses: leaderWhileOtherCommits},
		{name: "has recorded a cancellation and announced it to nobody", whoPauses: followerCommits},
	} {
		t.Run(phase.name, func(t *testing.T) {
			t.Parallel()
			pauses := 0
			faultCombination{
				machines:       6,
				makeJob:        mixedJob,
				jobCount:       36,
				submitInterval: time.Second,
				injectFaults:   func(sc *scenario, r *rand.Rand) { pauses += pauseInPhase(sc, r, phase) },
			}.run(t, seedCount(t, 1))
			if pauses < 2*seedCount(t, 1) { // of four: a phase with a cancellation may not come each time
				t.Errorf("a controller was paused %d times", pauses)
			}
		})
	}
}

// pauseInPhase pauses a controller in a phase four times, each time for longer, while jobs are cancelled.
// It returns how often the phase came.
func pauseInPhase(sc *scenario, r *rand.Rand, phase pausePhase) (pauses int) {
	for i, span := range []int{2000, 4500, 13000, 50000} {
		pause := milliseconds(span + r.IntN(span/2))
		sc.hangWorkers(r, 1)
		sc.killWorkers(1)
		if phase.leaderEnds {
			sc.crashLeader(milliseconds(300 + r.IntN(3000)))
		}
		var once sync.Once
		sc.net.ObserveRequests(func(from, to, path string, carriedOut bool) {
			if node := phase.whoPauses(sc, from, to, path, carriedOut); node != "" {
				once.Do(func() {
					pauses++
					sc.net.PauseProcess(node, true)
					time.AfterFunc(pause, func() { sc.net.PauseProcess(node, false) })
				})
			}
		})
		time.Sleep(milliseconds(r.IntN(2500)))
		sc.cancelJobs(nodeNames[r.IntN(3)], 9*(i+1), 8*time.Second)
		time.Sleep(pause + 5*time.Second)
		sc.net.ObserveRequests(nil)
	}
	return pauses
}
