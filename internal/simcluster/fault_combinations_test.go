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

// faultCombination is a scenario in which several faults occur at once. Its jobs are submitted one by one
// from the start, submitInterval apart; the faults begin after faultStartDelay.
type faultCombination struct {
	name           string
	machines       int
	makeJob        jobMaker
	jobCount       int
	submitInterval time.Duration
	injectFaults   func(sc *scenario, r *rand.Rand)
}

const (
	// faultStartDelay is the time from the first submission to the first fault. settleTime is the time from the
	// end of the faults until the checker requires that no job waits while there is free capacity.
	faultStartDelay = 30 * time.Second
	settleTime      = 30 * time.Second
)

// runSeeds runs the combination once for each seed from 0 to seeds-1, and expects that no rule is broken.
func (c faultCombination) runSeeds(t *testing.T, seeds int) {
	t.Helper()
	for seed := range uint64(seeds) {
		if violations := c.runSeed(t, seed); len(violations) > 0 {
			shown := violations[:min(maxShown, len(violations))]
			t.Errorf("seed %d: got %d violations, want none:\n%s", seed, len(violations), strings.Join(shown, "\n"))
		}
	}
}

// runSeed runs the combination with the jobs and the timing that a seed determines, and returns the
// violations of the checker's rules.
func (c faultCombination) runSeed(t *testing.T, seed uint64) (violations []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, seed)
		r := rand.New(rand.NewPCG(seed, 5))
		sc.cluster.Cloud.AddMachines("g8", "a", (c.machines+1)/2)
		sc.cluster.Cloud.AddMachines("g8", "b", c.machines/2)
		sc.cluster.Cloud.SetCapacity(c.machines + 2)
		time.Sleep(5 * time.Second)
		deadline := time.Now().Add(600 * time.Second)
		var users sync.WaitGroup
		for i := range c.jobCount {
			spec, cancelAfter := c.makeJob(i, r)
			users.Go(func() {
				time.Sleep(time.Duration(i) * c.submitInterval)
				sc.cluster.Users.Run(spec, cancelAfter, deadline)
			})
		}
		go sc.cluster.WatchInvariants(deadline)
		time.Sleep(faultStartDelay)
		c.injectFaults(sc, r)
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

// seedCount returns the number of seeds that a test runs: defaultCount, or the number in the environment
// variable SEEDS, for longer searches.
func seedCount(t *testing.T, defaultCount int) int {
	t.Helper()
	fromEnv := os.Getenv("SEEDS")
	if fromEnv == "" {
		return defaultCount
	}
	n, err := strconv.Atoi(fromEnv)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// faultCombinations are the cases of TestFaultCombinations. docs/failures.md quotes their names.
var faultCombinations = []faultCombination{
	{
		name:           "close looks, cancelled at ends, answers lost",
		machines:       6,
		makeJob:        mixedJob,
		jobCount:       40,
		submitInterval: time.Second,
		injectFaults:   lostCommitResponses,
	},
	{
		name:           "one-task jobs four a second, a quarter cancelled",
		machines:       8,
		makeJob:        smallJob,
		jobCount:       240,
		submitInterval: time.Second / 4,
		injectFaults:   lostOrLateCommits,
	},
	{
		name:           "late transactions and ends of leaders",
		machines:       6,
		makeJob:        mixedJob,
		jobCount:       40,
		submitInterval: time.Second,
		injectFaults:   lateCommitsAndCrashes,
	},
	{
		name:           "teams at their limit, cancelled on machines that are partitioned or hang, a new leader",
		machines:       8,
		makeJob:        mixedJob,
		jobCount:       40,
		submitInterval: time.Second / 2,
		injectFaults:   cancelledOnUnreachableMachines,
	},
	{
		name:           "cancelled while the work changes hands, all end and one returns",
		machines:       6,
		makeJob:        mixedJob,
		jobCount:       30,
		submitInterval: time.Second,
		injectFaults:   cancelledDuringFailovers,
	},
	{
		name:           "old reports meet new leaders, ten in two minutes, also in an outage",
		machines:       6,
		makeJob:        mixedJob,
		jobCount:       40,
		submitInterval: time.Second,
		injectFaults:   oldHeartbeatsAtNewLeaders,
	},
	{
		name:           "new machines at once, late writes, and the leader ends",
		machines:       2,
		makeJob:        mixedJob,
		jobCount:       40,
		submitInterval: time.Second / 2,
		injectFaults:   newMachinesAndLateCommits,
	},
	{
		name:           "more work than room, urgent and not, over slow links",
		machines:       3,
		makeJob:        overloadJob,
		jobCount:       60,
		submitInterval: time.Second / 2,
		injectFaults:   overloadOnSlowLinks,
	},
	{
		name:           "jobs of one zone, arrays too, lose machines",
		machines:       6,
		makeJob:        zonedJob,
		jobCount:       30,
		submitInterval: time.Second,
		injectFaults:   machinesDieUnderZonedJobs,
	},
	{
		name:           "a zone with workers and a controller is partitioned for longer than a lease",
		machines:       8,
		makeJob:        mixedJob,
		jobCount:       40,
		submitInterval: time.Second / 2,
		injectFaults:   partitionedZone,
	},
	{
		name:           "a leader without state store and peers, reports from late, deaf and mute machines",
		machines:       8,
		makeJob:        mixedJob,
		jobCount:       30,
		submitInterval: time.Second,
		injectFaults:   isolatedLeaderAndOneWayLinks,
	},
	{
		name:           "all controllers are away for longer than a lease, machines hang and go on",
		machines:       6,
		makeJob:        mixedJob,
		jobCount:       30,
		submitInterval: time.Second,
		injectFaults:   allNodesDownForALease,
	},
	{
		name:           "long tasks on machines that do not hear the new leader",
		machines:       6,
		makeJob:        longJob,
		jobCount:       24,
		submitInterval: time.Second,
		injectFaults:   machinesPartitionedFromNewLeader,
	},
	{
		name:           "refused and down in turn while users cancel and ask",
		machines:       6,
		makeJob:        mixedJob,
		jobCount:       40,
		submitInterval: time.Second,
		injectFaults:   refusalsAndOutages,
	},
	{
		name:           "a team at its limit for minutes, large arrays and small, and the leader ends",
		machines:       6,
		makeJob:        teamLimitJob,
		jobCount:       110,
		submitInterval: time.Second / 4,
		injectFaults:   leaderCrashAtTeamLimit,
	},
	{
		name:           "commands of leaders that have ended come late, machines that only they reach",
		machines:       6,
		makeJob:        mixedJob,
		jobCount:       40,
		submitInterval: time.Second,
		injectFaults:   lateCommandsOfOldLeaders,
	},
}

// No rule is broken under any of the combinations of faults that operators have named, with the timings that the
// seeds determine. docs/failures.md lists which case tests which combination.
func TestFaultCombinations(t *testing.T) {
	t.Parallel()
	for _, combination := range faultCombinations {
		t.Run(combination.name, func(t *testing.T) {
			t.Parallel()
			combination.runSeeds(t, seedCount(t, 2))
		})
	}
}
