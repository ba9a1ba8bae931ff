package autoscaler

import (
	"math"
	"time"

	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/wire"
)

// waitsPerTimeConstant is the time constant with which the count of arrivals decays, in multiples of
// the longest time that users wait for a machine. It spans a few machine boots, because headroom is
// for the tasks that arrive while a machine boots.
const waitsPerTimeConstant = 6

// tasksSquaredWeight is the weight of each new job in the exponentially weighted mean of the squared
// task counts of its class.
const tasksSquaredWeight = 1. / 8

// ClassArrivals is how often jobs of one class arrive.
type ClassArrivals struct {
	Spec  *wire.JobSpec // of the newest job
	Level int           // the priority level of the newest job
	// Jobs is the number of jobs that arrived until At, each weighted by an exponential decay of its
	// age at At.
	Jobs float64
	// TasksSquared is the exponentially weighted mean of the squared task counts of the jobs.
	TasksSquared float64
	At           time.Time // when Jobs was last updated
}

// Arrivals measures how often jobs of each class arrive, and derives the headroom from these rates.
// It is not safe for concurrent use.
type Arrivals struct {
	timeConstantS float64 // age in seconds at which a job has the weight 1/e
	classes       map[string]*ClassArrivals
}

// NewArrivals returns an Arrivals that has observed no job. It assumes that users wait for a machine
// for at most two worker leases.
func NewArrivals(workerLease time.Duration) *Arrivals {
	return &Arrivals{timeConstantS: waitsPerTimeConstant * 2 * workerLease.Seconds(), classes: map[string]*ClassArrivals{}}
}

// Observe counts a job that arrived at the time now.
func (a *Arrivals) Observe(spec *wire.JobSpec, now time.Time) {
	tasksSquared := float64(spec.TaskCount) * float64(spec.TaskCount)
	class := a.classes[spec.JobClass]
	if class == nil {
		class = &ClassArrivals{At: now, TasksSquared: tasksSquared}
		a.classes[spec.JobClass] = class
	}
	class.Spec, class.Level = spec, spec.Priority.Level()
	class.TasksSquared += (tasksSquared - class.TasksSquared) * tasksSquaredWeight
	a.decay(class, now)
	class.Jobs++
}

// decay reduces the job count of a class to its value at now.
func (a *Arrivals) decay(class *ClassArrivals, now time.Time) {
	class.Jobs *= math.Exp(-now.Sub(class.At).Seconds() / a.timeConstantS)
	class.At = now
}

// IsLarge reports whether the task count of a job is at least the root mean square of the task
// counts of its class. It returns false if no job of the class has arrived.
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

// Restore replaces the arrivals of a class with those that an earlier leader measured.
func (a *Arrivals) Restore(class string, arrivals ClassArrivals) { a.classes[class] = &arrivals }

// HeadroomOptions are the parameters of HeadroomJobs. All fields are required.
type HeadroomOptions struct {
	// Factor scales the headroom; 0 disables it.
	Factor float64
	// FastestBootS returns the boot time in seconds of the fastest machine type that may run a task of a job.
	FastestBootS func(*wire.JobSpec) float64
	// MaxTasks returns how many tasks of a job its team may run at once.
	MaxTasks func(*wire.JobSpec) int
	// NeedsImage reports whether a task of a job can start in time only on a machine that already has
	// the job's image.
	NeedsImage func(*wire.JobSpec) bool
}

const (
	// maxPlaceholderJobs is the maximum number of placeholder jobs of a class, so that the cost of planning the headroom
	// does not grow with the number of tasks. There are several because those of all classes take turns.
	maxPlaceholderJobs = 64
	// maxAllPlaceholderJobs is the maximum number of placeholder jobs of all classes, while each has at least one.
	maxAllPlaceholderJobs = 1024
)

// HeadroomJobs returns placeholder jobs for the classes whose jobs must start at once (priority high and
// above), of one task each unless there are too many. The scheduler places them after the pending jobs:
// machines that placeholder jobs would use are not released, and machines are provisioned for those that
// fit nowhere. Placeholder jobs have no UID and are never launched.
func (a *Arrivals) HeadroomJobs(now time.Time, options HeadroomOptions) []*sched.Job {
	var jobs []*sched.Job
	maxPerClass := min(maxPlaceholderJobs, max(1, maxAllPlaceholderJobs/max(1, len(a.classes))))
	for _, class := range a.classes {
		if class.Level < wire.High.Level() || options.Factor == 0 {
			continue
		}
		a.decay(class, now)
		tasks := headroomTasks(class.Jobs/a.timeConstantS, class.TasksSquared, options.FastestBootS(class.Spec))
		count := min(int(math.Ceil(options.Factor*float64(tasks))), options.MaxTasks(class.Spec))
		spec := *class.Spec // shared by all placeholder jobs of the class
		spec.UID, spec.TaskCount, spec.Kind, spec.SingleZone, spec.SpreadZones = "", 1, wire.JobArray, false, false
		needsImage := options.NeedsImage(class.Spec)
		placeholders := min(count, maxPerClass)
		for i := range placeholders {
			jobs = append(jobs, &sched.Job{
				Spec:             &spec,
				Level:            class.Level,
				QueuedSinceMs:    int64(i),
				PendingTasks:     (count + i) / placeholders,
				LiveByZone:       map[string]int{},
				FetchDelaysStart: needsImage,
			})
		}
	}
	return jobs
}

// headroomTasks returns the number of tasks of a class to keep headroom for: one standard deviation
// of the number of tasks that arrive while a machine boots. If jobs arrive independently of each
// other, the variance of that number is the expected number of jobs times tasksSquared, the mean of
// their squared task counts. A few large jobs thus need more headroom than many small jobs with as
// many tasks in total.
func headroomTasks(jobsPerS, tasksSquared, bootS float64) int {
	return int(math.Ceil(math.Sqrt(jobsPerS * bootS * tasksSquared)))
}
