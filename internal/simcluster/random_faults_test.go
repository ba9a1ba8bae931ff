package simcluster_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// Faults begin within randomFaultsFor. All faults are ended settleAfterFaults after that.
	randomFaultsFor   = 150 * time.Second
	settleAfterFaults = 40 * time.Second
)

// All rules of the checker hold, and every accepted job is over in time after the last fault, in scenarios with
// crashes, partitions, outages, machines that are terminated, are suspended, fail tasks or get no responses,
// late transactions and late copies of heartbeats.
func TestRulesHoldWhateverFails(t *testing.T) {
	t.Parallel()
	scenarios := 12
	if n, err := strconv.Atoi(os.Getenv("DAYS")); err == nil {
		scenarios = n // for longer searches
	}
	runRandomFaultScenarios(t, 0, uint64(scenarios), func(*scenario, uint64) {})
}

// runRandomFaultScenarios runs scenarios with random faults in parallel. prepare may change each of them,
// depending on its number.
func runRandomFaultScenarios(t *testing.T, firstSeed, scenarios uint64, prepare func(sc *scenario, number uint64)) {
	t.Helper()
	for number := range scenarios {
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			t.Parallel()
			faults := int(3 + number%12)
			violations, started := runRandomFaults(t, firstSeed+number, faults, func(sc *scenario) { prepare(sc, number) })
			if started == 0 {
				t.Error("got no task starts, want some")
			}
			expectNoViolations(t, violations)
		})
	}
}

// runRandomFaults runs a scenario with random faults and returns the violations and how many tasks started.
func runRandomFaults(t *testing.T, seed uint64, faults int, prepare func(sc *scenario)) (violations []string, started int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, seed, prepare)
		r := rand.New(rand.NewPCG(seed, 2))
		sc.cluster.Cloud.AddMachines("g8", "a", 2)
		sc.cluster.Cloud.AddMachines("g8", "b", 2)
		time.Sleep(3 * time.Second)
		deadline := time.Now().Add(randomFaultsFor + 240*time.Second)
		var users sync.WaitGroup
		for i := range 24 {
			spec, cancelAfter := randomJob(i, r)
			submitAfter := time.Duration(r.IntN(120)) * time.Second
			users.Go(func() {
				time.Sleep(submitAfter)
				sc.cluster.Users.Run(spec, cancelAfter, deadline)
			})
		}
		go sc.cluster.WatchInvariants(deadline)
		sc.scheduleRandomFaults(r, faults)
		time.Sleep(randomFaultsFor + settleAfterFaults)
		sc.endFaults()
		users.Wait()
		time.Sleep(time.Until(deadline))
		if keys := sc.cluster.Store.Keys("j/"); len(keys) > 0 {
			t.Logf("seed %d: jobs that are not archived: %v", seed, keys)
		}
		violations, started = sc.cluster.Checker.Violations(), sc.cluster.Checker.StartCount()
		sc.end()
	})
	return violations, started
}

// scheduleRandomFaults schedules random faults at random times.
func (sc *scenario) scheduleRandomFaults(r *rand.Rand, faults int) {
	for range faults {
		after := time.Duration(5+r.IntN(140)) * time.Second
		faultRand := rand.New(rand.NewPCG(r.Uint64(), 3))
		time.AfterFunc(after, func() { sc.injectRandomFault(faultRand) })
	}
}

// endFaults ends all faults and restarts the controllers that do not run.
func (sc *scenario) endFaults() {
	sc.t.Helper()
	sc.net.Heal()
	sc.cluster.Store.SetDown(false)
	sc.startAllNodes()
}

// randomFault is one random fault: the controllers that it may affect and how long it lasts.
type randomFault struct {
	sc       *scenario
	r        *rand.Rand
	node     int
	other    int // the second controller; may be the same as node
	duration time.Duration
}

// randomFaultKinds are the faults that injectRandomFault chooses from. A seed gives the same faults only as
// long as their order stays.
var randomFaultKinds = []func(f *randomFault){
	(*randomFault).crashNode,
	(*randomFault).crashAllNodes,
	(*randomFault).partitionFromStore,
	(*randomFault).refuseAtStore,
	(*randomFault).partitionFromWorkers,
	(*randomFault).isolateNode,
	(*randomFault).storeOutage,
	(*randomFault).killWorker,
	(*randomFault).suspendWorker,
	(*randomFault).failTasksOfWorker,
	(*randomFault).dropResponsesToWorker,
	(*randomFault).partitionWorker,
	(*randomFault).partitionFromStoreAndPeers,
	(*randomFault).partitionZone,
	(*randomFault).partitionZone, // twice as often
}

