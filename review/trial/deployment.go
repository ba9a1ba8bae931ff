package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/simcluster"
	"lotusstile.dev/lotusstile/internal/simcluster/fakestore"
	"lotusstile.dev/lotusstile/internal/simcluster/faultnet"
	"lotusstile.dev/lotusstile/wire"
)

// controllers is the number of controllers.
const controllers = 3

// settingsFormat has the figures of Ferrovalle's page: reports, leases, limits, one zone.
const settingsFormat = `label = "stile-%d"
location = "pianura"
listen = "%s"
mesh_addr = "%s"
%s
[services]
state = "%s"
cloud = "%s"
[cluster]
size = 3
zones = ["pianura"]
skew_ms = 100.0
%s
[cluster.workers]
report_s = 1.5
lease_s = 10.0
gang_wait_s = 35.0
gang_peer_s = 6.0
cancel_s = 40.0
[cluster.state]
rps = 250.0
write_rps = 100.0
value_kb = 8.0
txn_ops = 24
[cluster.cloud]
rps = 4.0
list_lag_s = 3.0
[cluster.machine_limits]
cores = 0.12
mem_mb = 70.0
max_connections = 700
`

// oneTeam is Ferrovalle's team, which has no guarantee and no limit.
const oneTeam = `[[cluster.teams]]
name = "sala-nomine"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0`

// twoTeams guarantees half of a larice to each of two teams, which may borrow the rest.
const twoTeams = `[[cluster.teams]]
name = "sala-nomine"
cpus = 12.0
cpus_max = 0.0
gpus = 2.0
gpus_max = 0.0
[[cluster.teams]]
name = "ospiti"
cpus = 12.0
cpus_max = 0.0
gpus = 2.0
gpus_max = 0.0`

// deployment is three controllers as processes of their own, and stand-ins of everything around them.
type deployment struct {
	ctx      context.Context
	dir      string
	teams    string // their part of the settings
	record   *record
	cluster  *simcluster.Cluster
	listen   []string
	meshAddr []string
	running  []*exec.Cmd
	command  []string
	state    string
	cloud    string
}

// catalog has Ferrovalle's machine types.
func catalog() wire.Catalog {
	zones := []string{"pianura"}
	larice := wire.MachineType{
		Name: "larice", Cores: 24, Gpus: 4, RAMGb: 144, ImageCacheGb: 800, FetchGbPerS: 4.6,
		Hourly: 8.56, SpotHourly: 3.12, BootS: 30, Zones: zones,
	}
	abete := wire.MachineType{
		Name: "abete", Cores: 64, Gpus: 8, RAMGb: 384, ImageCacheGb: 400, FetchGbPerS: 4.6,
		Hourly: 29.44, SpotHourly: 10.5, BootS: 60, Zones: zones,
	}
	return wire.Catalog{MachineTypes: []wire.MachineType{larice, abete}}
}

