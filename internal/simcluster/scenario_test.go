package simcluster_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/node"
	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/simcluster"
	"lotusstile.dev/lotusstile/internal/simcluster/faultnet"
	"lotusstile.dev/lotusstile/wire"
)

const settingsFormat = `
label = "%s"
location = "%s"
listen = "%s:80"
mesh_addr = "%s:81"
%s
[services]
cloud = "cloud:1"
state = "state:1"
[cluster]
size = 3
zones = ["a", "b"]
[[cluster.teams]]
name = "crew"
cpus_max = 0.0
gpus_max = 40.0
[[cluster.teams]]
name = "free"
[[cluster.objectives]]
kind = "wait"
class = "serve"
within_s = 15.0
share = 0.9
[cluster.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 40.0
[cluster.state]
rps = 400.0
write_rps = 100.0
value_kb = 8.0
txn_ops = 24
[cluster.cloud]
rps = 6.0
list_lag_s = 3.0
[cluster.machine_limits]
cores = 1.0
mem_mb = 100.0
max_connections = 700
`

var (
	nodeNames = []string{"n0", "n1", "n2"}
	// n2 has the longest campaign delay: workers that lose n2 try n0, in the same zone, before n1 in the other zone.
	nodeZones = []string{"a", "b", "a"}
)

// The addresses of the state store and of the cloud in settingsFormat.
const (
	storeAddress = "state:1"
	cloudAddress = "cloud:1"
)

// maxHosts is the largest number of machines that a scenario with faults may have in all, terminated ones included.
const maxHosts = 40

var catalog = wire.Catalog{MachineTypes: []wire.MachineType{
	{
		Name: "g4", Cores: 32, Gpus: 4, RAMGb: 256, ImageCacheGb: 400, FetchGbPerS: 2,
		Hourly: 8, SpotHourly: 3, BootS: 15, Zones: []string{"a", "b"},
	},
	{
		Name: "g8", Cores: 64, Gpus: 8, RAMGb: 512, ImageCacheGb: 400, FetchGbPerS: 2,
		Hourly: 18, SpotHourly: 6, BootS: 15, Zones: []string{"a", "b"},
	},
}}

// peerAddress returns the address at which a node listens for its peers.
func peerAddress(name string) string { return name + ":81" }

// hostName returns the name of a machine by its number.
func hostName(number int) string { return fmt.Sprintf("m-%06d", number) }

// jobName returns the ID of a job by its number.
func jobName(number int) string { return fmt.Sprintf("run-%06d", number) }

// parseNodeConfig returns the settings of node i. names and zones list the names and zones of all nodes.
func parseNodeConfig(tb testing.TB, names, zones []string, i int) *config.Config {
	tb.Helper()
	members := ""
	for j, name := range names {
		if j != i {
			members += fmt.Sprintf("[[members]]\nlabel = %q\nlocation = %q\nendpoint = %q\n", name, zones[j], peerAddress(name))
		}
	}
	cfg, err := config.Parse([]byte(fmt.Sprintf(settingsFormat, names[i], zones[i], names[i], names[i], members)))
	if err != nil {
		tb.Fatal(err)
	}
	return cfg
}

func nodeConfig(tb testing.TB, i int) *config.Config {
	tb.Helper()
	return parseNodeConfig(tb, nodeNames, nodeZones, i)
}

// scenario is a simulated cluster with three controllers.
type scenario struct {
	t            testing.TB
	cluster      *simcluster.Cluster
	net          *faultnet.Network
	stops        [3]context.CancelFunc   // by controller; nil while it does not run
	olderRelease [3]bool                 // nodes of the release before cluster version 2
	nextLimits   *config.NextStateLimits // the state store's limits that the settings announce
	// teams, if any, replace the teams in the settings.
	teams []config.Team
	// relayConnections, if above 0, switches heartbeat relays on, and is the limit of connections to a node.
	relayConnections int
	// standby switches warm standbys on.
	standby bool
}

