package faultattribution

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Every run draws the same inputs; -rapid.seed draws others.
func init() { _ = flag.Set("rapid.seed", "1") }

const retention = 2 * time.Minute

// After one failure neither the job nor the machine counts as faulty. A second failure shows which of them is.
func TestSecondFailureTellsWhoIsFaulty(t *testing.T) {
	now := time.Unix(1000, 0)
	e := New(retention)
	e.RecordFailure("job", "m1", false, now)
	if e.IsJobFaulty("job") || e.IsMachineFaulty("m1") {
		t.Errorf("after one failure: job %.2f, machine %.2f, want both < 0.9", e.JobFaultProbability("job"), e.MachineFaultProbability("m1"))
	}
	e.RecordFailure("job", "m2", false, now)
	m1, m2 := e.MachineFaultProbability("m1"), e.MachineFaultProbability("m2")
	if !e.IsJobFaulty("job") || m1 > 0.1 || m2 > 0.1 {
		t.Errorf("after failures on two machines: job %.2f, machines %.2f %.2f, want >= 0.9, both <= 0.1", e.JobFaultProbability("job"), m1, m2)
	}
	e = New(retention)
	e.RecordFailure("a", "m1", false, now)
	e.RecordFailure("b", "m1", false, now)
	a, b := e.JobFaultProbability("a"), e.JobFaultProbability("b")
	if !e.IsMachineFaulty("m1") || a > 0.5 || b > 0.5 {
		t.Errorf("after failures of two jobs: machine %.2f, jobs %.2f %.2f, want >= 0.9, both <= 0.5", e.MachineFaultProbability("m1"), a, b)
	}
	e.RecordSuccess("c", "m1")
	if e.IsMachineFaulty("m1") {
		t.Errorf("after a success: machine %.2f, want it not faulty", e.MachineFaultProbability("m1"))
	}
}

const jobs, machines = 24, 16

// groundTruth holds which jobs and machines of a run are faulty, and which failures identify them.
type groundTruth struct {
	faultyJobs, faultyMachines map[string]bool
	// failedWith lists, for a faulty job, the machines that are not faulty and that it failed on; for a
	// faulty machine, the jobs that are not faulty and that failed on it.
	failedWith map[string]map[string]bool
}

func genTruth(t *rapid.T) *groundTruth {
	truth := &groundTruth{faultyJobs: map[string]bool{}, faultyMachines: map[string]bool{}, failedWith: map[string]map[string]bool{}}
	for i := range rapid.IntRange(0, 4).Draw(t, "faultyJobs") {
		truth.faultyJobs[fmt.Sprintf("job-%d", 5*i)] = true
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "faultyMachines") {
		truth.faultyMachines[fmt.Sprintf("m-%d", 4*i)] = true
	}
	return truth
}

// runTask records the outcome of a task of a job on a machine: the task fails if either is faulty.
func (truth *groundTruth) runTask(e *Evidence, job, machine string, now time.Time) {
	jobFaulty, machineFaulty := truth.faultyJobs[job], truth.faultyMachines[machine]
	if !jobFaulty && !machineFaulty {
		e.RecordSuccess(job, machine)
		delete(truth.failedWith, machine)
		return
	}
	e.RecordFailure(job, machine, false, now)
	if !machineFaulty {
		truth.recordFailedWith(job, machine)
	}
	if !jobFaulty {
		truth.recordFailedWith(machine, job)
	}
}

func (truth *groundTruth) recordFailedWith(faulty, other string) {
	if truth.failedWith[faulty] == nil {
		truth.failedWith[faulty] = map[string]bool{}
	}
	truth.failedWith[faulty][other] = true
}

