// Package capacity computes how large a fleet a deployment's settings carry, which setting bounds it,
// and what happens to a larger one. It measures nothing.
package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/cloud"
	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/relay"
	"lotusstile.dev/lotusstile/internal/watchcache"
)

// Limit is the size of fleet that one setting carries.
type Limit struct {
	Setting      string // the key in the settings file
	Machines     int    // the largest fleet that it carries in full
	BeyondEffect string // what happens to a larger one
}

// Unbounded is the size of a fleet that nothing bounds.
const Unbounded = math.MaxInt

const (
	// maxListAgeLags, in times its usual lag, and a worker lease on top are how old the cloud's
	// machine list may be to show that machines are gone.
	maxListAgeLags = 4
	// recordsPerMachine is how many records a new leader lists for a machine: one of its images, and
	// some placement record that it is in.
	recordsPerMachine = 2
	// listingLeaseShare is the part of a worker lease in which a new leader should have listed the
	// records.
	listingLeaseShare = 0.5
)

// The memory of a leader. The program sets its memory limit to half of the machine's: see memoryLimit
// in cmd/lotusstile.
const (
	programMemoryShare = 0.5
	bytesPerMiB        = 1 << 20
	baseBytes          = 16 << 20
	connectionBytes    = 20 << 10 // buffers, and the stack of its goroutine
	machineBytes       = 10 << 10 // with eight attempts, its node in scheduling cycles and its entry for the standby
)

// Limits returns the bounds on the size of the fleet, the tightest first.
func Limits(cfg *config.Config) []Limit {
	limits := []Limit{workerConnections(cfg), machineList(cfg), failoverListing(cfg), leaderMemory(cfg)}
	slices.SortStableFunc(limits, func(a, b Limit) int { return cmp.Compare(a.Machines, b.Machines) })
	return limits
}

// Warnings returns a line for each setting that does not carry a fleet of so many machines, the
// tightest first.
func Warnings(cfg *config.Config, machines int) []string {
	var warnings []string
	for _, limit := range Limits(cfg) {
		if limit.Machines < machines {
			warnings = append(warnings,
				fmt.Sprintf("%s carries %d machines, not %d: %s", limit.Setting, limit.Machines, machines, limit.BeyondEffect))
		}
	}
	return warnings
}

// workerConnections bounds the fleet by how many workers can keep their connection.
func workerConnections(cfg *config.Config) Limit {
	perController := relay.MaxWorkers(cfg.Cluster.Limits.MaxConnections)
	limit := Limit{
		Setting:      "cluster.machine_limits.max_connections",
		Machines:     (len(cfg.Members) + 1) * perController,
		BeyondEffect: "workers are served in turn, each heartbeat on a connection of its own",
	}
	if !cfg.RelayHeartbeats {
		limit.Machines = perController
		limit.BeyondEffect += "; with --relay-check-ins, every controller would take some"
	}
	return limit
}

// machineList bounds the fleet by how many machines of the cloud's list can be read before what was
// read first is too old to show that machines are gone.
func machineList(cfg *config.Config) Limit {
	age := maxListAgeLags*cfg.CloudListLag() + cfg.WorkerLease()
	return Limit{
		Setting:  "cluster.cloud.rps",
		Machines: cloud.MaxListable(cfg.Cluster.Cloud.Rps, age),
		BeyondEffect: fmt.Sprintf("reading the machine list takes longer than %s, so machines that are gone are found late",
			age.Round(time.Second)),
	}
}

// failoverListing bounds the fleet by how many machines' records a new leader can list while the
// workers' leases last.
func failoverListing(cfg *config.Config) Limit {
	within := time.Duration(listingLeaseShare * float64(cfg.WorkerLease()))
	keys := watchcache.KeysListableWithin(cfg.StateLimits().Rps, within)
	return Limit{
		Setting:      "cluster.state.rps",
		Machines:     keys / recordsPerMachine,
		BeyondEffect: "a new leader without a warm standby lists records for over half of a lease, and launches nothing meanwhile",
	}
}

// leaderMemory bounds the fleet by how many machines a leader can know of beside the connections
// that it may have open.
func leaderMemory(cfg *config.Config) Limit {
	room := programMemoryShare*cfg.Cluster.Limits.MemMb*bytesPerMiB - baseBytes
	room -= float64(relay.MaxWorkers(cfg.Cluster.Limits.MaxConnections)) * connectionBytes
	return Limit{
		Setting:      "cluster.machine_limits.mem_mb",
		Machines:     max(0, int(room/machineBytes)),
		BeyondEffect: "computed: memory is collected more and more often, and the leader may be ended for it",
	}
}
