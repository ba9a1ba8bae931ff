package faultattribution

import "math"

// The parameters of the model: the prior probabilities that a job or a machine is faulty, and the
// probabilities that a task fails if its job or machine is faulty and if neither is.
const (
	priorJobFault             = 0.02
	priorJobFaultAfterSuccess = 1e-6 // of a job that has completed a task
	priorMachineFault         = 0.01
	failureRateIfFaulty       = 0.95
	failureRateIfNotFaulty    = 0.005
)

// faultyThreshold is the lowest probability at which a job or a machine counts as faulty.
const faultyThreshold = 0.9

// iterations is the number of rounds of message passing. Probabilities that depend on each other converge
// within a few rounds.
const iterations = 6

// JobFaultProbability returns the probability that a job was submitted with a mistake.
func (e *Evidence) JobFaultProbability(job string) float64 {
	return e.belief(e.jobs, job, priorJobFault)
}

// MachineFaultProbability returns the probability that a machine is faulty.
func (e *Evidence) MachineFaultProbability(machine string) float64 {
	return e.belief(e.machines, machine, priorMachineFault)
}

// IsJobFaulty reports whether the probability that a job is faulty is so high that the job should be backed off.
func (e *Evidence) IsJobFaulty(job string) bool { return e.JobFaultProbability(job) >= faultyThreshold }

// IsMachineFaulty reports whether the probability that a machine is faulty is so high that the machine should
// be quarantined.
func (e *Evidence) IsMachineFaulty(machine string) bool {
	return e.MachineFaultProbability(machine) >= faultyThreshold
}

// belief returns the probability that a party is faulty; the prior if it has no failures.
func (e *Evidence) belief(parties map[string]*party, name string, prior float64) float64 {
	p := parties[name]
	if p == nil {
		return prior
	}
	e.propagate()
	return fromLogOdds(p.logOdds)
}

// propagate computes the log odds of all parties again if the evidence has changed. The message of a failure
// to one party excludes what the same failure contributed to the other party, so that a belief does not
// confirm itself.
func (e *Evidence) propagate() {
	if !e.beliefsStale {
		return
	}
	e.beliefsStale = false
	for _, f := range e.failures {
		f.messageToJob, f.messageToMachine = 0, 0
	}
	for range iterations {
		updateLogOdds(e.machines, func(f *failure) float64 { return f.messageToMachine })
		for _, f := range e.failures {
			f.messageToJob = logLikelihoodRatio(fromLogOdds(f.machine.logOdds - f.messageToMachine))
		}
		updateLogOdds(e.jobs, func(f *failure) float64 { return f.messageToJob })
		for _, f := range e.failures {
			if !f.machineRecovered {
				f.messageToMachine = logLikelihoodRatio(fromLogOdds(f.job.logOdds - f.messageToJob))
			}
		}
	}
	updateLogOdds(e.machines, func(f *failure) float64 { return f.messageToMachine })
}

// updateLogOdds sets the log odds of each party to the sum of its prior and the contributions of its failures.
func updateLogOdds(parties map[string]*party, contribution func(*failure) float64) {
	for _, p := range parties {
		p.logOdds = p.priorLogOdds
		for _, f := range p.failures {
			p.logOdds += contribution(f)
		}
	}
}

// logLikelihoodRatio returns the log likelihood ratio, by one failure, that a party is faulty, where the other
// party is faulty with the given probability.
func logLikelihoodRatio(otherFaultProbability float64) float64 {
	failureRateIfSelfNotFaulty := otherFaultProbability*failureRateIfFaulty + (1-otherFaultProbability)*failureRateIfNotFaulty
	return math.Log(failureRateIfFaulty / failureRateIfSelfNotFaulty)
}

func toLogOdds(p float64) float64 { return math.Log(p / (1 - p)) }

func fromLogOdds(logOdds float64) float64 { return 1 / (1 + math.Exp(-logOdds)) }