// checkJob requires that a faulty job counts as faulty once it has failed on four machines that are not
// faulty, and that no other job does if there are fewer than two faulty machines.
func (truth *groundTruth) checkJob(t *rapid.T, e *Evidence, job string) {
	probability := e.JobFaultProbability(job)
	if e.IsJobFaulty(job) && !truth.faultyJobs[job] && len(truth.faultyMachines) < 2 {
		t.Fatalf("%s counts as faulty with probability %.3f, want not faulty", job, probability)
	}
	if failedOn := len(truth.failedWith[job]); truth.faultyJobs[job] && failedOn >= 4 && !e.IsJobFaulty(job) {
		t.Fatalf("%s failed on %d machines, but has fault probability %.3f, want at least %v", job, failedOn, probability, faultyThreshold)
	}
}

// checkMachine requires that a machine that is not faulty does not count as faulty if there are fewer than two
// faulty jobs.
func (truth *groundTruth) checkMachine(t *rapid.T, e *Evidence, machine string) {
	if e.IsMachineFaulty(machine) && !truth.faultyMachines[machine] && len(truth.faultyJobs) < 2 {
		t.Fatalf("%s counts as faulty with probability %.3f, want not faulty", machine, e.MachineFaultProbability(machine))
	}
}

// Whichever tasks run on which machines and in whatever order, every faulty job that failed often enough
// counts as faulty, and no job or machine that is not faulty does. The second condition cannot always hold:
// the failures on two faulty machines that have not been identified yet may look like the fault of a job, and
// those of two faulty jobs like the fault of a machine. It is therefore checked for jobs only if there are
// fewer than two faulty machines, and for machines only if there are fewer than two faulty jobs.
func TestFaultyPartiesAreFoundAndNoOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := genTruth(t)
		e, now := New(retention), time.Unix(1000, 0)
		for range rapid.IntRange(0, 300).Draw(t, "tasks") {
			now = now.Add(100 * time.Millisecond)
			job := fmt.Sprintf("job-%d", rapid.IntRange(0, jobs-1).Draw(t, "job"))
			machine := fmt.Sprintf("m-%d", rapid.IntRange(0, machines-1).Draw(t, "machine"))
			truth.runTask(e, job, machine, now)
		}
		for i := range jobs {
			truth.checkJob(t, e, fmt.Sprintf("job-%d", i))
		}
		for i := range machines {
			truth.checkMachine(t, e, fmt.Sprintf("m-%d", i))
		}
	})
}

// The number of retained pairs is bounded, and failures older than the retention do not count.
func TestEvidenceIsBounded(t *testing.T) {
	e, now := New(retention), time.Unix(1000, 0)
	for i := range 2 * maxFailures {
		now = now.Add(time.Millisecond)
		e.RecordFailure(fmt.Sprintf("job-%d", i), fmt.Sprintf("m-%d", i%100), false, now)
	}
	if e.Len() > maxFailures {
		t.Errorf("%d failures are retained, want at most %d", e.Len(), maxFailures)
	}
	e.RecordFailure("job", "m", false, now.Add(2*retention))
	if e.Len() != 1 || len(e.jobs) != 1 || len(e.machines) != 1 {
		t.Errorf("after twice the retention: %d failures, %d jobs, %d machines, want 1 of each", e.Len(), len(e.jobs), len(e.machines))
	}
	e.ForgetMachine("m")
	if e.Len() != 0 || len(e.jobs) != 0 || len(e.machines) != 0 {
		t.Errorf("after forgetting the machine: %d failures, %d jobs, %d machines, want none", e.Len(), len(e.jobs), len(e.machines))
	}
}

// BenchmarkPropagate measures a propagation over the maximum number of retained failures. It must take only a
// small part of a scheduling cycle.
func BenchmarkPropagate(b *testing.B) {
	e, now := New(retention), time.Unix(1000, 0)
	for i := range maxFailures {
		e.RecordFailure(fmt.Sprintf("job-%d", i%40), fmt.Sprintf("m-%d", i%101), false, now)
	}
	for b.Loop() {
		e.beliefsStale = true
		e.propagate()
	}
}
