package config

import (
	"errors"
	"fmt"
	"math"
	"net"
)

const (
	// minChangesPerCommit is the lowest txn_ops: a commit of the placement writer has up to four
	// changes.
	minChangesPerCommit = 4
	// minNextWritesPerSecond is the lowest announced write_rps.
	minNextWritesPerSecond = 1
	// minNextValueKiB is the lowest announced value_kb: 1 KiB holds a job's record with names of usual
	// length.
	minNextValueKiB = 1
	// minConnections is the lowest max_connections.
	minConnections = 8
	// minHeartbeatsPerLease is the lowest number of heartbeat intervals in a worker's lease.
	minHeartbeatsPerLease = 2
	// The lowest MaxCancellationAge is a worker lease divided by minCancellationAgeDivisor. In normal
	// operation, a node's data on cancellations is up to a tenth of a lease old. With a limit below
	// twice that, a single late answer of the state store would stop the renewal of leases.
	minCancellationAgeDivisor = 5
)

// validator collects an error for each invalid setting.
type validator struct{ errs []error }

// rejectIf adds an error if invalid is true.
func (v *validator) rejectIf(invalid bool, format string, args ...any) {
	if invalid {
		v.errs = append(v.errs, fmt.Errorf(format, args...))
	}
}

// requireHostPort checks that a setting is host:port.
func (v *validator) requireHostPort(name, value string) {
	_, _, err := net.SplitHostPort(value)
	v.rejectIf(err != nil, "%s %q is not host:port", name, value)
}

// requirePositive checks that a setting is a finite number above 0.
func (v *validator) requirePositive(name string, value float64) {
	v.rejectIf(!(value > 0) || math.IsInf(value, 0), "%s must be a number above 0", name)
}

// validate joins one error for each invalid setting. The errors name settings as the file does.
func (c *Config) validate() error {
	v := &validator{}
	v.checkControllers(c)
	v.checkTeams(c.Cluster.Teams)
	workers := &c.Cluster.Workers
	v.requirePositive("cluster.workers.report_s", workers.ReportS)
	v.requirePositive("cluster.workers.lease_s", workers.LeaseS)
	v.requirePositive("cluster.workers.cancel_s", workers.CancelS)
	v.checkStateLimits(&c.Cluster.State)
	v.requirePositive("cluster.cloud.rps", c.Cluster.Cloud.Rps)
	limits := &c.Cluster.Limits
	v.requirePositive("cluster.machine_limits.cores", limits.Cores)
	v.requirePositive("cluster.machine_limits.mem_mb", limits.MemMb)
	v.rejectIf(limits.MaxConnections < minConnections, "cluster.machine_limits.max_connections must be at least %d", minConnections)
	v.rejectIf(workers.ReportS > 0 && workers.LeaseS < minHeartbeatsPerLease*workers.ReportS,
		"cluster.workers.lease_s must be at least twice report_s")
	v.rejectIf(workers.CancelS > 0 && c.MaxCancellationAge() < c.WorkerLease()/minCancellationAgeDivisor,
		"cluster.workers.cancel_s must be at least 1.3 times lease_s: "+
			"a cancelled task behind a network partition ends only when its worker's lease expires")
	return errors.Join(v.errs...)
}

// checkControllers checks the addresses and the labels of the controllers.
func (v *validator) checkControllers(c *Config) {
	v.rejectIf(c.Label == "", "label is missing")
	v.requireHostPort("listen", c.Listen)
	v.requireHostPort("mesh_addr", c.PeerAddr)
	v.requireHostPort("services.cloud", c.Services.Cloud)
	v.requireHostPort("services.state", c.Services.State)
	seen := map[string]bool{c.Label: true}
	for i, member := range c.Members {
		v.rejectIf(member.Label == "", "members[%d].label is missing", i)
		v.rejectIf(seen[member.Label], "members[%d].label %q is not unique", i, member.Label)
		seen[member.Label] = true
		v.requireHostPort(fmt.Sprintf("members[%d].endpoint", i), member.Endpoint)
	}
}

// checkTeams checks that there are teams, that each has a name and that no amount is negative.
func (v *validator) checkTeams(teams []Team) {
	v.rejectIf(len(teams) == 0, "cluster.teams is empty")
	for i, team := range teams {
		v.rejectIf(team.Name == "", "cluster.teams[%d].name is missing", i)
		for _, amount := range [...]float64{team.Cpus, team.CpusMax, team.Gpus, team.GpusMax} {
			v.rejectIf(!(amount >= 0), "cluster.teams[%d] has a negative amount", i)
		}
	}
}

// checkStateLimits checks the limits of the state store, those in force and those announced.
func (v *validator) checkStateLimits(limits *StateLimits) {
	v.requirePositive("cluster.state.rps", limits.Rps)
	v.requirePositive("cluster.state.write_rps", limits.WriteRps)
	v.requirePositive("cluster.state.value_kb", limits.ValueKb)
	v.rejectIf(limits.TxnOps < minChangesPerCommit, "cluster.state.txn_ops must be at least %d", minChangesPerCommit)
	next := limits.Next
	if next == nil {
		return
	}
	v.rejectIf(next.WriteRps != nil && !(*next.WriteRps >= minNextWritesPerSecond),
		"cluster.state.next.write_rps must be at least %d", minNextWritesPerSecond)
	v.rejectIf(next.ValueKb != nil && !(*next.ValueKb >= minNextValueKiB),
		"cluster.state.next.value_kb must be at least %d", minNextValueKiB)
	v.rejectIf(next.TxnOps != nil && *next.TxnOps < minChangesPerCommit,
		"cluster.state.next.txn_ops must be at least %d", minChangesPerCommit)
}
