package simcluster_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// runStandbyScenarios runs scenarios of random faults with warm standbys. prepare may change each scenario
// further, depending on its number.
func runStandbyScenarios(t *testing.T, firstSeed, scenarios uint64, prepare func(sc *scenario, number uint64)) {
	t.Helper()
	runRandomFaultScenarios(t, firstSeed, scenarios, func(sc *scenario, number uint64) {
		sc.standby = true
		prepare(sc, number)
	})
}

// withStandby switches warm standbys on.
func withStandby(sc *scenario) { sc.standby = true }

// The rules hold in scenarios of random faults while warm standbys become leaders.
func TestRulesHoldWithWarmStandby(t *testing.T) {
	t.Parallel()
	runStandbyScenarios(t, 700, 8, func(*scenario, uint64) {})
}

// The rules hold while one or two nodes, leaders or not, run a release that does not support warm standbys.
func TestRulesHoldWithWarmStandbyBesideAnOlderRelease(t *testing.T) {
	t.Parallel()
	runStandbyScenarios(t, 800, 4, func(sc *scenario, number uint64) {
		sc.olderRelease[number%3] = true
		sc.olderRelease[(number+1)%3] = number >= 2
	})
}

// The rules hold while nodes of the older release are upgraded one after the other, in any order, and one of
// them is rolled back at the end.
func TestRulesHoldWithWarmStandbyAcrossUpgrades(t *testing.T) {
	t.Parallel()
	runStandbyScenarios(t, 850, 6, func(sc *scenario, number uint64) {
		sc.olderRelease = [3]bool{true, true, true}
		order := rand.New(rand.NewPCG(number, 5)).Perm(3)
		downgraded := rand.New(rand.NewPCG(number, 6)).IntN(3)
		go func() {
			for _, i := range order {
				time.Sleep(25 * time.Second)
				sc.upgradeNode(i, 3*time.Second)
			}
			time.Sleep(20 * time.Second)
			sc.crashNode(downgraded)
			sc.olderRelease[downgraded] = true
			sc.startNode(downgraded)
		}()
	})
}

// failoverResults are the results of the failovers of a test.
type failoverResults struct {
	durations  []time.Duration // from a leader's failure to the first placement of the next leader
	warmCount  int             // failovers in which the next leader began warm, from a standby
	slowCount  int             // failovers that took longer than placementLimit
	violations []string
}

// placementLimit is the longest time allowed from a leader's failure to the next leader's first placement.
const placementLimit = 10 * time.Second

// Leaders crash or are paused in the middle of placements, with commands and commits in flight. With or without
// a standby, no rule is broken and each new leader commits its first placement within placementLimit. With a
// standby, at least half of the terms begin warm.
func TestFailoverPlacesWithinTheLimit(t *testing.T) {
	t.Parallel()
	for _, standby := range []bool{false, true} {
		t.Run(fmt.Sprintf("standby: %v", standby), func(t *testing.T) {
			for seed := range uint64(3) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					const failoverCount = 6
					results := runFailovers(t, 900+seed, standby, failoverCount)
					expectNoViolations(t, results.violations)
					slices.Sort(results.durations)
					t.Logf("%d of %d failovers warm, %d slow, took %v", results.warmCount, len(results.durations), results.slowCount, results.durations)
					if standby && results.warmCount < len(results.durations)/2 {
						t.Errorf("got %d of %d failovers warm, want at least half", results.warmCount, len(results.durations))
					}
					if len(results.durations) < failoverCount || results.slowCount > 0 {
						t.Errorf("got %d failovers with placements, %d slow, want %d, none slow", len(results.durations), results.slowCount, failoverCount)
					}
				})
			}
		})
	}
}

