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

// sumByTeam returns, by team, the sum of the needs of the jobs for which isCounted is true.
func sumByTeam(jobs []Job, isCounted func(Job) bool) map[string]Amount {
	sums := map[string]Amount{}
	for _, job := range jobs {
		if isCounted(job) {
			sums[job.Team] = sums[job.Team].plus(job.Needs)
		}
	}
	return sums
}

// For any jobs and quotas:
//   - the needs of a team's jobs within its quota add up to no more than the quota,
//   - all jobs of a team are within its quota if all of them fit,
//   - a team without a quota has no job within it,
//   - no job is skipped in favour of one of a lower priority.
func TestJobsWithinQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quotas, jobs := genQuotas(t), genJobs(t)
		within := JobsWithinQuota(quotas, jobs)
		used := sumByTeam(jobs, func(job Job) bool { return within[job.UID] })
		total := sumByTeam(jobs, func(Job) bool { return true })
		if used["guest"] != (Amount{}) {
			t.Fatalf("a team without a quota has jobs of %v within it, want none", used["guest"])
		}
		for team, amount := range used {
			if !amount.fitsIn(quotas[team]) {
				t.Fatalf("jobs of team %s within its quota need %v, want at most %v", team, amount, quotas[team])
			}
		}
		for _, job := range jobs {
			if within[job.UID] || job.Team == "guest" {
				continue
			}
			if total[job.Team].fitsIn(quotas[job.Team]) && quotas[job.Team] != (Amount{}) {
				t.Fatalf("%v is beyond the quota, want it within: all jobs of team %s fit", job, job.Team)
			}
			// A job beyond the quota must not fit in addition to the jobs that come before it.
			comesBefore := func(other Job) bool {
				return within[other.UID] && other.Team == job.Team &&
					(other.Level > job.Level || other.Level == job.Level && other.AcceptedMs <= job.AcceptedMs)
			}
			if job.Needs.plus(sumByTeam(jobs, comesBefore)[job.Team]).fitsIn(quotas[job.Team]) {
				t.Fatalf("%v is beyond the quota, want it within: it fits in addition to the jobs before it", job)
			}
		}
	})
}
