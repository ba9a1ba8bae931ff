package simcluster

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// Worker is one machine and the worker on it.
type Worker struct {
	Host, MachineType, Zone string
	Address                 string // for direct commands
	Spot                    bool

	w    *Cluster
	born time.Time
	boot time.Duration
	died atomic.Int64 // when, after born; 0 while it lives

	mu       sync.Mutex
	dead     bool
	hungTill time.Time
	sickTill time.Time
	session  uint64
	sequence uint64
	token    uint64
	answered time.Time // when the last answered report was sent
	node     int
	tasks    map[taskKey]*workerTask
	images   map[string]bool
	poke     chan struct{}
	stop     chan struct{}
}

type taskKey struct {
	name    string
	attempt uint64
}

type workerTask struct {
	status       wire.TaskStatus
	cause        wire.Cause
	checkpointed bool
	on           bool
	due          time.Time // of the next change
}

func newWorker(w *Cluster, host, machineType, zone string, spot bool, boot time.Duration) *Worker {
	return &Worker{Host: host, MachineType: machineType, Zone: zone, Spot: spot, w: w, born: time.Now(), boot: boot, session: 1,
		tasks: map[taskKey]*workerTask{}, images: map[string]bool{}, poke: make(chan struct{}, 1), stop: make(chan struct{})}
}

// gone is how long ago the machine went, or negative.
func (k *Worker) gone() time.Duration {
	at := k.died.Load()
	if at == 0 {
		return -1
	}
	return time.Since(k.born) - time.Duration(at)
}

// Die ends the machine with all on it.
func (k *Worker) Die() {
	k.mu.Lock()
	if k.dead {
		k.mu.Unlock()
		return
	}
	k.dead = true
	k.died.Store(max(1, int64(time.Since(k.born))))
	close(k.stop)
	off := k.killAll()
	k.mu.Unlock()
	for _, name := range off {
		k.w.TaskEnded(name, k.Host, false)
	}
	k.w.Net.Attach(k.Host, nil, nil)
}

// Hang stops the machine for a while; it goes on later, within its lease or not.
func (k *Worker) Hang(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hungTill = time.Now().Add(d)
}

// FailTasks makes every task that starts in the next while fail.
func (k *Worker) FailTasks(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sickTill = time.Now().Add(d)
}

// killAll forgets all tasks and returns those that were on the machine. k.mu
// is held.
func (k *Worker) killAll() []string {
	var off []string
	for key, l := range k.tasks {
		if l.on {
			off = append(off, key.name)
		}
	}
	slices.Sort(off)
	k.tasks = map[taskKey]*workerTask{}
	return off
}

func (k *Worker) changed() {
	select {
	case k.poke <- struct{}{}:
	default:
	}
}

// run is the machine's life: it boots, then reports and runs its tasks.
func (k *Worker) run() {
	if !k.pause(k.boot) {
		return
	}
	k.mu.Lock()
	k.answered = time.Now()
	k.node = k.w.Net.RandIntN(len(k.w.Nodes))
	k.mu.Unlock()
	go k.work()
	for k.waitForHeartbeat() && k.pause(k.hang()) {
		for !k.report() {
			// The next node is tried 1 s later.
			if !k.pause(time.Second) || !k.pause(k.hang()) {
				return
			}
		}
	}
}

// waitForHeartbeat waits until a report is due. It returns false if the machine has ended.
func (k *Worker) waitForHeartbeat() bool {
	every := k.w.Config.HeartbeatInterval()
	next := every*3/4 + time.Duration(k.w.Net.RandIntN(int(every/2)))
	select {
	case <-k.stop:
		return false
	case <-time.After(next):
		return true
	case <-k.poke:
		return k.pause(200 * time.Millisecond)
	}
}

func (k *Worker) hang() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(0, time.Until(k.hungTill))
}

func (k *Worker) pause(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-k.stop:
		return false
	case <-t.C:
		return true
	}
}

