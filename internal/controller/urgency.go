package controller

import (
	"math"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/autoscaler"
	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// urgency computes how long jobs can wait. It uses their deadlines, the service-level objectives of
// their classes, and the boot times and fetch rates in the catalog. All its times are in seconds.
type urgency struct {
	catalog *wire.Catalog
	config  *config.Config
}

// urgency returns an urgency that uses the current catalog, which must have been read. c.mu is held.
func (c *Controller) urgency() urgency {
	return urgency{catalog: c.catalog, config: c.Config}
}

// fastestBootS returns the shortest boot time among the machine types that may run a task of the job,
// or +Inf if there is none.
func (u *urgency) fastestBootS(spec *wire.JobSpec) float64 {
	bootS := math.Inf(1)
	for i := range u.catalog.MachineTypes {
		machineType := &u.catalog.MachineTypes[i]
		isAllowed := len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, machineType.Name)
		if isAllowed && holdsTask(machineType, spec) {
			bootS = min(bootS, machineType.BootS)
		}
	}
	return bootS
}

// startSlackS returns the time within which a job must start by the "wait" objective of its class,
// minus one heartbeat interval and the time to fetch its image on the slowest type of machine that
// has room for a task. It is negative if a task starts in time only on machines that already have the
// image, and +Inf if there is no such objective. The factor 4/3 allows for a fetch that takes a third
// longer than by the rate in the catalog.
func (u *urgency) startSlackS(spec *wire.JobSpec) float64 {
	slackS := math.Inf(1)
	for _, o := range u.config.Cluster.Objectives {
		if o.Kind != "wait" || o.Class != spec.JobClass {
			continue
		}
		for i := range u.catalog.MachineTypes {
			machineType := &u.catalog.MachineTypes[i]
			if machineType.FetchGbPerS > 0 && holdsTask(machineType, spec) {
				slackS = min(slackS, o.WithinS-spec.ImageGb/machineType.FetchGbPerS*4/3-u.config.Cluster.Workers.ReportS)
			}
		}
	}
	return slackS
}

// laxityS returns how long a job can still wait and be done by its deadline, or by the next
// "finished" objective of its class, if it runs runTimeFactor times as long as its owner expects.
//
// A job that has neither, or is not an array, counts as due four boot times after it began to wait,
// so that the job that has waited longest goes first. The same applies to an array that has missed
// all its objectives and has no deadline: when its whole age counted, it went before arrays that
// could still finish in time, and fewer of those arrays finished in time while their team was at its
// limit.
func (u *urgency) laxityS(j *job, now time.Time) float64 {
	spec := &j.record.Spec
	ageS := float64(now.UnixMilli()-j.readySinceMs) / 1000
	leftS := (j.dueMs - float64(now.UnixMilli())) / 1000
	for _, o := range u.config.Cluster.Objectives {
		if o.Kind == "finished" && o.Class == spec.JobClass && o.WithinS > ageS {
			leftS = min(leftS, o.WithinS-ageS)
		}
	}
	if math.IsInf(leftS, 1) || spec.Kind != wire.JobArray {
		return 4*u.fastestBootS(spec) - now.Sub(j.waitingSince).Seconds()
	}
	fetchS := 0.0
	for i := range u.catalog.MachineTypes {
		if rate := u.catalog.MachineTypes[i].FetchGbPerS; rate > 0 {
			fetchS = max(fetchS, spec.ImageGb/rate)
		}
	}
	return leftS - fetchS - runTimeFactor*spec.ExpectedRunS
}

// effectiveLevel returns the priority level at which a job competes for capacity. That is its own
// level until its laxity, or what is left of its start slack, is at most a boot time. From then on
// it is the level that the job inherits from the jobs that depend on it. Until then the job waits for
// capacity like others of its own level, and does not preempt others by the inherited level.
func (u *urgency) effectiveLevel(j *job, now time.Time) int {
	spec := &j.record.Spec
	ownLevel := spec.Priority.Level()
	if j.level <= ownLevel {
		return ownLevel
	}
	leftS := min(u.laxityS(j, now), u.startSlackS(spec)-now.Sub(j.waitingSince).Seconds())
	if leftS > u.fastestBootS(spec) {
		return ownLevel
	}
	return j.level
}

// holdsTask reports whether an empty machine of a type has room for a task of a job.
func holdsTask(machineType *wire.MachineType, spec *wire.JobSpec) bool {
	return autoscaler.Capacity(machineType).Fits(fleet.TaskResources(spec))
}
