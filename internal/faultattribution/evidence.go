// Package faultattribution tells jobs that were submitted with a mistake from machines that are faulty. A
// mistaken job fails on machine after machine, a faulty machine fails job after job, and each
// failure alone could be either's fault.
//
// It is inference in a noisy-or model of two causes: a failure of a job on a machine is sure if
// either is at fault, up to a small part, and rare if neither is. Beliefs are found by loopy
// belief propagation over the failures that are known (J. Pearl, "Probabilistic Reasoning in
// Intelligent Systems", 1988): what is explained by a job that fails everywhere counts against
// no machine, and the other way round.
//
// A task that completes shows that its job is not mistaken, since such a job fails everywhere:
// its failures are then the machines' fault. And it shows that its machine works now. A machine can become faulty at any time, so successes do not speak
// for it later: its evidence begins anew at each, as in a cumulative sum test (E. S. Page,
// "Continuous inspection schemes", 1954).
package faultattribution

import (
	"maps"
	"math"
	"slices"
	"time"
)

// The model: how likely each cause is before anything is known, and how likely a task fails
// with and without one.
const (
	priorMistaken   = 0.02
	priorIfSucceeds = 1e-6 // of a job that has completed a task
	priorFaulty     = 0.01
	failIfCause     = 0.95
	failIfNone      = 0.005
)

// surely is the probability from which on somebody is acted upon.
const surely = 0.9

// iterations of the propagation: beliefs that feed on each other settle within a few.
const iterations = 6

// mostFailures is how many pairs of a job and a machine are kept: the oldest go first.
const mostFailures = 512

// pair is a job and a machine that it failed on.
type pair struct{ job, machine string }

// failure is what is known of a pair.
type failure struct {
	at           time.Time
	excused      bool // the machine has completed a task since: it says nothing of it any more
	job, machine *party
	toJob        float64 // log likelihood ratio that it tells the job
	toMachine    float64 // the same for the machine
}

// party is a job or a machine that may be at fault.
type party struct {
	prior    float64             // logarithmic odds before anything is known
	odds     float64             // and by all its failures
	failures map[string]*failure // by the other party's name
}

// Evidence is the failures that beliefs rest on. Those of jobs that are over count on: they still
// speak for or against the machines.
type Evidence struct {
	keep     time.Duration
	failures map[pair]*failure
	jobs     map[string]*party
	machines map[string]*party
	stale    bool // beliefs are to be found anew
}

// New makes empty evidence. A failure counts for so long.
func New(keep time.Duration) *Evidence {
	return &Evidence{keep: keep, failures: map[pair]*failure{}, jobs: map[string]*party{}, machines: map[string]*party{}}
}

// RecordFailure notes that a task of a job failed on a machine. works tells whether the job has
// completed other tasks.
func (e *Evidence) RecordFailure(job, machine string, succeeds bool, now time.Time) {
	e.forgetOld(now)
	key := pair{job, machine}
	f := e.failures[key]
	if f == nil {
		if len(e.failures) >= mostFailures {
			e.forgetOldest()
		}
		f = &failure{job: partyOf(e.jobs, job, priorMistaken), machine: partyOf(e.machines, machine, priorFaulty)}
		e.failures[key], f.job.failures[machine], f.machine.failures[job] = f, f, f
	}
	f.at, f.excused = now, false
	if succeeds {
		f.job.prior = logOdds(priorIfSucceeds)
	}
	e.stale = true
}

// partyOf finds or makes a party.
func partyOf(parties map[string]*party, name string, prior float64) *party {
	p := parties[name]
	if p == nil {
		p = &party{prior: logOdds(prior), failures: map[string]*failure{}}
		parties[name] = p
	}
	return p
}

// failuresOf are those of a party, none if it is not known.
func failuresOf(parties map[string]*party, name string) map[string]*failure {
	if p := parties[name]; p != nil {
		return p.failures
	}
	return nil
}

// RecordSuccess notes that a task of a job completed on a machine.
func (e *Evidence) RecordSuccess(job, machine string) {
	if p := e.jobs[job]; p != nil {
		p.prior = logOdds(priorIfSucceeds)
		e.stale = true
	}
	for _, f := range failuresOf(e.machines, machine) {
		f.excused = true
		e.stale = true
	}
}

