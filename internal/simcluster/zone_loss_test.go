package simcluster_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// An array that must keep to one zone and loses three of its four machines goes on with the one that is left, two tasks
// at a time, while the cloud has no capacity; also under a new leader. When it started whole or not at all, its other
// tasks waited until the cloud had room for all of them at once.
func TestArrayInOneZoneGoesOnWithTheMachineThatIsLeft(t *testing.T) {
	t.Parallel()
	for name, crash := range map[string]bool{"same leader": false, "new leader": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sc := newScenario(t, 1)
				sc.cluster.Cloud.AddMachines("g8", "a", 4)
				sc.cluster.Cloud.SetCapacity(1) // machines beyond are not provisioned
				deadline := time.Now().Add(6 * time.Minute)
				go sc.cluster.WatchInvariants(deadline)
				time.Sleep(3 * time.Second)
				spec := serviceJob("run-000001", "crew", wire.Standard, 8)
				spec.Kind, spec.SingleZone, spec.Cores, spec.Gpus, spec.ExpectedRunS = wire.JobArray, true, 32, 4, 20
				time.AfterFunc(15*time.Second, func() {
					for lost := map[string]bool{}; len(lost) < 3; {
						worker := sc.cluster.Cloud.RandomWorker()
						lost[worker.Host] = true
						worker.Terminate()
					}
					if crash {
						sc.crashLeader(5 * time.Second)
					}
				})
				time.AfterFunc(40*time.Second, sc.cluster.Checker.FaultsOver)
				sc.cluster.Users.Run(spec, 0, deadline)
				var view wire.JobView
				sc.decode(sc.expectStatus(http.StatusOK, "n0", http.MethodGet, "/work/run-000001", ""), &view)
				if view.Status != wire.JobDone {
					t.Errorf("at the end the array is %s with %d tasks done, want it done", view.Status, view.Done)
				}
				time.Sleep(time.Until(deadline))
				sc.expectNoViolations()
				sc.end()
			})
		})
	}
}
