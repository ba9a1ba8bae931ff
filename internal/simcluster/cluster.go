// Package simcluster simulates what a fleet of controllers works with: a fake state store
// (fakestore), a fake cloud with machines and their workers, users, and a network with faults
// between all of them (faultnet). All fakes are written from the published protocol. A checker
// verifies the invariants of the service under all faults. Tests run whole scenarios in the simulated
// time of a synctest bubble; fleetsim runs them against real processes.
package simcluster

import (
	"context"
	"sync/atomic"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/simcluster/fakestore"
	"lotusstile.dev/lotusstile/internal/simcluster/faultnet"
	"lotusstile.dev/lotusstile/wire"
)

// Cluster is all that the controllers of a deployment work with, and the checker of the rules.
type Cluster struct {
	Config  *config.Config
	Net     *faultnet.Network
	Nodes   []string // names of the controllers, in the order that workers try them
	Store   *fakestore.Store
	Cloud   *Cloud
	Users   *Users
	Checker *Checker
	// FaultyJobClass is a class of jobs that fail on every machine.
	FaultyJobClass string

	ctx     context.Context // of the requests of users and workers
	copies  heartbeatCopies
	stopped atomic.Bool
}

// NewCluster makes a cluster for a deployment, without machines. The state store and the cloud
// answer on the network under their addresses in the settings. ctx bounds all requests that users and
// workers send later, because these do not belong to the call that causes them.
func NewCluster(
	ctx context.Context, cfg *config.Config, network *faultnet.Network, nodes []string, catalog wire.Catalog,
) *Cluster {
	c := &Cluster{Config: cfg, Net: network, Nodes: nodes, Store: fakestore.New(), ctx: ctx}
	c.Cloud = newCloud(c, catalog)
	c.Users = newUsers(c)
	c.Checker = newChecker(cfg, c.Store, c.Cloud.ZoneOf)
	c.Store.OnCommit = c.Checker.checkCommit
	network.Attach(cfg.Services.State, c.Store, nil)
	network.Attach(cfg.Services.Cloud, c.Cloud, nil)
	return c
}

// checkInterval is the time between two checks of WatchInvariants.
const checkInterval = 500 * time.Millisecond

// WatchInvariants checks periodically that no task outlives its cancellation and, once faults are over,
// that no job waits although there is room. It returns at the deadline or after StopMachines.
func (c *Cluster) WatchInvariants(deadline time.Time) {
	for time.Now().Before(deadline) && !c.stopped.Load() {
		time.Sleep(checkInterval)
		c.Checker.checkCancelledTasks()
		if c.Checker.areFaultsOver() {
			c.Checker.checkWaitingJobs(c.Cloud.loads(), c.FaultyJobClass)
		}
	}
}

// StopMachines ends all machines, at the end of a scenario.
func (c *Cluster) StopMachines() {
	c.stopped.Store(true)
	for _, worker := range c.Cloud.allWorkers() {
		worker.Die()
	}
}

// taskEnded is called when a task leaves a machine; completed if it ran to its end.
func (c *Cluster) taskEnded(task, host string, completed bool) {
	if uid, jobCompleted := c.Checker.TaskEnded(task, host, completed); jobCompleted && c.Users.CancelOnCompletion.Load() {
		go c.Users.Cancel(c.Nodes[len(uid)%len(c.Nodes)], uid)
	}
}