// newScenario makes a scenario and starts its controllers. The functions in prepare may change it before that.
func newScenario(tb testing.TB, seed uint64, prepare ...func(sc *scenario)) *scenario {
	tb.Helper()
	network := faultnet.New(rand.New(rand.NewPCG(seed, 1)))
	cluster := simcluster.NewCluster(context.Background(), nodeConfig(tb, 0), network, nodeNames, catalog)
	sc := &scenario{t: tb, net: network, cluster: cluster}
	for _, f := range prepare {
		f(sc)
	}
	sc.startAllNodes()
	return sc
}

// runScenario runs f in a scenario without faults, once all nodes and machines are up.
func runScenario(t *testing.T, f func(sc *scenario)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sc := newScenario(t, 1)
		sc.cluster.Cloud.AddMachines("g8", "a", 2)
		time.Sleep(5 * time.Second)
		f(sc)
		sc.end()
	})
}

// startNode starts a controller, unless it runs already.
func (sc *scenario) startNode(i int) {
	sc.t.Helper()
	if sc.stops[i] != nil {
		return
	}
	cfg := nodeConfig(sc.t, i)
	cfg.Cluster.State.Next = sc.nextLimits
	if sc.teams != nil {
		cfg.Cluster.Teams = sc.teams
	}
	if sc.relayConnections > 0 {
		cfg.RelayHeartbeats, cfg.Cluster.Limits.MaxConnections = !sc.olderRelease[i], sc.relayConnections
	}
	cfg.WarmStandby = sc.standby && !sc.olderRelease[i]
	name := nodeNames[i]
	transport := sc.net.Transport(name)
	ctx, cancel := context.WithCancel(context.Background())
	network := node.Network{State: transport, Cloud: transport, Workers: transport, DialPeer: sc.net.DialPeer(peerAddress(name))}
	if sc.olderRelease[i] {
		network.State = olderReleaseTransport{transport}
	}
	n := node.New(cfg, network)
	server, err := peer.NewServer(newReleaseHandler(n, sc, i))
	if err != nil {
		sc.t.Fatal(err)
	}
	users := n.Handler()
	if sc.olderRelease[i] {
		users = withoutDependencies(users)
	}
	sc.net.Attach(name, users, nil)
	sc.net.Attach(peerAddress(name), n.Handler(), server)
	n.Start(ctx)
	sc.stops[i] = cancel
}

// crashNode stops a controller at once. Its requests in flight may still be executed.
func (sc *scenario) crashNode(i int) {
	if sc.stops[i] == nil {
		return
	}
	sc.net.Attach(nodeNames[i], nil, nil)
	sc.net.Attach(peerAddress(nodeNames[i]), nil, nil)
	sc.stops[i]()
	sc.stops[i] = nil
}

func (sc *scenario) startAllNodes() {
	sc.t.Helper()
	for i := range nodeNames {
		sc.startNode(i)
	}
}

func (sc *scenario) crashAllNodes() {
	for i := range nodeNames {
		sc.crashNode(i)
	}
}

// end stops the controllers and terminates the machines.
func (sc *scenario) end() {
	sc.crashAllNodes()
	sc.cluster.StopMachines()
	time.Sleep(2 * time.Minute) // late deliveries and timeouts pass
}

// partitionFromPeers begins or ends a partition between a controller and its peers.
func (sc *scenario) partitionFromPeers(i int, on bool) {
	for j, name := range nodeNames {
		if j != i {
			sc.net.Partition(peerAddress(nodeNames[i]), peerAddress(name), on)
		}
	}
}

// partitionZoneA begins or ends a partition between zone a and the rest, for the links between machines and
// controllers. The machines of zone a reach only the controller with the index inside, and the other machines only
// the other controllers. Links between controllers and to the state store stay as they are. hosts is the largest
// number of machines that there may be.
func (sc *scenario) partitionZoneA(inside, hosts int, on bool) {
	for k := range hosts {
		host := hostName(k)
		for j, name := range nodeNames {
			if (j == inside) != (sc.cluster.Cloud.ZoneOf(host) == "a") {
				sc.net.Partition(name, host, on)
			}
		}
	}
}

