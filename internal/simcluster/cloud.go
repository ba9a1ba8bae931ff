package simcluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/simcluster/jsonhttp"
	"lotusstile.dev/lotusstile/wire"
)

// Cloud is a fake of the cloud, and owns the machines that it has provisioned. It is an http.Handler and
// safe for concurrent use.
type Cloud struct {
	// ListenWorker, if set, lets a worker listen for direct commands and returns its address.
	// Without it, workers are reached over the simulated network by their names.
	ListenWorker func(handler http.Handler) (address string)

	cluster *Cluster
	catalog wire.Catalog

	mu             sync.Mutex
	capacity       int
	bootTime       time.Duration       // 0: drawn at random for each machine
	workers        map[string]*Worker  // by host name, including terminated ones
	hostsByRequest map[string][]string // by request ID: the hosts that were provisioned for it
	nextSerial     int
}

const (
	defaultCapacity = 12
	// maxListed is the largest number of machines in a page of the list.
	maxListed = 500
	// A random boot time is at least minBootS seconds and less than bootSpreadS more.
	minBootS, bootSpreadS = 5, 15
)

func newCloud(cluster *Cluster, catalog wire.Catalog) *Cloud {
	return &Cloud{
		capacity:       defaultCapacity,
		cluster:        cluster,
		catalog:        catalog,
		workers:        map[string]*Worker{},
		hostsByRequest: map[string][]string{},
	}
}

// ServeHTTP serves the protocol of the cloud.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/catalog":
		jsonhttp.Reply(w, http.StatusOK, c.catalog)
	case r.URL.Path == "/machines" && r.Method == http.MethodPost:
		c.serveProvision(w, r)
	case r.URL.Path == "/machines/return":
		c.serveRelease(w, r)
	case r.URL.Path == "/machines":
		c.serveList(w, r)
	}
}

func replyMalformed(w http.ResponseWriter) {
	jsonhttp.Reply(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
}

// serveProvision answers a request for machines. A repeated request gets the same machines.
func (c *Cloud) serveProvision(w http.ResponseWriter, r *http.Request) {
	var request wire.ProvisionRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		replyMalformed(w)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if hosts, ok := c.hostsByRequest[request.RequestID]; ok {
		jsonhttp.Reply(w, http.StatusOK, wire.HostNames{Hosts: hosts})
		return
	}
	count := min(request.Count, c.capacity-len(c.liveWorkers()))
	if count <= 0 {
		jsonhttp.Reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "no capacity"})
		return
	}
	var hosts []string
	for range count {
		boot := c.bootTime
		if boot == 0 {
			boot = time.Duration(minBootS+c.cluster.Net.RandIntN(bootSpreadS)) * time.Second
		}
		hosts = append(hosts, c.addMachine(request.MachineType, request.Zone, request.Spot, boot))
	}
	c.hostsByRequest[request.RequestID] = hosts
	jsonhttp.Reply(w, http.StatusOK, wire.HostNames{Hosts: hosts})
}

// serveRelease terminates the machines that a controller releases. It ignores unknown names.
func (c *Cloud) serveRelease(w http.ResponseWriter, r *http.Request) {
	var request wire.HostNames
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.Hosts) > wire.MaxRelease {
		replyMalformed(w)
		return
	}
	for _, host := range request.Hosts {
		if worker := c.worker(host); worker != nil {
			if !worker.isTerminated() { // a repeated request needs no record
				c.cluster.Checker.checkRelease(host)
			}
			worker.Terminate()
		}
	}
	jsonhttp.Reply(w, http.StatusOK, struct{}{})
}

