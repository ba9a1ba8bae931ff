package quota

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// The same inputs every run; -rapid.seed draws others.
func init() { _ = flag.Set("rapid.seed", "1") }

// Whatever teams have: what lies within a guarantee fits it together, all of a team does if all
// fits, a team without one has nothing within, and nobody is left out for one of a lower rank.
func TestWithinQuotas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quotas := map[string]Amount{"guest": {}}
		for _, team := range []string{"a", "b"} {
			quotas[team] = Amount{float64(rapid.IntRange(0, 40).Draw(t, "cores")), float64(rapid.IntRange(0, 10).Draw(t, "gpus"))}
		}
		var jobs []Job
		total := map[string]Amount{}
		for i := range rapid.IntRange(0, 25).Draw(t, "jobs") {
			j := Job{UID: fmt.Sprint(i), Team: rapid.SampledFrom([]string{"a", "b", "guest"}).Draw(t, "team"), Level: rapid.IntRange(1, 4).Draw(t, "level"),
				AcceptedMs: int64(rapid.IntRange(0, 9).Draw(t, "at")), Needs: Amount{float64(rapid.IntRange(1, 9).Draw(t, "needs")), float64(rapid.IntRange(0, 3).Draw(t, "needsGpus"))}}
			jobs = append(jobs, j)
			total[j.Team] = Amount{total[j.Team].Cores + j.Needs.Cores, total[j.Team].Gpus + j.Needs.Gpus}
		}
		within := JobsWithinQuota(quotas, jobs)
		used := map[string]Amount{}
		for _, j := range jobs {
			if within[j.UID] {
				used[j.Team] = Amount{used[j.Team].Cores + j.Needs.Cores, used[j.Team].Gpus + j.Needs.Gpus}
			}
		}
		if len(used) > 0 && used["guest"] != (Amount{}) {
			t.Fatalf("a team without a guarantee has %v within", used["guest"])
		}
		for team, amount := range used {
			if !amount.fitsIn(quotas[team]) {
				t.Fatalf("%v of %s is within %v", amount, team, quotas[team])
			}
		}
		for _, j := range jobs {
			if within[j.UID] || j.Team == "guest" {
				continue
			}
			if total[j.Team].fitsIn(quotas[j.Team]) && quotas[j.Team] != (Amount{}) {
				t.Fatalf("%v is not within, though all of %s fits", j, j.Team)
			}
			// With all that goes before it, it does not fit.
			before := j.Needs
			for _, o := range jobs {
				if within[o.UID] && o.Team == j.Team && (o.Level > j.Level || o.Level == j.Level && o.AcceptedMs <= j.AcceptedMs) {
					before = Amount{before.Cores + o.Needs.Cores, before.Gpus + o.Needs.Gpus}
				}
			}
			if before.fitsIn(quotas[j.Team]) {
				t.Fatalf("%v is left out for one that comes later", j)
			}
		}
	})
}
