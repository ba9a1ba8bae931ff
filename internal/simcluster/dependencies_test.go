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

// Submissions with dependencies are answered as the protocol says, and a job that is known is never
// refused.
func TestSubmissionWithInvalidDependenciesIsRefused(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		first, last := stageJob(1, 1), stageJob(9, 1)
		service := stageJob(2, 1)
		service.Kind, service.JobClass = wire.Service, "serve"
		for _, spec := range []wire.JobSpec{first, service, last} {
			sc.cluster.Users.UploadSpec(spec)
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
		time.Sleep(20 * time.Second) // the first is done and archived
		submit(http.StatusCreated, "n1", jobJSON(stageJob(9, 1, first.UID, first.UID)))
		submit(http.StatusOK, "n2", jobJSON(stageJob(9, 1, "run-000077")))
		submit(http.StatusOK, "n2", jobJSON(stageJob(9, 1, "run-000009")))
		time.Sleep(20 * time.Second)
		sc.expectDone("n2", "run-000009")
		sc.expectNoViolations()
	})
}

// A list of dependencies that does not fit a record is refused with an error that says how many would fit,
// unless the job is known: one that was accepted under a higher limit is not forgotten.
func TestDependencyListLargerThanARecordIsRefused(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		names := make([]string, 700)
		for i := range names {
			spec := stageJob(1000+i, 1)
			spec.Cores = 32 // waits for long
			names[i] = spec.UID
			for status := 0; status != http.StatusCreated && status != http.StatusOK; time.Sleep(15 * time.Millisecond) {
				status, _ = sc.cluster.Users.Request("n0", http.MethodPost, "/work", spec)
			}
		}
		text := sc.expectStatus(http.StatusBadRequest, "n1", http.MethodPost, "/work", jobJSON(stageJob(9, 1, names...)))
		if !strings.Contains(text, "Awaits may name about 607 jobs") {
			t.Errorf("the refusal says %s", text)
		}
		sc.expectStatus(http.StatusCreated, "n1", http.MethodPost, "/work", jobJSON(stageJob(9, 1, names[:500]...)))
		sc.expectStatus(http.StatusOK, "n2", http.MethodPost, "/work", jobJSON(stageJob(9, 1, names...)))
	})
}

// allOlderRelease sets all nodes to the older release.
func allOlderRelease(sc *scenario) { sc.olderRelease = [3]bool{true, true, true} }

// A submission with dependencies, which a node of the older release would run too early, is refused while
// there is such a node, both by new nodes and where a new node forwards it to an old one.
func TestDependenciesAreRefusedWhileAnOlderReleaseServes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, 1, allOlderRelease)
		sc.cluster.Cloud.AddMachines("g8", "a", 2)
		time.Sleep(5 * time.Second)
		first := stageJob(1, 1)
		second := stageJob(2, 1, first.UID)
		sc.cluster.Users.UploadSpec(first)
		sc.cluster.Users.UploadSpec(second)
		sc.expectStatus(http.StatusCreated, "n2", http.MethodPost, "/work", jobJSON(first))
		for i := range nodeNames {
			if i > 0 {
				sc.net.Partition("n0", storeAddress, true) // it can only forward requests
				time.Sleep(3 * time.Second)
				status, _, header := sc.request("n0", http.MethodPost, "/work", jobJSON(second))
				if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
					t.Errorf("with %d of 3 nodes upgraded, the answer is %d, Retry-After %q", i, status, header.Get("Retry-After"))
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

// The cluster version rises although the leader cannot reach an upgraded node: the leader learns of the
// upgrade from the state store, and from nowhere else.
func TestClusterVersionRisesWhenAMemberIsUnreachable(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, 1, allOlderRelease)
		sc.cluster.Cloud.AddMachines("g8", "a", 2)
		time.Sleep(5 * time.Second)
		first := stageJob(1, 1)
		sc.cluster.Users.UploadSpec(first)
		sc.expectStatus(http.StatusCreated, "n2", http.MethodPost, "/work", jobJSON(first))
		sc.isolatePeers(2, true)
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

// cancelledDependency is a cancellation of a job that others depend on, during a fault.
type cancelledDependency struct {
	name          string
	before, after func(sc *scenario) // the cancellation; nil: nothing
	isOutage      bool               // no node can answer at once
}

// Every node at once answers that the dependents of a cancelled job are cancelled, whether their records
// can be written or not: also without a leader, while the state store refuses the leader alone, and after
// an outage of longer than cancel_s; also for direct or indirect dependents that were submitted after the
// cancellation.
func TestCancellationReachesAllDependentJobs(t *testing.T) {
	t.Parallel()
	for _, tc := range []cancelledDependency{
		{name: "no trouble"},
		{name: "leader ends", before: func(sc *scenario) { sc.crashLeader(20 * time.Second) }},
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
		t.Run(tc.name, func(t *testing.T) { runScenario(t, tc.play) })
	}
}

// play cancels the first of a chain of jobs, some of which are submitted only then.
func (c cancelledDependency) play(sc *scenario) {
	sc.t.Helper()
	chain := chainOfJobs()
	submitted, later := chain[:5], chain[5:]
	deadline := time.Now().Add(3 * time.Minute)
	for _, spec := range submitted {
		if !sc.cluster.Users.SubmitUntil(spec, deadline) {
			sc.t.Fatalf("%s is not accepted", spec.UID)
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
		sc.expectCancelledEverywhere(submitted) // at once, before any node has had the time to write it
	}
	go func() {
		for _, spec := range later {
			sc.cluster.Users.SubmitUntil(spec, deadline)
		}
	}()
	sc.pollFor(2*time.Minute, chain)
	for _, spec := range chain {
		if sc.cluster.Checker.FinalStatus(spec.UID) != wire.JobAborted {
			sc.t.Errorf("%s is not called cancelled", spec.UID)
		}
	}
	sc.expectNoViolations()
	sc.expectNoKeys("j/")
}

// chainOfJobs returns a long job and six more, each of which depends on the one before.
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
			continue // it is not up
		}
		for _, spec := range jobs {
			text := sc.expectStatus(http.StatusOK, node, http.MethodGet, "/work/"+spec.UID, "")
			if !strings.Contains(text, `"aborted"`) {
				sc.t.Errorf("%s is called %s by %s", spec.UID, text, node)
			}
		}
	}
}

// pollFor polls some jobs once a second, each at one node or another.
func (sc *scenario) pollFor(duration time.Duration, jobs []wire.JobSpec) {
	for range duration / time.Second {
		for _, spec := range jobs {
			sc.cluster.Users.Poll(sc.cluster.Nodes[int(time.Now().Unix())%3], spec.UID)
		}
		time.Sleep(time.Second)
	}
}
