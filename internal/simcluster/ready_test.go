package simcluster_test

import (
	"testing"
	"time"
)

// A node leaves the balancer when it is cut off while others serve, also if it cannot ask
// them. In an outage that all share, none leaves.
func TestOnlyPartitionedNodesAreNotReady(t *testing.T) {
	t.Parallel()
	runScenario(t, func(sc *scenario) {
		ready := func(want ...int) {
			t.Helper()
			for i, status := range want {
				sc.expectStatus(status, nodeNames[i], "GET", "/ready", "")
			}
		}
		ready(200, 200, 200)
		cut := func(on bool) {
			sc.net.Partition("n0", "state:1", on)
			for _, l := range nodeNames[1:] {
				sc.net.Partition("n0:81", l+":81", on)
			}
		}
		cut(true)
		time.Sleep(6 * time.Second)
		ready(503, 200, 200)
		cut(false)
		time.Sleep(6 * time.Second)
		ready(200, 200, 200)
		sc.cluster.Store.SetDown(true)
		time.Sleep(10 * time.Second)
		ready(200, 200, 200)
		sc.cluster.Store.SetDown(false)
	})
}