// ForgetMachine drops all that is known of a machine: it is gone.
func (e *Evidence) ForgetMachine(machine string) {
	for job := range failuresOf(e.machines, machine) {
		e.drop(pair{job, machine})
	}
}

func (e *Evidence) drop(key pair) {
	f := e.failures[key]
	delete(e.failures, key)
	if delete(f.job.failures, key.machine); len(f.job.failures) == 0 {
		delete(e.jobs, key.job)
	}
	if delete(f.machine.failures, key.job); len(f.machine.failures) == 0 {
		delete(e.machines, key.machine)
	}
	e.stale = true
}

// forgetOld drops failures that count no more.
func (e *Evidence) forgetOld(now time.Time) {
	for key, f := range e.failures {
		if now.Sub(f.at) > e.keep {
			e.drop(key)
		}
	}
}

func (e *Evidence) forgetOldest() {
	var oldest pair
	var at time.Time
	for key, f := range e.failures {
		if at.IsZero() || f.at.Before(at) {
			oldest, at = key, f.at
		}
	}
	e.drop(oldest)
}

// Len is how many pairs of a job and a machine are known.
func (e *Evidence) Len() int { return len(e.failures) }

// JobFaultProbability is the probability that a job was submitted with a mistake.
func (e *Evidence) JobFaultProbability(job string) float64 {
	return e.belief(e.jobs, job, priorMistaken)
}

// MachineFaultProbability is the probability that a machine is faulty.
func (e *Evidence) MachineFaultProbability(machine string) float64 {
	return e.belief(e.machines, machine, priorFaulty)
}

// IsJobFaulty reports whether a job is to be held back.
func (e *Evidence) IsJobFaulty(job string) bool { return e.JobFaultProbability(job) >= surely }

// IsMachineFaulty reports whether a machine is to be passed over.
func (e *Evidence) IsMachineFaulty(machine string) bool {
	return e.MachineFaultProbability(machine) >= surely
}

// MachinesFailedOn lists the machines that a job failed on, in order of their names.
func (e *Evidence) MachinesFailedOn(job string) []string {
	return slices.Sorted(maps.Keys(failuresOf(e.jobs, job)))
}

// belief is the probability that a party is at fault.
func (e *Evidence) belief(parties map[string]*party, name string, prior float64) float64 {
	p := parties[name]
	if p == nil {
		return prior
	}
	e.propagate()
	return probability(p.odds)
}

// propagate finds the beliefs anew if the failures have changed. What a party is told by a
// failure leaves out what that failure has told the other one of it.
func (e *Evidence) propagate() {
	if !e.stale {
		return
	}
	e.stale = false
	for _, f := range e.failures {
		f.toJob, f.toMachine = 0, 0
	}
	for range iterations {
		sumUp(e.machines, func(f *failure) float64 { return f.toMachine })
		for _, f := range e.failures {
			f.toJob = likelihoodRatio(probability(f.machine.odds - f.toMachine))
		}
		sumUp(e.jobs, func(f *failure) float64 { return f.toJob })
		for _, f := range e.failures {
			if !f.excused {
				f.toMachine = likelihoodRatio(probability(f.job.odds - f.toJob))
			}
		}
	}
	sumUp(e.machines, func(f *failure) float64 { return f.toMachine })
}

// sumUp finds the odds of parties by what each of their failures tells them.
func sumUp(parties map[string]*party, contribution func(*failure) float64) {
	for _, p := range parties {
		p.odds = p.prior
		for _, f := range p.failures {
			p.odds += contribution(f)
		}
	}
}

// likelihoodRatio is by how much, as a logarithm, a failure speaks for one cause if the other
// one is there with a probability.
func likelihoodRatio(other float64) float64 {
	without := other*failIfCause + (1-other)*failIfNone
	return math.Log(failIfCause / without)
}

func logOdds(p float64) float64 { return math.Log(p / (1 - p)) }

func probability(odds float64) float64 { return 1 / (1 + math.Exp(-odds)) }
