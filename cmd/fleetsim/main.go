// Command fleetsim runs a fake state store, a fake cloud, workers and users on this machine's loopback
// interface, to try and profile lotusstile against them. With --run it runs the controllers too, and with
// --ends it ends leaders and measures failovers. docs/operations.md shows how to use it.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/simcluster"
	"lotusstile.dev/lotusstile/internal/simcluster/faultnet"
	"lotusstile.dev/lotusstile/wire"
)

// cli holds the flags. kong derives their names from those of the fields.
type cli struct {
	Dir         string        `required:"" type:"path" help:"Folder for the controllers' settings files (node-0.toml and so on)."`
	Port        int           `default:"18070" help:"First of the loopback ports that are used."`
	Controllers int           `default:"3" help:"Controllers that settings files are made for."`
	Zones       int           `default:"2" help:"Zones, over which machines and controllers are spread."`
	Teams       int           `default:"1" help:"Teams that jobs are submitted for."`
	ReportS     float64       `default:"1" help:"Seconds between heartbeats of a worker."`
	LeaseS      float64       `default:"10" help:"Seconds that a worker's lease lasts."`
	Rps         float64       `default:"250" help:"Requests a second that the settings allow to the state service."`
	WriteRps    float64       `default:"100" help:"Changes a second that the settings allow to the state service."`
	Connections int           `default:"700" help:"Connections that the settings allow to a controller."`
	MemMb       float64       `default:"65" help:"Memory that the settings allow to a controller, in MiB."`
	Tasks       int           `default:"45" help:"Most tasks of an array."`
	Machines    int           `default:"100" help:"Machines that are up at the start."`
	Capacity    int           `default:"0" help:"Machines that the cloud has; 0: twice those of the start."`
	Services    int           `default:"150" help:"Services that are submitted at the start."`
	Arrays      int           `default:"0" help:"Arrays that are submitted at the start."`
	PerMinute   float64       `default:"50" help:"Jobs submitted a minute after that."`
	Stay        time.Duration `default:"4m" help:"Mean time after which users cancel services."`
	Poll        time.Duration `default:"5s" help:"Time between two polls of a job by its user."`
	Delay       time.Duration `default:"4ms" help:"Delay of the answers of the state service and the cloud."`
	For         time.Duration `default:"2m" help:"How long to run."`
	Seed        uint64        `default:"1" help:"Seed of all random choices."`
	Run         string        `help:"Command that runs a controller: the controllers are run by it as processes, with their settings files."`
	Ends        int           `default:"0" help:"Leaders that are killed, or paused, at random moments; needs --run."`
	EndEvery    time.Duration `default:"20s" help:"Mean time between the ends of two leaders."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("fleetsim"), kong.Description("Fakes of all that lotusstile works with, on loopback."), kong.UsageOnError())
	if err := c.run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "fleetsim:", err)
		os.Exit(1)
	}
}

// run simulates the deployment for the given time, and prints the violations and counts.
func (c *cli) run(ctx context.Context) error {
	if err := c.check(); err != nil {
		return err
	}
	if err := c.writeSettings(); err != nil {
		return err
	}
	cluster, err := c.startCluster(ctx)
	if err != nil {
		return err
	}
	if c.Run == "" {
		fmt.Printf("settings in %s; start the controllers with them\n", c.Dir)
		c.submitJobs(cluster)
	} else if err := c.runControllers(ctx, cluster); err != nil {
		return err
	}
	counts, cases := cluster.Checker.ViolationsByRule()
	fmt.Printf("%d tasks started, %d jobs not over at the end; rules broken: %v; the first of each: %q\n",
		cluster.Checker.StartCount(), cluster.Users.UnfinishedJobs(), counts, cases)
	return nil
}

// check rejects flags that contradict each other, and a deployment that needs more ports or descriptors than
// there are.
func (c *cli) check() error {
	if c.Ends > 0 && c.Run == "" {
		return errors.New("--ends needs --run")
	}
	if c.Controllers < 1 || c.Zones < 1 || c.Teams < 1 || c.Tasks < 1 || c.Machines < 1 {
		return errors.New("there must be at least one controller, zone, team, task and machine")
	}
	if last := c.Port + firstController + 2*c.Controllers; c.Port < 1 || last > 1<<16 {
		return fmt.Errorf("%d controllers from port %d on need ports up to %d", c.Controllers, c.Port, last-1)
	}
	return c.checkDescriptors()
}

// checkDescriptors rejects a fleet that may need more file descriptors than this process may have: each
// worker has a listener, and connections to the controllers that it sends heartbeats to.
func (c *cli) checkDescriptors() error {
	const perWorker = 4 // docs/CAPACITY.md
	const others = 1000 // for the fakes, the users and the rest of the process
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("limit of descriptors: %w", err)
	}
	if need := uint64(perWorker*c.capacity() + others); limit.Cur < need {
		return fmt.Errorf("%d machines need up to %d descriptors, and this process may have %d: raise it, or lower --capacity",
			c.Machines, need, limit.Cur)
	}
	return nil
}

// capacity returns how many machines the cloud has at most.
func (c *cli) capacity() int {
	if c.Capacity == 0 {
		return 2 * c.Machines
	}
	return c.Capacity
}

func (c *cli) catalog() wire.Catalog {
	return wire.Catalog{MachineTypes: []wire.MachineType{{
		Name:         "g8",
		Cores:        96,
		Gpus:         8,
		RAMGb:        576,
		ImageCacheGb: 400,
		FetchGbPerS:  2,
		Hourly:       24,
		SpotHourly:   6,
		BootS:        15,
		Zones:        c.zones(),
	}}}
}

// startCluster starts the fakes on loopback, with the machines that are up at the start.
func (c *cli) startCluster(ctx context.Context) (*simcluster.Cluster, error) {
	cfg, err := config.Parse([]byte(c.settingsOf(0)))
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	network := faultnet.New(rand.New(rand.NewPCG(c.Seed, 0)))
	nodes := make([]string, c.Controllers)
	for i := range nodes {
		nodes[i] = nodeName(i)
		network.Attach(nodes[i], simcluster.NewRemoteNode(c.listenAddress(i)), nil)
	}
	cluster := simcluster.NewCluster(ctx, cfg, network, nodes, c.catalog())
	cluster.Users.PollInterval, cluster.Users.AllowUnfinishedJobs = c.Poll, true
	cluster.Cloud.SetCapacity(c.capacity())
	cluster.Cloud.ListenWorker = func(handler http.Handler) string {
		address, err := simcluster.Listen(ctx, "127.0.0.1:0", handler)
		if err != nil {
			slog.Error("worker cannot listen for direct commands", "err", err)
		}
		return address
	}
	if _, err := simcluster.Listen(ctx, c.storeAddress(), simcluster.Delayed(cluster.Store, c.Delay)); err != nil {
		return nil, fmt.Errorf("state service: %w", err)
	}
	if _, err := simcluster.Listen(ctx, c.cloudAddress(), simcluster.Delayed(cluster.Cloud, c.Delay)); err != nil {
		return nil, fmt.Errorf("cloud: %w", err)
	}
	for i, zone := range c.zones() {
		cluster.Cloud.AddMachines("g8", zone, c.Machines*(i+1)/c.Zones-c.Machines*i/c.Zones)
	}
	return cluster, nil
}

// runControllers runs the controllers as processes while users submit jobs, ends leaders if --ends is set,
// and prints what the controllers have used.
func (c *cli) runControllers(ctx context.Context, cluster *simcluster.Cluster) error {
	p := newProcesses(c.Run, c.Dir, c.Controllers)
	defer p.killAll()
	for i := range c.Controllers {
		if err := p.start(ctx, i); err != nil {
			return err
		}
	}
	f := &failovers{flags: c, cluster: cluster, processes: p, rng: rand.New(rand.NewPCG(c.Seed, 2))}
	ended := make(chan error, 1)
	go func() { ended <- f.run(ctx, c.Ends) }()
	c.submitJobs(cluster)
	if c.Ends > 0 {
		if err := <-ended; err != nil {
			return err
		}
		f.print()
	}
	c.printCost(ctx, p, cluster)
	return nil
}
