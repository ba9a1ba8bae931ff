// Package capacity judges which size of fleet a deployment's settings carry. It computes what
// the settings bound and what then happens; it measures nothing.
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

// Limit is what one part of the settings carries.
type Limit struct {
	Setting      string // the key that bounds it
	Machines     int    // the largest fleet that is carried in full
	BeyondEffect string // what happens to a larger one
}

// Unbounded is the size of a fleet that nothing bounds.
const Unbounded = math.MaxInt

// Limits lists what bounds the size of the fleet, the tightest first.
func Limits(cfg *config.Config) []Limit {
	limits := []Limit{workerConnections(cfg), machineList(cfg), failoverListing(cfg), connectionMemory(cfg)}
	slices.SortStableFunc(limits, func(a, b Limit) int { return cmp.Compare(a.Machines, b.Machines) })
	return limits
}

// Warnings says, a line each, what does not carry a fleet of so many machines.
func Warnings(cfg *config.Config, machines int) []string {
	var warnings []string
	for _, l := range Limits(cfg) {
		if l.Machines < machines {
			warnings = append(warnings, fmt.Sprintf("%s carries %d machines, not %d: %s", l.Setting, l.Machines, machines, l.BeyondEffect))
		}
	}
	return warnings
}

// workerConnections is how many workers can keep their connection.
func workerConnections(cfg *config.Config) Limit {
	connections := cfg.Cluster.Limits.MaxConnections
	l := Limit{Setting: "cluster.machine_limits.max_connections", Machines: (len(cfg.Members) + 1) * relay.MaxWorkers(connections),
		BeyondEffect: "workers are served in turn, each report on a connection of its own"}
	if !cfg.RelayHeartbeats {
		l.Machines = relay.MaxWorkers(connections)
		l.BeyondEffect += "; with --relay-check-ins, every controller would take some"
	}
	return l
}

// machineList is how many machines the cloud's list can be read of before what it says of the
// first is too old to tell that machines are gone.
func machineList(cfg *config.Config) Limit {
	age := 4*cfg.CloudListLag() + cfg.WorkerLease()
	return Limit{Setting: "cluster.cloud.rps", Machines: cloud.MaxListable(cfg.Cluster.Cloud.Rps, age),
		BeyondEffect: fmt.Sprintf("reading the machine list takes longer than %s, so machines that are gone are found late", age.Round(time.Second))}
}

// failoverListing is of how many machines a new leader can list the records while the workers'
// leases last: each has one of its images, and is in some piece of a placement.
func failoverListing(cfg *config.Config) Limit {
	const recordsOfMachine, leaseShare = 2, 0.5
	keys := watchcache.KeysListableWithin(cfg.StateLimits().Rps, time.Duration(leaseShare*float64(cfg.WorkerLease())))
	return Limit{Setting: "cluster.state.rps", Machines: keys / recordsOfMachine,
		BeyondEffect: "a new leader without a warm standby lists records for over half of a lease, and launches nothing meanwhile"}
}

// connectionMemory is how many machines a leader can know of beside the connections that it
// may have open, in the half of its memory that the program holds itself to.
func connectionMemory(cfg *config.Config) Limit {
	const (
		programShare    = 0.5
		bytesPerMiB     = 1 << 20
		baseBytes       = 16 << 20
		connectionBytes = 20 << 10 // buffers, and the stack of its goroutine
		machineBytes    = 10 << 10 // with eight attempts, its node in rounds and its entry for the standby
	)
	room := programShare*cfg.Cluster.Limits.MemMb*bytesPerMiB - baseBytes
	room -= float64(relay.MaxWorkers(cfg.Cluster.Limits.MaxConnections)) * connectionBytes
	return Limit{Setting: "cluster.machine_limits.mem_mb", Machines: max(0, int(room/machineBytes)),
		BeyondEffect: "computed: memory is collected more and more often, and the leader may be ended for it"}
}
