// Package sched implements the scheduling cycle: it computes placements, preemptions and shortfalls from
// a snapshot of machines and pending jobs. It does no I/O and reads no clock, so equal inputs give equal
// plans.
//
// A cycle takes the first jobs of the queue (the window) in order of priority (SortQueue) and packs
// their tasks onto machines greedily. This approximates the choice of jobs that maximises the sum of
// p_j(s_j - c_j) over the window, where p_j is the weight of the job's priority, s_j is 1 if the job
// starts and 0 otherwise, and c_j is the number of machines that the job uses divided by twice the
// number of all machines. The exact solution would need an integer solver.
//
// Services, gangs and single-zone arrays are all-or-nothing: all their tasks start together, or none.
// The tasks of other job arrays start independently. Tasks that do not fit the free capacity may preempt
// running tasks of lower priority, or tasks that another team runs beyond its quota. Tasks that fit
// nowhere, not even on machines that are booting, are a shortfall: the autoscaler provisions machines
// for them.
//
// Files:
//   - input.go, plan.go: input and result of a cycle
//   - queue.go: order of the queue
//   - cycle.go: the passes over the window
//   - fit.go, fitshape.go: placing the tasks of one job
//   - candidates.go, choose.go: choice of nodes
//   - eligibility.go: which nodes a job may use
//   - classindex.go: index of nodes with equal properties and free capacity
//   - reservation.go: reserving nodes for a job that has waited long
//   - preempt.go, preemptionrule.go, victims.go: preemption
//   - view.go, profile.go: machines that are retained from cycle to cycle
//   - scratch.go: memory that cycles reuse
//   - heap.go: binary heap
package sched
