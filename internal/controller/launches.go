package controller

import (
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/wire"
)

// maxTasksPerMachine is how many tasks a machine may have: a task takes up to a hundred bytes of a
// heartbeat, which must fit a request body.
const maxTasksPerMachine = wire.MaxBody / 100

// reportableTasks returns how many tasks of a place its machine can list in a heartbeat in addition
// to those that it has, including those whose end is not acknowledged. A heartbeat that does not
// fit a request body is answered by no node, and the worker's lease ends with all its tasks. Of an
// array as many tasks start as fit; a gang starts whole or not at all.
func reportableTasks(m *fleet.Machine, place sched.Placement) int {
	room := max(0, maxTasksPerMachine-m.AttemptCount())
	if place.Job.Spec.Kind == wire.Gang && place.Count > room {
		return 0
	}
	return min(place.Count, room)
}

// launch turns the places of a plan into planned attempts, within the budget of placement records;
// the rest waits for a later cycle. It returns how many attempts it planned. c.mu is held.
func (c *Controller) launch(places []sched.Placement, s *snapshot, now time.Time) (started int) {
	budget := c.launchBudget(now)
	for _, place := range places {
		j := c.jobs.get(place.Job.Spec.UID)
		m := s.machine(place.Node)
		if m == nil || budget <= 0 && !j.hasDuePlacement(now) {
			continue
		}
		for _, task := range j.nextWaitingTasks(reportableTasks(m, place)) {
			p := j.placement(task)
			if !p.hasRoom(task, m, c.maxPlacementBytes()) {
				j.freedTasks = append(j.freedTasks, task)
				continue // it waits until other attempts of its placement have ended
			}
			if !p.dirty || p.due.After(now) {
				budget--
			}
			c.planAttempt(j, p, task, m, now)
			started++
		}
	}
	if started > 0 {
		c.wakeWriter()
	}
	return started
}

// launchBudget returns how many placement records a cycle may add to those that are due to be
// written. Placements of cancelled jobs do not count, since they are not written again: when they
// did, jobs cancelled at the end of an outage kept 400 other jobs waiting, with nothing placed for
// 12 s. An attempt in a placement that is due anyway costs nothing. c.mu is held.
func (c *Controller) launchBudget(now time.Time) int {
	budget := max(1, int(c.Config.StateLimits().WriteRps))
	for _, j := range c.jobs.byUID {
		if j.dirtyPlacements == 0 || j.record.Status.Final() {
			continue
		}
		for _, p := range j.placements {
			if p.dirty && !p.due.After(now) {
				budget--
			}
		}
	}
	return budget
}

// planAttempt adds a planned attempt of a task on a machine. It is launched once its placement
// record is committed. c.mu is held.
func (c *Controller) planAttempt(j *job, p *placement, task int, m *fleet.Machine, now time.Time) {
	a := &fleet.Attempt{
		JobUID:    j.uid,
		TaskIndex: task,
		Number:    p.nextAttempt,
		Resources: j.need,
		Image:     j.record.Spec.Image,
	}
	if j.record.Spec.Kind == wire.Gang {
		a.Number = j.gangAttempt()
	}
	p.nextAttempt = max(p.nextAttempt, a.Number+1)
	j.addAttempt(p, a)
	p.markChanged(now)
	c.fleet.AddAttempt(m, a, now)
}
