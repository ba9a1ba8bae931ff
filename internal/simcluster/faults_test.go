package simcluster_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/internal/simcluster"
	"lotusstile.dev/lotusstile/internal/simcluster/faultnet"
	"lotusstile.dev/lotusstile/wire"
)

// faultCombination is a day on which troubles meet. Its jobs are submitted one by one
// in the first 20 s; the moment of the faultCombination is 40 s after the start.
type faultCombination struct {
	name           string
	machines       int
	makeJob        func(i int, r *rand.Rand) (spec wire.JobSpec, stay time.Duration)
	jobCount       int                              // how many jobs
	submitInterval time.Duration                    // one after the other
	injectFaults   func(sc *scenario, r *rand.Rand) // the troubles, from 30 s on
	seeds          int                              // how many timings are drawn
}

// playFaultCombination plays a meeting and returns the rules that were broken.
func playFaultCombination(t *testing.T, m faultCombination, seed uint64) (broken []string) {
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, seed)
		r := rand.New(rand.NewPCG(seed, 5))
		sc.cluster.Cloud.AddMachines("g8", "a", (m.machines+1)/2)
		sc.cluster.Cloud.AddMachines("g8", "b", m.machines/2)
		sc.cluster.Cloud.Capacity = m.machines + 2
		time.Sleep(5 * time.Second)
		begun := time.Now()
		deadline := begun.Add(600 * time.Second)
		var users sync.WaitGroup
		for i := range m.jobCount {
			spec, stay := m.makeJob(i, r)
			users.Add(1)
			go func() {
				defer users.Done()
				time.Sleep(time.Duration(i) * m.submitInterval)
				sc.cluster.Users.Run(spec, stay, deadline)
			}()
		}
		go sc.cluster.WatchInvariants(deadline)
		time.Sleep(30 * time.Second)
		m.injectFaults(sc, r)
		sc.net.Heal()
		sc.cluster.Store.SetDown(false)
		sc.cluster.Users.CrossCheckAnswers, sc.cluster.Users.CancelOnCompletion = false, false
		for i := range nodeNames {
			sc.startNode(i)
		}
		time.Sleep(30 * time.Second)
		sc.cluster.Checker.FaultsOver()
		users.Wait()
		time.Sleep(time.Until(time.Now().Add(15 * time.Second)))
		if sc.cluster.Checker.StartCount() == 0 {
			t.Error("no task was started")
		}
		sc.cluster.Checker.CheckJobsServed()
		broken = sc.cluster.Checker.Violations()
		sc.end()
	})
	return broken
}

func (m faultCombination) run(t *testing.T) {
	for seed := range uint64(m.seeds) {
		if b := playFaultCombination(t, m, seed); len(b) > 0 {
			t.Errorf("seed %d: %d rules broken:\n%s", seed, len(b), strings.Join(b[:min(8, len(b))], "\n"))
		}
	}
}

// replicaJobs are services that stand until they are cancelled.
func replicaJobs(stay time.Duration) func(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	return func(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
		return wire.JobSpec{UID: fmt.Sprintf("run-%06d", i), JobClass: "serve", Team: "free", Kind: wire.Service, Priority: wire.High, TaskCount: 1 + r.IntN(3),
			Cores: 4, Gpus: 1, RAMGb: 20, Image: fmt.Sprintf("img-%d", r.IntN(3)), ImageGb: 4}, stay
	}
}

// leaderIndex is the number of the controller that leads, or -1.
func (sc *scenario) leaderIndex() int {
	for i, l := range nodeNames {
		if item, ok := sc.cluster.Store.Get("e/leader"); ok && strings.Contains(string(item.Value), l) {
			return i
		}
	}
	return -1
}

// cancelJobs lets users call off all jobs at one node until it answers, or until the
// time is over.
func (sc *scenario) cancelJobs(node string, jobs int, long time.Duration) {
	for i := range jobs {
		go func() {
			for end := time.Now().Add(long); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				if sc.cluster.Users.Cancel(node, fmt.Sprintf("run-%06d", i)) {
					return
				}
			}
		}()
	}
}

