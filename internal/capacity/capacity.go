// Package capacity computes how large a fleet a deployment's settings support, which setting limits it,
// and what happens to a larger fleet. It measures nothing.
package capacity

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/cloud"
	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/relay"
	"lotusstile.dev/lotusstile/internal/watchcache"
)

// Limit is the largest fleet that one setting supports.
type Limit struct {
	Setting        string // the key in the settings file
	Machines       int    // size of the largest fleet that the setting fully supports
	ExceededEffect string // what happens to a larger fleet
}

const (
	// The cloud's machine list can show that machines are gone only up to a certain age: maxListAgeLags
	// times its usual lag, plus a worker lease.
	maxListAgeLags = 4
	// recordsPerMachine is how many records a new leader lists for each machine: the record that lists
	// its images, and a placement record that includes it.
	recordsPerMachine = 2
	// listingLeaseShare is the fraction of a worker lease within which a new leader should have listed
	// the records.
	listingLeaseShare = 0.5
)

// The memory that a leader needs. The program sets its memory limit to half of the machine's memory:
// see memoryLimit in cmd/lotusstile.
const (
	programMemoryShare = 0.5
	bytesPerMiB        = 1 << 20
	baseBytes          = 16 << 20
	bytesPerConnection = 20 << 10 // buffers, and the stack of the connection's goroutine
	bytesPerMachine    = 10 << 10 // with eight task attempts, the machine's sched.Node and its entry for the standby
)

// Limits returns the limits on the size of the fleet, the lowest first.
func Limits(cfg *config.Config) []Limit {
	limits := []Limit{workerConnections(cfg), machineList(cfg), failoverListing(cfg), leaderMemory(cfg)}
	slices.SortStableFunc(limits, func(a, b Limit) int { return cmp.Compare(a.Machines, b.Machines) })
	return limits
}

// Warnings returns a line for each setting that does not support a fleet of the given number of
// machines, the lowest limit first.
func Warnings(cfg *config.Config, machines int) []string {
	var warnings []string
	for _, limit := range Limits(cfg) {
		if limit.Machines < machines {
			warnings = append(warnings,
				fmt.Sprintf("%s supports %d machines, not %d: %s", limit.Setting, limit.Machines, machines, limit.ExceededEffect))
		}
	}
	return warnings
}

// workerConnections limits the fleet to as many workers as can keep a connection open.
func workerConnections(cfg *config.Config) Limit {
	perController := relay.MaxWorkers(cfg.Cluster.Limits.MaxConnections)
	limit := Limit{
		Setting:        "cluster.machine_limits.max_connections",
		Machines:       (len(cfg.Members) + 1) * perController,
		ExceededEffect: "workers are served in turn, each heartbeat on a connection of its own",
	}
	if !cfg.RelayHeartbeats {
		limit.Machines = perController
		limit.ExceededEffect += "; with --relay-check-ins, every controller would serve some of them"
	}
	return limit
}

// machineList limits the fleet to as many machines as can be read from the cloud's list before the
// part that was read first is too old to show that machines are gone.
func machineList(cfg *config.Config) Limit {
	maxAge := maxListAgeLags*cfg.CloudListLag() + cfg.WorkerLease()
	return Limit{
		Setting:  "cluster.cloud.rps",
		Machines: cloud.MachinesListableWithin(cfg.Cluster.Cloud.Rps, maxAge),
		ExceededEffect: fmt.Sprintf("reading the machine list takes longer than %s, so machines that are gone are detected late",
			maxAge.Round(time.Second)),
	}
}

// failoverListing limits the fleet to as many machines as a new leader can list the records of within
// half of a worker lease.
func failoverListing(cfg *config.Config) Limit {
	maxListingTime := time.Duration(listingLeaseShare * float64(cfg.WorkerLease()))
	keys := watchcache.KeysListableWithin(cfg.StateLimits().Rps, maxListingTime)
	return Limit{
		Setting:        "cluster.state.rps",
		Machines:       keys / recordsPerMachine,
		ExceededEffect: "a new leader without a warm standby lists records for over half of a worker lease, and launches nothing meanwhile",
	}
}

// leaderMemory limits the fleet to as many machines as a leader can hold in memory in addition to its
// connections to workers.
func leaderMemory(cfg *config.Config) Limit {
	available := programMemoryShare*cfg.Cluster.Limits.MemMb*bytesPerMiB - baseBytes
	available -= float64(relay.MaxWorkers(cfg.Cluster.Limits.MaxConnections)) * bytesPerConnection
	return Limit{
		Setting:        "cluster.machine_limits.mem_mb",
		Machines:       max(0, int(available/bytesPerMachine)),
		ExceededEffect: "garbage is collected more and more often, and the leader may be killed for its memory use (computed, not measured)",
	}
}