// body makes the report as it stands. k.mu is held.
func (k *Worker) body() []byte {
	k.sequence++
	r := wire.Heartbeat{Host: k.Host, Address: k.Address, MachineType: k.MachineType, Zone: k.Zone, Spot: k.Spot, Incarnation: k.session, Sequence: k.sequence, FencingToken: k.token, Tasks: []wire.TaskReport{}}
	for key, l := range k.tasks {
		r.Tasks = append(r.Tasks, wire.TaskReport{Task: key.name, Attempt: key.attempt, Status: l.status, Cause: l.cause, Checkpointed: l.checkpointed})
	}
	data, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return data
}

// report sends one report; false means that the next node is to be tried.
func (k *Worker) report() bool {
	k.mu.Lock()
	sent := time.Now()
	k.mind(sent)
	incarnation := k.session
	data := k.body()
	node := k.w.Nodes[k.node]
	if k.sequence%7 == 0 {
		// A copy of this report arrives much later.
		go func() {
			if k.pause(time.Duration(2+k.w.Net.RandIntN(25)) * time.Second) {
				k.w.post(k.Host, k.w.Nodes[k.w.Net.RandIntN(len(k.w.Nodes))], data)
			}
		}()
	}
	k.mu.Unlock()
	k.w.keep(data)
	status, body := k.w.post(k.Host, node, data)
	k.mu.Lock()
	defer k.mu.Unlock()
	switch status {
	case http.StatusOK:
		var o wire.Commands
		if json.Unmarshal(body, &o) != nil || o.FencingToken < k.token {
			return true // dropped
		}
		if k.session != incarnation {
			return true
		}
		if o.FencingToken > k.token {
			k.token = o.FencingToken
			k.changed()
		}
		k.answered = sent
		k.execute(o.Commands)
		return true
	case http.StatusMisdirectedRequest:
		var to wire.Redirect
		if json.Unmarshal(body, &to) == nil {
			if i := slices.Index(k.w.Nodes, to.Leader); i >= 0 && i != k.node {
				k.node = i
				k.changed()
				return true
			}
		}
	}
	k.node = (k.node + 1) % len(k.w.Nodes)
	return false
}

