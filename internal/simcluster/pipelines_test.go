package simcluster_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/simcluster/fakestore"
	"lotusstile.dev/lotusstile/wire"
)

// lowered is what the state service of the tests comes to allow, and next how it is
// announced.
var lowerLimits = fakestore.Limits{ValueBytes: 2 << 10, TxnOps: 6, WriteRps: 70}

func announcedLimits() *config.NextStateLimits {
	kb, rps := float64(lowerLimits.ValueBytes)/1024, lowerLimits.WriteRps
	return &config.NextStateLimits{ValueKb: &kb, TxnOps: &lowerLimits.TxnOps, WriteRps: &rps}
}

// stageJob is a short array without GPUs, as pipelines are made of.
func stageJob(i, tasks int, dependencies ...string) wire.JobSpec {
	return wire.JobSpec{UID: fmt.Sprintf("run-%06d", i), JobClass: "stage", Team: "free", Kind: wire.JobArray, Priority: wire.BestEffort, TaskCount: tasks,
		Cores: 1, RAMGb: 1, Image: "img-s", ImageGb: 0.5, ExpectedRunS: 3, Dependencies: dependencies}
}

// runPipeline submits the four stages of a diamond, each as soon as those that it needs
// are accepted, and follows them until all are over. Some submit the last stage only
// when the others are over; some cancel one stage at some time.
func (sc *scenario) runPipeline(r *rand.Rand, first int, deadline time.Time) {
	a := stageJob(first, 1+r.IntN(4))
	b, c := stageJob(first+1, 1+r.IntN(20), a.UID), stageJob(first+2, 1+r.IntN(4), a.UID)
	last := stageJob(first+3, 1+r.IntN(3), b.UID, c.UID)
	due := 60.0
	last.Priority, last.DeadlineS = wire.High, &due
	stays := map[string]time.Duration{}
	if r.IntN(3) == 0 {
		stays[[]string{a.UID, b.UID, last.UID}[r.IntN(3)]] = time.Duration(r.IntN(15000)) * time.Millisecond
	}
	late := r.IntN(4) == 0
	var early, all sync.WaitGroup
	follow := func(spec wire.JobSpec, group *sync.WaitGroup) bool {
		if !sc.cluster.Users.SubmitUntil(spec, deadline) {
			return false
		}
		group.Add(1)
		go func() {
			defer group.Done()
			sc.cluster.Users.Follow(spec, stays[spec.UID], deadline)
		}()
		return true
	}
	if follow(a, &early) && follow(b, &early) && follow(c, &early) {
		if late {
			early.Wait()
		}
		follow(last, &all)
	}
	early.Wait()
	all.Wait()
}