// The gap: the state service refuses the leader alone while another controller
// confirms cancellations, and is then down for all for longer than cancel_s
// while workers keep reporting to the old leader. Its last answered request may
// be younger than what it knows of withdrawals, and a leader that was elected
// in the gap may not have read the records at all: the tasks must be gone within
// cancel_s of the confirmation all the same.
func TestCancelledTasksEndInTimeWhenAnOutageFollowsARefusedLeader(t *testing.T) {
	t.Parallel()
	const jobs = 8
	type gap struct {
		how     string        // what keeps the leader from the state service
		refused time.Duration // for how long
		between time.Duration // from the beginning of that to the outage; 0: to the election of another
		outage  time.Duration
		peers   bool // the leader is cut off from its peers as well
	}
	s := time.Second
	for _, g := range []gap{
		{"cut", 700 * time.Millisecond, 8 * s, 60 * s, true}, // its watch hangs, its hold is renewed
		{"cut", 600 * time.Millisecond, 4 * s, 39 * s, true},
		{"refuse", 14 * s, 0, 60 * s, true}, // a leader that has not loaded
		{"refuse", 14 * s, 0, 41 * s, false},
		{"cut", 14 * s, 0, 60 * s, true},
		{"refuse", 1700 * time.Millisecond, 1800 * time.Millisecond, 60 * s, true}, // ends just before the outage
		{"refuse", 2 * s, 2100 * time.Millisecond, 60 * s, false},
		{"refuse", 14 * s, 2 * s, 60 * s, true}, // ends within it
		{"refuse", 5 * s, 3 * s, 45 * s, true},  // the leader changes just before
		{"refuse", 4 * s, 20 * s, 60 * s, true},
		{"cut", 70 * s, 2200 * time.Millisecond, 39 * s, true},
	} {
		t.Run(fmt.Sprintf("%s %v, outage after %v for %v, peers cut %v", g.how, g.refused, g.between, g.outage, g.peers), func(t *testing.T) {
			t.Parallel()
			faultCombination{machines: 4, jobCount: jobs, submitInterval: s, makeJob: replicaJobs(0), seeds: 3, injectFaults: func(sc *scenario, r *rand.Rand) {
				lead := sc.leaderIndex()
				keep := func(on bool) {
					if g.how == "refuse" {
						sc.net.RefuseRequests(nodeNames[lead], "state:1", on)
					} else {
						sc.net.Partition(nodeNames[lead], "state:1", on)
					}
					for i, l := range nodeNames {
						if i != lead && g.peers {
							sc.net.Partition(nodeNames[lead]+":81", l+":81", on)
						}
					}
				}
				begun := time.Now()
				keep(true)
				time.AfterFunc(g.refused, func() { keep(false) })
				// Some are confirmed at once, others at the last moment.
				sc.cancelJobs(nodeNames[(lead+1)%3], jobs/2, min(time.Second, g.refused-100*time.Millisecond))
				if g.between == 0 {
					for sc.leaderIndex() == lead || sc.leaderIndex() < 0 {
						time.Sleep(time.Millisecond)
					}
				} else {
					time.Sleep(g.between - time.Duration(100+r.IntN(400))*time.Millisecond)
					sc.cancelJobs(nodeNames[(lead+2)%3], jobs, 100*time.Millisecond)
					time.Sleep(time.Until(begun.Add(g.between)))
				}
				sc.cluster.Store.SetDown(true)
				time.Sleep(g.outage)
				sc.cluster.Store.SetDown(false)
				time.Sleep(10 * time.Second)
				sc.cancelJobs(nodeNames[0], jobs, 20*time.Second)
			}}.run(t)
		})
	}
}

// A leader that the state service refuses, alone, learns of a withdrawal from the
// node that confirmed it: the tasks are gone in seconds, not with their leases.
func TestRefusedLeaderStopsTasksOnAnnouncedCancellation(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		spec, _ := replicaJobs(0)(1, rand.New(rand.NewPCG(1, 1)))
		spec.TaskCount = 4
		sc.cluster.Users.UploadSpec(spec)
		if !sc.cluster.Users.Submit("n0", spec) {
			t.Fatal("not accepted")
		}
		time.Sleep(20 * time.Second)
		if n := sc.cluster.Checker.TasksOnMachines(spec.UID); n != 4 {
			t.Fatalf("%d tasks run", n)
		}
		lead := sc.leaderIndex()
		sc.net.RefuseRequests(nodeNames[lead], "state:1", true)
		sc.cancelJobs(nodeNames[(lead+1)%3], 2, time.Second)
		time.Sleep(time.Second)
		sc.cluster.Store.SetDown(true) // before another leads
		time.Sleep(3 * time.Second)
		if n := sc.cluster.Checker.TasksOnMachines(spec.UID); n != 0 || sc.cluster.Checker.FinalStatus(spec.UID) != wire.JobAborted {
			t.Errorf("%d tasks are left, told %q", n, sc.cluster.Checker.FinalStatus(spec.UID))
		}
		sc.cluster.Store.SetDown(false)
		sc.net.Heal()
	})
}

