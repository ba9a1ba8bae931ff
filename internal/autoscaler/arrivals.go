package autoscaler

import (
	"math"
	"time"

	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/wire"
)

// fadeWaits is over how many of the users' longest waits for a machine arrivals fade. That is a
// few boots: headroom is for what arrives while a machine boots.
const fadeWaits = 6

// tasksSquaredWeight is the share of a class's mean of squared tasks that each new job makes up.
const tasksSquaredWeight = 1. / 8

// ClassArrivals is how often jobs of one class arrive.
type ClassArrivals struct {
	Spec  *wire.JobSpec // of the newest job
	Level int           // the priority level of the newest job
	// Jobs counts the jobs that arrived, each less the longer ago it did, as of At.
	Jobs float64
	// TasksSquared is the mean of the squared task counts of jobs.
	TasksSquared float64
	At           time.Time
}

// Arrivals measures how often jobs of each class arrive, and derives the headroom from that.
type Arrivals struct {
	fadeS   float64 // how many seconds ago a job must have arrived to count as little as 1/e
	classes map[string]*ClassArrivals
}

// NewArrivals makes the measurement for a fleet whose workers hold leases of this length: users
// wait for a machine for two of them at most.
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

// fade brings a class's count of jobs up to now.
func (a *Arrivals) fade(class *ClassArrivals, now time.Time) {
	class.Jobs *= math.Exp(-now.Sub(class.At).Seconds() / a.fadeS)
	class.At = now
}

// IsLarge reports whether a job has at least as many tasks as jobs of its class usually have. It
// is false while no job of the class has arrived.
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

// Restore takes over what an earlier leader measured of a class.
func (a *Arrivals) Restore(class string, arrivals ClassArrivals) { a.classes[class] = &arrivals }

// HeadroomOptions is what the headroom depends on beside the arrivals.
type HeadroomOptions struct {
	// Factor scales the headroom; 0 keeps none.
	Factor float64
	// BootS is how many seconds the quickest machine that may run a task of a job boots.
	BootS func(*wire.JobSpec) float64
	// NeedsImage reports whether a task of a job starts in time only where its image is present.
	NeedsImage func(*wire.JobSpec) bool
}

// HeadroomJobs makes phantom jobs of one task each, of the classes that must start at once: the
// room that they need is kept, or provisioned, beyond what waits.
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

// headroomTasks is how many tasks of a class to keep room for: a standard deviation of what
// arrives while a machine boots. Jobs arrive by chance, and tasksSquared is the mean of their
// squared task counts: a few large jobs vary more than many small ones.
func headroomTasks(jobsPerS, tasksSquared, bootS float64) int {
	return int(math.Ceil(math.Sqrt(jobsPerS * bootS * tasksSquared)))
}
