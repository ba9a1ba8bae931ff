package sched

import (
	"cmp"
	"math"
	"slices"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// choice is room for one task on a node once some of its victims are stopped.
type choice struct {
	node     int32
	from, to int // its victims are among these
	loss     float64
}

// before orders choices: what loses least goes first.
func (c *choice) before(o *choice) bool {
	return cmp.Or(cmp.Compare(c.loss, o.loss), cmp.Compare(c.node, o.node), cmp.Compare(c.from, o.from)) < 0
}

// preempt stops work of lower levels so that up to want tasks of j fit, and
// keeps the room for them. It never stops work for nothing: a job that starts
// whole gets all its room or none. Replicas are only displaced for a job that
// waited as long as a new machine takes.
func (r *round) preempt(j *Job, want int) int {
	if r.lowest >= r.preemptsBelow(j) && !j.WithinQuota {
		return 0
	}
	b := r.boundIn(preempted)
	if r.foundNoRoom(j, b) {
		return 0
	}
	places, chosen := r.leastHarm(j, want, r.preemptions(j, want))
	if r.bounded && len(places) < want {
		r.bounds[b] = len(places)
	}
	if len(places) == 0 || (whole(j) && len(places) < j.PendingTasks) {
		return 0
	}
	r.stopVictims(j, chosen)
	r.take(j, places, false)
	return len(places)
}

// preemptsBelow is the level below which a job may displace work.
func (r *round) preemptsBelow(j *Job) int {
	if most := r.in.PreemptOnlyBelow; most > 0 {
		return min(j.Level, most)
	}
	return j.Level
}

// preemptor is what decides which running work a job may displace.
type preemptor struct {
	below    int    // work of lower levels
	overdue  bool   // replicas too
	team     string // of the job, where teams have guarantees
	reclaims bool   // the job is within its team's guarantee
}

func (r *round) preemptorOf(j *Job) preemptor {
	d := preemptor{below: r.preemptsBelow(j), overdue: j.CannotAwaitBoot}
	if r.in.WithinQuota != nil {
		d.team, d.reclaims = j.Spec.Team, j.WithinQuota
	}
	return d
}

// preempts reports whether running work may be displaced. What another team runs within its
// guarantee stays, whatever its rank: displaced, it would be taken back in the next round. What
// it runs beyond may be taken back, and who does need not wait for a machine to boot.
func (d preemptor) preempts(v *Victim, withinQuota map[string]bool) bool {
	if d.team != "" && v.Team != d.team && withinQuota[v.JobUID] {
		return false
	}
	return d.byPriority(v) || d.reclaims && v.Team != d.team
}

// byPriority reports whether running work may be displaced for its rank alone.
func (d preemptor) byPriority(v *Victim) bool {
	return v.Level < d.below && (!v.IsReplica || d.overdue)
}

// mayPreempt reports whether a job may displace running work.
func (r *round) mayPreempt(j *Job, v *Victim) bool {
	return r.preemptorOf(j).preempts(v, r.in.WithinQuota)
}

// preemptible is what jobs of one kind may displace on each node: how much room that
// gives, and the least that any of it loses. With that, most nodes need no closer look.
type preemptible struct {
	by   preemptor
	gain []fleet.Resources
	loss []float64
}

// preemptibleBy finds or makes what a job may displace.
func (r *round) preemptibleBy(j *Job) *preemptible {
	by, m := r.preemptorOf(j), r.memory
	for i := range m.preempted {
		if d := &m.preempted[i]; d.by == by {
			return d
		}
	}
	// A list that an earlier round has made is used again.
	if len(m.preempted) < cap(m.preempted) {
		m.preempted = m.preempted[:len(m.preempted)+1]
	} else {
		m.preempted = append(m.preempted, preemptible{})
	}
	d := &m.preempted[len(m.preempted)-1]
	d.by = by
	d.gain, d.loss = resized(d.gain, len(m.kind)), resized(d.loss, len(m.kind))
	for slot := range m.kind {
		d.sum(r, int32(slot))
	}
	return d
}

// sum adds up what may be displaced on a node.
func (d *preemptible) sum(r *round, slot int32) {
	gain, loss := fleet.Resources{}, math.Inf(1)
	victims := r.running(slot)
	for i := range victims {
		v := &victims[i]
		if d.by.preempts(v, r.in.WithinQuota) {
			gain = gain.Add(v.Need)
			loss = min(loss, v.lossS(r.in.Now)+1)
		}
	}
	d.gain[slot], d.loss[slot] = gain, loss
}

// running lists the victims of a node that are not stopped yet, in any order.
func (r *round) running(slot int32) []Victim {
	if sorted, known := r.victims[slot]; known {
		return sorted
	}
	if retained := int32(r.view.SlotCount()); slot >= retained {
		return r.in.Nodes[slot-retained].Victims
	}
	return r.view.nodes[slot].victims
}

// leastDisruption gives the victims of a node in the order in which they are stopped.
func (r *round) leastDisruption(slot int32) []Victim {
	sorted, known := r.victims[slot]
	if !known {
		now := r.in.Now
		m := r.memory
		begin := len(m.victims)
		m.victims = append(m.victims, r.running(slot)...)
		sorted = m.victims[begin:len(m.victims):len(m.victims)]
		slices.SortFunc(sorted, func(a, b Victim) int {
			return cmp.Or(cmp.Compare(a.Level, b.Level), cmp.Compare(a.lossS(now), b.lossS(now)), cmp.Compare(a.Serial, b.Serial))
		})
		r.victims[slot] = sorted
	}
	return sorted
}

// preemptions lists room that there is for tasks of a job, and that there would be if work
// that it may displace were stopped, what loses least first on each node. If the job's tasks
// may be in any zone, no more than it wants are listed: those with the least loss.
func (r *round) preemptions(j *Job, want int) []choice {
	need, d, m := fleet.TaskResources(j.Spec), r.preemptibleBy(j), r.memory
	most := math.MaxInt
	if !j.Spec.SingleZone && !j.Spec.SpreadZones {
		most = want
	}
	worst := newHeap(m.choices[:0], func(a, b *choice) bool { return b.before(a) })
	add := func(c choice) {
		switch {
		case worst.Len() < most:
			worst.Push(c)
		case c.before(worst.Least()):
			worst.Replace(c)
		}
	}
	for slot := range m.kind {
		room := r.room[soon][slot]
		if !room.Add(d.gain[slot]).Fits(need) {
			continue
		}
		if worst.Len() >= most && d.loss[slot] >= worst.Least().loss && !room.FitsRequested(need) {
			continue // all that it offers loses as much, and it is later in order
		}
		if r.empty(slot) || !r.usable(j, int32(slot)) {
			continue
		}
		r.offers(j, int32(slot), need, want, add)
	}
	m.choices = worst.items
	return worst.items
}

// offers gives the room on a node for tasks of a job, one by one.
func (r *round) offers(j *Job, slot int32, need fleet.Resources, want int, add func(c choice)) {
	room := r.room[soon][slot]
	for range room.CountFitting(need, want) {
		add(choice{node: slot})
		room = room.Sub(need)
	}
	victims := r.leastDisruption(slot)
	c := choice{node: slot}
	for k := range victims {
		v := &victims[k]
		if !r.mayPreempt(j, v) {
			continue
		}
		room = room.Add(v.Need)
		c.to = k + 1
		c.loss += v.lossS(r.in.Now) + 1
		if room.Fits(need) {
			add(c)
			c = choice{node: slot, from: c.to}
			room = room.Sub(need)
		}
	}
}

// leastHarm takes the choices with the least loss that the job's zones allow, for up to want
// tasks.
func (r *round) leastHarm(j *Job, want int, choices []choice) (places []Placement, chosen []choice) {
	order := newHeap(choices, (*choice).before)
	zone := ""
	for z, n := range j.LiveByZone {
		if j.Spec.SingleZone && n > 0 {
			zone = z
		}
	}
	taken, reclaimed := map[string]int{}, map[string]fleet.Resources{}
	for order.Len() > 0 && len(places) < want {
		c := order.Pop()
		z := r.zone(c.node)
		if (j.Spec.SingleZone && zone != "" && z != zone) || zoneRoom(j, z)-taken[z] <= 0 {
			continue
		}
		if j.Spec.SingleZone {
			zone = z
		}
		if !r.leavesQuotas(j, &c, reclaimed) {
			continue
		}
		taken[z]++
		places = append(places, Placement{j, int(c.node), 1})
		chosen = append(chosen, c)
	}
	return places, chosen
}

// leavesQuotas reports whether what a choice takes back from other teams leaves each of them
// what it is guaranteed itself, beside what was taken back from it for the job already. If so, it
// counts as taken back.
func (r *round) leavesQuotas(j *Job, c *choice, reclaimed map[string]fleet.Resources) bool {
	d := r.preemptorOf(j)
	if !d.reclaims || c.to == 0 {
		return true
	}
	after := map[string]fleet.Resources{}
	victims := r.victims[c.node]
	for k := c.from; k < c.to; k++ {
		v := &victims[k]
		if d.byPriority(v) || !d.preempts(v, r.in.WithinQuota) {
			continue
		}
		taken, known := after[v.Team]
		if !known {
			taken = reclaimed[v.Team]
		}
		after[v.Team] = taken.Add(v.Need)
	}
	for team, taken := range after {
		t := r.in.Teams[team]
		if t == nil {
			return false
		}
		if left := t.beyond(taken); left.Cores < -tolerance || left.Gpus < -tolerance {
			return false
		}
	}
	for team, taken := range after {
		reclaimed[team] = taken
	}
	return true
}

// tolerance is for the rounding of sums of cores and GPUs.
const tolerance = 1e-6

// stopVictims stops the work that choices displace, and gives the job their room.
func (r *round) stopVictims(j *Job, chosen []choice) {
	stopped := map[int]bool{}
	for _, c := range chosen {
		victims := r.victims[c.node]
		for k := c.from; k < c.to; k++ {
			if v := &victims[k]; r.mayPreempt(j, v) {
				stopped[v.Serial] = true
				if t := r.in.Teams[v.Team]; t != nil {
					t.Stopping.Cores += v.Need.Cores
					t.Stopping.Gpus += v.Need.Gpus
				}
				r.plan.Preemptions = append(r.plan.Preemptions, Preemption{int(c.node), v.Serial, j.StartSlackS})
				r.grow(c.node, v.Need)
			}
		}
	}
	for _, c := range chosen {
		if c.to == 0 {
			continue
		}
		r.victims[c.node] = slices.DeleteFunc(r.victims[c.node], func(v Victim) bool { return stopped[v.Serial] })
		for i := range r.memory.preempted {
			r.memory.preempted[i].sum(r, c.node)
		}
	}
}

// grow gives a node the room of a task that is stopped, once it has ended.
func (r *round) grow(slot int32, room fleet.Resources) {
	clear(r.bounds)
	r.room[soon][slot] = r.room[soon][slot].Add(room)
	r.room[later][slot] = r.room[later][slot].Add(room)
	r.move(slot)
}