// playPipelines plays a day on which the release before is replaced node by node, the
// state service lowers its limits, and pipelines come from then on, with faults by
// chance at any time.
func playPipelines(t *testing.T, seed uint64, faults int) (broken, rejected []string, started int) {
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, seed, func(sc *scenario) { sc.olderRelease, sc.nextLimits = [3]bool{true, true, true}, announcedLimits() })
		r := rand.New(rand.NewPCG(seed, 4))
		sc.cluster.Cloud.AddMachines("g8", "a", 2)
		sc.cluster.Cloud.AddMachines("g8", "b", 2)
		time.Sleep(3 * time.Second)
		deadline := time.Now().Add(420 * time.Second)
		go sc.cluster.WatchInvariants(deadline)
		var users sync.WaitGroup
		user := func(at time.Duration, f func()) {
			users.Add(1)
			go func() {
				defer users.Done()
				time.Sleep(at)
				f()
			}()
		}
		for i := range 12 {
			spec, stay := sc.randomJob(i, r)
			if i%4 == 0 { // large, from before the upgrade, on all machines
				spec, stay = stageJob(i, 60+r.IntN(60)), 0
				spec.Cores, spec.ExpectedRunS = 0.5, 40
			}
			user(time.Duration(r.IntN(60))*time.Second, func() { sc.cluster.Users.Run(spec, stay, deadline) })
		}
		for i := range nodeNames {
			time.AfterFunc(time.Duration(10+12*i)*time.Second, func() { sc.upgradeNode(i, 3*time.Second) })
		}
		time.AfterFunc(time.Duration(45+r.IntN(20))*time.Second, func() { sc.cluster.Store.SetLimits(lowerLimits) })
		for i := range 8 {
			pr := rand.New(rand.NewPCG(r.Uint64(), 5))
			user(time.Duration(50+r.IntN(60))*time.Second, func() { sc.runPipeline(pr, 100+4*i, deadline) })
		}
		for range faults {
			tr := rand.New(rand.NewPCG(r.Uint64(), 3))
			time.AfterFunc(time.Duration(5+r.IntN(140))*time.Second, func() { sc.injectRandomFault(tr) })
		}
		time.Sleep(190 * time.Second)
		sc.net.Heal()
		sc.cluster.Store.SetDown(false)
		for i := range nodeNames {
			sc.startNode(i)
		}
		users.Wait()
		time.Sleep(time.Until(deadline))
		broken, rejected, started = sc.cluster.Checker.Violations(), sc.cluster.Store.RejectedKeys(), sc.cluster.Checker.StartCount()
		sc.end()
	})
	return broken, rejected, started
}

// The rules hold for pipelines too, whatever fails while a new release is brought in and
// the state service lowers its limits.
func TestPipelinesWhateverFails(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seedCount(t, 8)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			broken, rejected, started := playPipelines(t, seed, int(2*seed))
			if started == 0 {
				t.Error("no task was started")
			}
			if len(broken) > 0 {
				t.Errorf("%d rules broken:\n%s", len(broken), strings.Join(broken, "\n"))
			}
			if len(rejected) > 0 {
				t.Logf("over the lowered limits: %v", rejected)
			}
		})
	}
}

// One-task pipelines come several a second. Their second stages are submitted in the
// milliseconds around the end, the cancellation or the archiving of the first, with close
// looks at every answer.
func TestRulesHoldWhenDependentsComeAroundTheEndOfAJob(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		sc.cluster.Users.CrossCheckAnswers = true
		r := rand.New(rand.NewPCG(7, 7))
		deadline := time.Now().Add(2 * time.Minute)
		var users sync.WaitGroup
		for i := range 100 {
			first := stageJob(100+2*i, 1)
			first.ExpectedRunS = 1
			second := stageJob(101+2*i, 1, first.UID)
			at, gap, cancelled := time.Duration(i)*250*time.Millisecond, time.Duration(r.IntN(8000))*time.Millisecond, r.IntN(4) == 0
			users.Add(1)
			go func() {
				defer users.Done()
				time.Sleep(at)
				if !sc.cluster.Users.SubmitUntil(first, deadline) {
					return
				}
				if cancelled {
					time.AfterFunc(gap-time.Duration(i%5)*time.Millisecond, func() { sc.cluster.Users.Cancel(nodeNames[i%3], first.UID) })
				}
				time.Sleep(gap)
				if sc.cluster.Users.SubmitUntil(second, deadline) {
					sc.cluster.Users.Follow(second, 0, deadline)
				}
			}()
		}
		users.Wait()
		if b := sc.cluster.Checker.Violations(); len(b) > 0 {
			t.Errorf("%d rules broken:\n%s", len(b), strings.Join(b[:min(10, len(b))], "\n"))
		}
	})
}

// jobJSON is a submission in JSON.
func jobJSON(spec wire.JobSpec) string { return string(mustJSON(spec)) }