// request sends a user's request with any body to a node. If no response came, it returns status 0 and the
// text of the error.
func (sc *scenario) request(node, method, path, body string) (status int, text string, header http.Header) {
	sc.t.Helper()
	client := http.Client{Transport: sc.net.Transport("user"), Timeout: 5 * time.Second}
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+node+path, strings.NewReader(body))
	if err != nil {
		sc.t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	data, err := io.ReadAll(resp.Body)
	err = errors.Join(err, resp.Body.Close())
	if err != nil {
		sc.t.Fatal(err)
	}
	return resp.StatusCode, string(data), resp.Header
}

// expectStatus sends a user's request to a node, expects the status of the response, and returns its body.
func (sc *scenario) expectStatus(want int, node, method, path, body string) string {
	sc.t.Helper()
	got, text, _ := sc.request(node, method, path, body)
	if got != want {
		sc.t.Errorf("%s %s at %s: got status %d: %s, want %d", method, path, node, got, strings.TrimSpace(text), want)
	}
	return text
}

// expectDone expects that a node reports a job done.
func (sc *scenario) expectDone(node, uid string) {
	sc.t.Helper()
	if text := sc.expectStatus(http.StatusOK, node, http.MethodGet, "/work/"+uid, ""); !strings.Contains(text, `"done"`) {
		sc.t.Errorf("status of %s: got %s from %s, want done", uid, text, node)
	}
}

// expectNoViolations expects that the checker has found no violation.
func (sc *scenario) expectNoViolations() {
	sc.t.Helper()
	expectNoViolations(sc.t, sc.cluster.Checker.Violations())
}

// maxShown is how many violations or keys a failed test prints at most.
const maxShown = 10

func expectNoViolations(tb testing.TB, violations []string) {
	tb.Helper()
	if len(violations) > 0 {
		tb.Errorf("got %d violations, want none:\n%s", len(violations), strings.Join(violations[:min(maxShown, len(violations))], "\n"))
	}
}

// expectNoKeys expects that no keys are stored under the prefixes.
func (sc *scenario) expectNoKeys(prefixes ...string) {
	sc.t.Helper()
	for _, prefix := range prefixes {
		if keys := sc.cluster.Store.Keys(prefix); len(keys) > 0 {
			sc.t.Errorf("got %d keys in the state store, want none: %v", len(keys), keys[:min(maxShown, len(keys))])
		}
	}
}

// leader returns the index and the term of the controller that leads; the index is -1 if none does.
func (sc *scenario) leader() (index int, term uint64) {
	sc.t.Helper()
	item, ok := sc.cluster.Store.Get(records.LeaderKey)
	if !ok {
		return -1, 0
	}
	var leader records.Leader
	if err := json.Unmarshal(item.Value, &leader); err != nil {
		sc.t.Error(err)
		return -1, 0
	}
	return slices.Index(nodeNames, leader.Node), item.ModRevision
}

// leaderIndex returns the index of the controller that leads, or -1.
func (sc *scenario) leaderIndex() int {
	sc.t.Helper()
	index, _ := sc.leader()
	return index
}

// isLeader reports whether a node leads.
func (sc *scenario) isLeader(name string) bool {
	sc.t.Helper()
	index := sc.leaderIndex()
	return index >= 0 && nodeNames[index] == name
}

// crashLeader crashes the leader, and starts it again after downtime.
func (sc *scenario) crashLeader(downtime time.Duration) {
	sc.t.Helper()
	if leader := sc.leaderIndex(); leader >= 0 {
		sc.crashNode(leader)
		time.AfterFunc(downtime, func() { sc.startNode(leader) })
	}
}

// cancelJobs has users cancel the first jobs of a scenario at one node. Each user repeats the request until the
// node confirms it or until timeout has elapsed.
func (sc *scenario) cancelJobs(node string, jobs int, timeout time.Duration) {
	for i := range jobs {
		go func() {
			for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				if sc.cluster.Users.Cancel(node, jobName(i)) {
					return
				}
			}
		}()
	}
}
