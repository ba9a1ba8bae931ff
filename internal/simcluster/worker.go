package simcluster

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// Machine describes a machine as the cloud provisioned it.
type Machine struct {
	Host, MachineType, Zone string
	Spot                    bool
}

// Worker is a machine and the worker process on it, written from the published protocol. It is safe for
// concurrent use.
type Worker struct {
	Machine
	Address string // for direct commands

	cluster         *Cluster
	provisionedAt   time.Time
	boot            time.Duration
	terminatedAfter atomic.Int64 // nanoseconds from provisionedAt to its termination; 0 until then

	mu             sync.Mutex
	terminated     bool
	suspendedUntil time.Time
	failUntil      time.Time // tasks that start before this time fail
	incarnation    uint64
	sequence       uint64
	fencingToken   uint64    // highest fencing token seen
	leaseStart     time.Time // when the last answered heartbeat was sent
	nodeIndex      int       // index in Cluster.Nodes of the controller that heartbeats go to
	tasks          map[taskKey]*workerTask
	heartbeatDue   chan struct{} // a change of the worker's state makes a heartbeat due early
	stop           chan struct{}
}

// taskKey identifies an attempt of a task.
type taskKey struct {
	name    string
	attempt uint64
}

// workerTask is the state of an attempt on its worker.
type workerTask struct {
	status       wire.TaskStatus
	cause        wire.Cause
	checkpointed bool
	onMachine    bool      // it has started and not ended: the checker counts it as on the machine
	nextChangeAt time.Time // when its status changes by itself; zero: it does not
}

// taskInterval is how often a worker advances its tasks and checks its lease.
const taskInterval = 100 * time.Millisecond

func newWorker(cluster *Cluster, machine Machine, boot time.Duration) *Worker {
	return &Worker{
		Machine:       machine,
		cluster:       cluster,
		provisionedAt: time.Now(),
		boot:          boot,
		incarnation:   1,
		tasks:         map[taskKey]*workerTask{},
		heartbeatDue:  make(chan struct{}, 1),
		stop:          make(chan struct{}),
	}
}

// Terminate terminates the machine with all its tasks. A second call does nothing.
func (w *Worker) Terminate() {
	w.mu.Lock()
	if w.terminated {
		w.mu.Unlock()
		return
	}
	w.terminated = true
	w.terminatedAfter.Store(max(1, int64(w.age())))
	close(w.stop)
	killed := w.killTasks()
	w.mu.Unlock()
	for _, name := range killed {
		w.cluster.taskEnded(name, w.Host, false)
	}
	w.cluster.Net.Attach(w.Host, nil, nil)
}

// Suspend suspends the machine for d. Its tasks continue afterwards unless its lease has expired by then.
func (w *Worker) Suspend(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.suspendedUntil = time.Now().Add(d)
	w.cluster.Checker.recordSuspension(w.Host, w.suspendedUntil)
}

// FailTasks makes every task that starts within d fail.
func (w *Worker) FailTasks(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failUntil = time.Now().Add(d)
}

// age returns how long ago the machine was provisioned.
func (w *Worker) age() time.Duration { return time.Since(w.provisionedAt) }

// sinceTermination returns how long ago the machine was terminated; it is negative until then.
func (w *Worker) sinceTermination() time.Duration {
	terminatedAfter := w.terminatedAfter.Load()
	if terminatedAfter == 0 {
		return -1
	}
	return w.age() - time.Duration(terminatedAfter)
}

func (w *Worker) isTerminated() bool { return w.sinceTermination() >= 0 }

// listEntry returns the machine's entry in the cloud's list at the given age.
func (w *Worker) listEntry(age time.Duration) wire.ListedHost {
	status := wire.HostRunning
	if age < w.boot {
		status = wire.HostBooting
	}
	return wire.ListedHost{
		UID:         w.Host,
		Address:     w.Address,
		MachineType: w.MachineType,
		Zone:        w.Zone,
		Spot:        w.Spot,
		Status:      status,
		AgeS:        age.Seconds(),
	}
}

// load returns the capacity and the tasks of the machine; isUp is false if it is terminated, booting or faulty,
// that is, suspended or failing the tasks that start on it.
func (w *Worker) load() (load machineLoad, isUp bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.terminated || now.Before(w.suspendedUntil) || now.Before(w.failUntil) || now.Sub(w.provisionedAt) < w.boot {
		return machineLoad{}, false
	}
	load = machineLoad{Machine: w.Machine}
	if machineType, ok := w.cluster.Cloud.machineTypeOf(w.MachineType); ok {
		load.freeCores, load.freeGpus, load.freeRAMGb = machineType.Cores, machineType.Gpus, machineType.RAMGb
	}
	for key, task := range w.tasks {
		if task.status != wire.TaskEnded {
			load.tasks = append(load.tasks, key.name)
		}
	}
	return load, true
}