// injectRandomFault begins a random fault, and ends it later.
func (sc *scenario) injectRandomFault(r *rand.Rand) {
	f := &randomFault{sc: sc, r: r, node: r.IntN(3), other: r.IntN(3)}
	f.duration = time.Duration(1+r.IntN(35)) * time.Second
	randomFaultKinds[r.IntN(len(randomFaultKinds))](f)
}

// holdForDuration begins a fault at once, and ends it after its duration.
func (f *randomFault) holdForDuration(set func(on bool)) {
	duration := f.duration
	go func() {
		set(true)
		time.Sleep(duration)
		set(false)
	}()
}

func (f *randomFault) crashNode() {
	f.sc.crashNode(f.node)
	time.AfterFunc(time.Duration(200+f.r.IntN(6000))*time.Millisecond, func() { f.sc.startNode(f.node) })
}

func (f *randomFault) crashAllNodes() {
	for i := range nodeNames {
		f.sc.crashNode(i)
		time.AfterFunc(time.Duration(500+f.r.IntN(6000))*time.Millisecond, func() { f.sc.startNode(i) })
	}
}

func (f *randomFault) partitionFromStore() {
	f.holdForDuration(func(on bool) { f.sc.net.Partition(nodeNames[f.node], storeAddress, on) })
}

func (f *randomFault) refuseAtStore() {
	f.holdForDuration(func(on bool) { f.sc.net.RefuseRequests(nodeNames[f.node], storeAddress, on) })
}

func (f *randomFault) partitionFromWorkers() {
	f.holdForDuration(func(on bool) {
		for k := range maxHosts {
			f.sc.net.Partition(nodeNames[f.node], hostName(k), on)
		}
	})
}

// isolateNode partitions a controller from the state store, the cloud and its peers.
func (f *randomFault) isolateNode() {
	f.holdForDuration(func(on bool) {
		f.sc.net.Partition(nodeNames[f.node], storeAddress, on)
		f.sc.net.Partition(nodeNames[f.node], cloudAddress, on)
		for j, name := range nodeNames {
			if j != f.node {
				f.sc.net.Partition(nodeNames[f.node], name, on)
			}
		}
		f.sc.partitionFromPeers(f.node, on)
	})
}

func (f *randomFault) storeOutage() { f.holdForDuration(f.sc.cluster.Store.SetDown) }

func (f *randomFault) killWorker() {
	if worker := f.sc.cluster.Cloud.RandomWorker(); worker != nil {
		worker.Terminate()
	}
}

func (f *randomFault) suspendWorker() {
	if worker := f.sc.cluster.Cloud.RandomWorker(); worker != nil {
		worker.Suspend(f.duration)
	}
}

func (f *randomFault) failTasksOfWorker() {
	if worker := f.sc.cluster.Cloud.RandomWorker(); worker != nil {
		worker.FailTasks(f.duration)
	}
}

// dropResponsesToWorker drops the responses to a worker's heartbeats.
func (f *randomFault) dropResponsesToWorker() {
	if worker := f.sc.cluster.Cloud.RandomWorker(); worker != nil {
		f.holdForDuration(func(on bool) {
			for _, name := range nodeNames {
				f.sc.net.DropResponses(worker.Host, name, on)
			}
		})
	}
}

func (f *randomFault) partitionWorker() {
	if worker := f.sc.cluster.Cloud.RandomWorker(); worker != nil {
		f.holdForDuration(func(on bool) {
			for _, name := range nodeNames {
				f.sc.net.Partition(worker.Host, name, on)
			}
		})
	}
}

// partitionFromStoreAndPeers partitions a controller from the state store and from two controllers, one of which
// may be itself.
func (f *randomFault) partitionFromStoreAndPeers() {
	f.holdForDuration(func(on bool) {
		address := peerAddress(nodeNames[f.node])
		f.sc.net.Partition(nodeNames[f.node], storeAddress, on)
		f.sc.net.Partition(address, peerAddress(nodeNames[f.other]), on)
		f.sc.net.Partition(address, peerAddress(nodeNames[(f.other+1)%len(nodeNames)]), on)
	})
}

// partitionZone partitions zone a with one controller from the rest, and in half of the cases the controller
// from the state store too.
func (f *randomFault) partitionZone() {
	f.duration += time.Duration(f.r.IntN(60)) * time.Second
	withoutStore := f.r.IntN(2) == 0
	f.holdForDuration(func(on bool) {
		f.sc.net.Partition(nodeNames[f.node], storeAddress, on && withoutStore)
		f.sc.partitionFromPeers(f.node, on)
		f.sc.partitionZoneA(f.node, maxHosts, on)
	})
}
