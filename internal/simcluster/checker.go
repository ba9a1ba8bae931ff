package simcluster

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/simcluster/fakestore"
	"lotusstile.dev/lotusstile/wire"
)

// Checker checks the invariants of the service. The fakes report to it what they receive. It records the
// answers that users received and the tasks that run on machines, and lists the violations. It is safe for
// concurrent use.
//
// The checker may be called while a worker or the store is locked. To avoid deadlocks it never calls
// workers, and reads the store only while it holds no lock of its own.
type Checker struct {
	config    *config.Config
	store     *fakestore.Store
	zoneOf    func(host string) string
	createdAt time.Time

	mu              sync.Mutex
	jobs            map[string]*jobHistory
	onMachines      occupancy
	faultsOverAt    time.Time // zero while there may be faults
	violations      []string
	suspendedUntil  map[string]time.Time // by machine
	startCount      int
	firstPlacements map[uint64]time.Time // by term: when its first placement was committed
}

// jobHistory is what has happened to a job. The time of an event that has not happened is zero.
type jobHistory struct {
	spec            wire.JobSpec
	hasSpec         bool         // spec is set: its user has begun to submit the job
	completedTasks  map[int]bool // tasks that ran to their end
	firstStart      time.Time
	placedSince     map[string]time.Time // by placement record: since when it has listed attempts that may run
	acceptedAt      time.Time            // when its user was first told that it is accepted
	cancelRequested bool                 // its user has asked to cancel it
	cancelledAt     time.Time            // when its user was first told that it is cancelled
	finalStatus     wire.JobStatus
	finalAt         time.Time // when its user was first told a final status
	waitingSince    time.Time // since when it has waited although a machine had free capacity for it
}

// The rules that the checker checks. A violation begins with the name of the rule that it breaks.
const (
	ruleForgotten    = "forgotten"     // an accepted job is unknown later, a valid job is refused, or a job is not over in time
	ruleInvented     = "invented"      // a job that nobody submitted starts or has a status
	ruleLateBegin    = "late_begin"    // one of the largest jobs has not started within maxStartDelay of its acceptance
	ruleLeftWaiting  = "left_waiting"  // a job waits for longer than maxWait although a machine has free capacity for it
	ruleLimits       = "limits"        // a commit is larger than the state store allows
	ruleNotDone      = "not_done"      // a job is reported done before all its tasks have completed
	ruleOrphaned     = "orphaned"      // a job is not over more than cancel_s after a dependency was reported cancelled
	ruleQuota        = "quota"         // a team uses more than its limit
	ruleRanCancelled = "ran_cancelled" // a task is on a machine more than cancel_s after its job was reported cancelled
	ruleRanTwice     = "ran_twice"     // a task starts while it is already on a machine
	ruleReaped       = "reaped"        // an attempt is acknowledged before its end is recorded
	ruleTooEarly     = "too_early"     // a task starts before the dependencies of its job are done
	ruleUnguarded    = "unguarded"     // a write lacks a compare that it needs
	ruleUnrecorded   = "unrecorded"    // a launch or a machine release is sent before it is recorded
	ruleUnserved     = "unserved"      // fewer than half of a group of jobs are served
	ruleWentBack     = "went_back"     // a status contradicts an earlier answer or what users have cancelled
	ruleWrongStatus  = "wrong_status"  // a job is reported queued while a task of it runs, or running before any has started or could have
	ruleWrongPlace   = "wrong_place"   // a task starts on a machine or in a zone that its job does not allow
)

func newChecker(cfg *config.Config, store *fakestore.Store, zoneOf func(host string) string) *Checker {
	return &Checker{
		config:          cfg,
		store:           store,
		zoneOf:          zoneOf,
		createdAt:       time.Now(),
		jobs:            map[string]*jobHistory{},
		onMachines:      newOccupancy(),
		suspendedUntil:  map[string]time.Time{},
		firstPlacements: map[uint64]time.Time{},
	}
}

// Violations returns the violations so far, each as the rule, the time since the checker was created and what
// happened.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// ViolationsByRule returns the number of violations of each rule, and the first violation of each.
func (c *Checker) ViolationsByRule() (counts map[string]int, firstCases []string) {
	counts = map[string]int{}
	for _, violation := range c.Violations() {
		rule, _, _ := strings.Cut(violation, " ")
		if counts[rule]++; counts[rule] == 1 {
			firstCases = append(firstCases, violation)
		}
	}
	return counts, firstCases
}

// StartCount returns how many tasks have started on machines.
func (c *Checker) StartCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startCount
}

// TasksOnMachines returns how many tasks of a job are on machines.
func (c *Checker) TasksOnMachines(uid string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.onMachines.taskCount(uid)
}

// report records a violation of a rule. It takes c.mu.
func (c *Checker) report(rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportLocked(rule, format, args...)
}

// reportLocked records a violation of a rule. c.mu is held.
func (c *Checker) reportLocked(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.violations = append(c.violations, fmt.Sprintf("%s at %.1f s: %s", rule, time.Since(c.createdAt).Seconds(), text))
}

