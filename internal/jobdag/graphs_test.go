package jobdag

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// namedJob is a job with its UID.
type namedJob struct {
	uid string
	Job
}

// denseGraph returns jobs that each depend on all earlier ones. Only the last one has a due time.
func denseGraph(size int) (jobs []namedJob) {
	earlier := make([]string, 0, size)
	for i := range size {
		job := namedJob{fmt.Sprintf("run-%06d", i), Job{Level: 1, DueMs: math.Inf(1), ExpectedRunMs: float64(5000 + 50*(i%500))}}
		job.Dependencies = slices.Clone(earlier)
		earlier = append(earlier, job.uid)
		jobs = append(jobs, job)
	}
	jobs[size-1].DueMs, jobs[size-1].Level = 1e6, 3
	return jobs
}

// stagedGraph returns stages of jobs that each depend on all jobs of the stage before. The estimates are halved from
// stage to stage, so that a job's due time improves with each further path if the worse ones are followed first.
func stagedGraph(stages, width int) (jobs []namedJob) {
	var before []string
	for stage := range stages {
		names := make([]string, 0, width)
		for i := range width {
			job := namedJob{fmt.Sprintf("run-%03d%03d", stage, i), Job{Level: 1, DueMs: math.Inf(1), ExpectedRunMs: 5000}}
			if i > 0 {
				job.ExpectedRunMs += 45000 * math.Pow(0.5, float64(stages-stage))
			}
			job.Dependencies = slices.Clone(before)
			names = append(names, job.uid)
			jobs = append(jobs, job)
		}
		before = names
	}
	jobs[len(jobs)-1].DueMs, jobs[len(jobs)-1].Level = 1e6, 3
	return jobs
}

// randomGraph returns jobs that each depend on some earlier ones, drawn with a fixed seed. Each has a due time, earlier
// than those of the jobs before it.
func randomGraph(size, dependencies int) (jobs []namedJob) {
	random := rand.New(rand.NewPCG(1, 2))
	for i := range size {
		job := namedJob{fmt.Sprintf("run-%06d", i), Job{Level: 1 + i%4, DueMs: 1e9 - 1e4*float64(i), ExpectedRunMs: 1000}}
		for range min(i, dependencies) {
			job.Dependencies = append(job.Dependencies, jobs[random.IntN(i)].uid)
		}
		slices.Sort(job.Dependencies)
		job.Dependencies = slices.Compact(job.Dependencies)
		jobs = append(jobs, job)
	}
	return jobs
}

func reversed(jobs []namedJob) []namedJob {
	jobs = slices.Clone(jobs)
	slices.Reverse(jobs)
	return jobs
}

// shuffled returns jobs in an order that is drawn with a fixed seed.
func shuffled(jobs []namedJob) []namedJob {
	jobs = slices.Clone(jobs)
	rand.New(rand.NewPCG(3, 4)).Shuffle(len(jobs), func(i, j int) { jobs[i], jobs[j] = jobs[j], jobs[i] })
	return jobs
}

// load returns a graph of jobs, as a new leader builds it.
func load(jobs []namedJob) *Graph {
	g := New()
	for _, job := range jobs {
		g.Add(job.uid, job.Job)
	}
	g.UpdateUrgency()
	return g
}

// benchmarkLastAdd measures the event that adds the last of the jobs, with the update of the urgency after it.
func benchmarkLastAdd(b *testing.B, jobs []namedJob) {
	b.Helper()
	last := jobs[len(jobs)-1]
	g := load(jobs[:len(jobs)-1])
	b.ReportAllocs()
	for b.Loop() {
		g.Add(last.uid, last.Job)
		g.UpdateUrgency()
		b.StopTimer()
		g.Archive(last.uid)
		g.UpdateUrgency()
		b.StartTimer()
	}
}

func BenchmarkAddToDenseGraphOf500(b *testing.B) { benchmarkLastAdd(b, denseGraph(500)) }

func BenchmarkAddTo30StagesOfTwo(b *testing.B) { benchmarkLastAdd(b, stagedGraph(30, 2)) }

// benchmarkFinishFirst measures the event that the first of the jobs is done or cancelled.
func benchmarkFinishFirst(b *testing.B, jobs []namedJob, state State) {
	b.Helper()
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		g := load(jobs)
		b.StartTimer()
		g.Finish(jobs[0].uid, state)
		g.UpdateUrgency()
	}
}

// BenchmarkCancelDenseGraphOf500 cancels the first job, and all others with it.
func BenchmarkCancelDenseGraphOf500(b *testing.B) {
	benchmarkFinishFirst(b, denseGraph(500), Cancelled)
}

func BenchmarkFinishInDenseGraphOf500(b *testing.B) { benchmarkFinishFirst(b, denseGraph(500), Done) }

// BenchmarkLoad10000Dependencies measures the load of a new leader, with the jobs in any order.
func BenchmarkLoad10000Dependencies(b *testing.B) {
	jobs := shuffled(randomGraph(2000, 5))
	b.ReportAllocs()
	for b.Loop() {
		load(jobs)
	}
}
