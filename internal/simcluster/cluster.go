package simcluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// Cluster is what a day consists of beside the controllers, and the judge of the
// rules.
type Cluster struct {
	Config  *config.Config
	Net     *Network
	Store   *State
	Catalog wire.Catalog
	Nodes   []string // names of the controllers

	mu             sync.Mutex
	begun          time.Time
	workers        map[string]*Worker
	bookings       map[string][]string
	serial         int
	specs          map[string]wire.JobSpec
	done           map[string]map[int]bool
	on             occupancy
	aborted        map[string]time.Time // when a user was told
	asked          map[string]bool      // jobs that their users have asked to cancel
	accepted       map[string]time.Time // when a user was told
	final          map[string]finalWord // what a user was told in the end
	begins         map[string]time.Time // when the first task of a job started
	waits          map[string]time.Time // since when a job waits although there is room
	calm           time.Time            // when all troubles were over
	copies         [][]byte             // reports that are kept for the next leader
	keeping        bool
	broken         []string
	started        int
	Capacity       int
	BootTime       time.Duration // of rented machines; 0: by chance
	FaultyJobClass string        // class of jobs that fail on every machine
	// ListenWorker, if set, lets a worker listen for direct commands and returns
	// its address; without it, workers are reached over Net by their names.
	ListenWorker func(h http.Handler) (address string)
	PollInterval time.Duration // how often a user asks about a job

	over               atomic.Bool
	CrossCheckAnswers  bool // users ask at all nodes at once when something is new
	CancelOnCompletion bool // users call off jobs in the moment of their end
	// AllowUnfinishedJobs: the users' deadline is no promise, but the end of a run in the middle of its
	// work. Jobs that are not over then are counted, and break no rule.
	AllowUnfinishedJobs bool
	unfinished          atomic.Int64
	lateStarts          int
	decisions           map[uint64]time.Time // by term: when its first placement was committed
}

// finalWord is the final status that a user was told, and when.
type finalWord struct {
	status wire.JobStatus
	at     time.Time
}

// NewCluster makes a world for a deployment.
func NewCluster(cfg *config.Config, nw *Network, nodes []string, cat wire.Catalog) *Cluster {
	w := &Cluster{Config: cfg, Net: nw, Store: NewState(), Catalog: cat, Nodes: nodes, begun: time.Now(), workers: map[string]*Worker{},
		bookings: map[string][]string{}, specs: map[string]wire.JobSpec{}, done: map[string]map[int]bool{},
		on: newOccupancy(), aborted: map[string]time.Time{}, asked: map[string]bool{}, accepted: map[string]time.Time{},
		final: map[string]finalWord{}, waits: map[string]time.Time{}, begins: map[string]time.Time{}, decisions: map[uint64]time.Time{}, Capacity: 12, PollInterval: 3 * time.Second}
	w.Store.Check = w.checkCommit
	nw.Attach(cfg.Services.State, w.Store, nil)
	nw.Attach(cfg.Services.Cloud, http.HandlerFunc(w.cloud), nil)
	return w
}

// ViolationsByRule counts the rules that were broken, with one case of each.
func (w *Cluster) ViolationsByRule() (counts map[string]int, cases []string) {
	counts = map[string]int{}
	for _, breach := range w.Violations() {
		rule, _, _ := strings.Cut(breach, " ")
		if counts[rule]++; counts[rule] == 1 {
			cases = append(cases, breach)
		}
	}
	return counts, cases
}

// Violations lists the rules that were broken.
func (w *Cluster) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string{}, w.broken...)
}

// StartCount counts the starts.
func (w *Cluster) StartCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}

// MachinesProvisioned counts the machines that were rented.
func (w *Cluster) MachinesProvisioned() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, names := range w.bookings {
		n += len(names)
	}
	return n
}

// breach notes a broken rule. w.mu is held.
func (w *Cluster) breach(rule, format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%s at %.1f s: %s", rule, time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...)))
}

