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

// announcedLimits returns the settings that announce lowerLimits.
func announcedLimits() *config.NextStateLimits {
	kb, rps := float64(lowerLimits.ValueBytes)/1024, lowerLimits.WriteRps
	return &config.NextStateLimits{ValueKb: &kb, TxnOps: &lowerLimits.TxnOps, WriteRps: &rps}
}

// beforeUpgrade makes all nodes run the older release and announces the lower limits in their settings.
func beforeUpgrade(sc *scenario) {
	sc.olderRelease, sc.nextLimits = [3]bool{true, true, true}, announcedLimits()
}

// Once all nodes run the new release, no write exceeds the limits that the state store has or that the settings
// announce.
func TestCommitsKeepWithinLowerLimitsAfterUpgrade(t *testing.T) {
	t.Parallel()
	if rejectedKeys := runUpgradeWithLowerLimits(t, 60*time.Second); len(rejectedKeys) > 0 {
		t.Errorf("got commits over the lower limits with the keys %v, want none", rejectedKeys)
	}
}

// Limits that take effect before the upgrade is complete delay only jobs whose placements do not fit, and
// only until it is complete.
func TestLowerLimitsBeforeUpgradeDelayOnlyOversizedPlacements(t *testing.T) {
	t.Parallel()
	if rejectedKeys := runUpgradeWithLowerLimits(t, 20*time.Second); len(rejectedKeys) > 0 {
		t.Errorf("got commits over the lower limits with the keys %v, want none", rejectedKeys)
	}
}

// runUpgradeWithLowerLimits upgrades all nodes while arrays run whose placements are larger than the lower limits
// allow. The lower limits take effect limitsAfter the submission of these arrays. It returns the keys of commits
// that were over the limits once all nodes ran the new release.
func runUpgradeWithLowerLimits(t *testing.T, limitsAfter time.Duration) (rejectedKeys []string) {
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
				sc.expectOlderRecordFormat()
			}
			sc.upgradeNode(i, 3*time.Second)
		}
		time.Sleep(9 * time.Second)
		rejectedBefore := len(sc.cluster.Store.RejectedKeys())
		if took := sc.timeToFinalStatus(stageJob(10, 3)); took > smallJobLimit {
			t.Errorf("got %v for a small job, want at most %v", took, smallJobLimit)
		}
		array := stageJob(11, 200)
		array.Cores, array.ExpectedRunS = 0.3, 20
		sc.cluster.Users.Run(array, 0, deadline)
		time.Sleep(time.Until(deadline))
		sc.expectNoViolations()
		rejectedKeys = sc.cluster.Store.RejectedKeys()[rejectedBefore:]
		sc.end()
	})
	return rejectedKeys
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
			t.Errorf("got %v for another job, want at most %v", took, smallJobLimit)
		}
		rejected := len(sc.cluster.Store.RejectedKeys())
		time.Sleep(30 * time.Second)
		if rejectedLater := len(sc.cluster.Store.RejectedKeys()) - rejected; rejected == 0 || rejectedLater > 10 {
			t.Errorf("got %d rejected keys and %d more in 30 s, want some, then at most 10", rejected, rejectedLater)
		}
		sc.cluster.Store.SetLimits(fakestore.Limits{})
		time.Sleep(60 * time.Second)
		sc.expectDone("n0", array.UID)
	})
}

// expectOlderRecordFormat expects that every placement record has the format that the older release can read.
func (sc *scenario) expectOlderRecordFormat() {
	sc.t.Helper()
	for _, key := range sc.cluster.Store.Keys(records.PlacementPrefix) {
		if item, ok := sc.cluster.Store.Get(key); ok && strings.Contains(string(item.Value), `"B":`) {
			sc.t.Errorf("got record %s that the older release cannot read: %.80s", key, item.Value)
		}
	}
}

// smallJobLimit is the longest time to the end of a small job that nothing delays: its machine fetches the image,
// and the job runs for a few seconds.
const smallJobLimit = 20 * time.Second

// timeToFinalStatus submits a job and returns how long it takes until its user receives a final status.
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
