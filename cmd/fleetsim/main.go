// Command fleetsim runs a fake state service, a fake cloud, workers and users on
// this machine's loopback interface. lotusstile can be tried and profiled
// against them; docs/operations.md shows how.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/simcluster"
	"lotusstile.dev/lotusstile/internal/simcluster/faultnet"
	"lotusstile.dev/lotusstile/wire"
)

type cli struct {
	Dir         string        `required:"" type:"path" help:"Folder for the controllers' settings files (node-0.toml and so on)."`
	Port        int           `default:"18070" help:"First of the loopback ports that are used."`
	Controllers int           `default:"3" help:"Controllers that settings files are made for."`
	Zones       int           `default:"2" help:"Zones, over which machines and controllers are spread."`
	Teams       int           `default:"1" help:"Teams that jobs are submitted for."`
	ReportS     float64       `default:"1" help:"Seconds from report to report of a worker."`
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
	Stay        time.Duration `default:"4m" help:"How long services stay on the mean."`
	Poll        time.Duration `default:"5s" help:"How often a user asks about a job."`
	Delay       time.Duration `default:"4ms" help:"What the state service and the cloud take to answer."`
	For         time.Duration `default:"2m" help:"How long to run."`
	Seed        uint64        `default:"1" help:"Seed of what happens by chance."`
	Run         string        `help:"Command that runs a controller: the controllers are run by it as processes, with their settings files."`
	Ends        int           `default:"0" help:"Leaders that are killed, or stand still, at random moments; needs --run."`
	EndEvery    time.Duration `default:"20s" help:"Time from one to the next on the mean."`
}

const settings = `label = "node-%[1]d"
location = "%[2]s"
listen = "%[3]s"
mesh_addr = "%[4]s"
%[5]s
[services]
state = "127.0.0.1:%[6]d"
cloud = "127.0.0.1:%[7]d"
[cluster]
size = %[8]d
zones = [%[9]s]
skew_ms = 100.0
%[10]s
[cluster.workers]
report_s = %[11]g
lease_s = %[12]g
cancel_s = %[13]g
[cluster.state]
rps = %[14]g
write_rps = %[15]g
value_kb = 8.0
txn_ops = 24
[cluster.cloud]
rps = 6.0
list_lag_s = 3.0
[cluster.machine_limits]
cores = 0.05
mem_mb = %[16]g
max_connections = %[17]d
`

func main() {
	var c cli
	kong.Parse(&c, kong.Name("fleetsim"), kong.Description("Fakes of all that lotusstile works with, on loopback."), kong.UsageOnError())
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, "fleetsim:", err)
		os.Exit(1)
	}
}

// cancelLeases is how many leases the tasks of a cancelled job have to end.
const cancelLeases = 4

func (c *cli) team(i int) string { return fmt.Sprintf("team-%d", i) }

// zones names the zones.
func (c *cli) zones() []string {
	names := make([]string, c.Zones)
	for i := range names {
		names[i] = fmt.Sprintf("zone-%d", i)
	}
	return names
}

// zone is the zone of a controller.
func (c *cli) zone(i int) string { return c.zones()[i%c.Zones] }

// firstController is the first port of the controllers, counted from the first of all.
const firstController = 10

func (c *cli) listen(i int) string { return fmt.Sprintf("127.0.0.1:%d", c.Port+firstController+i) }
func (c *cli) peerAddr(i int) string {
	return fmt.Sprintf("127.0.0.1:%d", c.Port+firstController+c.Controllers+i)
}

// settingsOf makes the settings file of controller i.
func (c *cli) settingsOf(i int) string {
	var members strings.Builder
	for j := range c.Controllers {
		if j != i {
			fmt.Fprintf(&members, "[[members]]\nlabel = \"node-%d\"\nlocation = %q\nendpoint = %q\n", j, c.zone(j), c.peerAddr(j))
		}
	}
	var teams strings.Builder
	for j := range c.Teams {
		fmt.Fprintf(&teams, "[[cluster.teams]]\nname = %q\n", c.team(j))
	}
	return fmt.Sprintf(settings, i, c.zone(i), c.listen(i), c.peerAddr(i), members.String(), c.Port, c.Port+1,
		c.Controllers, `"`+strings.Join(c.zones(), `", "`)+`"`, teams.String(), c.ReportS, c.LeaseS, cancelLeases*c.LeaseS,
		c.Rps, c.WriteRps, c.MemMb, c.Connections)
}

