// Package simcluster simulates the environment of the controllers: a fake state store (fakestore), a fake
// cloud with machines and their workers, users, and a network that injects faults between all of them
// (faultnet). All fakes are written from the published protocol. A checker verifies the invariants of the
// service under all faults. Tests run whole scenarios in the simulated time of a synctest bubble; fleetsim
// runs them against real processes.
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

// Cluster is the simulated environment of a deployment's controllers, with the checker of the invariants.
type Cluster struct {
	Config  *config.Config
	Net     *faultnet.Network
	Nodes   []string // names of the controllers, in the order that workers try them
	Store   *fakestore.Store
	Cloud   *Cloud
	Users   *Users
	Checker *Checker
	// FaultyJobClass is a class of jobs that fail on every machine; "" means that there is none.
	FaultyJobClass string

	ctx     context.Context // of the requests of users and workers
	copies  heartbeatCopies
	stopped atomic.Bool
}

// NewCluster returns a cluster without machines. The state store and the cloud are attached to the network
// under their addresses in cfg. ctx bounds all requests that users and workers send later; it is given here, and
// not with each call, because these requests do not belong to the call that causes them.
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

// WatchInvariants checks periodically that no task is on a machine more than cancel_s after its job was reported
// cancelled and, once faults are over, that no job waits for longer than maxWait although a machine has free
// capacity for it. It returns at the deadline or after StopMachines.
func (c *Cluster) WatchInvariants(deadline time.Time) {
	for time.Now().Before(deadline) && !c.stopped.Load() {
		time.Sleep(checkInterval)
		c.Checker.checkCancelledTasks()
		if c.Checker.areFaultsOver() {
			c.Checker.checkWaitingJobs(c.Cloud.loads(), c.FaultyJobClass)
		}
	}
}

// StopMachines terminates all machines, at the end of a scenario.
func (c *Cluster) StopMachines() {
	c.stopped.Store(true)
	for _, worker := range c.Cloud.allWorkers() {
		worker.Terminate()
	}
}

// taskEnded is called when a task leaves a machine; completed means that it ran to its end. If that
// completes its job and CancelOnCompletion is set, a user cancels the job at that moment.
func (c *Cluster) taskEnded(task, host string, completed bool) {
	if uid, jobCompleted := c.Checker.TaskEnded(task, host, completed); jobCompleted && c.Users.CancelOnCompletion.Load() {
		go c.Users.Cancel(c.Nodes[len(uid)%len(c.Nodes)], uid)
	}
}