// serveList answers a request for a page of the machine list. New machines appear in the list, and terminated ones
// disappear from it, only after list_lag_s.
func (c *Cloud) serveList(w http.ResponseWriter, r *http.Request) {
	pageSize, err := strconv.Atoi(r.URL.Query().Get("Most"))
	if err != nil || pageSize < 1 || pageSize > maxListed {
		replyMalformed(w)
		return
	}
	after := r.URL.Query().Get("After")
	lag := c.cluster.Config.CloudListLag()
	c.mu.Lock()
	defer c.mu.Unlock()
	page := wire.HostList{Hosts: []wire.ListedHost{}}
	for _, worker := range c.workers {
		age := worker.age()
		if age < lag || worker.sinceTermination() > lag || worker.Host <= after {
			continue
		}
		page.Hosts = append(page.Hosts, worker.listEntry(age))
	}
	slices.SortFunc(page.Hosts, func(a, b wire.ListedHost) int { return strings.Compare(a.UID, b.UID) })
	if page.More = len(page.Hosts) > pageSize; page.More {
		page.Hosts = page.Hosts[:pageSize]
	}
	jsonhttp.Reply(w, http.StatusOK, page)
}

// SetCapacity sets how many machines there may be at once. A request for more machines
// than are left gets those that are left.
func (c *Cloud) SetCapacity(machines int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacity = machines
}

// Capacity returns how many machines there may be at once.
func (c *Cloud) Capacity() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.capacity
}

// SetBootTime sets how long machines that are provisioned from now on take to boot; 0: drawn at random
// for each.
func (c *Cloud) SetBootTime(boot time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bootTime = boot
}

// AddMachines adds on-demand machines that need no time to boot.
func (c *Cloud) AddMachines(machineType, zone string, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range count {
		c.addMachine(machineType, zone, false, 0)
	}
}

// addMachine makes a machine, starts its worker and returns its name. c.mu is held.
func (c *Cloud) addMachine(machineType, zone string, spot bool, boot time.Duration) (host string) {
	host = fmt.Sprintf("m-%06d", c.nextSerial)
	c.nextSerial++
	worker := newWorker(c.cluster, Machine{Host: host, MachineType: machineType, Zone: zone, Spot: spot}, boot)
	c.workers[host] = worker
	worker.Address = host
	if c.ListenWorker != nil {
		worker.Address = c.ListenWorker(http.HandlerFunc(worker.serve))
	}
	c.cluster.Net.Attach(host, http.HandlerFunc(worker.serve), nil)
	go worker.run()
	return host
}

// MachinesProvisioned returns how many machines controllers have provisioned so far.
func (c *Cloud) MachinesProvisioned() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, hosts := range c.hostsByRequest {
		count += len(hosts)
	}
	return count
}

// ZoneOf returns the zone of a machine, "" if there is none of that name.
func (c *Cloud) ZoneOf(host string) string {
	if worker := c.worker(host); worker != nil {
		return worker.Zone
	}
	return ""
}

// RandomWorker returns a random machine that is up or booting, or nil if there is none.
func (c *Cloud) RandomWorker() *Worker {
	c.mu.Lock()
	live := c.liveWorkers()
	c.mu.Unlock()
	if len(live) == 0 {
		return nil
	}
	slices.SortFunc(live, func(a, b *Worker) int { return strings.Compare(a.Host, b.Host) })
	return live[c.cluster.Net.RandIntN(len(live))]
}

func (c *Cloud) worker(host string) *Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers[host]
}

// allWorkers lists the workers of all machines, including terminated ones, in no order.
func (c *Cloud) allWorkers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]*Worker, 0, len(c.workers))
	for _, worker := range c.workers {
		all = append(all, worker)
	}
	return all
}

// liveWorkers lists the workers of the machines that are not terminated, in no order. c.mu is held.
func (c *Cloud) liveWorkers() []*Worker {
	var live []*Worker
	for _, worker := range c.workers {
		if !worker.isTerminated() {
			live = append(live, worker)
		}
	}
	return live
}

// loads returns the loads of the machines that are up and not faulty.
func (c *Cloud) loads() []machineLoad {
	var loads []machineLoad
	for _, worker := range c.allWorkers() {
		if load, isUp := worker.load(); isUp {
			loads = append(loads, load)
		}
	}
	return loads
}

// machineTypeOf returns a machine type of the catalog by its name.
func (c *Cloud) machineTypeOf(name string) (machineType wire.MachineType, ok bool) {
	for _, machineType := range c.catalog.MachineTypes {
		if machineType.Name == name {
			return machineType, true
		}
	}
	return wire.MachineType{}, false
}
