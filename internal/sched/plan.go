package sched

import "lotusstile.dev/lotusstile/internal/fleet"

// Placement starts Count tasks of a job on a node. See Input for the node index.
type Placement struct {
	Job   *Job
	Node  int
	Count int
}

// Preemption stops the victim with the given serial number on a node.
type Preemption struct {
	Node        int
	Serial      int
	StartSlackS float64 // how long the preempting job can wait for the victim to stop
}

// Shortfall is the number of tasks of a job that fit on no machine, registered or booting.
type Shortfall struct {
	Job   *Job
	Count int
}

// Plan is the result of a cycle.
type Plan struct {
	Placements     []Placement
	Preemptions    []Preemption
	Shortfalls     []Shortfall
	Objective      float64           // sum of p_j(s_j - c_j) over the jobs that start (see the package comment)
	JobsConsidered int               // number of jobs that were tried
	ReservedFor    string            // UID of the job that nodes are reserved for; "" if none
	FreeAfterStops []fleet.Resources // free on each node after the plan, once the tasks being stopped have ended
	FreeAfterBoot  []fleet.Resources // free on each node after the plan, once booting machines are up as well
}
