// Command fleetsim runs a fake state store, a fake cloud, and simulated workers and users on the loopback
// interface, so that lotusstile can be tested and profiled against them. With --run it also runs the
// controllers. With --ends it makes leaders fail and measures failovers. docs/operations.md shows how to
// use it.
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

// cli holds the flags. kong derives the flags' names from the names of the fields.
type cli struct {
	Dir         string        `required:"" type:"path" help:"Folder for the controllers' settings files (node-0.toml and so on)."`
	Port        int           `default:"18070" help:"First of the loopback ports to use."`
	Controllers int           `default:"3" help:"Number of controllers to write settings files for."`
	Zones       int           `default:"2" help:"Number of zones. Machines and controllers are spread over them."`
	Teams       int           `default:"1" help:"Number of teams that submit jobs."`
	ReportS     float64       `default:"1" help:"Seconds between two heartbeats of a worker."`
	LeaseS      float64       `default:"10" help:"Duration of a worker's lease, in seconds."`
	Rps         float64       `default:"250" help:"Requests per second to the state store that the settings allow."`
	WriteRps    float64       `default:"100" help:"Changes per second to the state store that the settings allow."`
	Connections int           `default:"700" help:"Maximum connections of a controller in the settings."`
	MemMb       float64       `default:"65" help:"Memory limit of a controller in the settings, in MiB."`
	Tasks       int           `default:"45" help:"Maximum number of tasks of an array."`
	Machines    int           `default:"100" help:"Number of machines that run at the start."`
	Capacity    int           `default:"0" help:"Maximum number of machines that the cloud can provide; 0: twice the number at the start."`
	Services    int           `default:"150" help:"Number of services to submit at the start."`
	Arrays      int           `default:"0" help:"Number of arrays to submit at the start."`
	PerMinute   float64       `default:"50" help:"Mean number of jobs to submit per minute after the start."`
	Stay        time.Duration `default:"4m" help:"Mean time after which users cancel services."`
	Poll        time.Duration `default:"5s" help:"Time between two polls of a job by its user."`
	Delay       time.Duration `default:"4ms" help:"Delay of each response of the state store and the cloud."`
	For         time.Duration `default:"2m" help:"How long to run."`
	Seed        uint64        `default:"1" help:"Seed of all random choices."`
	Run         string        `help:"Command that runs a controller. Fleetsim starts it for each settings file."`
	Ends        int           `default:"0" help:"Number of leaders to kill or pause, at random moments; needs --run."`
	EndEvery    time.Duration `default:"20s" help:"Mean time between two kills or pauses of leaders."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("fleetsim"),
		kong.Description("Fakes of services, machines and users for lotusstile, on loopback."), kong.UsageOnError())
	if err := c.run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "fleetsim:", err)
		os.Exit(1)
	}
}

// run simulates a deployment for the duration that --for sets, and prints counts and rule violations.
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
		c.submitJobs(ctx, cluster)
	} else if err := c.runControllers(ctx, cluster); err != nil {
		return err
	}
	counts, firstCases := cluster.Checker.ViolationsByRule()
	fmt.Printf("%d tasks started, %d jobs not over at the end; rules broken: %v; the first of each: %q\n",
		cluster.Checker.StartCount(), cluster.Users.UnfinishedJobs(), counts, firstCases)
	return nil
}

// check rejects contradictory flags, and a deployment that needs more ports or file descriptors than are
// available.
func (c *cli) check() error {
	if c.Ends > 0 && c.Run == "" {
		return errors.New("--ends needs --run")
	}
	if c.Controllers < 1 || c.Zones < 1 || c.Teams < 1 || c.Tasks < 1 || c.Machines < 1 {
		return errors.New("there must be at least one controller, zone, team, task and machine")
	}
	if portsEnd := c.Port + firstControllerOffset + 2*c.Controllers; c.Port < 1 || portsEnd > 1<<16 {
		return fmt.Errorf("%d controllers with --port %d need ports up to %d; ports are 1 to 65535", c.Controllers, c.Port, portsEnd-1)
	}
	return c.checkDescriptors()
}

// checkDescriptors rejects a fleet that may need more file descriptors than this process may open. Each
// worker needs some for its listener and for its connections to controllers.
func (c *cli) checkDescriptors() error {
	const descriptorsPerWorker = 4 // docs/CAPACITY.md
	const otherDescriptors = 1000  // for the fakes, the users and the rest of the process
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("read the limit of file descriptors: %w", err)
	}
	if need := uint64(descriptorsPerWorker*c.capacity() + otherDescriptors); limit.Cur < need {
		return fmt.Errorf("%d machines may need %d file descriptors, and this process may open %d: raise the limit or lower --capacity",
			c.Machines, need, limit.Cur)
	}
	return nil
}

// capacity returns the maximum number of machines that the cloud can provide.
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

// startCluster starts the fakes on the loopback interface, with the machines that run at the start.
func (c *cli) startCluster(ctx context.Context) (*simcluster.Cluster, error) {
	cfg, err := config.Parse([]byte(c.settingsOf(0)))
	if err != nil {
		return nil, fmt.Errorf("parse the generated settings: %w", err)
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
		return nil, fmt.Errorf("start the state store: %w", err)
	}
	if _, err := simcluster.Listen(ctx, c.cloudAddress(), simcluster.Delayed(cluster.Cloud, c.Delay)); err != nil {
		return nil, fmt.Errorf("start the cloud: %w", err)
	}
	for i, zone := range c.zones() {
		cluster.Cloud.AddMachines("g8", zone, c.Machines*(i+1)/c.Zones-c.Machines*i/c.Zones)
	}
	return cluster, nil
}

// runControllers runs the controllers as processes while users submit jobs. It makes leaders fail if
// --ends is set, and prints the resource usage of the controllers.
func (c *cli) runControllers(ctx context.Context, cluster *simcluster.Cluster) error {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	p := newProcesses(c.Run, c.Dir, c.Controllers, end)
	defer p.killAll()
	for i := range c.Controllers {
		if err := p.start(ctx, i); err != nil {
			return err
		}
	}
	f := &failovers{flags: c, cluster: cluster, processes: p, rng: rand.New(rand.NewPCG(c.Seed, 2))}
	failoversDone := make(chan error, 1)
	go func() { failoversDone <- f.run(ctx, c.Ends) }()
	c.submitJobs(ctx, cluster)
	if ctx.Err() != nil {
		return context.Cause(ctx) // a controller has exited by itself
	}
	if c.Ends > 0 {
		if err := <-failoversDone; err != nil {
			return err
		}
		f.printPlacementTimes()
	}
	c.printUsage(ctx, p, cluster)
	return nil
}
