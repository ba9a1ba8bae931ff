package admission

import (
	"testing"
	"time"
)

// A node is overloaded while its smoothed lag is above the limit, and then admits no user's request.
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
			t.Errorf("step %d: got overloaded %v with a lag of %s, want %v", i, m.IsOverloaded(), m.Lag(), step.overloaded)
		}
		admitted := m.AdmitUser()
		if admitted {
			m.ReleaseUser()
		}
		if admitted == step.overloaded {
			t.Errorf("step %d: got a user admitted: %v, want %v", i, admitted, !step.overloaded)
		}
	}
}

// Requests over a limit are refused until an admitted one ends.
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
				t.Errorf("%s: refused below the limit of %d, want admitted", tc.name, tc.limit)
			}
		}
		for range 2 {
			if tc.acquire() {
				t.Errorf("%s: admitted over the limit of %d, want refused", tc.name, tc.limit)
			}
		}
		tc.release()
		if !tc.acquire() {
			t.Errorf("%s: refused after an admitted request ended, want admitted", tc.name)
		}
	}
}

// A node's connections are divided into shares: some are left for the connections that the node
// itself opens, and the reserve has connections for operators besides those for workers and users.
func TestConnectionsAreShared(t *testing.T) {
	c := NewConnections(64, time.Second)
	limits := c.Limits()
	if limits.MaxOpen != 48 || limits.Reserve != 4 {
		t.Errorf("got %d open connections and %d of the reserve, want 48 and 4", limits.MaxOpen, limits.Reserve)
	}
	if c.WorkerReserve.Limit() != 2 || c.UserReserve.Limit() != 1 {
		t.Errorf("got %d slots for workers and %d for users, want 2 and 1", c.WorkerReserve.Limit(), c.UserReserve.Limit())
	}
	if c.Open() != 0 || c.Reserved() != 0 || c.Evicted() != 0 {
		t.Errorf("before the node listens, got %d open, %d reserved, %d evicted; want 0", c.Open(), c.Reserved(), c.Evicted())
	}
}
