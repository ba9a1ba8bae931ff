package controller

import (
	"math"
	"time"

	"lotusstile.dev/lotusstile/internal/autoscaler"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/wire"
)

// planHeadroom plans placeholder jobs, which stand for jobs that may arrive and must then start at once,
// on the capacity that the plan of a scheduling cycle leaves free. It returns a plan whose shortfalls
// are to be provisioned. Machines that placeholder jobs would use are not released until the next cycle.
// Placeholder jobs are never launched. c.mu is held.
func (c *Controller) planHeadroom(s *snapshot, plan *sched.Plan, now time.Time) *sched.Plan {
	in := &sched.Input{
		Now:              now,
		View:             s.in.View,
		Nodes:            s.in.Nodes,
		Previous:         plan,
		PreemptOnlyBelow: s.in.PreemptOnlyBelow,
		Window:           math.MaxInt,
		ReserveAfterS:    math.Inf(1),
		Jobs: c.arrivals.HeadroomJobs(now, autoscaler.HeadroomOptions{
			Factor:       c.Settings().Headroom,
			FastestBootS: s.urgency.fastestBootS,
			MaxTasks:     c.maxTasksAtOnce,
			NeedsImage:   func(spec *wire.JobSpec) bool { return s.urgency.startSlackS(spec) < 0 },
		}),
		Teams: map[string]*sched.Team{},
	}
	for name := range s.in.Teams {
		in.Teams[name] = &sched.Team{}
	}
	headroom, headroomMachines := &sched.Plan{}, map[string]bool{}
	if len(in.Jobs) > 0 {
		headroom = sched.Run(in)
	}
	for _, planned := range headroom.Placements {
		if m := s.machine(planned.Node); m != nil {
			headroomMachines[m.ID] = true
		}
	}
	c.setHeadroomMachines(headroomMachines)
	return headroom
}

// maxTasksAtOnce returns how many tasks of a job the limit of its team allows at once.
func (c *Controller) maxTasksAtOnce(spec *wire.JobSpec) int {
	team, _ := c.Config.Team(spec.Team)
	var limit, need fleet.Resources // what has no limit is not needed
	if team.CpusMax > 0 {
		limit.Cores, need.Cores = team.CpusMax, spec.Cores
	}
	if team.GpusMax > 0 {
		limit.Gpus, need.Gpus = team.GpusMax, spec.Gpus
	}
	return limit.CountFitting(need, math.MaxInt)
}