// A leader that has lost the state service and its peers keeps the leases of the
// workers that still reach it. The next leader neither takes their machines for lost
// nor waits until the old one's knowledge is too old: it tells them its token, and
// they come to it with all that they run.
func TestWorkersOfADeposedLeaderMoveWithTheirTasks(t *testing.T) {
	t.Parallel()
	const machines, replicas = 48, 300
	runScenario(t, func(sc *scenario) {
		sc.cluster.Cloud.Capacity = machines + 2
		sc.cluster.Cloud.AddMachines("g8", "a", machines-2)
		spec := wire.JobSpec{UID: "run-000001", JobClass: "serve", Team: "free", Kind: wire.Service, Priority: wire.High, TaskCount: replicas,
			Cores: 4, Gpus: 1, RAMGb: 20, Image: "img", ImageGb: 4}
		sc.cluster.Users.UploadSpec(spec)
		if !sc.cluster.Users.Submit("n0", spec) {
			t.Fatal("not accepted")
		}
		time.Sleep(40 * time.Second)
		if n := sc.cluster.Checker.TasksOnMachines(spec.UID); n != replicas {
			t.Fatalf("%d tasks run", n)
		}
		lead := sc.leaderIndex()
		sc.net.Partition(nodeNames[lead], "state:1", true)
		for i, l := range nodeNames {
			if i != lead {
				sc.net.Partition(nodeNames[lead]+":81", l+":81", true)
			}
		}
		time.Sleep(25 * time.Second)
		if now := sc.leaderIndex(); now == lead || now < 0 {
			t.Errorf("%d leads after %d", now, lead)
		}
		sc.net.Heal()
		time.Sleep(20 * time.Second)
		if n, on := sc.cluster.Checker.StartCount(), sc.cluster.Checker.TasksOnMachines(spec.UID); n != replicas || on != replicas {
			t.Errorf("%d starts, %d tasks are left", n, on)
		}
	})
}

// mixedJob are replicas, arrays and short tasks of a team at its limit and of one
// without any; some are cancelled.
func mixedJob(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	spec, stay := replicaJobs(time.Duration(30+r.IntN(60))*time.Second)(i, r)
	switch i % 4 {
	case 1:
		spec.Team, spec.TaskCount = "crew", 6+r.IntN(6)
	case 2:
		spec.JobClass, spec.Kind, spec.Priority, spec.TaskCount, spec.ExpectedRunS, spec.AllowSpot = "batch", wire.JobArray, wire.Standard, 2+r.IntN(6), float64(5+r.IntN(30)), true
		spec.Team = []string{"crew", "free"}[r.IntN(2)]
		if stay = 0; r.IntN(3) == 0 {
			stay = time.Duration(10+r.IntN(40)) * time.Second
		}
	case 3:
		spec.Priority, spec.Zone = wire.Critical, []string{"a", "b"}[r.IntN(2)]
		if r.IntN(2) == 0 {
			spec.Kind, spec.Priority, spec.ExpectedRunS, stay = wire.JobArray, wire.BestEffort, float64(10+r.IntN(30)), 0
		}
	}
	return spec, stay
}

// smallJob are one-task jobs, a quarter of them cancelled.
func smallJob(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	s := wire.JobSpec{UID: fmt.Sprintf("run-%06d", i), JobClass: "batch", Team: "free", Kind: wire.JobArray, Priority: wire.Standard, TaskCount: 1,
		Cores: 4, Gpus: 1, RAMGb: 20, Image: "img", ImageGb: 2, ExpectedRunS: float64(1 + r.IntN(6))}
	if i%4 == 0 {
		return s, time.Duration(200+r.IntN(9000)) * time.Millisecond
	}
	return s, 0
}

// longJob are arrays of two or three tasks that end far apart, and replicas.
func longJob(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	s, stay := replicaJobs(time.Duration(60+r.IntN(60))*time.Second)(i, r)
	if i%2 == 0 {
		s.Kind, s.TaskCount, s.ExpectedRunS, stay = wire.JobArray, 2+r.IntN(2), float64(30+r.IntN(60)), 0
	}
	return s, stay
}

// overloadJob are more jobs than there is room for, of every rank; some are large.
func overloadJob(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	s, stay := mixedJob(i, r)
	if i%10 == 6 {
		s.TaskCount = 24
	}
	if s.Kind == wire.Service {
		stay = time.Duration(15+r.IntN(30)) * time.Second
	}
	return s, stay
}