// freeAddress returns a loopback address that nothing listens on. Its port is below those that the system gives to
// connections, so that none of these takes it before it is used.
func freeAddress(ctx context.Context) (address string, err error) {
	const firstPort, ports, attempts = 10_000, 20_000, 100
	for range attempts {
		address = fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		var listener net.Listener
		if listener, err = (&net.ListenConfig{}).Listen(ctx, "tcp4", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", fmt.Errorf("find a free port: %w", err)
}

// runCommand returns the command of the deploy file that starts a controller.
func runCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, fmt.Errorf("read the deploy file: %w", err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, `run = "`); ok {
			return strings.Fields(strings.TrimSuffix(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, errors.New("the deploy file has no run")
}

// newDeployment starts the stand-ins, with machines larice that are up, and then the controllers. The cloud has no
// further capacity. The caller has to stop the deployment after an error too.
func newDeployment(ctx context.Context, dir string, r *record, t trial) (*deployment, error) {
	d := &deployment{ctx: ctx, dir: dir, record: r, teams: t.teams, running: make([]*exec.Cmd, controllers)}
	var err error
	if d.command, err = runCommand(); err != nil {
		return d, err
	}
	for range controllers {
		for _, list := range []*[]string{&d.listen, &d.meshAddr} {
			address, err := freeAddress(ctx)
			if err != nil {
				return d, err
			}
			*list = append(*list, address)
		}
	}
	if err := d.startStandIns(t.machines); err != nil {
		return d, err
	}
	for i := range controllers {
		if err := d.writeSettings(i); err != nil {
			return d, err
		}
	}
	for i := range controllers {
		if err := d.start(i); err != nil {
			return d, err
		}
	}
	return d, nil
}

// startStandIns starts the state service, the cloud and the workers.
func (d *deployment) startStandIns(machines int) error {
	var err error
	if d.state, err = freeAddress(d.ctx); err != nil {
		return err
	}
	if d.cloud, err = freeAddress(d.ctx); err != nil {
		return err
	}
	cfg, err := config.Parse([]byte(d.settings(0, "")))
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	network := faultnet.New(rand.New(rand.NewPCG(1, 0)))
	nodes := make([]string, controllers)
	for i := range nodes {
		nodes[i] = fmt.Sprintf("stile-%d", i)
		network.Attach(nodes[i], d.record.recorded(nodes[i], simcluster.NewRemoteNode(d.listen[i])), nil)
	}
	d.cluster = simcluster.NewCluster(d.ctx, cfg, network, nodes, catalog())
	d.cluster.Store.SetLimits(fakestore.Limits{ValueBytes: 8192, TxnOps: 24, WriteRps: 100, Rps: 250})
	d.cluster.Cloud.SetCapacity(machines)
	d.cluster.Cloud.ListenWorker = func(handler http.Handler) string {
		address, err := simcluster.Listen(d.ctx, "127.0.0.1:0", handler)
		if err != nil {
			d.record.logf("a worker cannot listen: %v", err)
		}
		return address
	}
	const latency = 6 * time.Millisecond
	if _, err := simcluster.Listen(d.ctx, d.state, simcluster.Delayed(d.cluster.Store, latency)); err != nil {
		return fmt.Errorf("start the state service: %w", err)
	}
	if _, err := simcluster.Listen(d.ctx, d.cloud, simcluster.Delayed(d.cluster.Cloud, latency)); err != nil {
		return fmt.Errorf("start the cloud: %w", err)
	}
	d.cluster.Cloud.AddMachines("larice", "pianura", machines)
	return nil
}

// settings returns the settings of controller i.
func (d *deployment) settings(i int, members string) string {
	return fmt.Sprintf(settingsFormat, i, d.listen[i], d.meshAddr[i], members, d.state, d.cloud, d.teams)
}

// writeSettings writes the settings of controller i.
func (d *deployment) writeSettings(i int) error {
	members := ""
	for j, address := range d.meshAddr {
		if j != i {
			members += fmt.Sprintf("[[members]]\nlabel = \"stile-%d\"\nlocation = \"pianura\"\nendpoint = %q\n", j, address)
		}
	}
	if err := os.WriteFile(d.settingsFile(i), []byte(d.settings(i, members)), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

func (d *deployment) settingsFile(i int) string {
	return filepath.Join(d.dir, fmt.Sprintf("stile-%d.toml", i))
}

func (d *deployment) logFile(i int) string {
	return filepath.Join(d.dir, fmt.Sprintf("stile-%d.log", i))
}

// start starts controller i.
func (d *deployment) start(i int) error {
	log, err := os.OpenFile(d.logFile(i), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open a log: %w", err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.CommandContext(d.ctx, d.command[0], append(append([]string{}, d.command[1:]...), d.settingsFile(i))...)
	cmd.Stderr, cmd.Stdout = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start a controller: %w", err)
	}
	d.record.logf("controller stile-%d started", i)
	d.running[i] = cmd
	return nil
}

// kill kills controller i.
func (d *deployment) kill(i int) error {
	if err := d.running[i].Process.Kill(); err != nil {
		return fmt.Errorf("kill a controller: %w", err)
	}
	_ = d.running[i].Wait() // the error only says that it was killed
	d.record.logf("controller stile-%d killed", i)
	return nil
}

// stop ends all controllers.
func (d *deployment) stop() {
	for _, cmd := range d.running {
		if cmd != nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	if d.cluster != nil {
		d.cluster.StopMachines()
	}
}

// request sends a user's request to controller i and records it. The status is 0 if no answer came.
func (d *deployment) request(i int, method, path string, body any, timeout time.Duration) (status int, view wire.JobView) {
	var data []byte
	if body != nil {
		data = records.Encode(body)
	}
	ctx, cancel := context.WithTimeout(d.ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.listen[i]+path, bytes.NewReader(data))
	if err != nil {
		return 0, view
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		d.record.logf("user -> stile-%d: %s %s: no answer", i, method, path)
		return 0, view
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, view
	}
	d.record.logf("user -> stile-%d: %s %s %s: %d %s", i, method, path, data, resp.StatusCode, bytes.TrimSpace(answer))
	if resp.StatusCode < http.StatusMultipleChoices && len(answer) > 0 {
		if err := wire.Decode(answer, &view); err != nil {
			return 0, view
		}
	}
	return resp.StatusCode, view
}

// leader returns the number of the controller that leads, or -1.
func (d *deployment) leader() int {
	item, ok := d.cluster.Store.Get(records.LeaderKey)
	if !ok {
		return -1
	}
	var leader records.Leader
	if err := wire.Decode(item.Value, &leader); err != nil {
		return -1
	}
	for i := range controllers {
		if leader.Node == fmt.Sprintf("stile-%d", i) {
			return i
		}
	}
	return -1
}

// logTails writes the ends of the controllers' logs to the record.
func (d *deployment) logTails() {
	const tail = 600
	for i := range controllers {
		if data, err := os.ReadFile(d.logFile(i)); err == nil {
			d.record.logf("end of the log of stile-%d: %q", i, data[max(0, len(data)-tail):])
		}
	}
}

// awaitReady waits until all controllers are ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		ready := 0
		for i := range controllers {
			if status, _ := d.request(i, http.MethodGet, "/ready", nil, time.Second); status == http.StatusOK {
				ready++
			}
		}
		if ready == controllers && d.leader() >= 0 {
			return nil
		}
	}
	return errors.New("the controllers did not get ready")
}

// submit submits a job, as users do, until it is accepted.
func (d *deployment) submit(spec wire.JobSpec) error { return d.submitAt(0, spec) }

// submitAt submits a job until it is accepted, first at controller first, and then at the others in turn.
func (d *deployment) submitAt(first int, spec wire.JobSpec) error {
	d.cluster.Users.RegisterSpec(spec)
	for deadline, i := time.Now().Add(60*time.Second), first; time.Now().Before(deadline) && d.ctx.Err() == nil; i++ {
		status, _ := d.request(i%controllers, http.MethodPost, "/work", spec, 5*time.Second)
		if status == http.StatusOK || status == http.StatusCreated {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("%s was not accepted", spec.UID)
}

// await waits until a condition holds.
func (d *deployment) await(what string, limit time.Duration, condition func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && d.ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		if condition() {
			d.record.logf("reached: %s", what)
			return nil
		}
	}
	return fmt.Errorf("not reached in %s: %s", limit, what)
}

// onMachines returns how many tasks of a job are on machines.
func (d *deployment) onMachines(uid string) int { return d.cluster.Checker.TasksOnMachines(uid) }