// post sends a report to a node. The answer is dropped after 4 s.
func (w *Cluster) post(from, node string, data []byte) (int, []byte) {
	client := http.Client{Transport: w.Net.Transport(from), Timeout: 4 * time.Second}
	resp, err := client.Post("http://"+node+"/checkin", "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, body
}

// execute carries out orders. k.mu is held.
func (k *Worker) execute(orders []wire.Command) {
	for _, o := range orders {
		key := taskKey{o.Task, o.Attempt}
		l := k.tasks[key]
		switch o.Verb {
		case wire.Launch:
			if l != nil {
				continue
			}
			k.w.checkLaunch(o.Task, o.Attempt, k.Host)
			l = &workerTask{status: wire.TaskFetching, due: time.Now().Add(time.Duration(1+k.w.Net.RandIntN(4)) * time.Second)}
			for other, ol := range k.tasks {
				if other.name == o.Task && ol.status != wire.TaskEnded {
					l.status, l.cause = wire.TaskEnded, wire.CauseInUse
				}
			}
			if l.status != wire.TaskEnded && !k.room(o.Task) {
				l.status, l.cause = wire.TaskEnded, wire.CauseNoRoom
			}
			k.tasks[key] = l
		case wire.Stop:
			if l == nil || l.status == wire.TaskEnded {
				continue
			}
			uid, _, _ := wire.SplitTaskName(o.Task)
			s := k.spec(uid)
			if l.status == wire.TaskRunning && s.CheckpointIntervalS > 0 && o.GracePeriodS >= s.CheckpointOnStopS {
				l.status, l.due = wire.TaskSaving, time.Now().Add(time.Duration(s.CheckpointOnStopS*float64(time.Second)))
			} else if l.status != wire.TaskSaving || o.GracePeriodS == 0 {
				k.end(key, l, wire.CauseStopped)
			}
		case wire.Acknowledge:
			if l != nil && l.status == wire.TaskEnded {
				k.w.checkAcknowledge(o.Task, o.Attempt, k.Host)
				delete(k.tasks, key)
			}
		}
		k.changed()
	}
}

func (k *Worker) spec(uid string) wire.JobSpec {
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	return k.w.specs[uid]
}

func (k *Worker) room(name string) bool {
	uid, _, _ := wire.SplitTaskName(name)
	need := k.spec(uid)
	cores, gpus := need.Cores, need.Gpus
	for key, l := range k.tasks {
		if l.status != wire.TaskEnded {
			u, _, _ := wire.SplitTaskName(key.name)
			s := k.spec(u)
			cores, gpus = cores+s.Cores, gpus+s.Gpus
		}
	}
	for _, r := range k.w.Catalog.MachineTypes {
		if r.Name == k.MachineType {
			return cores <= r.Cores && gpus <= r.Gpus
		}
	}
	return false
}

// end ends a task. k.mu is held.
func (k *Worker) end(key taskKey, l *workerTask, why wire.Cause) {
	if l.on {
		l.on = false
		k.w.TaskEnded(key.name, k.Host, why == wire.CauseDone)
	}
	l.status, l.cause = wire.TaskEnded, why
	k.changed()
}

// mind ends the session if its lease has ended. k.mu is held.
func (k *Worker) mind(now time.Time) {
	if now.Sub(k.answered) <= k.w.Config.WorkerLease() {
		return
	}
	off := k.killAll()
	k.session++
	k.answered = now
	for _, name := range off {
		k.w.TaskEnded(name, k.Host, false)
	}
	k.changed()
}

// work runs the tasks and minds the lease.
func (k *Worker) work() {
	for k.pause(100 * time.Millisecond) {
		k.mu.Lock()
		now := time.Now()
		if now.Before(k.hungTill) {
			k.mu.Unlock()
			continue
		}
		k.mind(now)
		for key, l := range k.tasks {
			if l.status == wire.TaskEnded || now.Before(l.due) || l.due.IsZero() {
				continue
			}
			uid, _, _ := wire.SplitTaskName(key.name)
			s := k.spec(uid)
			switch l.status {
			case wire.TaskFetching:
				l.status, l.on, l.due = wire.TaskRunning, true, time.Time{}
				k.w.TaskStarted(key.name, k.Host, k.MachineType, k.Zone, k.Spot)
				if now.Before(k.sickTill) || s.JobClass != "" && s.JobClass == k.w.FaultyJobClass {
					k.end(key, l, wire.CauseError)
				} else if s.Kind == wire.JobArray {
					l.due = now.Add(time.Duration(s.ExpectedRunS * float64(time.Second)))
				}
				k.changed()
			case wire.TaskRunning:
				k.end(key, l, wire.CauseDone)
			case wire.TaskSaving:
				l.checkpointed = true
				k.end(key, l, wire.CauseStopped)
			}
		}
		k.mu.Unlock()
	}
}

// serve answers direct commands.
func (k *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r.URL.Path == "/show" {
		reply(rw, http.StatusOK, json.RawMessage(k.body()))
		return
	}
	var d wire.DirectCommands
	if json.NewDecoder(r.Body).Decode(&d) != nil || d.FencingToken == 0 || d.Incarnation == 0 {
		reply(rw, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	if d.FencingToken < k.token || d.Incarnation != k.session || k.dead {
		reply(rw, http.StatusConflict, json.RawMessage(k.body()))
		return
	}
	if d.FencingToken > k.token {
		k.token = d.FencingToken
		k.changed()
	}
	k.execute(d.Commands)
	reply(rw, http.StatusOK, json.RawMessage(k.body()))
}
