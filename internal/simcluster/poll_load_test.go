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

// pollLoad polls jobs until stop is closed, and counts the answers by status.
type pollLoad struct {
	users *simcluster.Users
	stop  chan struct{}

	mu       sync.Mutex
	answered map[int]int
}

func newPollLoad(sc *scenario) *pollLoad {
	return &pollLoad{users: sc.cluster.Users, stop: make(chan struct{}), answered: map[int]int{}}
}

// poll sends polls of a job to a node at the given rate, without waiting for the answers.
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
			p.answered[status]++
			p.mu.Unlock()
		}()
	}
}

// timeToFinalStatusAt submits a job to a node and returns how long it takes until that node answers a final
// status.
func (sc *scenario) timeToFinalStatusAt(node string, spec wire.JobSpec) time.Duration {
	began := time.Now()
	sc.cluster.Users.UploadSpec(spec)
	isAccepted := false
	for sc.cluster.Checker.FinalStatus(spec.UID) == "" && time.Since(began) < time.Minute {
		if isAccepted = isAccepted || sc.cluster.Users.Submit(node, spec); isAccepted {
			sc.cluster.Users.Poll(node, spec.UID)
		}
		time.Sleep(time.Second / 4)
	}
	return time.Since(began)
}

// Users send 600 polls a second for jobs that run, have ended or never existed, with a state store that
// allows 120 requests a second: the leader keeps its lease, work starts and is cancelled in time, polls of
// known jobs are answered, and after the leader's end the next one soon loads the records and places work.
// Nodes once spent their whole share of requests on reads for polls: leases were not renewed, leaders
// changed, and a new one tried to load its records for 12 s.
func TestPollLoadLeavesTheLeaderItsRequestBudget(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		sc.cluster.Store.SetLimits(fakestore.Limits{Rps: 120, WriteRps: 100})
		array := stageJob(1, 20)
		array.JobClass, array.Priority, array.Image, array.ImageGb, array.ExpectedRunS = "batch", wire.Standard, "img", 1, 4
		sc.cluster.Users.Run(array, 0, time.Now().Add(time.Minute))
		service := serviceJob("run-000002", "crew", wire.Critical, 2)
		if !sc.cluster.Users.SubmitUntil(service, time.Now().Add(time.Minute)) {
			t.Fatal("a service is not accepted")
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
		if _, now := sc.leader(); now != term {
			t.Errorf("the leader of term %d is gone, that of %d leads", term, now)
		}
		sc.expectSmallJobServedAfterCrash(small, term)
		time.Sleep(20 * time.Second)
		close(known.stop)
		close(unknown.stop)
		time.Sleep(3 * time.Second)
		if ok, failed := known.answered[200], known.answered[503]; ok < 20*failed || known.answered[404] > 0 {
			t.Errorf("questions about known jobs are answered %v", known.answered)
		}
		if unknown.answered[200] > 0 {
			t.Errorf("questions about unknown jobs are answered %v", unknown.answered)
		}
		sc.expectNoViolations()
	})
}

// expectSmallJobsServed expects that small jobs, one after the other, are done in time.
func (sc *scenario) expectSmallJobsServed(small wire.JobSpec) {
	sc.t.Helper()
	for i := range 4 {
		small.UID = fmt.Sprintf("run-0001%02d", i)
		if took := sc.timeToFinalStatusAt("n1", small); took > smallJobLimit {
			sc.t.Errorf("a small job took %v", took)
		}
	}
}

// expectSmallJobServedAfterCrash crashes the leader of a term, expects that the next one places work as
// soon as without the load, and cancels the service at a node that did not crash.
func (sc *scenario) expectSmallJobServedAfterCrash(small wire.JobSpec, term uint64) {
	sc.t.Helper()
	leader := sc.leaderIndex()
	if leader < 0 {
		sc.t.Fatal("nobody leads")
	}
	sc.crashNode(leader)
	time.AfterFunc(20*time.Second, func() { sc.startNode(leader) })
	follower := nodeNames[len(nodeNames)-1]
	if leader == len(nodeNames)-1 {
		follower = nodeNames[leader-1]
	}
	// The leader lease has to end first, and the machines' heartbeats have to reach the next leader.
	small.UID = "run-000200"
	const failover = 10 * time.Second
	took := sc.timeToFinalStatusAt(follower, small)
	if _, now := sc.leader(); took > smallJobLimit+failover || now == term {
		sc.t.Errorf("after the leader's end a small job took %v; term %d", took, now)
	}
	sc.expectStatus(http.StatusOK, follower, http.MethodPost, "/work/run-000002/withdraw", "")
}
