package sched

import "lotusstile.dev/lotusstile/internal/fleet"

// Placement starts Count tasks of a job on a node, which is an index as Input describes.
type Placement struct {
	Job   *Job
	Node  int
	Count int
}

// Preemption stops the victim with the given serial on a node.
type Preemption struct {
	Node        int
	Serial      int
	StartSlackS float64 // how long the preempting job can wait for it
}

// Shortfall is demand that no machine, registered or booting, has room for.
type Shortfall struct {
	Job   *Job
	Count int
}

// Plan is the outcome of a cycle.
type Plan struct {
	Placements     []Placement
	Preemptions    []Preemption
	Shortfalls     []Shortfall
	Objective      float64           // sum of p_j(s_j - c_j) over the jobs that start
	JobsConsidered int               // jobs in the window
	ReservedFor    string            // UID of the job that nodes are reserved for; "" if none
	FreeAfterStops []fleet.Resources // what the cycle leaves of each node once stops have ended
	FreeAfterBoot  []fleet.Resources // what it leaves once machines are up, too
}
