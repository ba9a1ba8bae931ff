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

// urgency computes how long jobs can wait, from their deadlines, the service-level objectives of
// their classes and the boot times and fetch rates of the catalog. All its times are in seconds.
type urgency struct {
	catalog *wire.Catalog
	config  *config.Config
}

// urgency returns the urgency of jobs by the newest catalog, which must have been read. c.mu is
// held.
func (c *Controller) urgency() urgency {
	return urgency{catalog: c.catalog, config: c.Config}
}

// fastestBootS returns how long the quickest machine boots that may run a task of the job; +Inf if there is
// none.
func (u *urgency) fastestBootS(spec *wire.JobSpec) float64 {
	boot := math.Inf(1)
	for i := range u.catalog.MachineTypes {
		machineType := &u.catalog.MachineTypes[i]
		isAllowed := len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, machineType.Name)
		if isAllowed && holdsTask(machineType, spec) {
			boot = min(boot, machineType.BootS)
		}
	}
	return boot
}

// startSlackS returns the time within which a job must start by the "wait" objective of its class,
// less the time to fetch its image on the slowest machine that has room for a task, and one
// heartbeat interval. It is negative if a task starts in time only where its image is present, and
// +Inf without an objective. A fetch may take a third longer than by the rate in the catalog: 4/3.
func (u *urgency) startSlackS(spec *wire.JobSpec) float64 {
	slack := math.Inf(1)
	for _, o := range u.config.Cluster.Objectives {
		if o.Kind != "wait" || o.Class != spec.JobClass {
			continue
		}
		for i := range u.catalog.MachineTypes {
			machineType := &u.catalog.MachineTypes[i]
			if machineType.FetchGbPerS > 0 && holdsTask(machineType, spec) {
				slack = min(slack, o.WithinS-spec.ImageGb/machineType.FetchGbPerS*4/3-u.config.Cluster.Workers.ReportS)
			}
		}
	}
	return slack
}

// laxityS returns how long a job can still wait and be done by its deadline, or by the next
// "finished" objective of its class, if it runs half as long again as its owner expects.
//
// A job without either, or that is not an array, counts as due four boots after its last task
// stopped running, so that the job that has waited longest goes first. An array that has missed
// all its objectives and has no deadline counts like that too: when it counted by its whole age,
// it went before arrays that could still be in time, and at a team's limit fewer of them were in
// time.
func (u *urgency) laxityS(j *job, now time.Time) float64 {
	spec := &j.record.Spec
	age := float64(now.UnixMilli()-j.eligibleSinceMs) / 1000
	left := (j.dueMs - float64(now.UnixMilli())) / 1000
	for _, o := range u.config.Cluster.Objectives {
		if o.Kind == "finished" && o.Class == spec.JobClass && o.WithinS > age {
			left = min(left, o.WithinS-age)
		}
	}
	if math.IsInf(left, 1) || spec.Kind != wire.JobArray {
		return 4*u.fastestBootS(spec) - now.Sub(j.waitingSince).Seconds()
	}
	fetch := 0.0
	for i := range u.catalog.MachineTypes {
		if rate := u.catalog.MachineTypes[i].FetchGbPerS; rate > 0 {
			fetch = max(fetch, spec.ImageGb/rate)
		}
	}
	return left - fetch - runTimeFactor*spec.ExpectedRunS
}

// effectiveLevel returns the priority level at which a job competes for room: its own, or the
// level that it inherits from a job that depends on it, once its laxity or the rest of its start
// slack is no longer than a boot. Until then it waits for room like others of its own priority,
// and preempts nobody.
func (u *urgency) effectiveLevel(j *job, now time.Time) int {
	spec := &j.record.Spec
	own := spec.Priority.Level()
	if j.level <= own {
		return own
	}
	left := min(u.laxityS(j, now), u.startSlackS(spec)-now.Sub(j.waitingSince).Seconds())
	if left > u.fastestBootS(spec) {
		return own
	}
	return j.level
}

// holdsTask reports whether an empty machine of a type has room for a task of a job.
func holdsTask(machineType *wire.MachineType, spec *wire.JobSpec) bool {
	return autoscaler.Capacity(machineType).Fits(fleet.TaskResources(spec))
}
