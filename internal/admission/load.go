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
// is below a limit. Under load, users are refused first, with a time to retry after; scheduling
// cycles that overrun start nothing and shrink; heartbeats of workers are always answered. It is
// safe for concurrent use.
type LoadMonitor struct {
	maxLag   time.Duration
	maxUsers int64

	lag        atomic.Int64 // nanoseconds by which timers fire late, smoothed
	users      atomic.Int64 // users' requests being answered
	overloaded atomic.Bool
}

// lagSmoothing is the divisor of the exponential smoothing of the lag: a new measurement counts for
// a third.
const lagSmoothing = 3

// NewLoadMonitor returns a monitor of a node that is overloaded while its timers fire
// later than maxLag, and that answers at most maxUsers requests of users at a time.
func NewLoadMonitor(maxLag time.Duration, maxUsers int64) *LoadMonitor {
	return &LoadMonitor{maxLag: maxLag, maxUsers: maxUsers}
}

// Run measures the lag once a period until ctx ends.
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

// Record adds one measurement of how late a timer fired. It must be called by one goroutine at a
// time, which is Run once that is started.
func (m *LoadMonitor) Record(late time.Duration) {
	lag := time.Duration(m.lag.Load())
	lag += (late - lag) / lagSmoothing
	m.lag.Store(int64(lag))
	if was, is := m.overloaded.Load(), lag > m.maxLag; was != is {
		m.overloaded.Store(is)
		slog.Warn("processor overload changed", "overloaded", is, "lag", lag.String(), "users", m.users.Load())
	}
}

// Lag is how late timers fire, smoothed.
func (m *LoadMonitor) Lag() time.Duration { return time.Duration(m.lag.Load()) }

// IsOverloaded reports whether timers fire later than the limit.
func (m *LoadMonitor) IsOverloaded() bool { return m.overloaded.Load() }

// AdmitUser admits a user's request and returns true, unless the node is overloaded or already
// answers as many as it may. The caller must call ReleaseUser once an admitted request is answered.
func (m *LoadMonitor) AdmitUser() bool {
	if m.overloaded.Load() {
		return false
	}
	if m.users.Add(1) > m.maxUsers {
		m.users.Add(-1)
		return false
	}
	return true
}

// ReleaseUser ends a request that AdmitUser admitted.
func (m *LoadMonitor) ReleaseUser() { m.users.Add(-1) }
