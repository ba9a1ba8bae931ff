package simcluster_test

import (
	"math/rand/v2"
	"time"
)

// The faults of TestFaultCombinations. A seed gives the same faults only as long as the order of the random
// draws stays the same.

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// eachRandomHost calls visit for randomly chosen machines. It chooses each of the first maxHosts machine names with
// a probability of 1/oneIn, whether the machine exists yet or not.
func eachRandomHost(r *rand.Rand, oneIn int, visit func(host string)) {
	for k := range maxHosts {
		if r.IntN(oneIn) == 0 {
			visit(hostName(k))
		}
	}
}

// faultRandomHosts begins a fault between all nodes and the machines that eachRandomHost chooses, and ends it
// after the duration. setFault begins or ends the fault of one link.
func faultRandomHosts(r *rand.Rand, oneIn int, duration time.Duration, setFault func(host, node string, on bool)) {
	eachRandomHost(r, oneIn, func(host string) {
		for _, node := range nodeNames {
			setFault(host, node, true)
		}
		time.AfterFunc(duration, func() {
			for _, node := range nodeNames {
				setFault(host, node, false)
			}
		})
	})
}

// suspendWorkers makes up to count random machines hang, each for 3 to 16 s: some for less than the worker lease of
// 10 s, some for more.
func (sc *scenario) suspendWorkers(r *rand.Rand, count int) {
	for range count {
		if worker := sc.cluster.Cloud.RandomWorker(); worker != nil {
			worker.Suspend(time.Duration(3+r.IntN(14)) * time.Second)
		}
	}
}

// killWorkers kills up to count random machines.
func (sc *scenario) killWorkers(count int) {
	for range count {
		if worker := sc.cluster.Cloud.RandomWorker(); worker != nil {
			worker.Terminate()
		}
	}
}

// lostCommitResponses loses the responses to a share of the commits, which are executed at once, and crashes
// the leader. Users cross-check answers and cancel each job when its last task completes.
func lostCommitResponses(sc *scenario, r *rand.Rand) {
	sc.cluster.Users.CrossCheckAnswers.Store(true)
	sc.cluster.Users.CancelOnCompletion.Store(true)
	sc.net.DelayCommits(0.4, true)
	time.Sleep(15*time.Second + milliseconds(r.IntN(3000)))
	sc.crashLeader(milliseconds(800))
	time.Sleep(20 * time.Second)
	sc.net.DelayCommits(0, false)
	time.Sleep(20 * time.Second)
}

// lostOrLateCommits loses the responses to 15% of the commits, which are executed late with some seeds and at once
// with the others, and crashes the leader. Users cross-check answers and cancel each job when its last task completes.
func lostOrLateCommits(sc *scenario, r *rand.Rand) {
	sc.cluster.Users.CrossCheckAnswers.Store(true)
	sc.cluster.Users.CancelOnCompletion.Store(true)
	sc.net.DelayCommits(0.15, r.IntN(2) == 0)
	time.Sleep(10*time.Second + milliseconds(r.IntN(2000)))
	sc.crashLeader(3 * time.Second)
	time.Sleep(25 * time.Second)
}

// lateCommitsAndCrashes executes a share of the commits late, possibly after newer ones, and crashes the leader
// again and again.
func lateCommitsAndCrashes(sc *scenario, r *rand.Rand) {
	sc.net.DelayCommits(0.3, false)
	sc.cluster.Users.CrossCheckAnswers.Store(true)
	sc.cluster.Users.CancelOnCompletion.Store(true)
	for range 4 {
		time.Sleep(6*time.Second + milliseconds(r.IntN(4000)))
		sc.crashLeader(milliseconds(300 + r.IntN(5000)))
	}
	time.Sleep(15 * time.Second)
}

// cancelledOnUnreachableMachines cancels jobs while some machines hang or are partitioned from all nodes,
// then crashes the leader.
func cancelledOnUnreachableMachines(sc *scenario, r *rand.Rand) {
	for i := range 3 {
		sc.suspendWorkers(r, 3)
		faultRandomHosts(r, 3, time.Duration(5+r.IntN(25))*time.Second, sc.net.Partition)
		time.Sleep(milliseconds(r.IntN(1500)))
		sc.cancelJobs(nodeNames[i], 16+8*i, 8*time.Second)
		time.Sleep(milliseconds(r.IntN(1500)))
		sc.crashLeader(milliseconds(300 + r.IntN(6000)))
		time.Sleep(20 * time.Second)
	}
}