func (c *cli) run() error {
	if c.Ends > 0 && c.Run == "" {
		return errors.New("--ends needs --run")
	}
	if c.Controllers < 1 || c.Zones < 1 || c.Teams < 1 || c.Tasks < 1 || c.Machines < 1 {
		return errors.New("there must be at least one controller, zone, team, task and machine")
	}
	if last := c.Port + firstController + 2*c.Controllers; c.Port < 1 || last > 1<<16 {
		return fmt.Errorf("%d controllers from port %d on need ports up to %d", c.Controllers, c.Port, last-1)
	}
	if err := c.checkDescriptors(); err != nil {
		return err
	}
	for i := range c.Controllers {
		path := filepath.Join(c.Dir, fmt.Sprintf("node-%d.toml", i))
		if err := os.WriteFile(path, []byte(c.settingsOf(i)), 0o644); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
	}
	cfg, err := config.Parse([]byte(c.settingsOf(0)))
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	network := faultnet.New(rand.New(rand.NewPCG(c.Seed, 0)))
	labels := make([]string, c.Controllers)
	for i := range c.Controllers {
		labels[i] = fmt.Sprintf("node-%d", i)
		network.Attach(labels[i], simcluster.NewRemoteNode(c.listen(i)), nil)
	}
	cluster := simcluster.NewCluster(cfg, network, labels, c.catalog())
	cluster.Cloud.Capacity, cluster.Users.PollInterval, cluster.Users.AllowUnfinishedJobs = c.capacity(), c.Poll, true
	cluster.Cloud.ListenWorker = func(h http.Handler) string {
		address, err := simcluster.Listen("127.0.0.1:0", h)
		if err != nil {
			slog.Error("worker does not listen", "err", err)
		}
		return address
	}
	if _, err := simcluster.Listen(fmt.Sprintf("127.0.0.1:%d", c.Port), simcluster.Delayed(cluster.Store, c.Delay)); err != nil {
		return fmt.Errorf("state service: %w", err)
	}
	if _, err := simcluster.Listen(fmt.Sprintf("127.0.0.1:%d", c.Port+1), simcluster.Delayed(cluster.Cloud, c.Delay)); err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	for i, zone := range c.zones() {
		cluster.Cloud.AddMachines("g8", zone, c.Machines*(i+1)/c.Zones-c.Machines*i/c.Zones)
	}
	if c.Run == "" {
		fmt.Printf("settings in %s; start the controllers with them\n", c.Dir)
		c.load(cluster)
	} else if err := c.runControllers(cluster); err != nil {
		return err
	}
	counts, cases := cluster.Checker.ViolationsByRule()
	fmt.Printf("%d tasks started, %d jobs not over at the end; rules broken: %v; the first of each: %q\n",
		cluster.Checker.StartCount(), cluster.Users.UnfinishedJobs(), counts, cases)
	return nil
}

// capacity is how many machines the cloud has.
func (c *cli) capacity() int {
	if c.Capacity == 0 {
		return 2 * c.Machines
	}
	return c.Capacity
}

// checkDescriptors refuses a fleet that this process may not have enough descriptors for: each
// worker listens, and has connections to the controllers that it reports to.
func (c *cli) checkDescriptors() error {
	const ofWorker, others = 4, 1000
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("limit of descriptors: %w", err)
	}
	if need := uint64(ofWorker*c.capacity() + others); limit.Cur < need {
		return fmt.Errorf("%d machines need up to %d descriptors, and this process may have %d: raise it, or lower --capacity", c.Machines, need, limit.Cur)
	}
	return nil
}

// runControllers runs the controllers as processes under load, and ends leaders.
func (c *cli) runControllers(cluster *simcluster.Cluster) error {
	p := newProcesses(c.Run, c.Dir, c.Controllers)
	defer p.end()
	for i := range c.Controllers {
		if err := p.start(i); err != nil {
			return err
		}
	}
	t := &takeovers{c: c, cluster: cluster, processes: p, rng: rand.New(rand.NewPCG(c.Seed, 2))}
	ended := make(chan error, 1)
	go func() { ended <- t.run(c.Ends) }()
	c.load(cluster)
	if c.Ends > 0 {
		if err := <-ended; err != nil {
			return err
		}
		t.print()
	}
	c.printCost(p, cluster)
	return nil
}

func (c *cli) catalog() wire.Catalog {
	return wire.Catalog{MachineTypes: []wire.MachineType{
		{Name: "g8", Cores: 96, Gpus: 8, RAMGb: 576, ImageCacheGb: 400, FetchGbPerS: 2, Hourly: 24, SpotHourly: 6, BootS: 15, Zones: c.zones()},
	}}
}

// load submits jobs until the time is over.
func (c *cli) load(cluster *simcluster.Cluster) {
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	deadline := time.Now().Add(c.For)
	user := func(i int, batch bool) {
		spec := wire.JobSpec{UID: fmt.Sprintf("run-%06d", i), JobClass: "serve", Team: c.team(rng.IntN(c.Teams)), Kind: wire.Service, Priority: wire.High,
			TaskCount: 1 << rng.IntN(4), Cores: 8, Gpus: 1, RAMGb: 40, Image: fmt.Sprintf("img-%d", rng.IntN(8)), ImageGb: 8}
		stay := time.Duration(rng.ExpFloat64() * float64(c.Stay))
		if batch {
			spec.JobClass, spec.Kind, spec.Priority, spec.AllowSpot = "batch", wire.JobArray, wire.BestEffort, true
			spec.TaskCount, spec.ExpectedRunS, stay = 1+rng.IntN(c.Tasks), 70, 0
		}
		go cluster.Users.Run(spec, stay, deadline)
	}
	serial := 1
	for range c.Services {
		user(serial, false)
		serial++
	}
	for range c.Arrays {
		user(serial, true)
		serial++
	}
	for time.Now().Before(deadline) {
		time.Sleep(time.Duration(rng.ExpFloat64() * 60 / c.PerMinute * float64(time.Second)))
		user(serial, rng.IntN(4) == 0)
		serial++
	}
}
