package quota

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Every run draws the same inputs; -rapid.seed draws others.
func init() { _ = flag.Set("rapid.seed", "1") }

func (a Amount) plus(other Amount) Amount {
	return Amount{Cores: a.Cores + other.Cores, Gpus: a.Gpus + other.Gpus}
}

func genQuotas(t *rapid.T) map[string]Amount {
	quotas := map[string]Amount{"guest": {}}
	for _, team := range []string{"a", "b"} {
		quotas[team] = Amount{
			Cores: float64(rapid.IntRange(0, 40).Draw(t, "cores")),
			Gpus:  float64(rapid.IntRange(0, 10).Draw(t, "gpus")),
		}
	}
	return quotas
}

func genJobs(t *rapid.T) []Job {
	jobs := make([]Job, rapid.IntRange(0, 25).Draw(t, "jobs"))
	for i := range jobs {
		jobs[i] = Job{
			UID:        fmt.Sprint(i),
			Team:       rapid.SampledFrom([]string{"a", "b", "guest"}).Draw(t, "team"),
			Level:      rapid.IntRange(1, 4).Draw(t, "level"),
			AcceptedMs: int64(rapid.IntRange(0, 9).Draw(t, "at")),
			Needs: Amount{
				Cores: float64(rapid.IntRange(1, 9).Draw(t, "needs")),
				Gpus:  float64(rapid.IntRange(0, 3).Draw(t, "needsGpus")),
			},
		}
	}
	return jobs
}

// sumByTeam adds up the needs of the jobs that are counted.
func sumByTeam(jobs []Job, isCounted func(Job) bool) map[string]Amount {
	sums := map[string]Amount{}
	for _, job := range jobs {
		if isCounted(job) {
			sums[job.Team] = sums[job.Team].plus(job.Needs)
		}
	}
	return sums
}

// For any jobs and quotas: the needs of a team's jobs within its quota add up to no more than the quota,
// all jobs of a team are within if all fit, a team without a quota has no job within, and no job is left
// out for one of a lower priority.
func TestJobsWithinQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quotas, jobs := genQuotas(t), genJobs(t)
		within := JobsWithinQuota(quotas, jobs)
		used := sumByTeam(jobs, func(job Job) bool { return within[job.UID] })
		total := sumByTeam(jobs, func(Job) bool { return true })
		if used["guest"] != (Amount{}) {
			t.Fatalf("a team without a quota has %v within", used["guest"])
		}
		for team, amount := range used {
			if !amount.fitsIn(quotas[team]) {
				t.Fatalf("%v of %s is within %v", amount, team, quotas[team])
			}
		}
		for _, job := range jobs {
			if within[job.UID] || job.Team == "guest" {
				continue
			}
			if total[job.Team].fitsIn(quotas[job.Team]) && quotas[job.Team] != (Amount{}) {
				t.Fatalf("%v is not within, though all of %s fits", job, job.Team)
			}
			// It does not fit beside all that goes before it.
			goesBefore := func(other Job) bool {
				return within[other.UID] && other.Team == job.Team &&
					(other.Level > job.Level || other.Level == job.Level && other.AcceptedMs <= job.AcceptedMs)
			}
			if job.Needs.plus(sumByTeam(jobs, goesBefore)[job.Team]).fitsIn(quotas[job.Team]) {
				t.Fatalf("%v is left out for one that comes later", job)
			}
		}
	})
}