// checkCommit checks what every commit of a leader must be guarded by.
func (w *Cluster) checkCommit(tx wire.Transaction) {
	limits := w.Config.StateLimits()
	if len(tx.Changes) > limits.TxnOps || len(tx.Compares) > 4*limits.TxnOps {
		w.rule("limits", "%d changes and %d guards in a commit", len(tx.Changes), len(tx.Compares))
	}
	guarded := map[string]uint64{}
	for _, g := range tx.Compares {
		guarded[g.Key] = g.ModRevision
	}
	jobs := map[string]bool{}
	for _, g := range tx.Compares {
		if g.ModRevision != 0 {
			jobs[strings.TrimPrefix(g.Key, records.JobPrefix)] = true
		}
	}
	for _, c := range tx.Changes {
		key := c.Set + c.Drop
		if uid, _, ok := records.SplitPlacementKey(c.Set); ok && jobs[uid] {
			w.decided(guarded[records.LeaderKey]) // only launches are guarded by their job
		}
		if uid, _, ok := records.SplitPlacementKey(c.Set); ok && guarded[c.Set] == 0 && !jobs[uid] {
			w.rule("unguarded", "%s is made without a guard of its job: %v", key, tx.Compares)
		}
		if float64(len(c.Value)) > limits.ValueKb*1024 {
			w.rule("limits", "the value of %s has %d bytes", key, len(c.Value))
		}
		_, own := guarded[key]
		switch {
		case strings.HasPrefix(key, records.PlacementPrefix) && (guarded[records.LeaderKey] == 0 || !own),
			strings.HasPrefix(key, records.ReturnsPrefix) && guarded[records.LeaderKey] == 0,
			strings.HasPrefix(key, records.JobPrefix) && !own:
			w.rule("unguarded", "%s is written with guards %v", key, tx.Compares)
		}
	}
}

// decided notes a term's first placement.
func (w *Cluster) decided(term uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.decisions[term]; !known {
		w.decisions[term] = time.Now()
	}
}

// FirstPlacement is when the first placement of a term newer than the given one was
// committed; ok is false if there was none yet.
func (w *Cluster) FirstPlacement(after uint64) (at time.Time, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for term, decided := range w.decisions {
		if term > after && (!ok || decided.Before(at)) {
			at, ok = decided, true
		}
	}
	return at, ok
}

// checkLaunch checks that a launch was recorded before it was sent.
func (w *Cluster) checkLaunch(name string, attempt uint64, host string) {
	if !w.recorded(name, attempt, host) {
		w.rule("unrecorded", "%s try %d is launched on %s without a record", name, attempt, host)
	}
}

// checkReturn checks that it was recorded before that a machine is returned.
func (w *Cluster) checkReturn(wk *Worker) {
	if wk.gone() >= 0 {
		return // a repeat
	}
	for _, item := range w.Store.Items(records.ReturnsPrefix) {
		if bytes.Contains(item.Value, []byte(`"`+wk.Host+`"`)) {
			return
		}
	}
	w.rule("unrecorded", "%s is returned without a record", wk.Host)
}

// checkAcknowledge checks that an end was recorded before the task is forgotten. What
// is withdrawn is never launched again and needs no such record.
func (w *Cluster) checkAcknowledge(name string, attempt uint64, host string) {
	uid, _, _ := wire.SplitTaskName(name)
	item, ok := w.Store.Get(records.JobKey(uid))
	if ok && !bytes.Contains(item.Value, []byte(wire.JobAborted)) && w.recorded(name, attempt, host) {
		w.rule("reaped", "%s try %d is reaped on %s, but its record says it may run", name, attempt, host)
	}
}

func (w *Cluster) recorded(name string, attempt uint64, host string) bool {
	uid, n, _ := wire.SplitTaskName(name)
	for _, item := range w.Store.Items(records.PlacementPrefix + uid + "/") {
		rec, err := records.DecodePlacement(item.Value)
		if err != nil {
			panic(err)
		}
		for _, p := range rec.Live {
			if p.Task == n && p.Attempt == attempt && p.Host == host {
				return true
			}
		}
	}
	return false
}

