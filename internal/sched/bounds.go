package sched

import (
	"strings"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// preempted stands for the room that a job finds by displacing others.
const preempted = layers

// bound names a kind of job and a layer. Room only shrinks in a round, but for
// what is stopped: of a kind that fitted so many times, no more fit later.
type bound struct {
	layer                   layer
	preemptor               preemptor // of a job that displaces
	need                    fleet.Resources
	types, zone             string
	spot                    bool
	overdue, waitedPastBoot bool
	dear                    bool
	image                   string // if only nodes that have it will do
}

// consider prepares the round for a job: which kinds of machines it may use, and what kind
// of job it is itself.
func (r *round) consider(j *Job) {
	m := r.memory
	m.allowed = resized(m.allowed, len(r.kinds))
	for i := range r.kinds {
		m.allowed[i] = mayUse(j, &r.kinds[i])
	}
	s := j.Spec
	r.job = j
	r.holders = r.view.images[s.Image]
	r.imageKnown = r.holders != nil || len(r.in.Nodes) > 0
	r.bounded = !s.SingleZone && !s.SpreadZones && j.AvoidedMachine == ""
	r.jobBound = bound{need: fleet.TaskResources(s), types: strings.Join(s.MachineTypes, " "), zone: s.Zone, spot: s.AllowSpot, overdue: j.CannotAwaitBoot, waitedPastBoot: j.WaitedPastBoot, dear: j.SpotUnavailable}
}

// boundIn names the kind of the job that is looked at, in a layer.
func (r *round) boundIn(l layer) bound {
	b := r.jobBound
	b.layer = l
	if r.warm {
		b.image = r.job.Spec.Image
	}
	if l == preempted {
		b.preemptor = r.preemptorOf(r.job)
	}
	return b
}

// foundNoRoom reports whether a job of the same kind has found no room for this one.
func (r *round) foundNoRoom(j *Job, b bound) bool {
	if !r.bounded {
		return false
	}
	most, known := r.bounds[b]
	return known && (most == 0 || whole(j) && most < j.PendingTasks)
}