// Submissions that name other jobs are answered as the interface has it, and a job that
// is known is never refused.
func TestSubmissionWithInvalidDependenciesIsRefused(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		const w = "/work"
		first, last := stageJob(1, 1), stageJob(9, 1)
		service := stageJob(2, 1)
		service.Kind, service.JobClass = wire.Service, "serve"
		for _, s := range []wire.JobSpec{first, service, last} {
			sc.cluster.Users.UploadSpec(s)
		}
		sc.expectStatus(201, "n0", "POST", w, jobJSON(first))
		sc.expectStatus(201, "n0", "POST", w, jobJSON(service))
		sc.expectStatus(422, "n1", "POST", w, jobJSON(stageJob(9, 1, "run-000077")))
		sc.expectStatus(422, "n1", "POST", w, jobJSON(stageJob(9, 1, first.UID, "run-000009")))
		sc.expectStatus(422, "n1", "POST", w, jobJSON(stageJob(9, 1, service.UID)))
		sc.expectStatus(400, "n1", "POST", w, strings.Replace(jobJSON(stageJob(9, 1, first.UID)), `["run-000001"]`, `"run-000001"`, 1))
		var many []string
		for i := range 800 {
			uid := fmt.Sprintf("run-%06d", 1000+i)
			many = append(many, uid)
		}
		sc.expectStatus(422, "n1", "POST", w, jobJSON(stageJob(9, 1, many...))) // none of them is known
		sc.expectStatus(404, "n1", "GET", w+"/run-000009", "")
		time.Sleep(20 * time.Second) // the first is done and archived
		sc.expectStatus(201, "n1", "POST", w, jobJSON(stageJob(9, 1, first.UID, first.UID)))
		sc.expectStatus(200, "n2", "POST", w, jobJSON(stageJob(9, 1, "run-000077")))
		sc.expectStatus(200, "n2", "POST", w, jobJSON(stageJob(9, 1, "run-000009")))
		time.Sleep(20 * time.Second)
		if text := sc.expectStatus(200, "n2", "GET", w+"/run-000009", ""); !strings.Contains(text, `"done"`) {
			t.Errorf("the successor of an archived job is %s", text)
		}
		if b := sc.cluster.Checker.Violations(); len(b) > 0 {
			t.Errorf("rules broken:\n%s", strings.Join(b, "\n"))
		}
	})
}

// A list of jobs that does not fit a record is refused with word how many would, unless
// the job is known: one that was accepted under a higher limit is not forgotten.
func TestDependencyListLargerThanARecordIsRefused(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		var names []string
		for i := range 700 {
			spec := stageJob(1000+i, 1)
			spec.Cores = 32 // waits for long
			names = append(names, spec.UID)
			for status := 0; status != 201 && status != 200; time.Sleep(15 * time.Millisecond) {
				status, _ = sc.cluster.Users.Request("n0", "POST", "/work", spec)
			}
		}
		text := sc.expectStatus(400, "n1", "POST", "/work", jobJSON(stageJob(9, 1, names...)))
		if !strings.Contains(text, "Awaits may name about 607 jobs") {
			t.Errorf("the refusal says %s", text)
		}
		sc.expectStatus(201, "n1", "POST", "/work", jobJSON(stageJob(9, 1, names[:500]...)))
		sc.expectStatus(200, "n2", "POST", "/work", jobJSON(stageJob(9, 1, names...)))
	})
}

