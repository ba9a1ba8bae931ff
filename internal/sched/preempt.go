package sched

import (
	"cmp"
	"slices"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// choice is room for one task on a node once some of its victims are stopped.
type choice struct {
	node     int
	from, to int // its victims are among these
	loss     float64
}

// preempt stops work of lower levels so that up to want tasks of j fit, and
// keeps the room for them. It never stops work for nothing: a job that starts
// whole gets all its room or none. Replicas are only displaced for a job that
// waited as long as a new machine takes.
func (r *round) preempt(j *Job, want int) int {
	if r.lowest >= j.Level {
		return 0
	}
	b, bounded := r.bound(j, displaced)
	if most, ok := r.bounds[b]; bounded && ok && (most == 0 || whole(j) && most < j.Waiting) {
		return 0
	}
	choices := r.displacements(j, want)
	places, chosen := r.leastHarm(j, want, choices)
	if bounded && len(places) < want {
		r.bounds[b] = len(places)
	}
	if len(places) == 0 || (whole(j) && len(places) < j.Waiting) {
		return 0
	}
	r.stopVictims(j, chosen)
	r.take(j, places, false)
	return len(places)
}

// mayDisplace reports whether a job may displace running work.
func mayDisplace(j *Job, v *Victim) bool { return v.Level < j.Level && (!v.Serve || j.Overdue) }

// displacements lists, by node, the room that there is for tasks of a job, and that there
// would be if work that it may displace were stopped, what loses least first.
func (r *round) displacements(j *Job, want int) []choice {
	need := fleet.Need(j.Spec)
	choices := r.choicesBuffer[:0]
	for i, victims := range r.leastLost() {
		if !r.couldHold(j, need, i, victims) || !r.usable(j, i, "") {
			continue
		}
		room := r.room[soon][i]
		for range room.Count(need, want) {
			choices = append(choices, choice{node: i})
			room = room.Sub(need)
		}
		c := choice{node: i}
		for k := range victims {
			v := &victims[k]
			if !mayDisplace(j, v) {
				continue
			}
			room = room.Add(v.Need)
			c.to = k + 1
			c.loss += v.Loss + 1
			if room.Holds(need) {
				choices = append(choices, c)
				c = choice{node: i, from: c.to}
				room = room.Sub(need)
			}
		}
	}
	r.choicesBuffer = choices
	return choices
}

// couldHold reports whether a node holds a task of a job once all that it may displace is
// stopped.
func (r *round) couldHold(j *Job, need fleet.Res, node int, victims []Victim) bool {
	gain := r.room[soon][node]
	if gain.Holds(need) {
		return true
	}
	for k := range victims {
		if mayDisplace(j, &victims[k]) {
			gain = gain.Add(victims[k].Need)
		}
	}
	return gain.Holds(need)
}

// leastHarm takes the choices with the least loss that the job's zones allow, for up to want
// tasks.
func (r *round) leastHarm(j *Job, want int, choices []choice) (places []Place, chosen []choice) {
	order := least[choice]{items: choices, cmp: func(a, b choice) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.node, b.node))
	}}
	zone := ""
	for z, n := range j.ByZone {
		if j.Spec.Together && n > 0 {
			zone = z
		}
	}
	taken := map[string]int{}
	for c := range order.all() {
		z := r.in.Nodes[c.node].Zone
		if (j.Spec.Together && zone != "" && z != zone) || yardCap(j, z)-taken[z] <= 0 {
			continue
		}
		if j.Spec.Together {
			zone = z
		}
		taken[z]++
		places = append(places, Place{j, c.node, 1})
		chosen = append(chosen, c)
		if len(places) == want {
			break
		}
	}
	return places, chosen
}

// stopVictims stops the work that choices displace, and gives the job their room.
func (r *round) stopVictims(j *Job, chosen []choice) {
	stopped := map[int]bool{}
	for _, c := range chosen {
		for _, v := range r.victims[c.node][c.from:c.to] {
			if mayDisplace(j, &v) {
				stopped[v.ID] = true
				r.plan.Stops = append(r.plan.Stops, Stop{v.ID, j.SlackS})
				r.grow(c.node, v.Need)
			}
		}
	}
	for _, c := range chosen {
		r.victims[c.node] = slices.DeleteFunc(r.victims[c.node], func(v Victim) bool { return stopped[v.ID] })
	}
}
