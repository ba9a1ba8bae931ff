package controller

import (
	"math"
	"time"

	"lotusstile.dev/lotusstile/internal/autoscaler"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/wire"
)

// planHeadroom places the phantom jobs of work that must start at once when it arrives, into the
// room that a scheduling cycle's plan leaves. The machines that they would use are not released
// until the next cycle; the shortfalls of the plan are provisioned. Nothing is launched for it.
// c.mu is held.
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
			Factor:     c.Settings().Headroom,
			BootS:      s.urgency.fastestBootS,
			NeedsImage: func(spec *wire.JobSpec) bool { return s.urgency.startSlackS(spec) < 0 },
		}),
		Teams: map[string]*sched.Team{},
	}
	for name := range s.in.Teams {
		in.Teams[name] = &sched.Team{}
	}
	headroom, kept := &sched.Plan{}, map[string]bool{}
	if len(in.Jobs) > 0 {
		headroom = sched.Run(in)
	}
	for _, place := range headroom.Placements {
		if m := s.machine(place.Node); m != nil {
			kept[m.ID] = true
		}
	}
	c.setHeadroomMachines(kept)
	return headroom
}
