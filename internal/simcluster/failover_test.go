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

// runStandbyScenarios plays scenarios of random faults with warm standbys. prepare may change each of them
// further by its number.
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

// The rules hold beside one or two nodes, leaders or not, of a release that knows no standbys.
func TestRulesHoldWithWarmStandbyBesideAnOlderRelease(t *testing.T) {
	t.Parallel()
	runStandbyScenarios(t, 800, 4, func(sc *scenario, number uint64) {
		sc.olderRelease[number%3] = true
		sc.olderRelease[(number+1)%3] = number >= 2
	})
}

// The rules hold while nodes of the older release are upgraded one after the other, in any order, and some
// are rolled back again.
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

// failovers are the results of the failovers of a test.
type failovers struct {
	took       []time.Duration // from the leader's end to the next one's first placement
	warm       int
	slow       int // over placementLimit
	violations []string
}

// placementLimit is how soon after a leader's end the next one has to place work.
const placementLimit = 10 * time.Second

// Leaders crash or are paused in the middle of placements, with commands and commits in flight: no rule is
// broken with a standby or without, most terms begin warm with one, and each that does has its first
// placement within ten seconds of the last leader's end.
func TestFailoverPlacesWithinTheLimit(t *testing.T) {
	t.Parallel()
	for _, standby := range []bool{false, true} {
		t.Run(fmt.Sprintf("standby: %v", standby), func(t *testing.T) {
			for seed := range uint64(3) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					const ends = 6
					got := playFailovers(t, 900+seed, standby, ends)
					expectNoViolations(t, got.violations)
					slices.Sort(got.took)
					t.Logf("%d of %d warm, %d slow, %v", got.warm, len(got.took), got.slow, got.took)
					if standby && got.warm < len(got.took)/2 {
						t.Errorf("%d of %d terms began warm", got.warm, len(got.took))
					}
					if len(got.took) < ends || got.slow > 0 {
						t.Errorf("%d of %d failovers came to a decision, %d of them late", len(got.took), ends, got.slow)
					}
				})
			}
		})
	}
}

// playFailovers ends leaders at random moments while users submit jobs all the time and cancel some of
// them, also between the end of a leader and the election of the next one.
func playFailovers(t *testing.T, seed uint64, standby bool, ends int) (result failovers) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, seed, func(sc *scenario) { sc.standby = standby })
		r := rand.New(rand.NewPCG(seed, 2))
		sc.cluster.Cloud.AddMachines("g8", "a", 5)
		sc.cluster.Cloud.AddMachines("g8", "b", 5)
		time.Sleep(12 * time.Second)
		deadline := time.Now().Add(time.Duration(ends) * 40 * time.Second)
		go sc.submitJobsUntil(seed, deadline)
		for range ends {
			time.Sleep(time.Duration(8000+r.IntN(4000)) * time.Millisecond)
			sc.failLeader(r, &result)
		}
		sc.net.Heal()
		time.Sleep(time.Until(deadline))
		result.violations = sc.cluster.Checker.Violations()
		sc.end()
	})
	return result
}

// failLeader crashes the leader or pauses its process for a while, in the middle of
// placements, and measures the time to the next one's first placement.
func (sc *scenario) failLeader(r *rand.Rand, result *failovers) {
	sc.t.Helper()
	i, term := sc.leader()
	if i < 0 {
		return
	}
	ended := time.Now()
	if r.IntN(2) == 0 {
		sc.crashNode(i)
		time.AfterFunc(time.Duration(4+r.IntN(6))*time.Second, func() { sc.startNode(i) })
	} else {
		sc.net.PauseProcess(nodeNames[i], true)
		time.AfterFunc(time.Duration(3+r.IntN(12))*time.Second, func() { sc.net.PauseProcess(nodeNames[i], false) })
	}
	for time.Since(ended) < time.Minute {
		time.Sleep(50 * time.Millisecond)
		if placedAt, ok := sc.cluster.Checker.FirstPlacement(term); ok {
			result.took = append(result.took, placedAt.Sub(ended))
			if placedAt.Sub(ended) > placementLimit {
				result.slow++
			}
			break
		}
	}
	time.Sleep(6 * time.Second)
	if record := sc.failoverRecord(); record.Warm && record.Term > term {
		result.warm++
	}
}