// TaskStarted is called when a task has its image and begins to run on a machine.
func (w *Cluster) TaskStarted(task, host, machineType, zone string, spot bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	uid, _, _ := wire.SplitTaskName(task)
	s, ok := w.specs[uid]
	if !ok {
		w.breach("invented", "%s starts, but nobody submitted it", task)
		return
	}
	if _, begun := w.begins[uid]; !begun {
		w.begins[uid] = time.Now()
	}
	if hosts := w.on.hosts[task]; len(hosts) > 0 {
		w.breach("ran_twice", "%s starts on %s and is on %v", task, host, hosts)
	}
	w.on.put(task, host, &s)
	w.checkReleased(task, &s)
	if at, ok := w.aborted[uid]; ok {
		w.lateStarts++
		if time.Since(at).Seconds() > w.Config.Cluster.Workers.CancelS {
			w.breach("ran_cancelled", "%s starts on %s", task, host)
		}
	}
	if len(s.MachineTypes) > 0 && !strings.Contains(strings.Join(s.MachineTypes, " "), machineType) || s.Zone != "" && s.Zone != zone || spot && !s.AllowSpot {
		w.breach("wrong_place", "%s starts on %s (%s, %s, standby %v)", task, host, machineType, zone, spot)
	}
	zones := map[string]int{}
	w.on.eachOf(uid, func(hosts map[string]bool) {
		for h := range hosts {
			zones[w.workers[h].Zone]++
		}
	})
	if s.SingleZone && len(zones) > 1 || s.SpreadZones && zones[zone] > (s.TaskCount+1)/2 {
		w.breach("wrong_place", "%s starts on %s: zones %v", task, host, zones)
	}
	w.checkQuota(s.Team)
}

// checkQuota checks that a team's tasks use no more than its limit. w.mu is held.
func (w *Cluster) checkQuota(team string) {
	t, ok := w.Config.Team(team)
	if !ok || t.CpusMax <= 0 && t.GpusMax <= 0 {
		return
	}
	var cores, gpus float64
	for uid := range w.on.byTeam[team] {
		on := float64(w.on.countOf(uid))
		cores += w.specs[uid].Cores * on
		gpus += w.specs[uid].Gpus * on
	}
	if t.CpusMax > 0 && cores > t.CpusMax || t.GpusMax > 0 && gpus > t.GpusMax {
		w.breach("quota", "%s uses %v cores and %v gpus", team, cores, gpus)
	}
}

// End is called when a task leaves a machine; completed if it ran to its end.
func (w *Cluster) TaskEnded(task, host string, completed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.on.take(task, host)
	if completed {
		uid, n, _ := wire.SplitTaskName(task)
		if w.done[uid] == nil {
			w.done[uid] = map[int]bool{}
		}
		w.done[uid][n] = true
		if w.CancelOnCompletion && len(w.done[uid]) == w.specs[uid].TaskCount {
			go w.Cancel(w.Nodes[len(uid)%len(w.Nodes)], uid)
		}
	}
}

// sweepCancelled looks for tasks that outlive their cancellation.
func (w *Cluster) sweepCancelled() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, hosts := range w.on.hosts {
		uid, _, _ := wire.SplitTaskName(task)
		if at, ok := w.aborted[uid]; ok && time.Since(at).Seconds() > w.Config.Cluster.Workers.CancelS {
			w.breach("ran_cancelled", "%s is on %v, %.1f s after its user was told", task, hosts, time.Since(at).Seconds())
			delete(w.aborted, uid)
		}
	}
}

