// Package admission decides which requests a node takes on while its processor or its
// connections are short.
package admission

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"lotusstile.dev/lotusstile/internal/timeralign"
)

// LoadMonitor watches how late this node's timers fire, and admits users' requests
// while that is little. Heartbeats of workers are always answered; scheduling cycles
// that overrun start nothing and shrink; users are refused first, with the time after which
// to retry.
type LoadMonitor struct {
	maxLag   time.Duration
	maxUsers int64

	lag        atomic.Int64 // nanoseconds by which timers fire late, smoothed
	users      atomic.Int64 // users' requests being answered
	overloaded atomic.Bool
}

// lagSmoothing is over how many measurements the lag is smoothed.
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

// Record takes one measurement of how late a timer fired.
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

// AdmitUser counts a user's request in and returns true, unless the node is overloaded
// or answers as many already as it may. ReleaseUser counts an admitted one out.
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

// ReleaseUser counts an admitted request out.
func (m *LoadMonitor) ReleaseUser() { m.users.Add(-1) }
