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

// Checker checks the invariants of the service. The fakes report to it what they receive; it records
// what users were answered and what machines run, and lists the violations. It is safe for concurrent
// use.
//
// It may be called while a worker or the store is locked. To avoid deadlocks it never calls workers, and
// reads the store only while it holds no lock of its own.
type Checker struct {
	config *config.Config
	store  *fakestore.Store
	zoneOf func(host string) string
	began  time.Time

	mu              sync.Mutex
	jobs            map[string]*jobHistory
	onMachines      occupancy
	faultsOverAt    time.Time // zero: there may be faults
	violations      []string
	startCount      int
	firstPlacements map[uint64]time.Time // by term: when its first placement was committed
}

// jobHistory is what has happened to a job. Times are zero for what has not happened.
type jobHistory struct {
	spec            wire.JobSpec
	uploaded        bool         // its user has begun to submit it, so spec is set
	completedTasks  map[int]bool // tasks that ran to their end
	firstStart      time.Time
	acceptedAt      time.Time // when its user was first answered that it is accepted
	cancelRequested bool      // its user has asked to cancel it
	cancelledAt     time.Time // when its user was first answered that it is cancelled
	finalStatus     wire.JobStatus
	finalAt         time.Time // when its user was first answered a final status
	waitingSince    time.Time // from when on it has waited although there was room
}

// The rules that the checker checks, by the names that violations begin with.
const (
	ruleForgotten    = "forgotten"
	ruleInvented     = "invented"
	ruleLateBegin    = "late_begin"
	ruleLeftWaiting  = "left_waiting"
	ruleLimits       = "limits"
	ruleNotDone      = "not_done"
	ruleOrphaned     = "orphaned"
	ruleQuota        = "quota"
	ruleRanCancelled = "ran_cancelled"
	ruleRanTwice     = "ran_twice"
	ruleReaped       = "reaped"
	ruleTooEarly     = "too_early"
	ruleUnguarded    = "unguarded"
	ruleUnrecorded   = "unrecorded"
	ruleUnserved     = "unserved"
	ruleWentBack     = "went_back"
	ruleWrongPlace   = "wrong_place"
)

func newChecker(cfg *config.Config, store *fakestore.Store, zoneOf func(host string) string) *Checker {
	return &Checker{
		config:          cfg,
		store:           store,
		zoneOf:          zoneOf,
		began:           time.Now(),
		jobs:            map[string]*jobHistory{},
		onMachines:      newOccupancy(),
		firstPlacements: map[uint64]time.Time{},
	}
}

// Violations returns the violations so far: the rule, the time since the beginning and the case.
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
	return c.onMachines.countOf(uid)
}

// report records a violation of a rule. c.mu is not held.
func (c *Checker) report(rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violated(rule, format, args...)
}

// violated records a violation of a rule. c.mu is held.
func (c *Checker) violated(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.violations = append(c.violations, fmt.Sprintf("%s at %.1f s: %s", rule, time.Since(c.began).Seconds(), text))
}

// job returns the history of a job, which it adds if there is none. c.mu is held.
func (c *Checker) job(uid string) *jobHistory {
	if c.jobs[uid] == nil {
		c.jobs[uid] = &jobHistory{completedTasks: map[int]bool{}}
	}
	return c.jobs[uid]
}

// addSpec makes a job's specification known.
func (c *Checker) addSpec(spec wire.JobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.job(spec.UID)
	job.spec, job.uploaded = spec, true
}

// spec returns a job's specification, empty if nobody has uploaded it.
func (c *Checker) spec(uid string) wire.JobSpec {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.job(uid).spec
}

// TaskStarted checks that a task may run on the machine where it starts.
func (c *Checker) TaskStarted(task string, machine Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startCount++
	uid, _, _ := wire.SplitTaskName(task)
	job := c.job(uid)
	if !job.uploaded {
		c.violated(ruleInvented, "%s starts, but nobody submitted it", task)
		return
	}
	if job.firstStart.IsZero() {
		job.firstStart = time.Now()
	}
	if hosts := c.onMachines.hostsOf[task]; len(hosts) > 0 {
		c.violated(ruleRanTwice, "%s starts on %s and is on %v", task, machine.Host, hosts)
	}
	c.onMachines.add(task, machine.Host, &job.spec)
	c.checkDependenciesDone(task, &job.spec)
	if c.isOverCancelTime(job, time.Now()) {
		c.violated(ruleRanCancelled, "%s starts on %s", task, machine.Host)
	}
	c.checkPlace(task, &job.spec, machine)
	c.checkQuota(job.spec.Team)
}

// TaskEnded records that a task has left a machine; completed means that it ran to its end. It returns
// the task's job, and whether this completed the job's last task.
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

// checkPlace checks a machine's type, kind and zone against what a job allows, given its other
// tasks. c.mu is held.
func (c *Checker) checkPlace(task string, spec *wire.JobSpec, machine Machine) {
	isTypeAllowed := len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, machine.MachineType)
	isZoneAllowed := spec.Zone == "" || spec.Zone == machine.Zone
	if !isTypeAllowed || !isZoneAllowed || machine.Spot && !spec.AllowSpot {
		c.violated(ruleWrongPlace, "%s starts on %s (%s, %s, spot %v)", task, machine.Host, machine.MachineType, machine.Zone, machine.Spot)
	}
	zones := map[string]int{}
	c.onMachines.eachHostsOf(spec.UID, func(hosts map[string]bool) {
		for host := range hosts {
			zones[c.zoneOf(host)]++
		}
	})
	if spec.SingleZone && len(zones) > 1 || spec.SpreadZones && zones[machine.Zone] > (spec.TaskCount+1)/2 {
		c.violated(ruleWrongPlace, "%s starts on %s: zones %v", task, machine.Host, zones)
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
		spec, count := c.job(uid).spec, float64(c.onMachines.countOf(uid))
		cores += spec.Cores * count
		gpus += spec.Gpus * count
	}
	if team.CpusMax > 0 && cores > team.CpusMax || team.GpusMax > 0 && gpus > team.GpusMax {
		c.violated(ruleQuota, "%s uses %v cores and %v gpus", teamName, cores, gpus)
	}
}

// isOverCancelTime reports whether more than cancel_s lies between the first answer that a job is
// cancelled and the given time: its tasks must have ended by then. c.mu is held.
func (c *Checker) isOverCancelTime(job *jobHistory, at time.Time) bool {
	return !job.cancelledAt.IsZero() && at.Sub(job.cancelledAt).Seconds() > c.config.Cluster.Workers.CancelS
}

// checkCancelledTasks checks that no task is on a machine longer than cancel_s after its cancellation.
func (c *Checker) checkCancelledTasks() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, hosts := range c.onMachines.hostsOf {
		uid, _, _ := wire.SplitTaskName(task)
		if job := c.job(uid); c.isOverCancelTime(job, time.Now()) {
			c.violated(ruleRanCancelled, "%s is on %v, %.1f s after its user was told", task, hosts, time.Since(job.cancelledAt).Seconds())
			job.cancelledAt = time.Time{} // one violation for each job is enough
		}
	}
}
