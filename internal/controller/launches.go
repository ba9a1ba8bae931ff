package controller

import (
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/wire"
)

// maxTasksPerMachine is the maximum number of tasks of a machine: a task takes up to a hundred bytes
// of a heartbeat, which must fit a request body.
const maxTasksPerMachine = wire.MaxBody / 100

// reportableTasks returns how many tasks of a planned placement the machine can report in a heartbeat
// in addition to the tasks that it has, including ended ones that are not acknowledged. No node
// answers a heartbeat that does not fit a request body; the worker's lease would expire, which ends
// all its tasks. An array starts as many tasks as the machine can report; a gang is all-or-nothing.
func reportableTasks(m *fleet.Machine, planned sched.Placement) int {
	remaining := max(0, maxTasksPerMachine-m.AttemptCount())
	if planned.Job.Spec.Kind == wire.Gang && planned.Count > remaining {
		return 0
	}
	return min(planned.Count, remaining)
}

// launch turns the placements of a plan into planned attempts, as far as the budget of placement
// records allows; the other tasks wait for a later cycle. It returns how many attempts it planned.
// c.mu is held.
func (c *Controller) launch(placements []sched.Placement, s *snapshot, now time.Time) (started int) {
	budget := c.launchBudget(now)
	for _, planned := range placements {
		j := c.jobs.get(planned.Job.Spec.UID)
		m := s.machine(planned.Node)
		if m == nil || budget <= 0 && !j.hasDuePlacement(now) {
			continue
		}
		for _, task := range j.nextWaitingTasks(reportableTasks(m, planned)) {
			p := j.placement(task)
			if !p.hasRoom(task, m, c.maxPlacementBytes()) {
				j.freedTasks = append(j.freedTasks, task)
				continue // the task waits until other attempts of its placement record have ended
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

// launchBudget returns how many placement records a cycle may add to those that are already due to be
// written. Placements of cancelled jobs do not count, since they are not written again: when they
// counted, jobs cancelled at the end of an outage blocked all placements for 12 s while 400 other
// jobs waited. An attempt in a placement that is due anyway costs nothing. c.mu is held.
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

// planAttempt adds a planned attempt of a task on a machine. The attempt is launched once its
// placement record is committed. c.mu is held.
func (c *Controller) planAttempt(j *job, p *placement, task int, m *fleet.Machine, now time.Time) {
	a := &fleet.Attempt{
		JobUID:    j.uid,
		TaskIndex: task,
		Number:    p.nextAttempt,
		Resources: j.taskResources,
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
