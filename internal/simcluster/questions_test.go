package simcluster_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/simcluster/fakestore"
	"lotusstile.dev/lotusstile/wire"
)

// pollLoad asks for a job at a node, so often a second, until stop is closed. It counts the
// answers by status.
type pollLoad struct {
	sc   *scenario
	stop chan struct{}

	mu       sync.Mutex
	answered map[int]int
}

func (q *pollLoad) poll(node, uid string, every time.Duration) {
	for {
		select {
		case <-q.stop:
			return
		case <-time.After(every):
		}
		go func() {
			status, _ := q.sc.cluster.Users.Request(node, "GET", "/work/"+uid, nil)
			q.mu.Lock()
			q.answered[status]++
			q.mu.Unlock()
		}()
	}
}

// timeToFinalStatusAt submits a job to a node and tells how long it takes until its user is told its end
// there.
func (sc *scenario) timeToFinalStatusAt(node string, spec wire.JobSpec) time.Duration {
	began := time.Now()
	sc.cluster.Users.UploadSpec(spec)
	for accepted := false; sc.cluster.Checker.FinalStatus(spec.UID) == "" && time.Since(began) < time.Minute; time.Sleep(time.Second / 4) {
		if accepted = accepted || sc.cluster.Users.Submit(node, spec); accepted {
			sc.cluster.Users.Poll(node, spec.UID)
		}
	}
	return time.Since(began)
}

// leaderTerm is the term of the leader, 0 if nobody leads.
func (sc *scenario) leaderTerm() uint64 {
	item, _ := sc.cluster.Store.Get("e/leader")
	return item.ModRevision
}

// Users ask 600 questions a second of a state service that takes 120 requests, about jobs that
// run, have ended and never were: the leader keeps its hold, work starts and is cancelled in time,
// questions about known jobs are answered, and after the leader's end the next one reads the
// records and places soon. Each node once read as often as its whole share allowed, for
// questions alone: holds were not renewed, leaders changed, and a new one tried to read
// its records for 12 s.
func TestPollLoadLeavesTheLeaderItsRequestBudget(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		sc.cluster.Store.SetLimits(fakestore.Limits{Rps: 120, WriteRps: 100})
		array := wire.JobSpec{UID: "run-000001", JobClass: "batch", Team: "free", Kind: wire.JobArray, Priority: wire.Standard, TaskCount: 20,
			Cores: 1, RAMGb: 1, Image: "img", ImageGb: 1, ExpectedRunS: 4}
		sc.cluster.Users.Run(array, 0, time.Now().Add(time.Minute))
		service := wire.JobSpec{UID: "run-000002", JobClass: "serve", Team: "crew", Kind: wire.Service, Priority: wire.Critical, TaskCount: 2,
			Cores: 4, Gpus: 1, RAMGb: 20, Image: "img", ImageGb: 4}
		if !sc.cluster.Users.SubmitUntil(service, time.Now().Add(time.Minute)) {
			t.Fatal("a service is not accepted")
		}
		time.Sleep(10 * time.Second)

		known := &pollLoad{sc: sc, stop: make(chan struct{}), answered: map[int]int{}}
		unknown := &pollLoad{sc: sc, stop: make(chan struct{}), answered: map[int]int{}}
		for i, node := range nodeNames {
			go known.poll(node, service.UID, 10*time.Millisecond)
			go known.poll(node, array.UID, 20*time.Millisecond)
			go unknown.poll(node, fmt.Sprintf("run-9%05d", i), 20*time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		term := sc.leaderTerm()
		for i := range 4 { // small jobs, one after the other, are served
			small := array
			small.UID, small.TaskCount, small.Priority = fmt.Sprintf("run-0001%02d", i), 1, wire.High
			if took := sc.timeToFinalStatusAt("n1", small); took > smallJobLimit {
				t.Errorf("a small job took %v", took)
			}
		}
		if now := sc.leaderTerm(); now != term {
			t.Errorf("the leader of term %d is gone, that of %d leads", term, now)
		}
		// The leader ends, and the next one places as soon as ever.
		follower := ""
		item, _ := sc.cluster.Store.Get("e/leader")
		for i, label := range nodeNames {
			if strings.Contains(string(item.Value), label) {
				sc.crashNode(i)
				time.AfterFunc(20*time.Second, func() { sc.startNode(i) })
			} else {
				follower = label
			}
		}
		// The hold has to end, and the machines have to report to the next leader.
		small := array
		small.UID, small.TaskCount, small.Priority = "run-000200", 1, wire.High
		const takeover = 10 * time.Second
		if took := sc.timeToFinalStatusAt(follower, small); took > smallJobLimit+takeover || sc.leaderTerm() == term {
			t.Errorf("after the leader's end a small job took %v; term %d", took, sc.leaderTerm())
		}
		sc.expectStatus(200, follower, "POST", "/work/run-000002/withdraw", "")
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
		if b := sc.cluster.Checker.Violations(); len(b) > 0 {
			t.Errorf("rules broken:\n%s", strings.Join(b[:min(5, len(b))], "\n"))
		}
	})
}