// runFailovers makes leaders fail at random moments. Users submit jobs all the time and cancel some of them,
// also between the failure of a leader and the election of the next one.
func runFailovers(t *testing.T, seed uint64, standby bool, failoverCount int) (results failoverResults) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, seed, func(sc *scenario) { sc.standby = standby })
		r := rand.New(rand.NewPCG(seed, 2))
		sc.cluster.Cloud.AddMachines("g8", "a", 5)
		sc.cluster.Cloud.AddMachines("g8", "b", 5)
		time.Sleep(12 * time.Second)
		deadline := time.Now().Add(time.Duration(failoverCount) * 40 * time.Second)
		go sc.submitJobsUntil(seed, deadline)
		for range failoverCount {
			time.Sleep(time.Duration(8000+r.IntN(4000)) * time.Millisecond)
			sc.failLeader(r, &results)
		}
		sc.net.Heal()
		time.Sleep(time.Until(deadline))
		results.violations = sc.cluster.Checker.Violations()
		sc.end()
	})
	return results
}

// failLeader crashes the leader or pauses its process for a while, in the middle of placements, and measures
// the time to the next leader's first placement.
func (sc *scenario) failLeader(r *rand.Rand, results *failoverResults) {
	sc.t.Helper()
	i, term := sc.leader()
	if i < 0 {
		return
	}
	failedAt := time.Now()
	if r.IntN(2) == 0 {
		sc.crashNode(i)
		time.AfterFunc(time.Duration(4+r.IntN(6))*time.Second, func() { sc.startNode(i) })
	} else {
		sc.net.PauseProcess(nodeNames[i], true)
		time.AfterFunc(time.Duration(3+r.IntN(12))*time.Second, func() { sc.net.PauseProcess(nodeNames[i], false) })
	}
	for time.Since(failedAt) < time.Minute {
		time.Sleep(50 * time.Millisecond)
		if placedAt, ok := sc.cluster.Checker.FirstPlacement(term); ok {
			results.durations = append(results.durations, placedAt.Sub(failedAt))
			if placedAt.Sub(failedAt) > placementLimit {
				results.slowCount++
			}
			break
		}
	}
	time.Sleep(6 * time.Second)
	if record := sc.failoverRecord(); record.Warm && record.Term > term {
		results.warmCount++
	}
}

// submitJobsUntil submits short jobs until shortly before the deadline. Users cancel some of them, at random
// nodes.
func (sc *scenario) submitJobsUntil(seed uint64, deadline time.Time) {
	r := rand.New(rand.NewPCG(seed, 3))
	for i := 0; time.Now().Before(deadline.Add(-20 * time.Second)); i++ {
		spec := serviceJob(jobName(i), "free", wire.High, 1+r.IntN(4))
		spec.JobClass, spec.Kind, spec.ImageGb, spec.ExpectedRunS = "batch", wire.JobArray, 1, float64(2+r.IntN(8))
		cancelAfter := time.Duration(0)
		if r.IntN(3) == 0 {
			cancelAfter = time.Duration(1+r.IntN(6)) * time.Second
		}
		go sc.cluster.Users.Run(spec, cancelAfter, deadline)
		time.Sleep(time.Duration(200+r.IntN(300)) * time.Millisecond)
	}
}

// failoverRecord returns the record of the newest failover.
func (sc *scenario) failoverRecord() (record records.Failover) {
	sc.t.Helper()
	item, ok := sc.cluster.Store.Get(records.FailoverKey)
	if !ok {
		return record
	}
	if err := json.Unmarshal(item.Value, &record); err != nil {
		sc.t.Fatal(err)
	}
	return record
}

// failoverUnderFault is a failover with a fault before it or after it, or with none.
type failoverUnderFault struct {
	name string
	// before, if set, begins a fault before the leader crashes, and returns the function that ends the fault.
	before func(sc *scenario, leader, standby int) (restore func())
	// after, if set, is called once there is a new leader.
	after    func(sc *scenario, leader int)
	warm     bool          // the new leader is to begin warm
	duration time.Duration // from the start of the cluster to the end of the case
}

