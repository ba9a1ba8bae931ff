package simcluster_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// playStandby plays days by chance with warm standbys, each prepared further by its seed.
func playStandby(t *testing.T, first, days uint64, prepare func(sc *scenario, seed uint64)) {
	runRandomFaultScenarios(t, first, days, func(sc *scenario, seed uint64) { sc.standby = true; prepare(sc, seed) })
}

// The rules hold on days of all faults by chance while successors take over what they have
// followed.
func TestRulesHoldWithWarmStandby(t *testing.T) {
	t.Parallel()
	playStandby(t, 700, 8, func(*scenario, uint64) {})
}

// The same next to nodes of a release that knows no standby, one or two of them, leaders or
// not.
func TestRulesHoldWithWarmStandbyBesideAnOlderRelease(t *testing.T) {
	t.Parallel()
	playStandby(t, 800, 4, func(sc *scenario, seed uint64) {
		sc.olderRelease[seed%3] = true
		sc.olderRelease[(seed+1)%3] = seed >= 2
	})
}

// The same while nodes of the release before are replaced one after the other, in any order,
// and some are taken back again.
func TestRulesHoldWithWarmStandbyAcrossUpgrades(t *testing.T) {
	t.Parallel()
	playStandby(t, 850, 6, func(sc *scenario, seed uint64) {
		sc.olderRelease = [3]bool{true, true, true}
		order := rand.New(rand.NewPCG(seed, 5)).Perm(3)
		back := rand.New(rand.NewPCG(seed, 6)).IntN(3)
		go func() {
			for _, i := range order {
				time.Sleep(25 * time.Second)
				sc.upgradeNode(i, 3*time.Second)
			}
			time.Sleep(20 * time.Second)
			sc.crashNode(back)
			sc.olderRelease[back] = true
			sc.startNode(back)
		}()
	})
}

// failovers is how changes of leader went.
type failovers struct {
	took   []time.Duration // from the leader's end to the next one's first placement
	warm   int
	slow   int // over decisionLimit
	broken []string
}

const decisionLimit = 10 * time.Second

// failLeader ends the leader of a day or lets it stand still for a while, in the middle of
// placements, and measures the time to the next one's first placement.
func (sc *scenario) failLeader(r *rand.Rand, result *failovers) {
	item, ok := sc.cluster.Store.Get(records.LeaderKey)
	if !ok {
		return
	}
	i, _ := sc.leaderOfRecord(item.Value)
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
		if at, ok := sc.cluster.Checker.FirstPlacement(item.ModRevision); ok {
			result.took = append(result.took, at.Sub(ended))
			if at.Sub(ended) > decisionLimit {
				result.slow++
			}
			break
		}
	}
	time.Sleep(6 * time.Second)
	if rec := sc.failoverRecord(); rec.Warm && rec.Term > item.ModRevision {
		result.warm++
	}
}

// submitJobsUntil submits short jobs until shortly before a deadline. Users call some of them
// off, by way of any node.
func (sc *scenario) submitJobsUntil(seed uint64, deadline time.Time) {
	jobs := rand.New(rand.NewPCG(seed, 3))
	for i := 0; time.Now().Before(deadline.Add(-20 * time.Second)); i++ {
		spec := wire.JobSpec{UID: fmt.Sprintf("run-%06d", i), JobClass: "batch", Team: "free", Kind: wire.JobArray, Priority: wire.High, TaskCount: 1 + jobs.IntN(4),
			Cores: 4, Gpus: 1, RAMGb: 20, Image: "img", ImageGb: 1, ExpectedRunS: float64(2 + jobs.IntN(8))}
		stay := time.Duration(0)
		if jobs.IntN(3) == 0 {
			stay = time.Duration(1+jobs.IntN(6)) * time.Second
		}
		go sc.cluster.Users.Run(spec, stay, deadline)
		time.Sleep(time.Duration(200+jobs.IntN(300)) * time.Millisecond)
	}
}

// playFailovers ends leaders at random moments while jobs come all the time and users call
// some of them off, also between the end of a leader and the next one's beginning.
func playFailovers(t *testing.T, seed uint64, standby bool, ends int) (result failovers) {
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
		result.broken = sc.cluster.Checker.Violations()
		sc.end()
	})
	return result
}

// Leaders end or stand still in the middle of placements, with commands and commits in
// flight: no rule is broken with or without a standby, most terms begin warm with one, and
// none that does takes longer to decide than ten seconds after its leader's end.
func TestFailoverPlacesWithinTheLimit(t *testing.T) {
	t.Parallel()
	for _, standby := range []bool{false, true} {
		t.Run(fmt.Sprintf("standby: %v", standby), func(t *testing.T) {
			for seed := range uint64(3) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					const ends = 6
					got := playFailovers(t, 900+seed, standby, ends)
					if len(got.broken) > 0 {
						t.Errorf("rules broken:\n%s", strings.Join(got.broken, "\n"))
					}
					slices.Sort(got.took)
					t.Logf("%d of %d warm, %d slow, %v", got.warm, len(got.took), got.slow, got.took)
					if standby && got.warm < len(got.took)/2 {
						t.Errorf("%d of %d terms began warm", got.warm, len(got.took))
					}
					if len(got.took) < ends || got.slow > 0 {
						t.Errorf("%d of %d takeovers came to a decision, %d of them late", len(got.took), ends, got.slow)
					}
				})
			}
		})
	}
}

