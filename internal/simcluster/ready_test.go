package simcluster_test

import (
	"testing"
	"time"
)

// A node leaves the balancer when it is cut off while others serve, also if it cannot ask
// them. In an outage that all share, none leaves.
func TestOnlyNodesThatAreCutOffLeaveTheBalancer(t *testing.T) {
	t.Parallel()
	inDay(t, func(d *day) {
		ready := func(want ...int) {
			t.Helper()
			for i, status := range want {
				d.expect(status, labels[i], "GET", "/ready", "")
			}
		}
		ready(200, 200, 200)
		cut := func(on bool) {
			d.net.Cut("n0", "state:1", on)
			for _, l := range labels[1:] {
				d.net.Cut("n0:81", l+":81", on)
			}
		}
		cut(true)
		time.Sleep(6 * time.Second)
		ready(503, 200, 200)
		cut(false)
		time.Sleep(6 * time.Second)
		ready(200, 200, 200)
		d.w.State.SetDown(true)
		time.Sleep(10 * time.Second)
		ready(200, 200, 200)
		d.w.State.SetDown(false)
	})
}
