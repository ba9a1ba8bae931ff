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
	name string // what the controller does, or has done, when it is paused
	// nodeToPause returns the controller to pause at an observed request, or "" for none. Each request is
	// observed twice: before and after it is executed.
	nodeToPause        func(sc *scenario, from, to, path string, executed bool) string
	crashesLeaderFirst bool // so that another leader is elected
}

// leaderAfterRequest selects the leader when a request that it sent has been executed and not yet answered.
func leaderAfterRequest(matches func(path string) bool) func(sc *scenario, from, to, path string, executed bool) string {
	return func(sc *scenario, from, _, path string, executed bool) string {
		if executed && matches(path) && sc.isLeader(from) {
			return from
		}
		return ""
	}
}

// leaderAtHeartbeat selects the leader when it is about to receive a heartbeat, or, if isApplied is set, when it
// has applied the heartbeat and not yet answered it.
func leaderAtHeartbeat(isApplied bool) func(sc *scenario, from, to, path string, executed bool) string {
	return func(sc *scenario, _, to, path string, executed bool) string {
		if executed == isApplied && path == "/checkin" && sc.isLeader(to) {
			return to
		}
		return ""
	}
}

// leaderAfterOtherCommit selects the leader when a commit of another node has been executed.
func leaderAfterOtherCommit(sc *scenario, from, _, path string, executed bool) string {
	if leader := sc.leaderIndex(); executed && path == "/commit" && leader >= 0 && nodeNames[leader] != from {
		return nodeNames[leader]
	}
	return ""
}

// followerAfterCommit selects a node that does not lead when its commit has been executed.
func followerAfterCommit(sc *scenario, from, _, path string, executed bool) string {
	if executed && path == "/commit" && !sc.isLeader(from) {
		return from
	}
	return ""
}

func isPath(want string) func(path string) bool {
	return func(path string) bool { return path == want }
}

func isRenewal(path string) bool { return strings.HasSuffix(path, "/touch") }

// No rule is broken when a controller's process is paused in any phase of a term. The pauses are shorter and longer
// than a leader lease, a worker lease and cancel_s. The clock runs on meanwhile: when the process is resumed, it has
// an old snapshot, old heartbeats to answer and old responses to its own requests.
func TestProcessPause(t *testing.T) {
	t.Parallel()
	for _, phase := range []pausePhase{
		{name: "is elected and has no response yet", nodeToPause: leaderAfterRequest(isPath("/commit")), crashesLeaderFirst: true},
		{name: "reads the records", nodeToPause: leaderAfterRequest(isPath("/kv")), crashesLeaderFirst: true},
		{name: "has committed and has no response yet", nodeToPause: leaderAfterRequest(isPath("/commit"))},
		{name: "is about to receive a heartbeat", nodeToPause: leaderAtHeartbeat(false)},
		{name: "has applied a heartbeat and not answered it", nodeToPause: leaderAtHeartbeat(true)},
		{name: "has renewed its lease", nodeToPause: leaderAfterRequest(isRenewal)},
		{name: "has read the cancellations", nodeToPause: leaderAfterRequest(isPath("/changes"))},
		{name: "has returned machines", nodeToPause: leaderAfterRequest(isPath("/machines/return"))},
		{name: "leads while another node records a cancellation", nodeToPause: leaderAfterOtherCommit},
		{name: "has recorded a cancellation and announced it to nobody", nodeToPause: followerAfterCommit},
	} {
		t.Run(phase.name, func(t *testing.T) {
			t.Parallel()
			pauseCount := 0
			faultCombination{
				machines:       6,
				makeJob:        mixedJob,
				jobCount:       36,
				submitInterval: time.Second,
				injectFaults:   func(sc *scenario, r *rand.Rand) { pauseCount += pauseInPhase(sc, r, phase) },
			}.runSeeds(t, seedCount(t, 1))
			// Each seed tries four pauses, but a phase that needs a cancellation does not always occur.
			if pauseCount < 2*seedCount(t, 1) {
				t.Errorf("got %d pauses of a controller, want at least %d", pauseCount, 2*seedCount(t, 1))
			}
		})
	}
}

// pauseInPhase pauses a controller in a phase up to four times, each time for longer, while jobs are cancelled.
// It returns how many times the phase occurred.
func pauseInPhase(sc *scenario, r *rand.Rand, phase pausePhase) (pauseCount int) {
	for i, minPauseMs := range []int{2000, 4500, 13000, 50000} {
		pause := milliseconds(minPauseMs + r.IntN(minPauseMs/2))
		sc.suspendWorkers(r, 1)
		sc.killWorkers(1)
		if phase.crashesLeaderFirst {
			sc.crashLeader(milliseconds(300 + r.IntN(3000)))
		}
		var once sync.Once
		sc.net.ObserveRequests(func(from, to, path string, executed bool) {
			if node := phase.nodeToPause(sc, from, to, path, executed); node != "" {
				once.Do(func() {
					pauseCount++
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
	return pauseCount
}