// teamLimitJob are arrays of one team, for minutes more than its limit lets run.
func teamLimitJob(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	s := wire.JobSpec{UID: fmt.Sprintf("run-%06d", i), JobClass: "batch", Team: "crew", Kind: wire.JobArray, Priority: wire.Standard, TaskCount: 2 + r.IntN(3),
		Cores: 4, Gpus: 1, RAMGb: 20, Image: fmt.Sprintf("img-%d", r.IntN(3)), ImageGb: 4, ExpectedRunS: float64(25 + r.IntN(15))}
	if i%10 == 7 {
		s.TaskCount = 12
	}
	return s, 0
}

// zonedJob are jobs that keep to one zone, or spread over both.
func zonedJob(i int, r *rand.Rand) (wire.JobSpec, time.Duration) {
	s, stay := mixedJob(i, r)
	switch s.Zone = ""; i % 3 {
	case 0:
		s.SingleZone = true
	case 1:
		s.Zone = []string{"a", "b"}[r.IntN(2)]
	case 2:
		s.SpreadZones = true
	}
	return s, stay
}

// eachRandomHost calls f for every machine that there may be, chosen by chance one in n.
func (sc *scenario) eachRandomHost(r *rand.Rand, n int, f func(host string)) {
	for k := range 40 {
		if r.IntN(n) == 0 {
			f(fmt.Sprintf("m-%06d", k))
		}
	}
}

// faultRandomHosts does something to a share of the machines for a while.
func (sc *scenario) faultRandomHosts(r *rand.Rand, n int, long time.Duration, f func(host, node string, on bool)) {
	sc.eachRandomHost(r, n, func(h string) {
		for _, node := range nodeNames {
			f(h, node, true)
		}
		time.AfterFunc(long, func() {
			for _, node := range nodeNames {
				f(h, node, false)
			}
		})
	})
}

// hangWorkers stops a share of the machines for a while, shorter or longer than a lease.
func (sc *scenario) hangWorkers(r *rand.Rand, share int) {
	for range share {
		if k := sc.cluster.Cloud.RandomWorker(); k != nil {
			k.Hang(time.Duration(3+r.IntN(14)) * time.Second)
		}
	}
}

