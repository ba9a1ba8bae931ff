package simcluster_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// jobJSON returns the JSON body of a submission.
func jobJSON(spec wire.JobSpec) string {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// Submissions with valid and invalid dependencies get the status that the protocol specifies, and a job that is
// already known is never refused.
func TestSubmissionWithInvalidDependenciesIsRefused(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		first, last := stageJob(1, 1), stageJob(9, 1)
		service := stageJob(2, 1)
		service.Kind, service.JobClass = wire.Service, "serve"
		for _, spec := range []wire.JobSpec{first, service, last} {
			sc.cluster.Users.RegisterSpec(spec)
		}
		submit := func(status int, node, body string) {
			t.Helper()
			sc.expectStatus(status, node, http.MethodPost, "/work", body)
		}
		submit(http.StatusCreated, "n0", jobJSON(first))
		submit(http.StatusCreated, "n0", jobJSON(service))
		submit(http.StatusUnprocessableEntity, "n1", jobJSON(stageJob(9, 1, "run-000077")))
		submit(http.StatusUnprocessableEntity, "n1", jobJSON(stageJob(9, 1, first.UID, "run-000009")))
		submit(http.StatusUnprocessableEntity, "n1", jobJSON(stageJob(9, 1, service.UID)))
		submit(http.StatusBadRequest, "n1", strings.Replace(jobJSON(stageJob(9, 1, first.UID)), `["run-000001"]`, `"run-000001"`, 1))
		unknown := make([]string, 800)
		for i := range unknown {
			unknown[i] = jobName(1000 + i)
		}
		submit(http.StatusUnprocessableEntity, "n1", jobJSON(stageJob(9, 1, unknown...)))
		sc.expectStatus(http.StatusNotFound, "n1", http.MethodGet, "/work/run-000009", "")
		time.Sleep(20 * time.Second) // the first job is done and archived
		submit(http.StatusCreated, "n1", jobJSON(stageJob(9, 1, first.UID, first.UID)))
		submit(http.StatusOK, "n2", jobJSON(stageJob(9, 1, "run-000077")))
		submit(http.StatusOK, "n2", jobJSON(stageJob(9, 1, "run-000009")))
		time.Sleep(20 * time.Second)
		sc.expectDone("n2", "run-000009")
		sc.expectNoViolations()
	})
}

// A list of dependencies that does not fit in a record is refused with an error that says how many would fit,
// unless the job is already known: a job that was accepted under a higher limit is not forgotten.
func TestDependencyListLargerThanARecordIsRefused(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		uids := make([]string, 700)
		for i := range uids {
			spec := stageJob(1000+i, 1)
			spec.Cores = 32 // so large that most of these jobs wait
			uids[i] = spec.UID
			for status := 0; status != http.StatusCreated && status != http.StatusOK; time.Sleep(15 * time.Millisecond) {
				status, _ = sc.cluster.Users.Request("n0", http.MethodPost, "/work", spec)
			}
		}
		refusal := sc.expectStatus(http.StatusBadRequest, "n1", http.MethodPost, "/work", jobJSON(stageJob(9, 1, uids...)))
		if !strings.Contains(refusal, "Awaits may name about 607 jobs") {
			t.Errorf("got refusal %s, want one that says that about 607 jobs fit", refusal)
		}
		sc.expectStatus(http.StatusCreated, "n1", http.MethodPost, "/work", jobJSON(stageJob(9, 1, uids[:500]...)))
		sc.expectStatus(http.StatusOK, "n2", http.MethodPost, "/work", jobJSON(stageJob(9, 1, uids...)))
	})
}

// allOlderRelease makes all nodes run the older release.
func allOlderRelease(sc *scenario) { sc.olderRelease = [3]bool{true, true, true} }

// While a node runs the older release, submissions with dependencies are refused, both by new nodes and when a new
// node forwards them to an old one: a node of the older release would start such a job too early.
func TestDependenciesAreRefusedWhileAnOlderReleaseServes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, 1, allOlderRelease)
		sc.cluster.Cloud.AddMachines("g8", "a", 2)
		time.Sleep(5 * time.Second)
		first := stageJob(1, 1)
		second := stageJob(2, 1, first.UID)
		sc.cluster.Users.RegisterSpec(first)
		sc.cluster.Users.RegisterSpec(second)
		sc.expectStatus(http.StatusCreated, "n2", http.MethodPost, "/work", jobJSON(first))
		for i := range nodeNames {
			if i > 0 {
				sc.net.Partition("n0", storeAddress, true) // n0 can then only forward requests
				time.Sleep(3 * time.Second)
				status, _, header := sc.request("n0", http.MethodPost, "/work", jobJSON(second))
				if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
					t.Errorf("%d of 3 nodes upgraded: got %d, Retry-After %q, want 503 with a Retry-After", i, status, header.Get("Retry-After"))
				}
				sc.net.Partition("n0", storeAddress, false)
			}
			sc.upgradeNode(i, time.Second)
			time.Sleep(8 * time.Second)
		}
		sc.expectStatus(http.StatusCreated, "n0", http.MethodPost, "/work", jobJSON(second))
		time.Sleep(20 * time.Second)
		sc.expectDone("n1", second.UID)
		sc.expectNoViolations()
		sc.end()
	})
}

