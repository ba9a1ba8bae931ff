// Package admission decides which requests a node answers while it is short of processor time or
// of connections.
package admission

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"lotusstile.dev/lotusstile/internal/timeralign"
)

// LoadMonitor measures how late this node's timers fire, and admits users' requests while that lag
// is below a limit: under load, users are refused first, with a Retry-After. The scheduler sheds load
// by itself: a cycle that overruns its interval starts nothing, and the next ones plan fewer jobs.
// Heartbeats of workers are always answered. LoadMonitor is safe for concurrent use.
type LoadMonitor struct {
	maxLag   time.Duration
	maxUsers int64

	lag         atomic.Int64 // how late timers fire, smoothed, in nanoseconds
	activeUsers atomic.Int64 // users' requests being answered
	overloaded  atomic.Bool
}

// lagSmoothingDivisor gives the weight of a new measurement in the exponential smoothing of the lag:
// a third.
const lagSmoothingDivisor = 3

// NewLoadMonitor returns the monitor of a node that counts as overloaded while the smoothed lag of its
// timers is above maxLag, and that answers at most maxUsers requests of users at a time.
func NewLoadMonitor(maxLag time.Duration, maxUsers int64) *LoadMonitor {
	return &LoadMonitor{maxLag: maxLag, maxUsers: maxUsers}
}

// Run measures the lag once per period until ctx ends.
func (m *LoadMonitor) Run(ctx context.Context, grid timeralign.Grid, period time.Duration) {
	for {
		began := time.Now()
		wait := grid.UntilNext(began, period)
		if !timeralign.Sleep(ctx, wait) {
			return
		}
		m.Record(time.Since(began) - wait)
	}
}

// Record adds one measurement of how late a timer fired. It must not be called concurrently: once Run
// is started, only Run may call it.
func (m *LoadMonitor) Record(lateness time.Duration) {
	lag := time.Duration(m.lag.Load())
	lag += (lateness - lag) / lagSmoothingDivisor
	m.lag.Store(int64(lag))
	if was, is := m.overloaded.Load(), lag > m.maxLag; was != is {
		m.overloaded.Store(is)
		slog.Warn("processor overload changed", "overloaded", is, "lag", lag.String(), "users", m.activeUsers.Load())
	}
}

// Lag returns the smoothed lag, which is how late timers fire.
func (m *LoadMonitor) Lag() time.Duration { return time.Duration(m.lag.Load()) }

// IsOverloaded reports whether the smoothed lag is above the limit.
func (m *LoadMonitor) IsOverloaded() bool { return m.overloaded.Load() }

// AdmitUser admits a user's request and returns true. It returns false while the node is overloaded
// or already answers maxUsers requests. The caller must call ReleaseUser once an admitted request is
// answered.
func (m *LoadMonitor) AdmitUser() bool {
	if m.overloaded.Load() {
		return false
	}
	if m.activeUsers.Add(1) > m.maxUsers {
		m.activeUsers.Add(-1)
		return false
	}
	return true
}

// ReleaseUser ends a request that AdmitUser admitted.
func (m *LoadMonitor) ReleaseUser() { m.activeUsers.Add(-1) }
