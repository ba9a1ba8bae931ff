package sched

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// waitingJobs returns services of one task each, with UIDs from a number on.
func waitingJobs(count, from int, team string, level int, cores float64) []*Job {
	jobs := make([]*Job, count)
	for i := range jobs {
		jobs[i] = oneCoreJob(wire.Service, 1)
		jobs[i].Spec.UID, jobs[i].Spec.Team, jobs[i].Spec.Cores = fmt.Sprintf("run-%06d", from+i), team, cores
		jobs[i].Level = level
	}
	return jobs
}

// Jobs that cannot start take no place in the window, however many there are. When they did, 256 waiting services of
// a team at its limit kept another team's array from starting beside idle machines.
func TestJobsThatCannotStartTakeNoPlaceInTheWindow(t *testing.T) {
	const many = 1000
	for _, tc := range []struct {
		name      string
		excluded  []*Job
		usedCores float64 // of the limit of eight cores of team "guests"
		want      int     // tasks placed
	}{
		{"their team is at its limit", waitingJobs(many, 1, "guests", 3, 1), 8, 1},
		{"their team is near its limit", waitingJobs(many, 1, "guests", 3, 1), 7, 2},
		{"they need more than their team's limit leaves", waitingJobs(many, 1, "guests", 3, 2), 7, 1},
		{"they fit no machine", waitingJobs(many, 1, "owners", 3, 100), 0, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			guests, owners := &Team{}, &Team{}
			guests.Limit.Cores, guests.Used.Cores = 8, tc.usedCores
			plan := Run(&Input{
				Window:          200,
				ReserveAfterS:   30,
				PriorityWeights: DefaultPriorityWeights,
				Teams:           map[string]*Team{"guests": guests, "owners": owners},
				Nodes:           []Node{zoneNode(0, "a", 16)},
				Jobs:            append(waitingJobs(1, many+1, "owners", 1, 1), tc.excluded...),
			})
			if got := countTasks(plan.Placements); got != tc.want {
				t.Errorf("%d tasks are placed, want %d", got, tc.want)
			}
			if most := 200; len(plan.Shortfalls) > most {
				t.Errorf("%d shortfalls, want at most %d, the size of the window", len(plan.Shortfalls), most)
			}
		})
	}
}

// In generated mixes of teams with and without limits, whose jobs fit some machines, all or none: after a cycle no job
// is left waiting whose team is under its limit and that fits into free capacity, unless the window is used up.
func TestNoJobThatFitsWaitsBehindOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := &Input{Window: 20, ReserveAfterS: 30, PriorityWeights: DefaultPriorityWeights, Teams: map[string]*Team{}}
		for i := range 3 {
			team := &Team{}
			team.Limit.Cores = float64(rapid.IntRange(0, 6).Draw(t, "limit")) // 0: none
			team.Used.Cores = float64(rapid.IntRange(0, int(team.Limit.Cores)).Draw(t, "used"))
			in.Teams[fmt.Sprint("team-", i)] = team
		}
		for i := range rapid.IntRange(1, 6).Draw(t, "machines") {
			node := zoneNode(i, "a", float64(rapid.IntRange(0, 6).Draw(t, "room")))
			node.Type = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "type")
			in.Nodes = append(in.Nodes, node)
		}
		for group := range rapid.IntRange(1, 6).Draw(t, "groups") { // a group has one shape, and there are fewer than places
			count, level := rapid.IntRange(1, 60).Draw(t, "count"), rapid.IntRange(1, 4).Draw(t, "level")
			team := rapid.SampledFrom([]string{"team-0", "team-1", "team-2"}).Draw(t, "team")
			jobs := waitingJobs(count, 1000*group, team, level, float64(rapid.IntRange(1, 8).Draw(t, "cores")))
			types := rapid.SampledFrom([][]string{nil, {"x"}, {"y"}, {"z"}}).Draw(t, "types")
			for _, job := range jobs {
				job.Spec.MachineTypes = types
			}
			in.Jobs = append(in.Jobs, jobs...)
		}
		plan := Run(in)
		free := make([]fleet.Resources, len(in.Nodes))
		for i := range in.Nodes {
			free[i] = in.Nodes[i].Free
		}
		for _, placement := range plan.Placements {
			free[placement.Node].Cores -= float64(placement.Count) * placement.Job.Spec.Cores
		}
		if len(plan.Placements) >= in.Window-6 { // of the other places, each shape takes one at most
			return
		}
		for _, job := range in.Jobs {
			team := in.Teams[job.Spec.Team]
			if job.PendingTasks == 0 || team.Limit.Cores > 0 && team.Used.Cores+job.Spec.Cores > team.Limit.Cores {
				continue
			}
			for i := range in.Nodes {
				if IsEligible(job.Spec, in.Nodes[i].Type, "a", false) && free[i].Cores >= job.Spec.Cores {
					t.Fatalf("%s waits although %s has %v cores free and its team is under its limit", job.Spec.UID, in.Nodes[i].ID, free[i].Cores)
				}
			}
		}
	})
}

// BenchmarkWindow measures a cycle at 4,000 machines with many waiting jobs, of which all may start, or all but 100
// belong to a team at its limit, or need more than any machine has.
func BenchmarkWindow(b *testing.B) {
	for _, mix := range []string{"mixed", "at limit", "fit nowhere"} {
		for _, waiting := range []int{500, 5000, 14000} {
			b.Run(fmt.Sprintf("%s/waiting=%d", mix, waiting), func(b *testing.B) {
				view := viewOf(largeInput(4000, 0).Nodes)
				b.ReportAllocs()
				for b.Loop() {
					b.StopTimer()
					in := largeInput(0, waiting)
					in.View = view
					guests := &Team{}
					guests.Limit.Gpus, guests.Used.Gpus = 8, 8
					in.Teams["guests"] = guests
					for i, job := range in.Jobs {
						switch {
						case i%(waiting/100) == 0 || mix == "mixed":
						case mix == "at limit":
							job.Spec.Team = "guests"
						default:
							job.Spec.Cores = 1000
						}
					}
					b.StartTimer()
					Run(in)
				}
			})
		}
	}
}
