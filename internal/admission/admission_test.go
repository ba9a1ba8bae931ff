package admission

import (
	"testing"
	"time"
)

// A node is overloaded while its smoothed lag is over the limit, and admits no user then.
func TestOverloadFollowsTheSmoothedLag(t *testing.T) {
	m := NewLoadMonitor(time.Second, 1)
	for i, step := range []struct {
		late       time.Duration
		overloaded bool
	}{
		{0, false},
		{2 * time.Second, false}, // 0.67 s, smoothed
		{3 * time.Second, true},  // 1.44 s
		{0, false},               // 0.96 s
	} {
		m.Record(step.late)
		if m.IsOverloaded() != step.overloaded {
			t.Errorf("step %d: overloaded is %v with a lag of %s", i, m.IsOverloaded(), m.Lag())
		}
		admitted := m.AdmitUser()
		if admitted {
			m.ReleaseUser()
		}
		if admitted == step.overloaded {
			t.Errorf("step %d: a user is admitted: %v", i, admitted)
		}
	}
}

// Requests over a limit are refused until one that was admitted ends.
func TestRequestsOverTheLimitAreRefused(t *testing.T) {
	m, reserve := NewLoadMonitor(time.Second, 2), NewConnections(64, time.Second).WorkerReserve.Limit()
	connections := NewConnections(64, time.Second)
	for _, tc := range []struct {
		name    string
		limit   int
		acquire func() bool
		release func()
	}{
		{"users", 2, m.AdmitUser, m.ReleaseUser},
		{"workers on the reserve", reserve, connections.WorkerReserve.Acquire, connections.WorkerReserve.Release},
	} {
		for range tc.limit {
			if !tc.acquire() {
				t.Errorf("%s: refused below the limit of %d", tc.name, tc.limit)
			}
		}
		for range 2 {
			if tc.acquire() {
				t.Errorf("%s: admitted over the limit of %d", tc.name, tc.limit)
			}
		}
		tc.release()
		if !tc.acquire() {
			t.Errorf("%s: refused although one has ended", tc.name)
		}
	}
}

// The shares of a node's connections: some are left for what it connects to itself, and the
// reserve has room for operators beside workers and users.
func TestConnectionsAreShared(t *testing.T) {
	c := NewConnections(64, time.Second)
	limits := c.Limits()
	if limits.MaxOpen != 48 || limits.Reserve != 4 {
		t.Errorf("%d open connections and %d of the reserve", limits.MaxOpen, limits.Reserve)
	}
	if c.WorkerReserve.Limit() != 2 || c.UserReserve.Limit() != 1 {
		t.Errorf("the reserve is shared by %d workers and %d users", c.WorkerReserve.Limit(), c.UserReserve.Limit())
	}
	if c.Open() != 0 || c.Reserved() != 0 || c.Evicted() != 0 {
		t.Error("connections are counted before the node listens")
	}
}