// leaderAndStandby are the numbers of the node that leads and of the one that is to follow it.
func (sc *scenario) leaderAndStandby() (leads, follows int) {
	item, _ := sc.cluster.Store.Get(records.LeaderKey)
	leads, label := sc.leaderOfRecord(item.Value)
	status := sc.status(label)
	if status.WarmStandby == nil {
		sc.t.Fatal("the leader keeps no standby")
	}
	return leads, slices.Index(nodeNames, status.WarmStandby.Standby)
}

// status asks a node how it stands.
func (sc *scenario) status(node string) (st wire.Status) {
	client := http.Client{Transport: sc.net.Transport("operator"), Timeout: 3 * time.Second}
	resp, err := client.Get("http://" + node + "/admin/status")
	if err != nil {
		sc.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&st); err != nil {
		sc.t.Fatal(err)
	}
	return st
}

// newLeader waits for a leader of a newer term and returns its number.
func (sc *scenario) newLeader(after uint64) int {
	for range 6000 {
		if item, ok := sc.cluster.Store.Get(records.LeaderKey); ok && item.ModRevision > after {
			leads, _ := sc.leaderOfRecord(item.Value)
			return leads
		}
		time.Sleep(5 * time.Millisecond)
	}
	sc.t.Fatal("nobody leads")
	return 0
}

func (sc *scenario) leaderOfRecord(value []byte) (number int, label string) {
	var leader records.Leader
	if err := json.Unmarshal(value, &leader); err != nil {
		sc.t.Fatal(err)
	}
	return slices.Index(nodeNames, leader.Node), leader.Node
}

// failoverRecord is how the newest change of leader went.
func (sc *scenario) failoverRecord() (rec records.Takeover) {
	item, ok := sc.cluster.Store.Get(records.TakeoverKey)
	if !ok {
		return rec
	}
	if err := json.Unmarshal(item.Value, &rec); err != nil {
		sc.t.Fatal(err)
	}
	return rec
}

// The hard cases of a takeover, each while jobs come and go: no rule is broken, tasks are
// placed again, and the new leader says what it has proven, or why it has listed all records.
func TestFailoverUnderFaultsIsWarmOrSaysWhy(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		// trouble comes before the leader ends, and returns what ends it.
		trouble func(sc *scenario, leads, follows int) (end func())
		// after is done once there is a new leader.
		after func(sc *scenario, leads int)
		warm  bool
		long  time.Duration
	}{
		{name: "followed to the end", warm: true, long: 2 * time.Minute},
		{name: "the stream is cut for minutes", warm: true, long: 5 * time.Minute,
			trouble: func(sc *scenario, leads, follows int) func() {
				sc.net.Partition(nodeNames[leads]+":81", nodeNames[follows]+":81", true)
				sc.net.Partition(nodeNames[leads]+":81", nodeNames[3-leads-follows]+":81", true)
				time.Sleep(3 * time.Minute)
				if st := sc.status(nodeNames[follows]).WarmStandby; st.State != "behind" || st.LagS < 170 {
					sc.t.Errorf("the standby is %s, its lag %.0f s", st.State, st.LagS)
				}
				return func() { sc.net.Heal() }
			}},
		{name: "the state service refuses the standby alone", warm: false, long: 2 * time.Minute,
			trouble: func(sc *scenario, _, follows int) func() {
				sc.net.RefuseRequests(nodeNames[follows], "state:1", true)
				return func() { sc.net.RefuseRequests(nodeNames[follows], "state:1", false) }
			}},
		{name: "the standby dies during its verification", warm: false, long: 2 * time.Minute,
			after: func(sc *scenario, leads int) {
				sc.crashNode(leads)
				time.AfterFunc(20*time.Second, func() { sc.startNode(leads) })
			}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				sc := newScenario(t, 950, func(sc *scenario) { sc.standby = true })
				sc.cluster.Cloud.AddMachines("g8", "a", 5)
				sc.cluster.Cloud.AddMachines("g8", "b", 5)
				deadline := time.Now().Add(tc.long)
				go sc.submitJobsUntil(950, deadline)
				time.Sleep(20 * time.Second)
				leads, follows := sc.leaderAndStandby()
				if st := sc.status(nodeNames[follows]).WarmStandby; st.State != "following" || st.LagS > 3 {
					t.Fatalf("the standby is %s (%s), its lag %.1f s", st.State, st.Cause, st.LagS)
				}
				restore := func() {}
				if tc.trouble != nil {
					restore = tc.trouble(sc, leads, follows)
				}
				item, _ := sc.cluster.Store.Get(records.LeaderKey)
				sc.crashNode(leads)
				next := sc.newLeader(item.ModRevision)
				if tc.after != nil {
					tc.after(sc, next)
				}
				time.Sleep(15 * time.Second)
				rec := sc.failoverRecord()
				if rec.Term <= item.ModRevision || rec.Warm != tc.warm || rec.Warm != (rec.Cause == "") {
					t.Errorf("the takeover is %+v, expected warm %v", rec, tc.warm)
				}
				if _, ok := sc.cluster.Checker.FirstPlacement(item.ModRevision); !ok {
					t.Error("nothing is placed")
				}
				restore()
				sc.startNode(leads)
				time.Sleep(time.Until(deadline))
				if broken := sc.cluster.Checker.Violations(); len(broken) > 0 {
					t.Errorf("rules broken:\n%s", strings.Join(broken, "\n"))
				}
				sc.end()
			})
		})
	}
}