// job returns the history of a job, and creates an empty one if there is none. c.mu is held.
func (c *Checker) job(uid string) *jobHistory {
	if c.jobs[uid] == nil {
		c.jobs[uid] = &jobHistory{completedTasks: map[int]bool{}, placedSince: map[string]time.Time{}}
	}
	return c.jobs[uid]
}

// registerSpec makes a job's specification known.
func (c *Checker) registerSpec(spec wire.JobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.job(spec.UID)
	job.spec, job.hasSpec = spec, true
}

// spec returns a job's specification, empty if none is registered.
func (c *Checker) spec(uid string) wire.JobSpec {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.job(uid).spec
}

// TaskStarted records that a task starts on a machine, and checks that it may.
func (c *Checker) TaskStarted(task string, machine Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startCount++
	uid, _, _ := wire.SplitTaskName(task)
	job := c.job(uid)
	if !job.hasSpec {
		c.reportLocked(ruleInvented, "%s starts, but nobody submitted it", task)
		return
	}
	if job.firstStart.IsZero() {
		job.firstStart = time.Now()
	}
	if hosts := c.onMachines.hostsOf[task]; len(hosts) > 0 {
		c.reportLocked(ruleRanTwice, "%s starts on %s while it is on %v", task, machine.Host, hosts)
	}
	c.onMachines.add(task, machine.Host, &job.spec)
	c.checkDependenciesDone(task, &job.spec)
	if c.isPastCancelDeadline(job, time.Now()) {
		c.reportLocked(ruleRanCancelled, "%s starts on %s more than cancel_s after its job was reported cancelled", task, machine.Host)
	}
	c.checkPlace(task, &job.spec, machine)
	c.checkQuota(job.spec.Team)
}

// TaskReported records that a node has answered a heartbeat that lists a task as running.
func (c *Checker) TaskReported(task, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onMachines.recordReport(task, host)
}

// TaskEnded records that a task has left a machine; completed means that it ran to its end. It returns
// the task's job, and whether all tasks of the job have now completed.
func (c *Checker) TaskEnded(task, host string, completed bool) (uid string, jobCompleted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onMachines.remove(task, host)
	uid, index, _ := wire.SplitTaskName(task)
	if !completed {
		return uid, false
	}
	job := c.job(uid)
	job.completedTasks[index] = true
	return uid, len(job.completedTasks) == job.spec.TaskCount
}

// checkPlace checks that a job allows its task to run on a machine: the job must allow the machine's type and zone,
// and spot machines if the machine is one, and the zones of all its tasks must be as SingleZone and SpreadZones
// require. c.mu is held.
func (c *Checker) checkPlace(task string, spec *wire.JobSpec, machine Machine) {
	isTypeAllowed := len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, machine.MachineType)
	isZoneAllowed := spec.Zone == "" || spec.Zone == machine.Zone
	if !isTypeAllowed || !isZoneAllowed || machine.Spot && !spec.AllowSpot {
		c.reportLocked(ruleWrongPlace, "%s starts on %s (%s, %s, spot %v)", task, machine.Host, machine.MachineType, machine.Zone, machine.Spot)
	}
	zones := map[string]int{}
	c.onMachines.eachTask(spec.UID, func(hosts map[string]bool) {
		for host := range hosts {
			zones[c.zoneOf(host)]++
		}
	})
	if spec.SingleZone && len(zones) > 1 || spec.SpreadZones && zones[machine.Zone] > (spec.TaskCount+1)/2 {
		c.reportLocked(ruleWrongPlace, "%s starts on %s: the tasks of its job are in zones %v", task, machine.Host, zones)
	}
}

// checkQuota checks that a team's tasks use no more than its limit. c.mu is held.
func (c *Checker) checkQuota(teamName string) {
	team, ok := c.config.Team(teamName)
	if !ok || team.CpusMax <= 0 && team.GpusMax <= 0 {
		return
	}
	var cores, gpus float64
	for uid := range c.onMachines.jobsOf[teamName] {
		spec, count := c.job(uid).spec, float64(c.onMachines.taskCount(uid))
		cores += spec.Cores * count
		gpus += spec.Gpus * count
	}
	if team.CpusMax > 0 && cores > team.CpusMax || team.GpusMax > 0 && gpus > team.GpusMax {
		c.reportLocked(ruleQuota, "team %s uses %v cores and %v GPUs", teamName, cores, gpus)
	}
}

// isPastCancelDeadline reports whether the given time is more than cancel_s after a job's user was first
// told that the job is cancelled: its tasks must have ended by then. c.mu is held.
func (c *Checker) isPastCancelDeadline(job *jobHistory, at time.Time) bool {
	return !job.cancelledAt.IsZero() && at.Sub(job.cancelledAt).Seconds() > c.config.Cluster.Workers.CancelS
}

// checkCancelledTasks checks that no task is on a machine more than cancel_s after its job was reported
// cancelled.
func (c *Checker) checkCancelledTasks() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, hosts := range c.onMachines.hostsOf {
		uid, _, _ := wire.SplitTaskName(task)
		if job := c.job(uid); c.isPastCancelDeadline(job, time.Now()) {
			c.reportLocked(ruleRanCancelled, "%s is on %v %.1f s after being reported cancelled", task, hosts, time.Since(job.cancelledAt).Seconds())
			job.cancelledAt = time.Time{} // report each job only once
		}
	}
}