// Nothing that a node of the release before would run too early is accepted while there
// is such a node: neither by a new node, nor passed on to an old one.
func TestDependenciesAreRefusedWhileAnOlderReleaseServes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, 1, func(sc *scenario) { sc.olderRelease = [3]bool{true, true, true} })
		sc.cluster.Cloud.AddMachines("g8", "a", 2)
		time.Sleep(5 * time.Second)
		first := stageJob(1, 1)
		second := stageJob(2, 1, first.UID)
		sc.cluster.Users.UploadSpec(first)
		sc.cluster.Users.UploadSpec(second)
		sc.expectStatus(201, "n2", "POST", "/work", jobJSON(first))
		for i := range nodeNames {
			if i > 0 {
				sc.net.Partition("n0", "state:1", true) // it can only pass requests on
				time.Sleep(3 * time.Second)
				status, _, header := sc.request("n0", http.MethodPost, "/work", jobJSON(second))
				if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
					t.Errorf("with %d of 3 nodes upgraded, the answer is %d, Retry-After %q", i, status, header.Get("Retry-After"))
				}
				sc.net.Partition("n0", "state:1", false)
			}
			sc.upgradeNode(i, time.Second)
			time.Sleep(8 * time.Second)
		}
		sc.expectStatus(201, "n0", "POST", "/work", jobJSON(second))
		time.Sleep(20 * time.Second)
		if text := sc.expectStatus(200, "n1", "GET", "/work/run-000002", ""); !strings.Contains(text, `"done"`) {
			t.Errorf("the successor is %s", text)
		}
		if b := sc.cluster.Checker.Violations(); len(b) > 0 {
			t.Errorf("rules broken:\n%s", strings.Join(b, "\n"))
		}
		sc.end()
	})
}

// A node that the leader cannot reach is upgraded all the same: the leader learns from
// the state service that it is, and that it is no longer old from nowhere else.
func TestClusterVersionRisesWhenAMemberIsUnreachable(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, 1, func(sc *scenario) { sc.olderRelease = [3]bool{true, true, true} })
		sc.cluster.Cloud.AddMachines("g8", "a", 2)
		time.Sleep(5 * time.Second)
		first := stageJob(1, 1)
		sc.cluster.Users.UploadSpec(first)
		sc.expectStatus(201, "n2", "POST", "/work", jobJSON(first))
		for _, l := range nodeNames[:2] {
			sc.net.Partition("n2:81", l+":81", true)
		}
		sc.upgradeNode(0, time.Second)
		sc.upgradeNode(1, time.Second)
		time.Sleep(20 * time.Second)
		sc.expectStatus(503, "n0", "POST", "/work", jobJSON(stageJob(2, 1, first.UID)))
		sc.upgradeNode(2, time.Second)
		time.Sleep(15 * time.Second)
		sc.expectStatus(201, "n0", "POST", "/work", jobJSON(stageJob(2, 1, first.UID)))
		if keys := sc.cluster.Store.Keys("o/release/"); len(keys) > 0 {
			t.Errorf("left behind: %v", keys)
		}
		sc.end()
	})
}

