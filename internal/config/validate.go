package config

import (
	"errors"
	"fmt"
	"math"
	"net"
)

const (
	// minChangesPerCommit is the least that the service can work with: a commit of the placement
	// writer has up to four changes.
	minChangesPerCommit = 4
	// minNextWritesPerSecond is the lowest announced write limit.
	minNextWritesPerSecond = 1
	// minNextValueKiB is the lowest announced value size: a kibibyte holds a job's record with names
	// of usual length.
	minNextValueKiB = 1
	// minConnections is the lowest limit of open connections.
	minConnections = 8
	// minHeartbeatsPerLease is how many heartbeat intervals a worker's lease has at least.
	minHeartbeatsPerLease = 2
	// minCancellationAgeDivisor of a lease gives the lowest MaxCancellationAge. A node's knowledge of
	// cancellations is up to a tenth of a lease old when all is well; below twice that, leases would
	// end at the first late answer of the state store.
	minCancellationAgeDivisor = 5
)

// validator collects the faults of settings.
type validator struct{ faults []error }

// fault adds a fault if bad is true.
func (v *validator) fault(bad bool, format string, args ...any) {
	if bad {
		v.faults = append(v.faults, fmt.Errorf(format, args...))
	}
}

// address checks that a setting is host:port.
func (v *validator) address(name, value string) {
	_, _, err := net.SplitHostPort(value)
	v.fault(err != nil, "%s %q is not host:port", name, value)
}

// positive checks that a setting is a finite number above 0.
func (v *validator) positive(name string, value float64) {
	v.fault(!(value > 0) || math.IsInf(value, 0), "%s must be a number above 0", name)
}

// validate returns one joined error per fault, under the names of the settings file.
func (c *Config) validate() error {
	v := &validator{}
	v.identity(c)
	v.teams(c.Cluster.Teams)
	workers := &c.Cluster.Workers
	v.positive("cluster.workers.report_s", workers.ReportS)
	v.positive("cluster.workers.lease_s", workers.LeaseS)
	v.positive("cluster.workers.cancel_s", workers.CancelS)
	v.stateLimits(&c.Cluster.State)
	v.positive("cluster.cloud.rps", c.Cluster.Cloud.Rps)
	limits := &c.Cluster.Limits
	v.positive("cluster.machine_limits.cores", limits.Cores)
	v.positive("cluster.machine_limits.mem_mb", limits.MemMb)
	v.fault(limits.MaxConnections < minConnections, "cluster.machine_limits.max_connections must be at least %d", minConnections)
	v.fault(workers.ReportS > 0 && workers.LeaseS < minHeartbeatsPerLease*workers.ReportS,
		"cluster.workers.lease_s must be at least twice report_s")
	v.fault(workers.CancelS > 0 && c.MaxCancellationAge() < c.WorkerLease()/minCancellationAgeDivisor,
		"cluster.workers.cancel_s must be at least 1.3 times lease_s: "+
			"cancelled tasks behind a network partition are gone only when their lease has ended")
	return errors.Join(v.faults...)
}

// identity checks the addresses and the labels of the controllers.
func (v *validator) identity(c *Config) {
	v.fault(c.Label == "", "label is missing")
	v.address("listen", c.Listen)
	v.address("mesh_addr", c.PeerAddr)
	v.address("services.cloud", c.Services.Cloud)
	v.address("services.state", c.Services.State)
	seen := map[string]bool{c.Label: true}
	for i, member := range c.Members {
		v.fault(member.Label == "", "members[%d].label is missing", i)
		v.fault(seen[member.Label], "members[%d].label %q is not unique", i, member.Label)
		seen[member.Label] = true
		v.address(fmt.Sprintf("members[%d].endpoint", i), member.Endpoint)
	}
}

// teams checks that there are teams, with names and amounts that are not negative.
func (v *validator) teams(teams []Team) {
	v.fault(len(teams) == 0, "cluster.teams is empty")
	for i, team := range teams {
		v.fault(team.Name == "", "cluster.teams[%d].name is missing", i)
		for _, amount := range [...]float64{team.Cpus, team.CpusMax, team.Gpus, team.GpusMax} {
			v.fault(!(amount >= 0), "cluster.teams[%d] has a negative amount", i)
		}
	}
}

// stateLimits checks the limits of the state store, those in force and those announced.
func (v *validator) stateLimits(limits *StateLimits) {
	v.positive("cluster.state.rps", limits.Rps)
	v.positive("cluster.state.write_rps", limits.WriteRps)
	v.positive("cluster.state.value_kb", limits.ValueKb)
	v.fault(limits.TxnOps < minChangesPerCommit, "cluster.state.txn_ops must be at least %d", minChangesPerCommit)
	next := limits.Next
	if next == nil {
		return
	}
	v.fault(next.WriteRps != nil && !(*next.WriteRps >= minNextWritesPerSecond),
		"cluster.state.next.write_rps must be at least %d", minNextWritesPerSecond)
	v.fault(next.ValueKb != nil && !(*next.ValueKb >= minNextValueKiB),
		"cluster.state.next.value_kb must be at least %d", minNextValueKiB)
	v.fault(next.TxnOps != nil && *next.TxnOps < minChangesPerCommit,
		"cluster.state.next.txn_ops must be at least %d", minChangesPerCommit)
}
