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

// urgency tells how long jobs can wait, by their deadlines, the users' objectives and what the
// catalog says of machines. All its times are in seconds.
type urgency struct {
	catalog *wire.Catalog
	config  *config.Config
}

// urgency returns the urgency of jobs by the newest catalog, of which there must be one.
func (c *Controller) urgency() urgency {
	return urgency{catalog: c.catalog, config: c.Config}
}

// boot is how long the quickest machine that may run a task of the job boots.
func (u *urgency) boot(spec *wire.JobSpec) float64 {
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

// startSlack is how long after a launch is decided a start is still within the time that the
// users set for the job's class, if the machine must fetch the image first. The rate that the
// catalog gives is met give or take a third.
func (u *urgency) startSlack(spec *wire.JobSpec) float64 {
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

// laxity is how long a job can still wait and be done by its deadline, or by the next time that
// the users set for its class, if it runs half as long again as its owner expects. Work without
// either counts as due a few boots after nothing of it ran any more, so that age decides among
// its like. An array past the last of its times gives way to those in time when it loses its
// last task: counted by its whole age, it went before them, and at a team's limit fewer were in
// time.
func (u *urgency) laxity(j *job, now time.Time) float64 {
	spec := &j.record.Spec
	age := float64(now.UnixMilli()-j.eligibleSinceMs) / 1000
	left := (j.dueMs - float64(now.UnixMilli())) / 1000
	for _, o := range u.config.Cluster.Objectives {
		if o.Kind == "finished" && o.Class == spec.JobClass && o.WithinS > age {
			left = min(left, o.WithinS-age)
		}
	}
	if math.IsInf(left, 1) || spec.Kind != wire.JobArray {
		return 4*u.boot(spec) - now.Sub(j.waitingSince).Seconds()
	}
	fetch := 0.0
	for i := range u.catalog.MachineTypes {
		if rate := u.catalog.MachineTypes[i].FetchGbPerS; rate > 0 {
			fetch = max(fetch, spec.ImageGb/rate)
		}
	}
	return left - fetch - runAllowance*spec.ExpectedRunS
}

// effectiveLevel is the level at which a job competes for room. The level that it inherits from
// a job that depends on it counts once what is left of the time that the users give either is no
// longer than a new machine takes: until then its stages can wait for room like others of their
// own priority, and preempt nobody.
func (u *urgency) effectiveLevel(j *job, now time.Time) int {
	spec := &j.record.Spec
	own := spec.Priority.Level()
	if j.level <= own {
		return own
	}
	left := min(u.laxity(j, now), u.startSlack(spec)-now.Sub(j.waitingSince).Seconds())
	if left > u.boot(spec) {
		return own
	}
	return j.level
}

// holdsTask reports whether an empty machine of a type has room for a task of a job.
func holdsTask(machineType *wire.MachineType, spec *wire.JobSpec) bool {
	return autoscaler.Capacity(machineType).Fits(fleet.TaskResources(spec))
}
