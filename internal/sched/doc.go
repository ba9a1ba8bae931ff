// Package sched is the scheduling cycle: a pure function from a snapshot of machines and pending
// jobs to the placements, preemptions and shortfalls of this moment. It does no I/O and reads no
// clock.
//
// A cycle is greedy bin packing over a window of the queue, in order of priority (SortQueue). Of the
// jobs in the window it approximates the set whose sum of p_j(s_j - c_j) is highest, where p_j is the
// weight of the job's priority, s_j is 1 if it starts, and c_j is the number of machines it uses over
// twice the number of all machines. A greedy pass stands in for the integer solver.
//
// Services, gangs and single-zone arrays start with all their tasks or not at all; the tasks of other
// job arrays start one by one. What does not fit free room may preempt running work of lower priority,
// or work that another team runs beyond its quota. What fits nowhere, not even on machines that boot,
// is a shortfall: the autoscaler provisions machines for it.
//
// Files: input.go and plan.go are what goes in and comes out, queue.go the order of the window,
// cycle.go the passes over it, fit.go the fit of whole jobs and arrays, candidates.go and choose.go the
// choice of nodes, eligibility.go which nodes a job may use, classindex.go the index of nodes that are
// alike, preempt.go, preemptor.go and victims.go preemption, view.go and profile.go the machines that
// are retained from cycle to cycle, scratch.go memory that cycles reuse.
package sched
