package controller

import (
	"math"
	"time"

	"lotusstile.dev/lotusstile/internal/autoscaler"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/wire"
)

// planHeadroom plans for the work that must start at once when it arrives, with the room that a
// round has left, and keeps the machines that it would use. c.mu is held.
func (c *Controller) planHeadroom(p *snapshot, plan *sched.Plan, now time.Time) *sched.Plan {
	in := &sched.Input{
		Now:              now,
		View:             p.in.View,
		Nodes:            p.in.Nodes,
		Previous:         plan,
		PreemptOnlyBelow: p.in.PreemptOnlyBelow,
		Window:           math.MaxInt,
		ReserveAfterS:    math.Inf(1),
		Jobs: c.arrivals.HeadroomJobs(now, autoscaler.HeadroomOptions{
			Factor:     c.Settings().Headroom,
			BootS:      c.bootSeconds,
			NeedsImage: func(spec *wire.JobSpec) bool { return c.slackSeconds(spec) < 0 },
		}),
		Teams: map[string]*sched.Team{},
	}
	for name := range p.in.Teams {
		in.Teams[name] = &sched.Team{}
	}
	headroom, kept := &sched.Plan{}, map[string]bool{}
	if len(in.Jobs) > 0 {
		headroom = sched.Run(in)
	}
	for _, place := range headroom.Placements {
		if m := p.machine(place.Node); m != nil {
			kept[m.ID] = true
		}
	}
	c.setHeadroomMachines(kept)
	return headroom
}
