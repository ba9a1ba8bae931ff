package autoscaler

import (
	"math"
	"time"

	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/wire"
)

// fadeWaits is the time constant of the count of arrivals, in multiples of the longest time that
// users wait for a machine. That is a few boots: headroom is for what arrives while a machine
// boots.
const fadeWaits = 6

// tasksSquaredWeight is the weight of each new job in its class's moving mean of squared task
// counts.
const tasksSquaredWeight = 1. / 8

// ClassArrivals is how often jobs of one class arrive.
type ClassArrivals struct {
	Spec  *wire.JobSpec // of the newest job
	Level int           // the priority level of the newest job
	// Jobs is the number of jobs that arrived, decayed exponentially with their age, as of At.
	Jobs float64
	// TasksSquared is the moving mean of the squared task counts of jobs.
	TasksSquared float64
	At           time.Time
}

// Arrivals measures how often jobs of each class arrive, and derives the headroom from that. It is
// not safe for concurrent use.
type Arrivals struct {
	fadeS   float64 // the age in seconds at which a job counts 1/e
	classes map[string]*ClassArrivals
}

// NewArrivals returns an empty measurement. Users are taken to wait for a machine for two worker
// leases at most.
func NewArrivals(workerLease time.Duration) *Arrivals {
	return &Arrivals{fadeS: fadeWaits * 2 * workerLease.Seconds(), classes: map[string]*ClassArrivals{}}
}

// Observe counts a job that arrived at now.
func (a *Arrivals) Observe(spec *wire.JobSpec, now time.Time) {
	tasksSquared := float64(spec.TaskCount) * float64(spec.TaskCount)
	class := a.classes[spec.JobClass]
	if class == nil {
		class = &ClassArrivals{At: now, TasksSquared: tasksSquared}
		a.classes[spec.JobClass] = class
	}
	class.Spec, class.Level = spec, spec.Priority.Level()
	class.TasksSquared += (tasksSquared - class.TasksSquared) * tasksSquaredWeight
	a.fade(class, now)
	class.Jobs++
}

// fade decays a class's count of jobs to its value at now.
func (a *Arrivals) fade(class *ClassArrivals, now time.Time) {
	class.Jobs *= math.Exp(-now.Sub(class.At).Seconds() / a.fadeS)
	class.At = now
}

// IsLarge reports whether a job has at least as many tasks as the root mean square of its class's
// jobs. It is false while no job of the class has arrived.
func (a *Arrivals) IsLarge(spec *wire.JobSpec) bool {
	class := a.classes[spec.JobClass]
	return class != nil && float64(spec.TaskCount*spec.TaskCount) >= class.TasksSquared
}

// Each calls fn for every class.
func (a *Arrivals) Each(fn func(class string, arrivals *ClassArrivals)) {
	for name, class := range a.classes {
		fn(name, class)
	}
}

// Restore replaces the measurement of a class by that of an earlier leader.
func (a *Arrivals) Restore(class string, arrivals ClassArrivals) { a.classes[class] = &arrivals }

// HeadroomOptions is what the headroom depends on beside the arrivals. All fields are required.
type HeadroomOptions struct {
	// Factor scales the headroom; with 0 there is none.
	Factor float64
	// BootS returns how many seconds the quickest machine that may run a task of a job boots.
	BootS func(*wire.JobSpec) float64
	// NeedsImage reports whether a task of a job starts in time only where its image is present.
	NeedsImage func(*wire.JobSpec) bool
}

// HeadroomJobs returns phantom jobs of one task each, of the classes whose jobs must start at once
// (priority high and above). The scheduler places them after the jobs that wait: the machines that
// they would use are not released, and what finds no room is provisioned. They have no UID and are
// never launched.
func (a *Arrivals) HeadroomJobs(now time.Time, options HeadroomOptions) []*sched.Job {
	var jobs []*sched.Job
	for _, class := range a.classes {
		if class.Level < wire.High.Level() || options.Factor == 0 {
			continue
		}
		a.fade(class, now)
		tasks := headroomTasks(class.Jobs/a.fadeS, class.TasksSquared, options.BootS(class.Spec))
		count := int(math.Ceil(options.Factor * float64(tasks)))
		spec := *class.Spec // shared by all phantom jobs of the class
		spec.UID, spec.TaskCount, spec.Kind, spec.SingleZone, spec.SpreadZones = "", 1, wire.JobArray, false, false
		needsImage := options.NeedsImage(class.Spec)
		for i := range count {
			jobs = append(jobs, &sched.Job{
				Spec:             &spec,
				Level:            class.Level,
				QueuedSinceMs:    int64(i),
				PendingTasks:     1,
				LiveByZone:       map[string]int{},
				FetchDelaysStart: needsImage,
			})
		}
	}
	return jobs
}

// headroomTasks returns the number of tasks of a class to keep headroom for: one standard
// deviation of the tasks that arrive while a machine boots. Jobs are taken to arrive
// independently, and tasksSquared is the mean of their squared task counts: a few large jobs vary
// more than many small ones.
func headroomTasks(jobsPerS, tasksSquared, bootS float64) int {
	return int(math.Ceil(math.Sqrt(jobsPerS * bootS * tasksSquared)))
}
