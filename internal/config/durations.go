package config

import (
	"time"

	"lotusstile.dev/lotusstile/internal/timeralign"
)

const (
	// The leader's lease is the workers' lease divided by leaderLeaseDivisor: see LeaderLeaseTTL.
	leaderLeaseDivisor = 5
	// gridUnitsPerHeartbeat is how many units of the timer grid a heartbeat interval has. With 12,
	// halves, thirds and quarters of the interval are multiples of the unit.
	gridUnitsPerHeartbeat = 12
	// The margin of MaxCancellationAge is the workers' lease divided by cancelMarginDivisor.
	cancelMarginDivisor = 10
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// WorkerLease returns how long a worker keeps its tasks without an answered heartbeat (lease_s).
func (c *Config) WorkerLease() time.Duration { return seconds(c.Cluster.Workers.LeaseS) }

// HeartbeatInterval returns the interval of workers' heartbeats (report_s).
func (c *Config) HeartbeatInterval() time.Duration { return seconds(c.Cluster.Workers.ReportS) }

// CancelTimeout returns within what time the tasks of a cancelled job must have ended (cancel_s). A worker that no
// controller has answered for as long has ended all its tasks.
func (c *Config) CancelTimeout() time.Duration { return seconds(c.Cluster.Workers.CancelS) }

// CloudListLag returns the usual age of the cloud's machine list (list_lag_s).
func (c *Config) CloudListLag() time.Duration { return seconds(c.Cluster.Cloud.ListLagS) }

// LeaderLeaseTTL returns the time to live of the leader's lease in the state store: a fifth of the
// workers' lease, so that a new leader has most of that lease left to reach the workers.
func (c *Config) LeaderLeaseTTL() time.Duration { return c.WorkerLease() / leaderLeaseDivisor }

// TimerGrid returns the grid that the timers of the process's periodic work are aligned to.
func (c *Config) TimerGrid() timeralign.Grid {
	return timeralign.Grid{Unit: c.HeartbeatInterval() / gridUnitsPerHeartbeat}
}

// MaxCancellationAge returns how old a node's data on cancellations may be while it renews worker
// leases: cancel_s, less a worker lease and a margin of a tenth of a lease. Suppose that a task is
// cancelled right after the node read that data. The task ends when its worker's lease expires. The
// lease runs from when the worker sent its heartbeat, so it expires within cancel_s less the margin,
// counted from that read. docs/safety.md says what the margin is for.
func (c *Config) MaxCancellationAge() time.Duration {
	return c.CancelTimeout() - c.WorkerLease() - c.WorkerLease()/cancelMarginDivisor
}
