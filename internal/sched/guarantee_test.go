package sched

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// teamsInput is a round of three teams of which two have guarantees, with machines that are full
// of their work, and one job that waits.
func teamsInput(t *rapid.T) *Input {
	in := &Input{Window: 200, ReserveAfterS: 30, PriorityWeights: DefaultPriorityWeights, Teams: map[string]*Team{"owner": {}, "other": {}, "guest": {}}, WithinQuota: map[string]bool{}}
	in.Teams["other"].Quota.Cores, in.Teams["other"].Quota.Gpus = float64(rapid.IntRange(1, 12).Draw(t, "cores")), float64(rapid.IntRange(0, 4).Draw(t, "gpus"))
	id := 0
	for i := range rapid.IntRange(1, 4).Draw(t, "machines") {
		n := node(fmt.Sprint("m", i), 8, 4)
		for n.FreeAfterStops.Cores > 0 {
			v := Victim{Serial: id, JobUID: fmt.Sprintf("run-%06d", id), Team: rapid.SampledFrom([]string{"owner", "other", "guest"}).Draw(t, "team"),
				Level: rapid.IntRange(1, 4).Draw(t, "level"), Need: fleet.Resources{Cores: float64(rapid.IntRange(1, int(n.FreeAfterStops.Cores)).Draw(t, "need"))}, IsReplica: rapid.Bool().Draw(t, "serves")}
			v.Need.Gpus = min(n.FreeAfterStops.Gpus, float64(rapid.IntRange(0, 2).Draw(t, "needGpus")))
			in.WithinQuota[v.JobUID] = v.Team != "guest" && rapid.IntRange(0, 2).Draw(t, "within") == 0
			if rapid.IntRange(0, 3).Draw(t, "stopping") == 0 { // its room comes by itself
				in.Teams[v.Team].Stopping.Cores += v.Need.Cores
				in.Teams[v.Team].Stopping.Gpus += v.Need.Gpus
			} else {
				n.Victims = append(n.Victims, v)
			}
			n.FreeAfterStops, n.Free, n.FreeAfterBoot = n.FreeAfterStops.Sub(v.Need), n.Free.Sub(v.Need), n.FreeAfterBoot.Sub(v.Need)
			in.Teams[v.Team].Used.Cores += v.Need.Cores
			in.Teams[v.Team].Used.Gpus += v.Need.Gpus
			id++
		}
		in.Nodes = append(in.Nodes, n)
	}
	w := job("run-900000", rapid.IntRange(1, 3).Draw(t, "level"), rapid.IntRange(1, 3).Draw(t, "legs"), float64(rapid.IntRange(1, 6).Draw(t, "cores")), float64(rapid.IntRange(0, 2).Draw(t, "gpus")))
	w.Spec.Team, w.WithinQuota = "owner", rapid.Bool().Draw(t, "guaranteed")
	in.WithinQuota[w.Spec.UID] = w.WithinQuota
	in.Jobs = []*Job{w}
	return in
}

// Whatever runs: work is stopped for its rank, or for a job within its team's guarantee if it is of
// another team and beyond that team's; no team falls below its own guarantee by that, and its use
// counts against its limit until it is off.
func TestOnlyWhatIsBeyondGuaranteesIsTakenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := teamsInput(t)
		used, beyond := map[string]Team{}, map[string]fleet.Resources{}
		for name, team := range in.Teams {
			used[name], beyond[name] = *team, team.beyond(fleet.Resources{})
		}
		j := in.Jobs[0]
		want := j.PendingTasks
		plan := Run(in)
		for _, s := range plan.Preemptions {
			for _, v := range in.Nodes[s.Node].Victims {
				if v.Serial != s.Serial {
					continue
				}
				if v.Team != "owner" && in.WithinQuota[v.JobUID] {
					t.Fatalf("%+v, within its team's guarantee, is stopped for %+v", v, j)
				}
				if v.Level < j.Level {
					continue
				}
				if !j.WithinQuota || v.Team == "owner" || in.WithinQuota[v.JobUID] {
					t.Fatalf("%+v is stopped for %+v", v, j)
				}
				beyond[v.Team] = beyond[v.Team].Sub(v.Need)
				if left := beyond[v.Team]; left.Cores < -tolerance || left.Gpus < -tolerance {
					t.Fatalf("%s is left with %+v beyond its guarantee", v.Team, left)
				}
			}
		}
		for name, team := range in.Teams {
			if name != "owner" && team.Used != used[name].Used {
				t.Fatalf("%s counts as using %+v, it uses %+v", name, team.Used, used[name].Used)
			}
		}
		if len(plan.Preemptions) > 0 && j.PendingTasks == want {
			t.Fatalf("work is stopped for nothing")
		}
	})
}

// A job of low rank within its team's guarantee goes before urgent work of others beyond theirs,
// which leaves the machine at once, replicas too; beyond the guarantee it waits.
func TestWithinQuotaJobDoesNotWaitForTeamsWithoutQuota(t *testing.T) {
	for _, withinQuota := range []bool{true, false} {
		full := node("m1", 8, 4)
		full.Victims = []Victim{{Serial: 1, JobUID: "run-000001", Team: "guest", Level: 4, Need: fleet.Resources{Cores: 8, Gpus: 4}, IsReplica: true}}
		full.Free, full.FreeAfterStops, full.FreeAfterBoot = fleet.Resources{RAM: 1}, fleet.Resources{RAM: 1}, fleet.Resources{RAM: 1}
		in := &Input{Window: 1, ReserveAfterS: 30, PriorityWeights: DefaultPriorityWeights, Teams: map[string]*Team{"owner": {}, "guest": {}}, Nodes: []Node{full}, WithinQuota: map[string]bool{"run-000002": withinQuota}}
		in.Teams["guest"].Used.Cores, in.Teams["guest"].Used.Gpus = 8, 4
		mine, teamsWithoutQuota := job("run-000002", 1, 1, 8, 4), job("run-000003", 4, 1, 8, 4)
		mine.Spec.Team, mine.WithinQuota, teamsWithoutQuota.Spec.Team = "owner", withinQuota, "guest"
		in.Jobs = []*Job{teamsWithoutQuota, mine}
		if stops := len(Run(in).Preemptions); (stops == 1) != withinQuota {
			t.Errorf("guaranteed %v: %d stops", withinQuota, stops)
		}
	}
	// Without guarantees in a deployment nothing of this changes what a round does.
	a, b := &wire.JobSpec{UID: "run-000001", Team: "owner"}, &wire.JobSpec{UID: "run-000002", Team: "guest"}
	jobs := []*Job{{Spec: a, Level: 1}, {Spec: b, Level: 2}}
	SortQueue(jobs, 1)
	if jobs[0].Spec != b {
		t.Error("a job of a lower rank goes first")
	}
}