// The cluster version rises although the leader cannot reach an upgraded node: the leader learns of the upgrade
// from the state store alone.
func TestClusterVersionRisesWhenAMemberIsUnreachable(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, 1, allOlderRelease)
		sc.cluster.Cloud.AddMachines("g8", "a", 2)
		time.Sleep(5 * time.Second)
		first := stageJob(1, 1)
		sc.cluster.Users.RegisterSpec(first)
		sc.expectStatus(http.StatusCreated, "n2", http.MethodPost, "/work", jobJSON(first))
		sc.partitionFromPeers(2, true)
		sc.upgradeNode(0, time.Second)
		sc.upgradeNode(1, time.Second)
		time.Sleep(20 * time.Second)
		second := jobJSON(stageJob(2, 1, first.UID))
		sc.expectStatus(http.StatusServiceUnavailable, "n0", http.MethodPost, "/work", second)
		sc.upgradeNode(2, time.Second)
		time.Sleep(15 * time.Second)
		sc.expectStatus(http.StatusCreated, "n0", http.MethodPost, "/work", second)
		sc.expectNoKeys("o/release/")
		sc.end()
	})
}

// cancelledDependency is a cancellation, during a fault, of a job that others depend on.
type cancelledDependency struct {
	name          string
	before, after func(sc *scenario) // called before and after the cancellation, if set
	isOutage      bool               // no node can answer until the outage ends
}

// Every node answers at once that the dependents of a cancelled job are cancelled, whether or not their records
// can be written: also without a leader, while the state store refuses the leader alone, and after an outage
// longer than cancel_s. The same holds for direct and indirect dependents submitted after the cancellation.
func TestCancellationReachesAllDependentJobs(t *testing.T) {
	t.Parallel()
	for _, tc := range []cancelledDependency{
		{name: "no fault"},
		{name: "leader crashes", before: func(sc *scenario) { sc.crashLeader(20 * time.Second) }},
		{name: "leader refused", before: func(sc *scenario) {
			leader := nodeNames[sc.leaderIndex()]
			sc.net.RefuseRequests(leader, storeAddress, true)
			time.AfterFunc(50*time.Second, func() { sc.net.RefuseRequests(leader, storeAddress, false) })
		}},
		{name: "long outage", isOutage: true, after: func(sc *scenario) {
			sc.cluster.Store.SetDown(true)
			time.AfterFunc(55*time.Second, func() { sc.cluster.Store.SetDown(false) })
		}},
	} {
		t.Run(tc.name, func(t *testing.T) { runScenario(t, tc.run) })
	}
}

// run cancels the first job of a chain. The last jobs of the chain are submitted only after that.
func (c cancelledDependency) run(sc *scenario) {
	sc.t.Helper()
	chain := chainOfJobs()
	submitted, later := chain[:5], chain[5:]
	deadline := time.Now().Add(3 * time.Minute)
	for _, spec := range submitted {
		if !sc.cluster.Users.SubmitUntil(spec, deadline) {
			sc.t.Fatalf("%s was not accepted before the deadline", spec.UID)
		}
	}
	time.Sleep(5 * time.Second)
	if c.before != nil {
		c.before(sc)
	}
	for i := 0; !sc.cluster.Users.Cancel(nodeNames[i%3], chain[0].UID); i++ {
		time.Sleep(10 * time.Millisecond)
	}
	if c.after != nil {
		c.after(sc)
	}
	if !c.isOutage {
		sc.expectCancelledEverywhere(submitted) // before any node has had time to write their records
	}
	go func() {
		for _, spec := range later {
			sc.cluster.Users.SubmitUntil(spec, deadline)
		}
	}()
	sc.pollFor(2*time.Minute, chain)
	for _, spec := range chain {
		if sc.cluster.Checker.FinalStatus(spec.UID) != wire.JobAborted {
			sc.t.Errorf("%s: got final status %q, want %q", spec.UID, sc.cluster.Checker.FinalStatus(spec.UID), wire.JobAborted)
		}
	}
	sc.expectNoViolations()
	sc.expectNoKeys("j/")
}

// chainOfJobs returns a long job and six more, each of which depends on the previous one.
func chainOfJobs() []wire.JobSpec {
	first := stageJob(1, 1)
	first.Cores, first.ExpectedRunS = 30, 300
	chain := []wire.JobSpec{first}
	for i := 2; i < 8; i++ {
		chain = append(chain, stageJob(i, 2, chain[len(chain)-1].UID))
	}
	return chain
}

// expectCancelledEverywhere expects that every node that is up answers that the jobs are cancelled.
func (sc *scenario) expectCancelledEverywhere(jobs []wire.JobSpec) {
	sc.t.Helper()
	for i, node := range nodeNames {
		if sc.stops[i] == nil {
			continue // the node is down
		}
		for _, spec := range jobs {
			text := sc.expectStatus(http.StatusOK, node, http.MethodGet, "/work/"+spec.UID, "")
			if !strings.Contains(text, `"aborted"`) {
				sc.t.Errorf("%s at %s: got %s, want status aborted", spec.UID, node, text)
			}
		}
	}
}

// pollFor polls the jobs once a second, each time at another node.
func (sc *scenario) pollFor(duration time.Duration, jobs []wire.JobSpec) {
	for range duration / time.Second {
		for _, spec := range jobs {
			sc.cluster.Users.Poll(sc.cluster.Nodes[int(time.Now().Unix())%3], spec.UID)
		}
		time.Sleep(time.Second)
	}
}
