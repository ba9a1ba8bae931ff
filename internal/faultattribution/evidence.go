// Package faultattribution tells jobs that were submitted with a mistake (faulty jobs) from machines that
// are faulty. A faulty job fails on machine after machine, a faulty machine fails job after job, and each
// failure alone could be either's fault.
//
// It is inference in a noisy-or model of two causes: a failure of a job on a machine is almost certain if
// either is at fault, and rare if neither is. Beliefs are computed by loopy belief propagation over the
// failures that are known (J. Pearl, "Probabilistic Reasoning in Intelligent Systems", 1988): what a job
// that fails everywhere explains counts against no machine, and the other way round.
//
// A task that completes shows that its job is not faulty, since such a job fails everywhere: the job's
// failures are then the machines' fault. It also shows that its machine works now. A machine can become
// faulty at any time, so successes do not count in its favour later: each of them only resets its
// evidence, as in a cumulative sum test (E. S. Page, "Continuous inspection schemes", 1954).
package faultattribution

import (
	"maps"
	"slices"
	"time"
)

// maxFailures bounds the pairs of a job and a machine that are retained, and with them the time of a
// propagation: the oldest are removed first.
const maxFailures = 512

// pair is a job and a machine that it failed on.
type pair struct{ job, machine string }

// failure is what is known of a pair.
type failure struct {
	at                time.Time // of the last one
	machineExonerated bool      // the machine has completed a task since: this does not count against it
	job, machine      *party
	messageToJob      float64 // log likelihood ratio that the job is at fault
	messageToMachine  float64 // the same of the machine
}

// party is a job or a machine that may be at fault.
type party struct {
	priorLogOdds float64             // before anything is known
	logOdds      float64             // given all its failures
	failures     map[string]*failure // by the other party's name
}

// Evidence is the failures that beliefs rest on. Those of finished jobs still count, for or against the
// machines. It is not safe for concurrent use.
type Evidence struct {
	retention    time.Duration
	failures     map[pair]*failure
	jobs         map[string]*party
	machines     map[string]*party
	beliefsStale bool // they have to be computed again
}

// New returns empty evidence. A failure that is older than retention no longer counts once the next one
// is recorded.
func New(retention time.Duration) *Evidence {
	return &Evidence{
		retention: retention,
		failures:  map[pair]*failure{},
		jobs:      map[string]*party{},
		machines:  map[string]*party{},
	}
}

// RecordFailure records that a task of a job failed on a machine. succeeds says whether the job has
// completed other tasks: it is then almost certainly not faulty.
func (e *Evidence) RecordFailure(job, machine string, succeeds bool, now time.Time) {
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
	f.at, f.machineExonerated = now, false
	if succeeds {
		f.job.priorLogOdds = toLogOdds(priorJobFaultIfSucceeds)
	}
	e.beliefsStale = true
}

// partyOf returns a party, which it adds if it is not known.
func partyOf(parties map[string]*party, name string, prior float64) *party {
	p := parties[name]
	if p == nil {
		p = &party{priorLogOdds: toLogOdds(prior), failures: map[string]*failure{}}
		parties[name] = p
	}
	return p
}

// failuresOf returns the failures of a party, none if it is not known.
func failuresOf(parties map[string]*party, name string) map[string]*failure {
	if p := parties[name]; p != nil {
		return p.failures
	}
	return nil
}

// RecordSuccess records that a task of a job completed on a machine.
func (e *Evidence) RecordSuccess(job, machine string) {
	if p := e.jobs[job]; p != nil {
		p.priorLogOdds = toLogOdds(priorJobFaultIfSucceeds)
		e.beliefsStale = true
	}
	for _, f := range failuresOf(e.machines, machine) {
		f.machineExonerated = true
		e.beliefsStale = true
	}
}

// ForgetMachine removes all failures on a machine that is gone.
func (e *Evidence) ForgetMachine(machine string) {
	for job := range failuresOf(e.machines, machine) {
		e.remove(pair{job, machine})
	}
}

// remove removes a pair, and its parties if they have no other failures.
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

// removeOldest removes the pair that failed least recently.
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

// Len returns how many pairs of a job and a machine are known.
func (e *Evidence) Len() int { return len(e.failures) }

// MachinesFailedOn lists the machines that a job failed on, in order of their names.
func (e *Evidence) MachinesFailedOn(job string) []string {
	return slices.Sorted(maps.Keys(failuresOf(e.jobs, job)))
}