// run boots the machine, then sends heartbeats and runs its tasks until it is terminated.
func (w *Worker) run() {
	if !w.sleep(w.boot) {
		return
	}
	w.mu.Lock()
	w.leaseStart = time.Now()
	w.nodeIndex = w.cluster.Net.RandIntN(len(w.cluster.Nodes))
	w.mu.Unlock()
	go w.runTasks()
	for w.waitForHeartbeat() && w.sleep(w.remainingSuspension()) {
		for !w.sendHeartbeat() {
			// The next node is tried 1 s later.
			if !w.sleep(time.Second) || !w.sleep(w.remainingSuspension()) {
				return
			}
		}
	}
}

// remainingSuspension returns how long the machine remains suspended.
func (w *Worker) remainingSuspension() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(0, time.Until(w.suspendedUntil))
}

// sleep waits for d. It returns false if the machine is terminated meanwhile.
func (w *Worker) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-w.stop:
		return false
	case <-timer.C:
		return true
	}
}

// runTasks advances the tasks, and ends the incarnation when its lease expires, until the machine is
// terminated.
func (w *Worker) runTasks() {
	for w.sleep(taskInterval) {
		w.advance()
	}
}

// advance ends the incarnation if its lease has expired, and changes the status of the tasks whose
// nextChangeAt has come.
func (w *Worker) advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Before(w.suspendedUntil) {
		return
	}
	w.expireLease(now)
	for key, task := range w.tasks {
		if task.status == wire.TaskEnded || now.Before(task.nextChangeAt) || task.nextChangeAt.IsZero() {
			continue
		}
		switch task.status {
		case wire.TaskFetching:
			w.startTask(key, task, now)
		case wire.TaskRunning:
			w.endTask(key, task, wire.CauseDone)
		case wire.TaskSaving:
			task.checkpointed = true
			w.endTask(key, task, wire.CauseStopped)
		}
	}
}

// startTask starts a task that has fetched its image. The task fails at once if it is of the faulty class or
// the machine fails tasks. w.mu is held.
func (w *Worker) startTask(key taskKey, task *workerTask, now time.Time) {
	uid, _, _ := wire.SplitTaskName(key.name)
	spec := w.cluster.Checker.spec(uid)
	task.status, task.onMachine, task.nextChangeAt = wire.TaskRunning, true, time.Time{}
	w.cluster.Checker.TaskStarted(key.name, w.Machine)
	if now.Before(w.failUntil) || spec.JobClass != "" && spec.JobClass == w.cluster.FaultyJobClass {
		w.endTask(key, task, wire.CauseError)
	} else if spec.Kind == wire.JobArray {
		task.nextChangeAt = now.Add(time.Duration(spec.ExpectedRunS * float64(time.Second)))
	}
	w.notifyChange()
}

// endTask ends a task. w.mu is held.
func (w *Worker) endTask(key taskKey, task *workerTask, cause wire.Cause) {
	if task.onMachine {
		task.onMachine = false
		w.cluster.taskEnded(key.name, w.Host, cause == wire.CauseDone)
	}
	task.status, task.cause = wire.TaskEnded, cause
	w.notifyChange()
}

// killTasks removes all attempts and returns the names of the tasks that were running. w.mu is held.
func (w *Worker) killTasks() (killed []string) {
	for key, task := range w.tasks {
		if task.onMachine {
			killed = append(killed, key.name)
		}
	}
	slices.Sort(killed)
	w.tasks = map[taskKey]*workerTask{}
	return killed
}

// expireLease ends the incarnation and all its tasks if its lease has expired. w.mu is held.
func (w *Worker) expireLease(now time.Time) {
	if now.Sub(w.leaseStart) <= w.cluster.Config.WorkerLease() {
		return
	}
	killed := w.killTasks()
	w.incarnation++
	w.leaseStart = now
	for _, name := range killed {
		w.cluster.taskEnded(name, w.Host, false)
	}
	w.notifyChange()
}

// notifyChange makes a heartbeat due: a worker reports a change without waiting for the next interval.
func (w *Worker) notifyChange() {
	select {
	case w.heartbeatDue <- struct{}{}:
	default:
	}
}
