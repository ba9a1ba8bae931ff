package faultattribution

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The same inputs every run; -rapid.seed draws others.
func init() { _ = flag.Set("rapid.seed", "1") }

const keep = 2 * time.Minute

// One failure condemns nobody; a second one tells whose fault it is.
func TestTwoFailuresTell(t *testing.T) {
	now := time.Unix(1000, 0)
	e := New(keep)
	e.RecordFailure("job", "m1", false, now)
	if e.IsJobFaulty("job") || e.IsMachineFaulty("m1") {
		t.Errorf("after one failure: job %.2f, machine %.2f", e.JobFaultProbability("job"), e.MachineFaultProbability("m1"))
	}
	e.RecordFailure("job", "m2", false, now)
	if !e.IsJobFaulty("job") || e.MachineFaultProbability("m1") > 0.1 || e.MachineFaultProbability("m2") > 0.1 {
		t.Errorf("on two machines: job %.2f, machines %.2f %.2f", e.JobFaultProbability("job"), e.MachineFaultProbability("m1"), e.MachineFaultProbability("m2"))
	}
	e = New(keep)
	e.RecordFailure("a", "m1", false, now)
	e.RecordFailure("b", "m1", false, now)
	if !e.IsMachineFaulty("m1") || e.JobFaultProbability("a") > 0.5 || e.JobFaultProbability("b") > 0.5 {
		t.Errorf("two jobs: machine %.2f, jobs %.2f %.2f", e.MachineFaultProbability("m1"), e.JobFaultProbability("a"), e.JobFaultProbability("b"))
	}
	e.RecordSuccess("c", "m1")
	if e.IsMachineFaulty("m1") {
		t.Errorf("a machine that has recovered: %.2f", e.MachineFaultProbability("m1"))
	}
}

// Among mistaken jobs and faulty machines, whichever task fails where and in whatever order,
// nobody is condemned who is not at fault, and all are found that were seen often enough.
func TestCulpritsAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const jobs, machines = 24, 16
		mistaken, faulty := map[string]bool{}, map[string]bool{}
		for i := range rapid.IntRange(0, 4).Draw(t, "mistaken") {
			mistaken[fmt.Sprintf("job-%d", 5*i)] = true
		}
		for i := range rapid.IntRange(0, 3).Draw(t, "faulty") {
			faulty[fmt.Sprintf("m-%d", 4*i)] = true
		}
		e, now := New(keep), time.Unix(1000, 0)
		met := map[string]map[string]bool{} // with whom one who is not at fault for sure has failed
		meet := func(who, with string) {
			if met[who] == nil {
				met[who] = map[string]bool{}
			}
			met[who][with] = true
		}
		for range rapid.IntRange(0, 300).Draw(t, "tasks") {
			now = now.Add(100 * time.Millisecond)
			job, machine := fmt.Sprintf("job-%d", rapid.IntRange(0, jobs-1).Draw(t, "job")), fmt.Sprintf("m-%d", rapid.IntRange(0, machines-1).Draw(t, "machine"))
			if !mistaken[job] && !faulty[machine] {
				e.RecordSuccess(job, machine)
				delete(met, machine)
				continue
			}
			if e.RecordFailure(job, machine, false, now); mistaken[job] && !faulty[machine] {
				meet(job, machine)
			}
			if faulty[machine] && !mistaken[job] {
				meet(machine, job)
			}
		}
		// One of two faulty machines, or of two mistaken jobs, that are not known yet may lay
		// what they do at somebody else's door: nobody is wronged while there is but one.
		for i := range jobs {
			job := fmt.Sprintf("job-%d", i)
			if e.IsJobFaulty(job) && !mistaken[job] && len(faulty) < 2 {
				t.Fatalf("%s is taken for mistaken: %.3f", job, e.JobFaultProbability(job))
			}
			if mistaken[job] && len(met[job]) >= 4 && !e.IsJobFaulty(job) {
				t.Fatalf("%s failed on %d machines, and is mistaken with %.3f", job, len(met[job]), e.JobFaultProbability(job))
			}
		}
		for i := range machines {
			machine := fmt.Sprintf("m-%d", i)
			if e.IsMachineFaulty(machine) && !faulty[machine] && len(mistaken) < 2 {
				t.Fatalf("%s is taken for faulty: %.3f", machine, e.MachineFaultProbability(machine))
			}
		}
	})
}

// What is kept is bounded, and old failures do not count.
func TestEvidenceIsBounded(t *testing.T) {
	e, now := New(keep), time.Unix(1000, 0)
	for i := range 2 * mostFailures {
		now = now.Add(time.Millisecond)
		e.RecordFailure(fmt.Sprintf("job-%d", i), fmt.Sprintf("m-%d", i%100), false, now)
	}
	if e.Len() > mostFailures {
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

// A propagation over as much as is kept at most takes little of a round.
func BenchmarkPropagate(b *testing.B) {
	e, now := New(keep), time.Unix(1000, 0)
	for i := range mostFailures {
		e.RecordFailure(fmt.Sprintf("job-%d", i%40), fmt.Sprintf("m-%d", i%101), false, now)
	}
	for b.Loop() {
		e.stale = true
		e.propagate()
	}
}