// crashLeader ends the leader; it is back after a while.
func (sc *scenario) crashLeader(back time.Duration) {
	if lead := sc.leaderIndex(); lead >= 0 {
		sc.crashNode(lead)
		time.AfterFunc(back, func() { sc.startNode(lead) })
	}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Each meeting of troubles that operators have named breaks no rule, at any of
// the timings that are drawn. docs/failures.md lists which is tested by which.
func TestFaultCombinations(t *testing.T) {
	t.Parallel()
	s := time.Second
	for _, m := range []faultCombination{
		{name: "close looks, cancelled at ends, answers lost", machines: 6, jobCount: 40, submitInterval: s, makeJob: mixedJob, injectFaults: func(sc *scenario, r *rand.Rand) {
			sc.cluster.Users.CrossCheckAnswers, sc.cluster.Users.CancelOnCompletion = true, true
			sc.net.DelayCommits(0.4, true)
			time.Sleep(15*s + milliseconds(r.IntN(3000)))
			sc.crashLeader(milliseconds(800))
			time.Sleep(20 * s)
			sc.net.DelayCommits(0, false)
			time.Sleep(20 * s)
		}},
		{name: "one-task jobs four a second, a quarter cancelled", machines: 8, jobCount: 240, submitInterval: s / 4, makeJob: smallJob, injectFaults: func(sc *scenario, r *rand.Rand) {
			sc.cluster.Users.CrossCheckAnswers, sc.cluster.Users.CancelOnCompletion = true, true
			sc.net.DelayCommits(0.15, r.IntN(2) == 0)
			time.Sleep(10*s + milliseconds(r.IntN(2000)))
			sc.crashLeader(3 * s)
			time.Sleep(25 * s)
		}},
		{name: "late transactions and ends of leaders", machines: 6, jobCount: 40, submitInterval: s, makeJob: mixedJob, injectFaults: func(sc *scenario, r *rand.Rand) {
			sc.net.DelayCommits(0.3, false)
			sc.cluster.Users.CrossCheckAnswers, sc.cluster.Users.CancelOnCompletion = true, true
			for range 4 {
				time.Sleep(6*s + milliseconds(r.IntN(4000)))
				sc.crashLeader(milliseconds(300 + r.IntN(5000)))
			}
			time.Sleep(15 * s)
		}},
		{name: "teams at their limit, cancelled on machines that are cut off or hang, a new leader", machines: 8, jobCount: 40, submitInterval: s / 2, makeJob: mixedJob, injectFaults: func(sc *scenario, r *rand.Rand) {
			for i := range 3 {
				sc.hangWorkers(r, 3)
				sc.faultRandomHosts(r, 3, time.Duration(5+r.IntN(25))*s, func(h, n string, on bool) { sc.net.Partition(h, n, on) })
				time.Sleep(milliseconds(r.IntN(1500)))
				sc.cancelJobs(nodeNames[i], 16+8*i, 8*s)
				time.Sleep(milliseconds(r.IntN(1500)))
				sc.crashLeader(milliseconds(300 + r.IntN(6000)))
				time.Sleep(20 * s)
			}
		}},
		{name: "cancelled while the work changes hands, all end and one returns", machines: 6, jobCount: 30, submitInterval: s, makeJob: mixedJob, injectFaults: func(sc *scenario, r *rand.Rand) {
			for i := range 3 {
				sc.crashLeader(milliseconds(900))
				time.Sleep(milliseconds(r.IntN(2500)))
				sc.cancelJobs(nodeNames[(i+1)%3], 6*(i+1), 6*s)
				time.Sleep(8 * s)
			}
			for i := range nodeNames {
				sc.crashNode(i)
			}
			time.Sleep(milliseconds(300 + r.IntN(14000)))
			sc.startNode(r.IntN(3))
			sc.cancelJobs(nodeNames[0], 24, 30*s)
			time.Sleep(15 * s)
		}},
		{name: "old reports meet new leaders, ten in two minutes, also in an outage", machines: 6, jobCount: 40, submitInterval: s, makeJob: mixedJob, injectFaults: func(sc *scenario, r *rand.Rand) {
			for i := range 10 {
				sc.cluster.CaptureHeartbeats(true)
				time.Sleep(milliseconds(6000 + r.IntN(6000)))
				old := sc.leaderIndex()
				sc.crashLeader(milliseconds(400 + r.IntN(3000)))
				if i == 5 {
					sc.cluster.Store.SetDown(true)
					time.AfterFunc(8*s, func() { sc.cluster.Store.SetDown(false) })
				}
				for range 400 {
					if lead := sc.leaderIndex(); lead >= 0 && lead != old {
						break
					}
					time.Sleep(milliseconds(10))
				}
				sc.cluster.CaptureHeartbeats(false)
			}
		}},
		{name: "new machines at once, late writes, and the leader ends", machines: 2, jobCount: 40, submitInterval: s / 2, makeJob: mixedJob, injectFaults: func(sc *scenario, r *rand.Rand) {
			sc.cluster.Cloud.Capacity, sc.cluster.Cloud.BootTime = 10, 2*s
			sc.net.DelayCommits(0.4, false)
			for range 3 {
				time.Sleep(4*s + milliseconds(r.IntN(6000)))
				sc.crashLeader(milliseconds(300 + r.IntN(6000)))
				if k := sc.cluster.Cloud.RandomWorker(); k != nil {
					k.Die()
				}
			}
			time.Sleep(15 * s)
		}},
		{name: "more work than room, urgent and not, over slow links", machines: 3, jobCount: 60, submitInterval: s / 2, makeJob: overloadJob, injectFaults: func(sc *scenario, r *rand.Rand) {
			sc.cluster.Cloud.Capacity = 6
			sc.net.SetExtraLatency(milliseconds(150 + r.IntN(150)))
			time.Sleep(10*s + milliseconds(r.IntN(3000)))
			sc.crashLeader(milliseconds(300 + r.IntN(4000)))
			sc.cancelJobs(nodeNames[0], 20, 5*s)
			time.Sleep(40 * s)
		}},
		{name: "jobs of one zone, arrays too, lose machines", machines: 6, jobCount: 30, submitInterval: s, makeJob: zonedJob, injectFaults: func(sc *scenario, r *rand.Rand) {
			for range 4 {
				for range 2 {
					if k := sc.cluster.Cloud.RandomWorker(); k != nil {
						k.Die()
					}
				}
				sc.hangWorkers(r, 2)
				time.Sleep(5*s + milliseconds(r.IntN(4000)))
				sc.crashLeader(milliseconds(300 + r.IntN(3000)))
			}
			time.Sleep(15 * s)
		}},
		{name: "a zone with workers and a controller is cut off for longer than a lease", machines: 8, jobCount: 40, submitInterval: s / 2, makeJob: mixedJob, injectFaults: func(sc *scenario, r *rand.Rand) {
			in := r.IntN(3)
			stateless := r.IntN(2) == 0
			cut := func(on bool) {
				sc.net.Partition(nodeNames[in], "state:1", on && stateless)
				for j := range nodeNames {
					if j != in {
						sc.net.Partition(nodeNames[in]+":81", nodeNames[j]+":81", on)
					}
				}
				for k := range 40 {
					h := fmt.Sprintf("m-%06d", k)
					for j := range nodeNames {
						if (j == in) != (sc.cluster.Cloud.ZoneOf(h) == "a") {
							sc.net.Partition(nodeNames[j], h, on)
						}
					}
				}
			}
			cut(true)
			time.Sleep(milliseconds(r.IntN(4000)))
			sc.cancelJobs(nodeNames[(in+1)%3], 20, 20*s)
			time.Sleep(time.Duration(11+r.IntN(40)) * s)
			cut(false)
			sc.crashLeader(2 * s)
			time.Sleep(10 * s)
		}},
		{name: "a leader without state service and peers, reports from late, deaf and mute machines", machines: 8, jobCount: 30, submitInterval: s, makeJob: mixedJob, injectFaults: func(sc *scenario, r *rand.Rand) {
			sc.cluster.CaptureHeartbeats(true)
			lead := sc.leaderIndex()
			part := func(on bool) {
				sc.net.Partition(nodeNames[lead], "state:1", on)
				for j, l := range nodeNames {
					if j != lead {
						sc.net.Partition(nodeNames[lead]+":81", l+":81", on)
					}
				}
			}
			part(true)
			sc.faultRandomHosts(r, 4, 25*s, func(h, n string, on bool) { sc.net.DropResponses(h, n, on); sc.net.DropRequests(n, h, on) })
			sc.faultRandomHosts(r, 4, 25*s, func(h, n string, on bool) { sc.net.DropRequests(h, n, on) })
			time.Sleep(3*s + milliseconds(r.IntN(3000)))
			sc.cancelJobs(nodeNames[(lead+1)%3], 16, 20*s)
			time.Sleep(20*s + milliseconds(r.IntN(20000)))
			part(false)
			sc.cluster.CaptureHeartbeats(false)
			time.Sleep(10 * s)
		}},
		{name: "all controllers are away for longer than a lease, machines hang and go on", machines: 6, jobCount: 30, submitInterval: s, makeJob: mixedJob, injectFaults: func(sc *scenario, r *rand.Rand) {
			sc.cancelJobs(nodeNames[0], 8, 2*s)
			time.Sleep(milliseconds(r.IntN(1000)))
			for i := range nodeNames {
				sc.crashNode(i)
			}
			time.Sleep(time.Duration(9+r.IntN(8)) * s)
			sc.hangWorkers(r, 3)
			for i := range nodeNames {
				sc.startNode(i)
			}
			sc.cluster.CaptureHeartbeats(true)
			time.Sleep(5 * s)
			sc.crashLeader(milliseconds(500))
			sc.cluster.CaptureHeartbeats(false)
			sc.cancelJobs(nodeNames[1], 16, 10*s)
			time.Sleep(20 * s)
		}},
		{name: "long tasks on machines that do not hear the new leader", machines: 6, jobCount: 24, submitInterval: s, makeJob: longJob, injectFaults: func(sc *scenario, r *rand.Rand) {
			for i := range 3 {
				sc.faultRandomHosts(r, 2, time.Duration(4+r.IntN(12))*s, func(h, n string, on bool) {
					if i%2 == 0 {
						sc.net.DropResponses(h, n, on)
					} else {
						sc.net.Partition(h, n, on)
					}
				})
				sc.crashLeader(milliseconds(300 + r.IntN(4000)))
				time.Sleep(18 * s)
			}
		}},
		{name: "refused and down in turn while users cancel and ask", machines: 6, jobCount: 40, submitInterval: s, makeJob: mixedJob, injectFaults: func(sc *scenario, r *rand.Rand) {
			sc.cluster.Users.CrossCheckAnswers = true
			for i := range 3 {
				lead := max(0, sc.leaderIndex())
				sc.net.RefuseRequests(nodeNames[lead], "state:1", true)
				time.Sleep(milliseconds(200 + r.IntN(4000)))
				sc.cancelJobs(nodeNames[(lead+1)%3], 8*(i+1), 12*s)
				time.Sleep(milliseconds(r.IntN(2000)))
				sc.cluster.Store.SetDown(true)
				time.Sleep(time.Duration(3+r.IntN(45)) * s)
				sc.net.RefuseRequests(nodeNames[lead], "state:1", false)
				sc.cluster.Store.SetDown(false)
				time.Sleep(10 * s)
			}
		}},
		{name: "a team at its limit for minutes, large arrays and small, and the leader ends", machines: 6, jobCount: 110, submitInterval: s / 4, makeJob: teamLimitJob, injectFaults: func(sc *scenario, r *rand.Rand) {
			time.Sleep(10*s + milliseconds(r.IntN(5000)))
			sc.crashLeader(milliseconds(300 + r.IntN(5000)))
			time.Sleep(10 * s)
		}},
		{name: "commands of leaders that have ended come late, machines that only they reach", machines: 6, jobCount: 40, submitInterval: s, makeJob: mixedJob, injectFaults: func(sc *scenario, r *rand.Rand) {
			sc.net.DelayDirectCommands(0.7)
			for range 4 {
				// Machines that reach no controller are announced the token directly, by
				// one leader after the other.
				sc.faultRandomHosts(r, 2, time.Duration(6+r.IntN(10))*s, func(h, n string, on bool) { sc.net.DropRequests(h, n, on) })
				sc.hangWorkers(r, 2)
				time.Sleep(5*s + milliseconds(r.IntN(4000)))
				sc.crashLeader(milliseconds(300 + r.IntN(5000)))
				sc.cancelJobs(nodeNames[r.IntN(3)], 24, 6*s)
				time.Sleep(4 * s)
			}
			time.Sleep(16 * s)
		}},
	} {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			m.seeds = seedCount(t, 2)
			m.run(t)
		})
	}
}