// cancelledDuringFailovers cancels jobs after each of several crashes of the leader. Then all nodes crash, one
// of them is started again, and users ask to cancel more jobs.
func cancelledDuringFailovers(sc *scenario, r *rand.Rand) {
	for i := range 3 {
		sc.crashLeader(milliseconds(900))
		time.Sleep(milliseconds(r.IntN(2500)))
		sc.cancelJobs(nodeNames[(i+1)%3], 6*(i+1), 6*time.Second)
		time.Sleep(8 * time.Second)
	}
	sc.crashAllNodes()
	time.Sleep(milliseconds(300 + r.IntN(14000)))
	sc.startNode(r.IntN(3))
	sc.cancelJobs(nodeNames[0], 24, 30*time.Second)
	time.Sleep(15 * time.Second)
}

// oldHeartbeatsAtNewLeaders crashes ten leaders in turn and sends each new one the heartbeats of the term
// before. One of the failovers comes during an outage of the state store.
func oldHeartbeatsAtNewLeaders(sc *scenario, r *rand.Rand) {
	for i := range 10 {
		sc.cluster.CaptureHeartbeats(true)
		time.Sleep(milliseconds(6000 + r.IntN(6000)))
		oldLeader := sc.leaderIndex()
		sc.crashLeader(milliseconds(400 + r.IntN(3000)))
		if i == 5 {
			sc.cluster.Store.SetDown(true)
			time.AfterFunc(8*time.Second, func() { sc.cluster.Store.SetDown(false) })
		}
		for range 400 {
			if leader := sc.leaderIndex(); leader >= 0 && leader != oldLeader {
				break
			}
			time.Sleep(milliseconds(10))
		}
		sc.cluster.CaptureHeartbeats(false)
	}
}

// newMachinesAndLateCommits lets the fleet grow by machines that boot fast, while a share of the commits is
// executed late, leaders crash and machines die.
func newMachinesAndLateCommits(sc *scenario, r *rand.Rand) {
	sc.cluster.Cloud.SetCapacity(10)
	sc.cluster.Cloud.SetBootTime(2 * time.Second)
	sc.net.DelayCommits(0.4, false)
	for range 3 {
		time.Sleep(4*time.Second + milliseconds(r.IntN(6000)))
		sc.crashLeader(milliseconds(300 + r.IntN(6000)))
		sc.killWorkers(1)
	}
	time.Sleep(15 * time.Second)
}

// overloadOnSlowLinks makes every link slower, crashes the leader and cancels some jobs, on a fleet that is
// too small for the jobs.
func overloadOnSlowLinks(sc *scenario, r *rand.Rand) {
	sc.cluster.Cloud.SetCapacity(6)
	sc.net.SetExtraLatency(milliseconds(150 + r.IntN(150)))
	time.Sleep(10*time.Second + milliseconds(r.IntN(3000)))
	sc.crashLeader(milliseconds(300 + r.IntN(4000)))
	sc.cancelJobs(nodeNames[0], 20, 5*time.Second)
	time.Sleep(40 * time.Second)
}

// machinesDieUnderZonedJobs kills machines, makes others hang and crashes the leader, again and again.
func machinesDieUnderZonedJobs(sc *scenario, r *rand.Rand) {
	for range 4 {
		sc.killWorkers(2)
		sc.suspendWorkers(r, 2)
		time.Sleep(5*time.Second + milliseconds(r.IntN(4000)))
		sc.crashLeader(milliseconds(300 + r.IntN(3000)))
	}
	time.Sleep(15 * time.Second)
}

// partitionedZone partitions one controller and the machines of zone a from the rest for longer than a worker
// lease, while jobs are cancelled at another controller. The partitioned controller may lose the state store too.
func partitionedZone(sc *scenario, r *rand.Rand) {
	insideNode := r.IntN(3)
	alsoFromStore := r.IntN(2) == 0
	partition := func(on bool) {
		sc.net.Partition(nodeNames[insideNode], storeAddress, on && alsoFromStore)
		sc.partitionFromPeers(insideNode, on)
		sc.partitionZoneA(insideNode, maxHosts, on)
	}
	partition(true)
	time.Sleep(milliseconds(r.IntN(4000)))
	sc.cancelJobs(nodeNames[(insideNode+1)%3], 20, 20*time.Second)
	time.Sleep(time.Duration(11+r.IntN(40)) * time.Second)
	partition(false)
	sc.crashLeader(2 * time.Second)
	time.Sleep(10 * time.Second)
}

