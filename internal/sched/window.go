package sched

// scheduleQueue tries the jobs of a sorted queue, until Input.Window of them have taken a place in the window. A job
// takes a place if nodes have to be searched for it. None is taken by a job that its team's limit excludes, or that is
// known not to fit because no more tasks of its shape do: such jobs must not keep others from starting beside idle
// machines, however many there are.
//
// The first window is the first Input.Window jobs that no limit excludes. For the places that turn out not to be
// taken, the next jobs of the queue form a further window.
func (c *cycle) scheduleQueue(queue []*Job) {
	reservable := c.reservableJob(queue)
	for places := c.input.Window; places > 0; {
		var window []*Job
		window, queue = c.takeWindow(queue, places)
		if len(window) == 0 {
			return
		}
		c.plan.JobsConsidered += len(window)
		c.indexFor(window)
		places -= c.scheduleWindow(window, reservable)
	}
}

// takeWindow returns the first jobs of a queue that may start under the limits of their teams, at most size, and the
// rest of the queue.
func (c *cycle) takeWindow(queue []*Job, size int) (window, rest []*Job) {
	for i, job := range queue {
		if c.tasksWithinTeamLimit(job) == 0 {
			continue
		}
		if window = append(window, job); len(window) == size {
			return window, queue[i+1:]
		}
	}
	return window, nil
}

// scheduleWindow tries the jobs of a window, and returns how many places they have taken. Jobs with GPUs are placed in
// the first pass, CPU-only jobs in the second, on what is left.
func (c *cycle) scheduleWindow(window []*Job, reservable *Job) (placesTaken int) {
	for pass := range 2 {
		for _, job := range window {
			if c.isInSecondPass(job) != (pass == 1) {
				continue
			}
			c.current.hasSearched = false
			c.scheduleJob(job, job == reservable)
			if c.current.hasSearched {
				placesTaken++
			}
		}
	}
	return placesTaken
}

// isInSecondPass reports whether a job is placed after the jobs with GPUs: it is CPU-only and has not waited long.
func (c *cycle) isInSecondPass(job *Job) bool {
	return job.Spec.Gpus == 0 && job.WaitedS <= c.input.ReserveAfterS
}

// reservableJob returns the job of a sorted queue that may get a reservation: the one that goes first among the first
// Input.Window jobs, also if its team's limit excludes it; nil if the queue is empty.
func (c *cycle) reservableJob(queue []*Job) *Job {
	if len(queue) == 0 {
		return nil
	}
	for _, job := range queue[:min(len(queue), c.input.Window)] {
		if !c.isInSecondPass(job) {
			return job
		}
	}
	return queue[0]
}
