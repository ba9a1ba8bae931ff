package simcluster_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/simcluster"
	"lotusstile.dev/lotusstile/internal/simcluster/fakestore"
	"lotusstile.dev/lotusstile/wire"
)

// pollLoad polls jobs until stop is closed, and counts the responses by status.
type pollLoad struct {
	users *simcluster.Users
	stop  chan struct{}

	mu           sync.Mutex
	statusCounts map[int]int
}

func newPollLoad(sc *scenario) *pollLoad {
	return &pollLoad{users: sc.cluster.Users, stop: make(chan struct{}), statusCounts: map[int]int{}}
}

// poll polls a job at a node, once per interval, without waiting for the responses.
func (p *pollLoad) poll(node, uid string, interval time.Duration) {
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(interval):
		}
		go func() {
			status, _ := p.users.Request(node, http.MethodGet, "/work/"+uid, nil)
			p.mu.Lock()
			p.statusCounts[status]++
			p.mu.Unlock()
		}()
	}
}

// timeToFinalStatusAt submits a job to a node and returns how long it takes until that node responds with a final
// status.
func (sc *scenario) timeToFinalStatusAt(node string, spec wire.JobSpec) time.Duration {
	began := time.Now()
	sc.cluster.Users.RegisterSpec(spec)
	isAccepted := false
	for sc.cluster.Checker.FinalStatus(spec.UID) == "" && time.Since(began) < time.Minute {
		if isAccepted = isAccepted || sc.cluster.Users.Submit(node, spec); isAccepted {
			sc.cluster.Users.Poll(node, spec.UID)
		}
		time.Sleep(time.Second / 4)
	}
	return time.Since(began)
}

// Users send 600 polls a second for jobs that run, have ended or never existed, to controllers whose state store
// allows 120 requests a second. The leader keeps its lease, jobs start and are cancelled in time, polls of known
// jobs are answered, and after a crash of the leader the next one soon loads the records and places tasks. Nodes
// once spent their whole request budget on reads for polls: leases were not renewed, leaders changed, and a new
// leader tried to load its records for 12 s.
func TestPollLoadLeavesTheLeaderItsRequestBudget(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		sc.cluster.Store.SetLimits(fakestore.Limits{Rps: 120, WriteRps: 100})
		array := stageJob(1, 20)
		array.JobClass, array.Priority, array.Image, array.ImageGb, array.ExpectedRunS = "batch", wire.Standard, "img", 1, 4
		sc.cluster.Users.Run(array, 0, time.Now().Add(time.Minute))
		service := serviceJob("run-000002", "crew", wire.Critical, 2)
		if !sc.cluster.Users.SubmitUntil(service, time.Now().Add(time.Minute)) {
			t.Fatal("the service was not accepted in a minute")
		}
		time.Sleep(10 * time.Second)

		known, unknown := newPollLoad(sc), newPollLoad(sc)
		for i, node := range nodeNames {
			go known.poll(node, service.UID, 10*time.Millisecond)
			go known.poll(node, array.UID, 20*time.Millisecond)
			go unknown.poll(node, fmt.Sprintf("run-9%05d", i), 20*time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		small := array
		small.TaskCount, small.Priority = 1, wire.High
		_, term := sc.leader()
		sc.expectSmallJobsServed(small)
		if _, newTerm := sc.leader(); newTerm != term {
			t.Errorf("got a leader of term %d, want still that of term %d", newTerm, term)
		}
		sc.expectSmallJobServedAfterCrash(small, term)
		time.Sleep(20 * time.Second)
		close(known.stop)
		close(unknown.stop)
		time.Sleep(3 * time.Second)
		if ok, failed := known.statusCounts[200], known.statusCounts[503]; ok < 20*failed || known.statusCounts[404] > 0 {
			t.Errorf("polls of known jobs: got statuses %v, want no 404 and at least 20 times as many 200 as 503", known.statusCounts)
		}
		if unknown.statusCounts[200] > 0 {
			t.Errorf("polls of unknown jobs: got statuses %v, want no 200", unknown.statusCounts)
		}
		sc.expectNoViolations()
	})
}

// expectSmallJobsServed expects that small jobs, one after the other, are done within smallJobLimit.
func (sc *scenario) expectSmallJobsServed(small wire.JobSpec) {
	sc.t.Helper()
	for i := range 4 {
		small.UID = fmt.Sprintf("run-0001%02d", i)
		if took := sc.timeToFinalStatusAt("n1", small); took > smallJobLimit {
			sc.t.Errorf("got %v for a small job, want at most %v", took, smallJobLimit)
		}
	}
}

// expectSmallJobServedAfterCrash crashes the leader of a term and expects that a small job is then done within
// smallJobLimit and the time of a failover. Then it cancels the service at a node that did not crash.
func (sc *scenario) expectSmallJobServedAfterCrash(small wire.JobSpec, term uint64) {
	sc.t.Helper()
	leader := sc.leaderIndex()
	if leader < 0 {
		sc.t.Fatal("no controller leads")
	}
	sc.crashNode(leader)
	time.AfterFunc(20*time.Second, func() { sc.startNode(leader) })
	follower := nodeNames[len(nodeNames)-1]
	if leader == len(nodeNames)-1 {
		follower = nodeNames[leader-1]
	}
	// The leader lease has to end first, and the machines' heartbeats have to reach the next leader.
	small.UID = "run-000200"
	const maxFailover = 10 * time.Second
	took := sc.timeToFinalStatusAt(follower, small)
	if _, newTerm := sc.leader(); took > smallJobLimit+maxFailover || newTerm == term {
		sc.t.Errorf("got %v for a small job and term %d, want at most %v and not term %d", took, newTerm, smallJobLimit+maxFailover, term)
	}
	sc.expectStatus(http.StatusOK, follower, http.MethodPost, "/work/run-000002/withdraw", "")
}
