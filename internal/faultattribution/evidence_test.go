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

const keep = 2 * time.Minute

// After one failure neither the job nor the machine counts as faulty; a second one shows which it is.
func TestSecondFailureTellsWhoIsFaulty(t *testing.T) {
	now := time.Unix(1000, 0)
	e := New(keep)
	e.RecordFailure("job", "m1", false, now)
	if e.IsJobFaulty("job") || e.IsMachineFaulty("m1") {
		t.Errorf("after one failure: job %.2f, machine %.2f", e.JobFaultProbability("job"), e.MachineFaultProbability("m1"))
	}
	e.RecordFailure("job", "m2", false, now)
	m1, m2 := e.MachineFaultProbability("m1"), e.MachineFaultProbability("m2")
	if !e.IsJobFaulty("job") || m1 > 0.1 || m2 > 0.1 {
		t.Errorf("on two machines: job %.2f, machines %.2f %.2f", e.JobFaultProbability("job"), m1, m2)
	}
	e = New(keep)
	e.RecordFailure("a", "m1", false, now)
	e.RecordFailure("b", "m1", false, now)
	a, b := e.JobFaultProbability("a"), e.JobFaultProbability("b")
	if !e.IsMachineFaulty("m1") || a > 0.5 || b > 0.5 {
		t.Errorf("two jobs: machine %.2f, jobs %.2f %.2f", e.MachineFaultProbability("m1"), a, b)
	}
	e.RecordSuccess("c", "m1")
	if e.IsMachineFaulty("m1") {
		t.Errorf("a machine that has recovered: %.2f", e.MachineFaultProbability("m1"))
	}
}

const jobs, machines = 24, 16

// truth is which parties of a run are faulty, and what their failures show.
type truth struct {
	faultyJobs, faultyMachines map[string]bool
	// shownBy names, for a faulty party, the others that are not faulty and that it has failed with.
	shownBy map[string]map[string]bool
}

func genTruth(t *rapid.T) *truth {
	facts := &truth{faultyJobs: map[string]bool{}, faultyMachines: map[string]bool{}, shownBy: map[string]map[string]bool{}}
	for i := range rapid.IntRange(0, 4).Draw(t, "faultyJobs") {
		facts.faultyJobs[fmt.Sprintf("job-%d", 5*i)] = true
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "faultyMachines") {
		facts.faultyMachines[fmt.Sprintf("m-%d", 4*i)] = true
	}
	return facts
}

// runTask runs a task of a job on a machine: it fails if either is faulty.
func (facts *truth) runTask(e *Evidence, job, machine string, now time.Time) {
	jobFaulty, machineFaulty := facts.faultyJobs[job], facts.faultyMachines[machine]
	if !jobFaulty && !machineFaulty {
		e.RecordSuccess(job, machine)
		delete(facts.shownBy, machine)
		return
	}
	e.RecordFailure(job, machine, false, now)
	if !machineFaulty {
		facts.show(job, machine)
	}
	if !jobFaulty {
		facts.show(machine, job)
	}
}

func (facts *truth) show(faulty, by string) {
	if facts.shownBy[faulty] == nil {
		facts.shownBy[faulty] = map[string]bool{}
	}
	facts.shownBy[faulty][by] = true
}

// checkJob requires that a faulty job is found once it has failed on four machines that are not faulty.
func (facts *truth) checkJob(t *rapid.T, e *Evidence, job string) {
	probability := e.JobFaultProbability(job)
	if e.IsJobFaulty(job) && !facts.faultyJobs[job] && len(facts.faultyMachines) < 2 {
		t.Fatalf("%s counts as faulty: %.3f", job, probability)
	}
	if failedOn := len(facts.shownBy[job]); facts.faultyJobs[job] && failedOn >= 4 && !e.IsJobFaulty(job) {
		t.Fatalf("%s failed on %d machines, and is faulty with %.3f", job, failedOn, probability)
	}
}

func (facts *truth) checkMachine(t *rapid.T, e *Evidence, machine string) {
	if e.IsMachineFaulty(machine) && !facts.faultyMachines[machine] && len(facts.faultyJobs) < 2 {
		t.Fatalf("%s counts as faulty: %.3f", machine, e.MachineFaultProbability(machine))
	}
}

// Among faulty jobs and faulty machines, whichever task fails where and in whatever order, no other party
// counts as faulty, and all jobs are found that failed often enough. Two faulty machines, or two faulty
// jobs, that are not known yet may make their failures look like another party's fault: others are checked
// only while there is but one.
func TestFaultyPartiesAreFoundAndNoOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		facts := genTruth(t)
		e, now := New(keep), time.Unix(1000, 0)
		for range rapid.IntRange(0, 300).Draw(t, "tasks") {
			now = now.Add(100 * time.Millisecond)
			job := fmt.Sprintf("job-%d", rapid.IntRange(0, jobs-1).Draw(t, "job"))
			machine := fmt.Sprintf("m-%d", rapid.IntRange(0, machines-1).Draw(t, "machine"))
			facts.runTask(e, job, machine, now)
		}
		for i := range jobs {
			facts.checkJob(t, e, fmt.Sprintf("job-%d", i))
		}
		for i := range machines {
			facts.checkMachine(t, e, fmt.Sprintf("m-%d", i))
		}
	})
}

// The number of pairs is bounded, and old failures do not count.
func TestEvidenceIsBounded(t *testing.T) {
	e, now := New(keep), time.Unix(1000, 0)
	for i := range 2 * maxFailures {
		now = now.Add(time.Millisecond)
		e.RecordFailure(fmt.Sprintf("job-%d", i), fmt.Sprintf("m-%d", i%100), false, now)
	}
	if e.Len() > maxFailures {
		t.Errorf("%d failures are kept", e.Len())
	}
	e.RecordFailure("job", "m", false, now.Add(2*keep))
	if e.Len() != 1 || len(e.jobs) != 1 || len(e.machines) != 1 {
		t.Errorf("%d failures are left after a long time", e.Len())
	}
	e.ForgetMachine("m")
	if e.Len() != 0 || len(e.jobs) != 0 || len(e.machines) != 0 {
		t.Errorf("%d failures are left of a machine that is gone", e.Len())
	}
}

// BenchmarkPropagate measures a propagation over as many failures as are retained: it must take little of
// a scheduling cycle.
func BenchmarkPropagate(b *testing.B) {
	e, now := New(keep), time.Unix(1000, 0)
	for i := range maxFailures {
		e.RecordFailure(fmt.Sprintf("job-%d", i%40), fmt.Sprintf("m-%d", i%101), false, now)
	}
	for b.Loop() {
		e.beliefsStale = true
		e.propagate()
	}
}
