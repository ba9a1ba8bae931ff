package faultattribution

import "math"

// The parameters of the model: how likely each cause is before anything is known, and how likely a task
// fails with and without one.
const (
	priorJobFault           = 0.02
	priorJobFaultIfSucceeds = 1e-6 // of a job that has completed a task
	priorMachineFault       = 0.01
	failureRateIfFaulty     = 0.95
	failureRateIfSound      = 0.005
)

// faultyThreshold is the probability from which a party counts as faulty.
const faultyThreshold = 0.9

// iterations is how often messages are passed. Beliefs that depend on each other settle within a
// few exchanges.
const iterations = 6

// JobFaultProbability returns the probability that a job was submitted with a mistake.
func (e *Evidence) JobFaultProbability(job string) float64 {
	return e.belief(e.jobs, job, priorJobFault)
}

// MachineFaultProbability returns the probability that a machine is faulty.
func (e *Evidence) MachineFaultProbability(machine string) float64 {
	return e.belief(e.machines, machine, priorMachineFault)
}

// IsJobFaulty reports whether a job is so probably faulty that it should be held back.
func (e *Evidence) IsJobFaulty(job string) bool { return e.JobFaultProbability(job) >= faultyThreshold }

// IsMachineFaulty reports whether a machine is so probably faulty that it should be quarantined.
func (e *Evidence) IsMachineFaulty(machine string) bool {
	return e.MachineFaultProbability(machine) >= faultyThreshold
}

// belief returns the probability that a party is at fault.
func (e *Evidence) belief(parties map[string]*party, name string, prior float64) float64 {
	p := parties[name]
	if p == nil {
		return prior
	}
	e.propagate()
	return fromLogOdds(p.logOdds)
}

// propagate computes the beliefs again if the failures have changed. The message of a failure to a party
// leaves out what the same failure contributed to the other party: a belief must not confirm itself.
func (e *Evidence) propagate() {
	if !e.beliefsStale {
		return
	}
	e.beliefsStale = false
	for _, f := range e.failures {
		f.messageToJob, f.messageToMachine = 0, 0
	}
	for range iterations {
		updateOdds(e.machines, func(f *failure) float64 { return f.messageToMachine })
		for _, f := range e.failures {
			f.messageToJob = likelihoodRatio(fromLogOdds(f.machine.logOdds - f.messageToMachine))
		}
		updateOdds(e.jobs, func(f *failure) float64 { return f.messageToJob })
		for _, f := range e.failures {
			if !f.machineExonerated {
				f.messageToMachine = likelihoodRatio(fromLogOdds(f.job.logOdds - f.messageToJob))
			}
		}
	}
	updateOdds(e.machines, func(f *failure) float64 { return f.messageToMachine })
}

// updateOdds computes the log odds of each party: its prior and the contributions of its failures.
func updateOdds(parties map[string]*party, contribution func(*failure) float64) {
	for _, p := range parties {
		p.logOdds = p.priorLogOdds
		for _, f := range p.failures {
			p.logOdds += contribution(f)
		}
	}
}

// likelihoodRatio returns the log likelihood ratio of a failure for one cause if the other cause is there
// with the given probability.
func likelihoodRatio(other float64) float64 {
	without := other*failureRateIfFaulty + (1-other)*failureRateIfSound
	return math.Log(failureRateIfFaulty / without)
}

func toLogOdds(p float64) float64 { return math.Log(p / (1 - p)) }

func fromLogOdds(odds float64) float64 { return 1 / (1 + math.Exp(-odds)) }
