package simcluster_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/simcluster/fakestore"
	"lotusstile.dev/lotusstile/wire"
)

// lowerLimits are the limits that the state store changes to in these tests.
var lowerLimits = fakestore.Limits{ValueBytes: 2 << 10, TxnOps: 6, WriteRps: 70}

// announcedLimits announces lowerLimits in the settings.
func announcedLimits() *config.NextStateLimits {
	kb, rps := float64(lowerLimits.ValueBytes)/1024, lowerLimits.WriteRps
	return &config.NextStateLimits{ValueKb: &kb, TxnOps: &lowerLimits.TxnOps, WriteRps: &rps}
}

// beforeUpgrade makes all nodes of the older release and announces the lower limits to them.
func beforeUpgrade(sc *scenario) {
	sc.olderRelease, sc.nextLimits = [3]bool{true, true, true}, announcedLimits()
}

// Once all nodes are of the new release, no write is over the limits that the state store has or that are
// announced.
func TestCommitsKeepWithinLowerLimitsAfterUpgrade(t *testing.T) {
	t.Parallel()
	if rejected := playUpgradeWithLowerLimits(t, 60*time.Second); len(rejected) > 0 {
		t.Errorf("over the lower limits: %v", rejected)
	}
}

// Limits that take effect before the upgrade is complete delay only jobs whose placements do not fit, and
// only until it is complete.
func TestLowerLimitsBeforeUpgradeDelayOnlyOversizedPlacements(t *testing.T) {
	t.Parallel()
	if rejected := playUpgradeWithLowerLimits(t, 20*time.Second); len(rejected) > 0 {
		t.Errorf("over the lower limits: %v", rejected)
	}
}

// playUpgradeWithLowerLimits plays an upgrade with arrays whose placements are larger than the lower
// limits allow, before and after which the limits come. It returns the keys of commits
// that were over the limits once all nodes were new.
func playUpgradeWithLowerLimits(t *testing.T, limitsAfter time.Duration) (rejected []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, 1, beforeUpgrade)
		sc.cluster.Cloud.AddMachines("g8", "a", 3)
		time.Sleep(5 * time.Second)
		deadline := time.Now().Add(4 * time.Minute)
		go sc.cluster.WatchInvariants(deadline)
		for i := range 3 {
			array := stageJob(i, 100)
			array.Cores, array.ExpectedRunS = 0.3, 90
			go sc.cluster.Users.Run(array, 0, deadline)
		}
		time.AfterFunc(limitsAfter, func() { sc.cluster.Store.SetLimits(lowerLimits) })
		time.Sleep(15 * time.Second)
		for i := range nodeNames {
			for range 18 {
				time.Sleep(500 * time.Millisecond)
				sc.expectPlainRecords()
			}
			sc.upgradeNode(i, 3*time.Second)
		}
		time.Sleep(9 * time.Second)
		before := len(sc.cluster.Store.RejectedKeys())
		if took := sc.timeToFinalStatus(stageJob(10, 3)); took > smallJobLimit {
			t.Errorf("a small job took %v", took)
		}
		array := stageJob(11, 200)
		array.Cores, array.ExpectedRunS = 0.3, 20
		sc.cluster.Users.Run(array, 0, deadline)
		time.Sleep(time.Until(deadline))
		sc.expectNoViolations()
		rejected = sc.cluster.Store.RejectedKeys()[before:]
		sc.end()
	})
	return rejected
}

// A record that the state store rejects although it is within the known limits delays no other job.
func TestRejectedRecordDelaysNoOtherJob(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		sc.cluster.Store.SetLimits(fakestore.Limits{ValueBytes: 700}) // lower than the limits that the nodes know
		array := stageJob(1, 80)
		array.Cores = 0.3
		go sc.cluster.Users.Run(array, 0, time.Now().Add(10*time.Minute))
		time.Sleep(5 * time.Second)
		if took := sc.timeToFinalStatus(stageJob(2, 3)); took > smallJobLimit {
			t.Errorf("another job took %v", took)
		}
		rejected := len(sc.cluster.Store.RejectedKeys())
		time.Sleep(30 * time.Second)
		if again := len(sc.cluster.Store.RejectedKeys()) - rejected; rejected == 0 || again > 10 {
			t.Errorf("%d changes are rejected, and %d more in half a minute", rejected, again)
		}
		sc.cluster.Store.SetLimits(fakestore.Limits{})
		time.Sleep(60 * time.Second)
		sc.expectDone("n0", array.UID)
	})
}

// expectPlainRecords expects that every placement record has the form that the older release reads.
func (sc *scenario) expectPlainRecords() {
	sc.t.Helper()
	for _, key := range sc.cluster.Store.Keys(records.PlacementPrefix) {
		if item, ok := sc.cluster.Store.Get(key); ok && strings.Contains(string(item.Value), `"B":`) {
			sc.t.Errorf("%s cannot be read by the release before: %.80s", key, item.Value)
		}
	}
}

// smallJobLimit bounds the time to the end of a small job that nothing delays: it fetches its image and
// runs for a few seconds.
const smallJobLimit = 20 * time.Second

// timeToFinalStatus submits a job and returns how long it takes until its user is answered a final status.
func (sc *scenario) timeToFinalStatus(spec wire.JobSpec) time.Duration {
	began := time.Now()
	deadline := began.Add(time.Minute)
	if sc.cluster.Users.SubmitUntil(spec, deadline) {
		for sc.cluster.Checker.FinalStatus(spec.UID) == "" && time.Now().Before(deadline) {
			time.Sleep(200 * time.Millisecond)
			sc.cluster.Users.Poll(nodeNames[0], spec.UID)
		}
	}
	return time.Since(began)
}