// submitJobsUntil submits short jobs until shortly before a deadline. Users cancel some of them at any node.
func (sc *scenario) submitJobsUntil(seed uint64, deadline time.Time) {
	r := rand.New(rand.NewPCG(seed, 3))
	for i := 0; time.Now().Before(deadline.Add(-20 * time.Second)); i++ {
		spec := serviceJob(jobName(i), "free", wire.High, 1+r.IntN(4))
		spec.JobClass, spec.Kind, spec.ImageGb, spec.ExpectedRunS = "batch", wire.JobArray, 1, float64(2+r.IntN(8))
		stay := time.Duration(0)
		if r.IntN(3) == 0 {
			stay = time.Duration(1+r.IntN(6)) * time.Second
		}
		go sc.cluster.Users.Run(spec, stay, deadline)
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

// hardFailover is a failover with a fault before it or after it.
type hardFailover struct {
	name string
	// before, if set, begins a fault before the leader ends, and returns the function that ends the fault.
	before func(sc *scenario, leader, standby int) (restore func())
	// after, if set, is done once there is a new leader.
	after    func(sc *scenario, leader int)
	warm     bool
	duration time.Duration
}

// In the hard cases of a failover, while jobs are submitted and end, no rule is broken, tasks are placed
// again, and the new leader records that it began warm, or why it listed all records.
func TestFailoverUnderFaultsIsWarmOrSaysWhy(t *testing.T) {
	t.Parallel()
	for _, tc := range []hardFailover{
		{name: "followed to the end", warm: true, duration: 2 * time.Minute},
		{name: "the stream is cut for minutes", warm: true, duration: 5 * time.Minute, before: cutStreamForMinutes},
		{
			name:     "the state service refuses the standby alone",
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
			synctest.Test(t, tc.play)
		})
	}
}

// cutStreamForMinutes cuts the leader off from its standby and from the third node.
func cutStreamForMinutes(sc *scenario, leader, standby int) (restore func()) {
	sc.t.Helper()
	sc.isolatePeers(leader, true)
	time.Sleep(3 * time.Minute)
	if status := sc.status(nodeNames[standby]).WarmStandby; status.State != "behind" || status.LagS < 170 {
		sc.t.Errorf("the standby is %s, its lag %.0f s", status.State, status.LagS)
	}
	return sc.net.Heal
}

// play plays the case in a synctest bubble.
func (f hardFailover) play(t *testing.T) {
	sc := newScenario(t, 950, withStandby)
	sc.cluster.Cloud.AddMachines("g8", "a", 5)
	sc.cluster.Cloud.AddMachines("g8", "b", 5)
	deadline := time.Now().Add(f.duration)
	go sc.submitJobsUntil(950, deadline)
	time.Sleep(20 * time.Second)
	leader, standby := sc.leaderAndStandby()
	if status := sc.status(nodeNames[standby]).WarmStandby; status.State != "following" || status.LagS > 3 {
		t.Fatalf("the standby is %s (%s), its lag %.1f s", status.State, status.Cause, status.LagS)
	}
	restore := func() {}
	if f.before != nil {
		restore = f.before(sc, leader, standby)
	}
	_, term := sc.leader()
	sc.crashNode(leader)
	next := sc.waitForNewLeader(term)
	if f.after != nil {
		f.after(sc, next)
	}
	time.Sleep(15 * time.Second)
	record := sc.failoverRecord()
	if record.Term <= term || record.Warm != f.warm || record.Warm != (record.Cause == "") {
		t.Errorf("the failover is %+v, expected warm %v", record, f.warm)
	}
	if _, ok := sc.cluster.Checker.FirstPlacement(term); !ok {
		t.Error("nothing is placed")
	}
	restore()
	sc.startNode(leader)
	time.Sleep(time.Until(deadline))
	sc.expectNoViolations()
	sc.end()
}

// leaderAndStandby returns the numbers of the leader and of its warm standby.
func (sc *scenario) leaderAndStandby() (leader, standby int) {
	sc.t.Helper()
	leader = sc.leaderIndex()
	if leader < 0 {
		sc.t.Fatal("nobody leads")
	}
	status := sc.status(nodeNames[leader])
	if status.WarmStandby == nil {
		sc.t.Fatal("the leader keeps no standby")
	}
	return leader, slices.Index(nodeNames, status.WarmStandby.StandbyNode)
}

// waitForNewLeader waits for a leader of a newer term and returns its number.
func (sc *scenario) waitForNewLeader(after uint64) int {
	sc.t.Helper()
	for range 6000 {
		if leader, term := sc.leader(); leader >= 0 && term > after {
			return leader
		}
		time.Sleep(5 * time.Millisecond)
	}
	sc.t.Fatal("nobody leads")
	return 0
}