// What needs a cancelled job is called cancelled by every node at once, whether anyone
// can write it into the records or not: also without a leader, with the leader alone
// refused by the state service, and after an outage of longer than cancel_s; also if it
// was submitted after the cancellation, and whatever lies between the two.
func TestCancellationReachesAllDependentJobs(t *testing.T) {
	t.Parallel()
	nothing := func(*scenario) {}
	for name, tc := range map[string]struct{ before, after func(sc *scenario) }{
		"no trouble": {nothing, nothing},
		"leader ends": {func(sc *scenario) {
			leader := sc.leaderIndex()
			sc.crashNode(leader)
			time.AfterFunc(20*time.Second, func() { sc.startNode(leader) })
		}, nothing},
		"leader refused": {func(sc *scenario) {
			leader := nodeNames[sc.leaderIndex()]
			sc.net.RefuseRequests(leader, "state:1", true)
			time.AfterFunc(50*time.Second, func() { sc.net.RefuseRequests(leader, "state:1", false) })
		}, nothing},
		"long outage": {nothing, func(sc *scenario) {
			sc.cluster.Store.SetDown(true)
			time.AfterFunc(55*time.Second, func() { sc.cluster.Store.SetDown(false) })
		}},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(sc *scenario) {
				first := stageJob(1, 1)
				first.Cores, first.ExpectedRunS = 30, 300
				chain := []wire.JobSpec{first}
				for i := 2; i < 8; i++ {
					chain = append(chain, stageJob(i, 2, chain[len(chain)-1].UID))
				}
				deadline := time.Now().Add(3 * time.Minute)
				for _, spec := range chain[:5] {
					if !sc.cluster.Users.SubmitUntil(spec, deadline) {
						t.Fatalf("%s is not accepted", spec.UID)
					}
				}
				time.Sleep(5 * time.Second)
				tc.before(sc)
				for i := 0; !sc.cluster.Users.Cancel(nodeNames[i%3], first.UID); i++ {
					time.Sleep(10 * time.Millisecond)
				}
				tc.after(sc)
				if name != "long outage" {
					// At once: nobody has had the time to write it anywhere.
					for i := range nodeNames {
						for _, spec := range chain[:5] {
							if text := sc.expectIfUp(i, http.StatusOK, "GET", "/work/"+spec.UID); !strings.Contains(text, `"aborted"`) {
								t.Errorf("%s is called %s by %s", spec.UID, text, nodeNames[i])
							}
						}
					}
				}
				go func() {
					for _, spec := range chain[5:] {
						sc.cluster.Users.SubmitUntil(spec, deadline)
					}
				}()
				for range 120 {
					for _, spec := range chain {
						sc.cluster.Users.Poll(sc.cluster.Nodes[int(time.Now().Unix())%3], spec.UID)
					}
					time.Sleep(time.Second)
				}
				for _, spec := range chain {
					if sc.cluster.Checker.FinalStatus(spec.UID) != wire.JobAborted {
						t.Errorf("%s is not called cancelled", spec.UID)
					}
				}
				if b := sc.cluster.Checker.Violations(); len(b) > 0 {
					t.Errorf("rules broken:\n%s", strings.Join(b[:min(10, len(b))], "\n"))
				}
				if keys := sc.cluster.Store.Keys("j/"); len(keys) > 0 {
					t.Errorf("not archived: %v", keys)
				}
			})
		})
	}
}

// The judge of pipelines sees what it is there to see.
func TestCheckerReportsViolationsOfDependencies(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		sc.cluster.Cloud.Capacity = 2 // no more machines than there are
		first := stageJob(1, 1)
		first.ExpectedRunS = 100
		second := stageJob(2, 1, first.UID)
		sc.cluster.Users.UploadSpec(first)
		sc.cluster.Users.UploadSpec(second)
		wrong := second
		wrong.Dependencies = nil // the controllers do not hear of it
		sc.cluster.Users.Submit("n0", first)
		sc.expectStatus(201, "n0", "POST", "/work", jobJSON(wrong))
		sc.cluster.Users.Submit("n0", second)
		time.Sleep(10 * time.Second)
		sc.cluster.Users.Cancel("n0", first.UID)
		blocked := stageJob(3, 1, first.UID)
		blocked.Cores, blocked.Dependencies = 30, nil
		sc.cluster.Users.UploadSpec(stageJob(3, 1, first.UID))
		for i := range 6 {
			hog := stageJob(10+i, 1)
			hog.Cores, hog.ExpectedRunS, hog.Priority = 64, 300, wire.High
			sc.cluster.Users.UploadSpec(hog)
			sc.cluster.Users.Submit("n0", hog)
		}
		time.Sleep(5 * time.Second)
		sc.expectStatus(201, "n0", "POST", "/work", jobJSON(blocked))
		time.Sleep(50 * time.Second)
		sc.cluster.Users.Poll("n0", "run-000003")
		all := strings.Join(sc.cluster.Checker.Violations(), "\n")
		for _, rule := range []string{"too_early", "orphaned"} {
			if !strings.Contains(all, rule) {
				t.Errorf("%s is not seen in:\n%s", rule, all)
			}
		}
	})
}

// expectIfUp expects an answer of a node; one that is not up counts as cancelled.
func (sc *scenario) expectIfUp(i, want int, method, path string) string {
	if sc.stops[i] == nil {
		return `"aborted"`
	}
	return sc.expectStatus(want, nodeNames[i], method, path, "")
}
