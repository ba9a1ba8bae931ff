// Package faultattribution estimates whether the failures of tasks are the fault of jobs that were submitted
// with a mistake (faulty jobs) or of faulty machines. A faulty job fails on every machine, a faulty machine
// makes every job fail, and a single failure may be the fault of either.
//
// The model is a noisy-or of two causes: the failure of a job on a machine is almost certain if the job or
// the machine is faulty, and rare if neither is. Probabilities are computed by loopy belief propagation over
// the known failures (J. Pearl, "Probabilistic Reasoning in Intelligent Systems", 1988). A failure that a
// faulty job explains does not count against the machine, and a failure that a faulty machine explains does
// not count against the job.
//
// A task that completes shows that its job is not faulty, since a faulty job fails everywhere: the job's
// failures are then the fault of machines. It also shows that its machine works now. Since a machine can
// become faulty at any time, a success does not count in its favour later: it only discards the earlier
// failures as evidence against the machine, as in a cumulative sum test (E. S. Page, "Continuous inspection schemes", 1954).
package faultattribution

import (
	"maps"
	"slices"
	"time"
)

// maxFailures is the maximum number of pairs of a job and a machine that are retained. It also bounds the
// time of a propagation. The oldest pairs are removed first.
const maxFailures = 512

// pair is a job and a machine that the job failed on.
type pair struct{ job, machine string }

// failure is the evidence of a pair, from one or more failures of the job on the machine.
type failure struct {
	at               time.Time // of the newest failure
	machineRecovered bool      // the machine has completed a task since: the failure does not count against it
	job, machine     *party
	messageToJob     float64 // log likelihood ratio, by this failure, that the job is faulty
	messageToMachine float64 // log likelihood ratio, by this failure, that the machine is faulty
}

// party is a job or a machine that may be faulty.
type party struct {
	priorLogOdds float64             // of being faulty, without the failures
	logOdds      float64             // of being faulty, given all its failures
	failures     map[string]*failure // by the name of the other party
}

// Evidence holds the known failures and the probabilities derived from them. The failures of finished jobs
// still count in the estimate for the machines. An Evidence is not safe for concurrent use.
type Evidence struct {
	retention    time.Duration
	failures     map[pair]*failure
	jobs         map[string]*party
	machines     map[string]*party
	beliefsStale bool // the log odds have to be computed again
}

// New returns evidence without failures. Failures older than retention are removed when the next one is
// recorded.
func New(retention time.Duration) *Evidence {
	return &Evidence{
		retention: retention,
		failures:  map[pair]*failure{},
		jobs:      map[string]*party{},
		machines:  map[string]*party{},
	}
}

// RecordFailure records that a task of a job failed on a machine. hasSucceeded is true if other tasks
// of the job have completed, in which case the job is almost certainly not faulty.
func (e *Evidence) RecordFailure(job, machine string, hasSucceeded bool, now time.Time) {
	e.expire(now)
	key := pair{job, machine}
	f := e.failures[key]
	if f == nil {
		if len(e.failures) >= maxFailures {
			e.removeOldest()
		}
		f = &failure{job: partyOf(e.jobs, job, priorJobFault), machine: partyOf(e.machines, machine, priorMachineFault)}
		e.failures[key], f.job.failures[machine], f.machine.failures[job] = f, f, f
	}
	f.at, f.machineRecovered = now, false
	if hasSucceeded {
		f.job.priorLogOdds = toLogOdds(priorJobFaultAfterSuccess)
	}
	e.beliefsStale = true
}

// partyOf returns the party with a name, and adds it if it is unknown.
func partyOf(parties map[string]*party, name string, prior float64) *party {
	p := parties[name]
	if p == nil {
		p = &party{priorLogOdds: toLogOdds(prior), failures: map[string]*failure{}}
		parties[name] = p
	}
	return p
}

// failuresOf returns the failures of the party with a name; none if it is unknown.
func failuresOf(parties map[string]*party, name string) map[string]*failure {
	if p := parties[name]; p != nil {
		return p.failures
	}
	return nil
}

// RecordSuccess records that a task of a job completed on a machine.
func (e *Evidence) RecordSuccess(job, machine string) {
	if p := e.jobs[job]; p != nil {
		p.priorLogOdds = toLogOdds(priorJobFaultAfterSuccess)
		e.beliefsStale = true
	}
	for _, f := range failuresOf(e.machines, machine) {
		f.machineRecovered = true
		e.beliefsStale = true
	}
}

// ForgetMachine removes all failures on a machine that is gone.
func (e *Evidence) ForgetMachine(machine string) {
	for job := range failuresOf(e.machines, machine) {
		e.remove(pair{job, machine})
	}
}

// remove removes a pair, and its job and its machine if they have no other failures.
func (e *Evidence) remove(key pair) {
	f := e.failures[key]
	delete(e.failures, key)
	if delete(f.job.failures, key.machine); len(f.job.failures) == 0 {
		delete(e.jobs, key.job)
	}
	if delete(f.machine.failures, key.job); len(f.machine.failures) == 0 {
		delete(e.machines, key.machine)
	}
	e.beliefsStale = true
}

// expire removes failures that are older than the retention.
func (e *Evidence) expire(now time.Time) {
	for key, f := range e.failures {
		if now.Sub(f.at) > e.retention {
			e.remove(key)
		}
	}
}

// removeOldest removes the pair whose newest failure is the oldest.
func (e *Evidence) removeOldest() {
	var oldest pair
	var at time.Time
	for key, f := range e.failures {
		if at.IsZero() || f.at.Before(at) {
			oldest, at = key, f.at
		}
	}
	e.remove(oldest)
}

// Len returns the number of pairs of a job and a machine that the job failed on.
func (e *Evidence) Len() int { return len(e.failures) }

// MachinesFailedOn lists the machines that a job failed on, in order of their names.
func (e *Evidence) MachinesFailedOn(job string) []string {
	return slices.Sorted(maps.Keys(failuresOf(e.jobs, job)))
}