// isolatedLeaderAndOneWayLinks partitions the leader from the state store and from its peers. Meanwhile some
// machines can send but not receive, others receive but cannot send. Old heartbeats arrive at the end.
func isolatedLeaderAndOneWayLinks(sc *scenario, r *rand.Rand) {
	sc.cluster.CaptureHeartbeats(true)
	leader := sc.leaderIndex()
	isolate := func(on bool) {
		sc.net.Partition(nodeNames[leader], storeAddress, on)
		sc.partitionFromPeers(leader, on)
	}
	isolate(true)
	faultRandomHosts(r, 4, 25*time.Second, func(host, node string, on bool) {
		sc.net.DropResponses(host, node, on)
		sc.net.DropRequests(node, host, on)
	})
	faultRandomHosts(r, 4, 25*time.Second, sc.net.DropRequests)
	time.Sleep(3*time.Second + milliseconds(r.IntN(3000)))
	sc.cancelJobs(nodeNames[(leader+1)%3], 16, 20*time.Second)
	time.Sleep(20*time.Second + milliseconds(r.IntN(20000)))
	isolate(false)
	sc.cluster.CaptureHeartbeats(false)
	time.Sleep(10 * time.Second)
}

// allNodesDownForALease crashes all nodes, just after users ask to cancel jobs, for about as long as a worker lease or
// longer. When they are started again, machines hang, the leader crashes and old heartbeats arrive.
func allNodesDownForALease(sc *scenario, r *rand.Rand) {
	sc.cancelJobs(nodeNames[0], 8, 2*time.Second)
	time.Sleep(milliseconds(r.IntN(1000)))
	sc.crashAllNodes()
	time.Sleep(time.Duration(9+r.IntN(8)) * time.Second)
	sc.suspendWorkers(r, 3)
	sc.startAllNodes()
	sc.cluster.CaptureHeartbeats(true)
	time.Sleep(5 * time.Second)
	sc.crashLeader(milliseconds(500))
	sc.cluster.CaptureHeartbeats(false)
	sc.cancelJobs(nodeNames[1], 16, 10*time.Second)
	time.Sleep(20 * time.Second)
}

// machinesPartitionedFromNewLeader crashes the leader while half of the machines cannot reach any node, or get no
// responses.
func machinesPartitionedFromNewLeader(sc *scenario, r *rand.Rand) {
	for i := range 3 {
		setFault := sc.net.Partition
		if i%2 == 0 {
			setFault = sc.net.DropResponses
		}
		faultRandomHosts(r, 2, time.Duration(4+r.IntN(12))*time.Second, setFault)
		sc.crashLeader(milliseconds(300 + r.IntN(4000)))
		time.Sleep(18 * time.Second)
	}
}

// refusalsAndOutages lets the state store refuse the leader alone and then fail for all nodes, while users
// cancel jobs and cross-check answers.
func refusalsAndOutages(sc *scenario, r *rand.Rand) {
	sc.cluster.Users.CrossCheckAnswers.Store(true)
	for i := range 3 {
		leader := max(0, sc.leaderIndex())
		sc.net.RefuseRequests(nodeNames[leader], storeAddress, true)
		time.Sleep(milliseconds(200 + r.IntN(4000)))
		sc.cancelJobs(nodeNames[(leader+1)%3], 8*(i+1), 12*time.Second)
		time.Sleep(milliseconds(r.IntN(2000)))
		sc.cluster.Store.SetDown(true)
		time.Sleep(time.Duration(3+r.IntN(45)) * time.Second)
		sc.net.RefuseRequests(nodeNames[leader], storeAddress, false)
		sc.cluster.Store.SetDown(false)
		time.Sleep(10 * time.Second)
	}
}

// leaderCrashAtTeamLimit crashes the leader while the jobs of a team ask for more than the team's limit.
func leaderCrashAtTeamLimit(sc *scenario, r *rand.Rand) {
	time.Sleep(10*time.Second + milliseconds(r.IntN(5000)))
	sc.crashLeader(milliseconds(300 + r.IntN(5000)))
	time.Sleep(10 * time.Second)
}

// lateCommandsOfOldLeaders delivers most direct commands late, possibly after those of a newer leader, to
// machines whose heartbeats reach no node, while leaders crash and jobs are cancelled.
func lateCommandsOfOldLeaders(sc *scenario, r *rand.Rand) {
	sc.net.DelayDirectCommands(0.7)
	for range 4 {
		// A leader uses direct commands to announce its token to machines whose heartbeats reach no controller.
		faultRandomHosts(r, 2, time.Duration(6+r.IntN(10))*time.Second, sc.net.DropRequests)
		sc.suspendWorkers(r, 2)
		time.Sleep(5*time.Second + milliseconds(r.IntN(4000)))
		sc.crashLeader(milliseconds(300 + r.IntN(5000)))
		sc.cancelJobs(nodeNames[r.IntN(3)], 24, 6*time.Second)
		time.Sleep(4 * time.Second)
	}
	time.Sleep(16 * time.Second)
}