// In a failover under a fault, while jobs are submitted and end, no rule is broken, tasks are placed again, and
// the new leader records that it began warm, or why it had to list all records.
func TestFailoverUnderFaultsIsWarmOrSaysWhy(t *testing.T) {
	t.Parallel()
	for _, tc := range []failoverUnderFault{
		{name: "followed to the end", warm: true, duration: 2 * time.Minute},
		{name: "the stream is cut for minutes", warm: true, duration: 5 * time.Minute, before: isolateLeaderForMinutes},
		{
			name:     "the state store refuses the standby alone",
			duration: 2 * time.Minute,
			before: func(sc *scenario, _, standby int) func() {
				sc.net.RefuseRequests(nodeNames[standby], storeAddress, true)
				return func() { sc.net.RefuseRequests(nodeNames[standby], storeAddress, false) }
			},
		},
		{
			name:     "the standby dies during its verification",
			duration: 2 * time.Minute,
			after: func(sc *scenario, leader int) {
				sc.crashNode(leader)
				time.AfterFunc(20*time.Second, func() { sc.startNode(leader) })
			},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, tc.run)
		})
	}
}

// isolateLeaderForMinutes partitions the leader from its standby and from the third node, and returns the
// function that ends the partition.
func isolateLeaderForMinutes(sc *scenario, leader, standby int) (restore func()) {
	sc.t.Helper()
	sc.partitionFromPeers(leader, true)
	time.Sleep(3 * time.Minute)
	if status := sc.status(nodeNames[standby]).WarmStandby; status.State != "behind" || status.LagS < 170 {
		sc.t.Errorf("got a standby that is %s with a lag of %.0f s, want behind with at least 170 s", status.State, status.LagS)
	}
	return sc.net.Heal
}

// run runs the failover in a synctest bubble.
func (f failoverUnderFault) run(t *testing.T) {
	sc := newScenario(t, 950, withStandby)
	sc.cluster.Cloud.AddMachines("g8", "a", 5)
	sc.cluster.Cloud.AddMachines("g8", "b", 5)
	deadline := time.Now().Add(f.duration)
	go sc.submitJobsUntil(950, deadline)
	time.Sleep(20 * time.Second)
	leader, standby := sc.leaderAndStandby()
	if status := sc.status(nodeNames[standby]).WarmStandby; status.State != "following" || status.LagS > 3 {
		t.Fatalf("got a standby that is %s (%s) with a lag of %.1f s, want following with at most 3 s", status.State, status.Cause, status.LagS)
	}
	restore := func() {}
	if f.before != nil {
		restore = f.before(sc, leader, standby)
	}
	_, term := sc.leader()
	sc.crashNode(leader)
	newLeader := sc.waitForNewLeader(term)
	if f.after != nil {
		f.after(sc, newLeader)
	}
	time.Sleep(15 * time.Second)
	record := sc.failoverRecord()
	if record.Term <= term || record.Warm != f.warm || record.Warm != (record.Cause == "") {
		t.Errorf("got failover record %+v, want a term above %d, warm %v, and a cause only if not warm", record, term, f.warm)
	}
	if _, ok := sc.cluster.Checker.FirstPlacement(term); !ok {
		t.Error("no placement was committed after the failover, want at least one")
	}
	restore()
	sc.startNode(leader)
	time.Sleep(time.Until(deadline))
	sc.expectNoViolations()
	sc.end()
}

// leaderAndStandby returns the indexes of the leader and of its warm standby in nodeNames.
func (sc *scenario) leaderAndStandby() (leader, standby int) {
	sc.t.Helper()
	leader = sc.leaderIndex()
	if leader < 0 {
		sc.t.Fatal("no controller leads")
	}
	status := sc.status(nodeNames[leader])
	if status.WarmStandby == nil {
		sc.t.Fatal("the leader has no warm standby, want one")
	}
	return leader, slices.Index(nodeNames, status.WarmStandby.StandbyNode)
}

// waitForNewLeader waits for a leader of a term newer than oldTerm and returns its index in nodeNames.
func (sc *scenario) waitForNewLeader(oldTerm uint64) int {
	sc.t.Helper()
	for range 6000 {
		if leader, term := sc.leader(); leader >= 0 && term > oldTerm {
			return leader
		}
		time.Sleep(5 * time.Millisecond)
	}
	sc.t.Fatal("no new leader after 30 s")
	return 0
}
