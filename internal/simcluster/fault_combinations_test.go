package simcluster_test

import (
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// faultCombination is a scenario in which faults meet. Its jobs are submitted one by one from the
// start; the faults begin 30 s after it.
type faultCombination struct {
	name           string
	machines       int
	makeJob        makeJob
	jobCount       int
	submitInterval time.Duration
	injectFaults   func(sc *scenario, r *rand.Rand)
	seeds          int // how many timings are drawn
}

const (
	// faultsBegin is when the faults of a combination begin, and settleTime how long they are over
	// before no job may wait any more.
	faultsBegin = 30 * time.Second
	settleTime  = 30 * time.Second
)

// run plays the combination at each of its timings and expects that no rule is broken.
func (m faultCombination) run(t *testing.T) {
	t.Helper()
	for seed := range uint64(m.seeds) {
		if violations := m.play(t, seed); len(violations) > 0 {
			t.Errorf("seed %d: %d rules broken:\n%s", seed, len(violations), strings.Join(violations[:min(8, len(violations))], "\n"))
		}
	}
}

// play plays the combination at one timing and returns the rules that were broken.
func (m faultCombination) play(t *testing.T, seed uint64) (violations []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, seed)
		r := rand.New(rand.NewPCG(seed, 5))
		sc.cluster.Cloud.AddMachines("g8", "a", (m.machines+1)/2)
		sc.cluster.Cloud.AddMachines("g8", "b", m.machines/2)
		sc.cluster.Cloud.SetCapacity(m.machines + 2)
		time.Sleep(5 * time.Second)
		deadline := time.Now().Add(600 * time.Second)
		var users sync.WaitGroup
		for i := range m.jobCount {
			spec, stay := m.makeJob(i, r)
			users.Go(func() {
				time.Sleep(time.Duration(i) * m.submitInterval)
				sc.cluster.Users.Run(spec, stay, deadline)
			})
		}
		go sc.cluster.WatchInvariants(deadline)
		time.Sleep(faultsBegin)
		m.injectFaults(sc, r)
		sc.cluster.Users.CrossCheckAnswers.Store(false)
		sc.cluster.Users.CancelOnCompletion.Store(false)
		sc.endFaults()
		time.Sleep(settleTime)
		sc.cluster.Checker.FaultsOver()
		users.Wait()
		time.Sleep(15 * time.Second)
		if sc.cluster.Checker.StartCount() == 0 {
			t.Error("no task was started")
		}
		sc.cluster.Checker.CheckJobsServed()
		violations = sc.cluster.Checker.Violations()
		sc.end()
	})
	return violations
}

// seedCount is how many timings are drawn: as many as are asked for, to look for more.
func seedCount(t *testing.T, usual int) int {
	t.Helper()
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

// Each combination of faults that operators have named breaks no rule, at any of the timings that
// are drawn. docs/failures.md lists which is tested by which.
func TestFaultCombinations(t *testing.T) {
	t.Parallel()
	s := time.Second
	for _, m := range []faultCombination{
		{
			name:     "close looks, cancelled at ends, answers lost",
			machines: 6, makeJob: mixedJob, jobCount: 40, submitInterval: s, injectFaults: lostCommitResponses,
		},
		{
			name:     "one-task jobs four a second, a quarter cancelled",
			machines: 8, makeJob: smallJob, jobCount: 240, submitInterval: s / 4, injectFaults: manySmallJobs,
		},
		{
			name:     "late transactions and ends of leaders",
			machines: 6, makeJob: mixedJob, jobCount: 40, submitInterval: s, injectFaults: lateCommitsAndCrashes,
		},
		{
			name:     "teams at their limit, cancelled on machines that are cut off or hang, a new leader",
			machines: 8, makeJob: mixedJob, jobCount: 40, submitInterval: s / 2, injectFaults: cancelledOnUnreachableMachines,
		},
		{
			name:     "cancelled while the work changes hands, all end and one returns",
			machines: 6, makeJob: mixedJob, jobCount: 30, submitInterval: s, injectFaults: cancelledDuringFailovers,
		},
		{
			name:     "old reports meet new leaders, ten in two minutes, also in an outage",
			machines: 6, makeJob: mixedJob, jobCount: 40, submitInterval: s, injectFaults: oldHeartbeatsAtNewLeaders,
		},
		{
			name:     "new machines at once, late writes, and the leader ends",
			machines: 2, makeJob: mixedJob, jobCount: 40, submitInterval: s / 2, injectFaults: newMachinesAndLateCommits,
		},
		{
			name:     "more work than room, urgent and not, over slow links",
			machines: 3, makeJob: overloadJob, jobCount: 60, submitInterval: s / 2, injectFaults: overloadOnSlowLinks,
		},
		{
			name:     "jobs of one zone, arrays too, lose machines",
			machines: 6, makeJob: zonedJob, jobCount: 30, submitInterval: s, injectFaults: machinesDieUnderZonedJobs,
		},
		{
			name:     "a zone with workers and a controller is cut off for longer than a lease",
			machines: 8, makeJob: mixedJob, jobCount: 40, submitInterval: s / 2, injectFaults: partitionedZone,
		},
		{
			name:     "a leader without state service and peers, reports from late, deaf and mute machines",
			machines: 8, makeJob: mixedJob, jobCount: 30, submitInterval: s, injectFaults: isolatedLeaderAndOneWayLinks,
		},
		{
			name:     "all controllers are away for longer than a lease, machines hang and go on",
			machines: 6, makeJob: mixedJob, jobCount: 30, submitInterval: s, injectFaults: allNodesAwayForALease,
		},
		{
			name:     "long tasks on machines that do not hear the new leader",
			machines: 6, makeJob: longJob, jobCount: 24, submitInterval: s, injectFaults: machinesCutOffFromNewLeader,
		},
		{
			name:     "refused and down in turn while users cancel and ask",
			machines: 6, makeJob: mixedJob, jobCount: 40, submitInterval: s, injectFaults: refusalsAndOutages,
		},
		{
			name:     "a team at its limit for minutes, large arrays and small, and the leader ends",
			machines: 6, makeJob: teamLimitJob, jobCount: 110, submitInterval: s / 4, injectFaults: leaderCrashAtTeamLimit,
		},
		{
			name:     "commands of leaders that have ended come late, machines that only they reach",
			machines: 6, makeJob: mixedJob, jobCount: 40, submitInterval: s, injectFaults: lateCommandsOfOldLeaders,
		},
	} {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			m.seeds = seedCount(t, 2)
			m.run(t)
		})
	}
}