// seedCount is how many timings are drawn: as many as are asked for, to look for more.
func seedCount(t *testing.T, usual int) int {
	asked := os.Getenv("SEEDS")
	if asked == "" {
		return usual
	}
	n, err := strconv.Atoi(asked)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// A controller stands still while its clocks run on, in every phase of a term, for
// less than its hold, a lease or cancel_s and for more. On waking it has an old
// picture, old reports to answer and answers to what it asked long ago.
func TestProcessPause(t *testing.T) {
	t.Parallel()
	isLead := func(sc *scenario, label string) bool {
		lead := sc.leaderIndex()
		return lead >= 0 && nodeNames[lead] == label
	}
	// Each tells, of a request, who is to stand still now; nobody is "".
	for _, phase := range []struct {
		name string
		who  func(sc *scenario, from, to, path string, carried bool) string
		elec bool // the leader ends first
	}{
		{"elected, not yet told so", func(sc *scenario, from, _, path string, carried bool) string {
			if carried && path == "/commit" && isLead(sc, from) {
				return from
			}
			return ""
		}, true},
		{"reads the records", func(sc *scenario, from, _, path string, carried bool) string {
			if carried && path == "/kv" && isLead(sc, from) {
				return from
			}
			return ""
		}, true},
		{"has committed and not heard so", func(sc *scenario, from, _, path string, carried bool) string {
			if carried && path == "/commit" && isLead(sc, from) {
				return from
			}
			return ""
		}, false},
		{"is about to take a report", func(sc *scenario, _, to, path string, carried bool) string {
			if !carried && path == "/checkin" && isLead(sc, to) {
				return to
			}
			return ""
		}, false},
		{"has taken a report and not answered it", func(sc *scenario, _, to, path string, carried bool) string {
			if carried && path == "/checkin" && isLead(sc, to) {
				return to
			}
			return ""
		}, false},
		{"has renewed its hold", func(sc *scenario, from, _, path string, carried bool) string {
			if carried && strings.HasSuffix(path, "/touch") && isLead(sc, from) {
				return from
			}
			return ""
		}, false},
		{"has read what is withdrawn", func(sc *scenario, from, _, path string, carried bool) string {
			if carried && path == "/changes" && isLead(sc, from) {
				return from
			}
			return ""
		}, false},
		{"has returned machines", func(sc *scenario, from, _, path string, carried bool) string {
			if carried && path == "/machines/return" && isLead(sc, from) {
				return from
			}
			return ""
		}, false},
		{"leads while another node records a withdrawal", func(sc *scenario, from, _, path string, carried bool) string {
			if lead := sc.leaderIndex(); carried && path == "/commit" && lead >= 0 && nodeNames[lead] != from {
				return nodeNames[lead]
			}
			return ""
		}, false},
		{"has recorded a withdrawal and told nobody", func(sc *scenario, from, _, path string, carried bool) string {
			if carried && path == "/commit" && !isLead(sc, from) {
				return from
			}
			return ""
		}, false},
	} {
		t.Run(phase.name, func(t *testing.T) {
			t.Parallel()
			stood := 0
			faultCombination{machines: 6, jobCount: 36, submitInterval: time.Second, makeJob: mixedJob, seeds: seedCount(t, 1), injectFaults: func(sc *scenario, r *rand.Rand) {
				for i, span := range []int{2000, 4500, 13000, 50000} {
					long := milliseconds(span + r.IntN(span/2))
					sc.hangWorkers(r, 1)
					if k := sc.cluster.Cloud.RandomWorker(); k != nil {
						k.Die()
					}
					if phase.elec {
						sc.crashLeader(milliseconds(300 + r.IntN(3000)))
					}
					var once sync.Once
					sc.net.ObserveRequests(func(from, to, path string, carried bool) {
						if who := phase.who(sc, from, to, path, carried); who != "" {
							once.Do(func() {
								stood++
								sc.net.PauseProcess(who, true)
								time.AfterFunc(long, func() { sc.net.PauseProcess(who, false) })
							})
						}
					})
					time.Sleep(milliseconds(r.IntN(2500)))
					sc.cancelJobs(nodeNames[r.IntN(3)], 9*(i+1), 8*time.Second)
					time.Sleep(long + 5*time.Second)
					sc.net.ObserveRequests(nil)
				}
			}}.run(t)
			if stood < 2*seedCount(t, 1) { // of four: nobody may withdraw anything in time
				t.Errorf("a controller stood still %d times", stood)
			}
		})
	}
}

// The judge sees answers that break a rule, and jobs that are not served.
func TestCheckerReportsViolationsInAnswers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		nw := faultnet.New(rand.New(rand.NewPCG(1, 1)))
		w := simcluster.NewCluster(nodeConfig(t, 0), nw, nodeNames[:1], catalog)
		w.Cloud.AddMachines("g8", "a", 1)
		status, view := 0, wire.JobView{}
		nw.Attach("n0", http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
			rw.WriteHeader(status)
			if err := json.NewEncoder(rw).Encode(view); err != nil {
				t.Error(err)
			}
		}), nil)
		go w.WatchInvariants(time.Now().Add(10 * time.Minute))
		step := func(rule string, code int, announced wire.JobStatus, ask func()) {
			t.Helper()
			status, view.Status = code, announced
			before := len(w.Checker.Violations())
			ask()
			answers := strings.Join(w.Checker.Violations()[before:], "\n")
			if rule == "" && answers != "" || rule != "" && !strings.Contains(answers, rule) {
				t.Errorf("expected %q, the judge sees %q", rule, answers)
			}
		}
		jobs := make([]wire.JobSpec, 4)
		for i := range jobs {
			jobs[i], _ = replicaJobs(0)(i, rand.New(rand.NewPCG(1, 1)))
			if i < 3 {
				w.Users.UploadSpec(jobs[i])
			}
		}
		poll := func(i int) func() { return func() { w.Users.Poll("n0", jobs[i].UID); time.Sleep(time.Second) } }
		submit := func(i int) func() { return func() { w.Users.Submit("n0", jobs[i]); time.Sleep(time.Second) } }
		step("", 404, "", poll(0))
		step("", 503, "", submit(0))
		step("", 201, wire.JobQueued, submit(0))
		step("forgotten", 404, "", poll(0))
		step("forgotten", 400, "", submit(0))
		step("forgotten", 422, "", func() { w.Users.CrossCheck(jobs[0].UID) })
		step("invented", 200, wire.JobQueued, poll(3))
		step("not_done", 200, wire.JobDone, poll(0))
		step("went_back", 200, wire.JobQueued, poll(0))
		step("went_back", 200, wire.JobAborted, poll(1)) // nobody cancelled it
		step("went_back", 200, wire.JobRunning, func() { w.Users.Cancel("n0", jobs[2].UID) })
		step("", 200, wire.JobAborted, func() { w.Users.Cancel("n0", jobs[2].UID); time.Sleep(time.Second) })
		step("went_back", 200, wire.JobRunning, func() { w.Users.CrossCheck(jobs[2].UID) })
		w.Users.UploadSpec(jobs[3])
		step("", 201, wire.JobQueued, submit(3))
		w.Checker.FaultsOver()
		step("", 200, wire.JobQueued, func() { time.Sleep(80 * time.Second) })
		step("left_waiting", 200, wire.JobQueued, func() { time.Sleep(20 * time.Second) })
		step("late_begin", 200, wire.JobQueued, w.Checker.CheckJobsServed)
		step("unserved", 200, wire.JobQueued, w.Checker.CheckJobsServed)
		w.StopMachines()
		time.Sleep(2 * time.Minute)
	})
}