// cloud answers the protocol of the cloud.
func (w *Cluster) cloud(rw http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/catalog":
		reply(rw, http.StatusOK, w.Catalog)
	case r.URL.Path == "/machines" && r.Method == http.MethodPost:
		var q wire.ProvisionRequest
		if json.NewDecoder(r.Body).Decode(&q) != nil {
			reply(rw, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
			return
		}
		w.provision(rw, q)
	case r.URL.Path == "/machines/return":
		var q wire.HostNames
		if json.NewDecoder(r.Body).Decode(&q) != nil || len(q.Hosts) > wire.MaxReturn {
			reply(rw, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
			return
		}
		for _, h := range q.Hosts {
			w.mu.Lock()
			wk := w.workers[h]
			w.mu.Unlock()
			if wk != nil {
				w.checkReturn(wk)
				wk.Die()
			}
		}
		reply(rw, http.StatusOK, struct{}{})
	case r.URL.Path == "/machines":
		w.list(rw, r)
	}
}

// mostListed is how many machines a page of the list has at most.
const mostListed = 500

// list answers a page of the machine list, as old as the settings say.
func (w *Cluster) list(rw http.ResponseWriter, r *http.Request) {
	most, err := strconv.Atoi(r.URL.Query().Get("Most"))
	if err != nil || most < 1 || most > mostListed {
		reply(rw, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	after := r.URL.Query().Get("After")
	w.mu.Lock()
	defer w.mu.Unlock()
	out := wire.HostList{Hosts: []wire.ListedHost{}}
	lag := w.Config.ListLag()
	for _, wk := range w.workers {
		age := time.Since(wk.born)
		if age < lag || wk.gone() > lag || wk.Host <= after {
			continue
		}
		status := wire.HostRunning
		if age < wk.boot {
			status = wire.HostBooting
		}
		out.Hosts = append(out.Hosts, wire.ListedHost{UID: wk.Host, Address: wk.Address, MachineType: wk.MachineType, Zone: wk.Zone, Spot: wk.Spot, Status: status, AgeS: age.Seconds()})
	}
	sort.Slice(out.Hosts, func(i, j int) bool { return out.Hosts[i].UID < out.Hosts[j].UID })
	if out.More = len(out.Hosts) > most; out.More {
		out.Hosts = out.Hosts[:most]
	}
	reply(rw, http.StatusOK, out)
}

func (w *Cluster) provision(rw http.ResponseWriter, q wire.ProvisionRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if names, ok := w.bookings[q.RequestID]; ok {
		reply(rw, http.StatusOK, wire.HostNames{Hosts: names})
		return
	}
	up := 0
	for _, wk := range w.workers {
		if wk.gone() < 0 {
			up++
		}
	}
	n := min(q.Count, w.Capacity-up)
	if n <= 0 {
		reply(rw, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "no capacity"})
		return
	}
	var names []string
	for range n {
		boot := w.BootTime
		if boot == 0 {
			boot = time.Duration(5+w.Net.RandIntN(15)) * time.Second
		}
		names = append(names, w.add(q.MachineType, q.Zone, q.Spot, boot))
	}
	w.bookings[q.RequestID] = names
	reply(rw, http.StatusOK, wire.HostNames{Hosts: names})
}

// add makes a machine. w.mu is held.
func (w *Cluster) add(machineType, zone string, spot bool, boot time.Duration) string {
	host := fmt.Sprintf("m-%06d", w.serial)
	w.serial++
	wk := newWorker(w, host, machineType, zone, spot, boot)
	w.workers[host] = wk
	wk.Address = host
	if w.ListenWorker != nil {
		wk.Address = w.ListenWorker(http.HandlerFunc(wk.serve))
	}
	w.Net.Attach(host, http.HandlerFunc(wk.serve), nil)
	go wk.run()
	return host
}

// AddMachines makes machines that are up at once.
func (w *Cluster) AddMachines(machineType, zone string, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for range n {
		w.add(machineType, zone, false, 0)
	}
}

// RandomWorker picks a machine that is up, by chance.
func (w *Cluster) RandomWorker() *Worker {
	w.mu.Lock()
	var up []*Worker
	for _, wk := range w.workers {
		if wk.gone() < 0 {
			up = append(up, wk)
		}
	}
	w.mu.Unlock()
	if len(up) == 0 {
		return nil
	}
	sort.Slice(up, func(i, j int) bool { return up[i].Host < up[j].Host })
	return up[w.Net.RandIntN(len(up))]
}

// ZoneOf is the zone of a machine.
func (w *Cluster) ZoneOf(host string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if wk := w.workers[host]; wk != nil {
		return wk.Zone
	}
	return ""
}

// StopMachines ends all machines, at the end of a day.
func (w *Cluster) StopMachines() {
	w.over.Store(true)
	w.mu.Lock()
	var all []*Worker
	for _, wk := range w.workers {
		all = append(all, wk)
	}
	w.mu.Unlock()
	for _, wk := range all {
		wk.Die()
	}
}

// Ask sends a request as a user to a controller.
func (w *Cluster) Request(node, method, path string, body any) (int, wire.JobView) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	client := http.Client{Transport: w.Net.Transport("user"), Timeout: 5 * time.Second}
	req, err := http.NewRequest(method, "http://"+node+path, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, wire.JobView{}
	}
	defer resp.Body.Close()
	var v wire.JobView
	if resp.StatusCode < 300 {
		if err := json.NewDecoder(resp.Body).Decode(&v); err != nil {
			panic(err)
		}
	}
	return resp.StatusCode, v
}

// UploadSpec makes a job's description known to workers.
func (w *Cluster) UploadSpec(spec wire.JobSpec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.specs[spec.UID] = spec
}

// RunUser submits a job, polls it and, if it stands, withdraws it after stay. It
// returns when the job is over, or at the deadline.
func (w *Cluster) RunUser(spec wire.JobSpec, stay time.Duration, deadline time.Time) {
	if w.SubmitUntil(spec, deadline) {
		w.FollowJob(spec, stay, deadline)
	}
}

// node picks a controller, as the load balancer does.
func (w *Cluster) node() string { return w.Nodes[w.Net.RandIntN(len(w.Nodes))] }

// SubmitUntil submits a job until it is accepted. It reports whether it was before the
// deadline.
func (w *Cluster) SubmitUntil(spec wire.JobSpec, deadline time.Time) bool {
	w.UploadSpec(spec)
	for !w.Submit(w.node(), spec) {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(time.Second)
	}
	return true
}

// checkUnfinished judges a job at its user's deadline.
func (w *Cluster) checkUnfinished(uid string) {
	switch {
	case w.FinalStatus(uid) != "":
	case w.AllowUnfinishedJobs:
		w.unfinished.Add(1)
	default:
		w.rule("forgotten", "%s was not over in time", uid)
	}
}

// UnfinishedJobs is how many jobs were not over when the world was cut off.
func (w *Cluster) UnfinishedJobs() int { return int(w.unfinished.Load()) }

// FollowJob polls an accepted job and withdraws it after stay, if that is above 0. It
// returns when the job is over, or at the deadline.
func (w *Cluster) FollowJob(spec wire.JobSpec, stay time.Duration, deadline time.Time) {
	announced := 0
	leaveAt := time.Now().Add(stay)
	for {
		if time.Now().After(deadline) {
			w.checkUnfinished(spec.UID)
			return
		}
		w.Poll(w.node(), spec.UID)
		if w.FinalStatus(spec.UID) != "" {
			if announced++; announced > 4 {
				return
			}
		} else if stay > 0 && time.Now().After(leaveAt) {
			if !w.Cancel(w.node(), spec.UID) {
				time.Sleep(time.Second) // it may have been carried out all the same
			}
			continue
		}
		time.Sleep(w.PollInterval)
	}
}

func (w *Cluster) rule(rule, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breach(rule, format, args...)
}

// WatchInvariants looks for tasks that outlive their cancellation, and for jobs that wait
// although there is room, until the deadline or the end of the day.
func (w *Cluster) WatchInvariants(deadline time.Time) {
	for time.Now().Before(deadline) && !w.over.Load() {
		time.Sleep(500 * time.Millisecond)
		w.sweepCancelled()
		w.sweepWaiting()
	}
}
