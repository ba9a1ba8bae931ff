package sched

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// runningTask is a task that occupies room on a machine of a teamsInput.
type runningTask struct {
	team        string
	level       int
	need        fleet.Resources
	isReplica   bool
	withinQuota bool
	stopping    bool // it is being stopped already and is no victim
}

// teamsInput is the input of a cycle with three teams, of which "guest" has no quota.
func teamsInput(otherQuota fleet.Resources) *Input {
	in := &Input{
		Window:          200,
		ReserveAfterS:   30,
		PriorityWeights: DefaultPriorityWeights,
		Teams:           map[string]*Team{"owner": {}, "other": {}, "guest": {}},
		WithinQuota:     map[string]bool{},
	}
	in.Teams["other"].Quota.Cores, in.Teams["other"].Quota.Gpus = otherQuota.Cores, otherQuota.Gpus
	return in
}

// addRunning puts a running task on a machine and counts it as used by its team.
func (in *Input) addRunning(n *Node, serial int, task runningTask) {
	v := Victim{
		Serial:    serial,
		JobUID:    fmt.Sprintf("run-%06d", serial),
		Team:      task.team,
		Level:     task.level,
		Need:      task.need,
		IsReplica: task.isReplica,
	}
	in.WithinQuota[v.JobUID] = task.withinQuota
	team := in.Teams[task.team]
	if task.stopping { // its room becomes free without a preemption
		team.Stopping.Cores += task.need.Cores
		team.Stopping.Gpus += task.need.Gpus
	} else {
		n.Victims = append(n.Victims, v)
	}
	n.FreeAfterStops = n.FreeAfterStops.Sub(task.need)
	n.Free = n.Free.Sub(task.need)
	n.FreeAfterBoot = n.FreeAfterBoot.Sub(task.need)
	team.Used.Cores += task.need.Cores
	team.Used.Gpus += task.need.Gpus
}

// addPending makes a job of team "owner" the one that waits.
func (in *Input) addPending(level, tasks int, need fleet.Resources, withinQuota bool) {
	j := job("run-900000", level, tasks, need.Cores, need.Gpus)
	j.Spec.Team, j.WithinQuota = "owner", withinQuota
	in.WithinQuota[j.Spec.UID] = withinQuota
	in.Jobs = []*Job{j}
}

// genRunningTask draws a task that fits what is free on a machine.
func genRunningTask(t *rapid.T, free fleet.Resources) runningTask {
	task := runningTask{
		team:      rapid.SampledFrom([]string{"owner", "other", "guest"}).Draw(t, "team"),
		level:     rapid.IntRange(1, 4).Draw(t, "level"),
		need:      fleet.Resources{Cores: float64(rapid.IntRange(1, int(free.Cores)).Draw(t, "need"))},
		isReplica: rapid.Bool().Draw(t, "replica"),
	}
	task.need.Gpus = min(free.Gpus, float64(rapid.IntRange(0, 2).Draw(t, "needGpus")))
	task.withinQuota = task.team != "guest" && rapid.IntRange(0, 2).Draw(t, "within") == 0
	task.stopping = rapid.IntRange(0, 3).Draw(t, "stopping") == 0
	return task
}

// genTeamsInput draws machines that are full of the work of three teams, and one job that waits.
func genTeamsInput(t *rapid.T) *Input {
	cores := rapid.IntRange(1, 12).Draw(t, "cores")
	gpus := rapid.IntRange(0, 4).Draw(t, "gpus")
	in := teamsInput(fleet.Resources{Cores: float64(cores), Gpus: float64(gpus)})
	serial := 0
	for i := range rapid.IntRange(1, 4).Draw(t, "machines") {
		n := node(fmt.Sprint("m", i), 8, 4)
		for n.FreeAfterStops.Cores > 0 {
			in.addRunning(&n, serial, genRunningTask(t, n.FreeAfterStops))
			serial++
		}
		in.Nodes = append(in.Nodes, n)
	}
	level, tasks := rapid.IntRange(1, 3).Draw(t, "level"), rapid.IntRange(1, 3).Draw(t, "tasks")
	need := fleet.Resources{Cores: float64(rapid.IntRange(1, 6).Draw(t, "cores")), Gpus: float64(rapid.IntRange(0, 2).Draw(t, "gpus"))}
	in.addPending(level, tasks, need, rapid.Bool().Draw(t, "withinQuota"))
	return in
}

// testFailer is the part of *testing.T and *rapid.T that the checks use.
type testFailer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// checkReclaim runs a cycle and checks its preemptions: work is stopped for its priority, or for a
// job within its team's quota if it is of another team and beyond that team's quota. No team falls
// below its own quota by that, what is stopped counts against its team's limit until it is off the
// machine, and nothing is stopped in vain.
func checkReclaim(t testFailer, in *Input) {
	t.Helper()
	used, beyond := map[string]Team{}, map[string]fleet.Resources{}
	for name, team := range in.Teams {
		used[name], beyond[name] = *team, team.beyondQuota(fleet.Resources{})
	}
	pending := in.Jobs[0].PendingTasks
	plan := Run(in)
	for _, p := range plan.Preemptions {
		for i := range in.Nodes[p.Node].Victims {
			if v := &in.Nodes[p.Node].Victims[i]; v.Serial == p.Serial {
				checkVictim(t, in, v, beyond)
			}
		}
	}
	for name, team := range in.Teams {
		if name != "owner" && team.Used != used[name].Used {
			t.Fatalf("%s counts as using %+v, it uses %+v", name, team.Used, used[name].Used)
		}
	}
	if len(plan.Preemptions) > 0 && in.Jobs[0].PendingTasks == pending {
		t.Fatalf("work is stopped for nothing")
	}
}

// checkVictim checks one preemption and takes it off what its team has beyond its quota.
func checkVictim(t testFailer, in *Input, v *Victim, beyond map[string]fleet.Resources) {
	t.Helper()
	j := in.Jobs[0]
	if v.Team != "owner" && in.WithinQuota[v.JobUID] {
		t.Fatalf("%+v, within its team's quota, is stopped for %+v", v, j)
	}
	if v.Level < j.Level {
		return
	}
	if !j.WithinQuota || v.Team == "owner" || in.WithinQuota[v.JobUID] {
		t.Fatalf("%+v is stopped for %+v", v, j)
	}
	beyond[v.Team] = beyond[v.Team].Sub(v.Need)
	if left := beyond[v.Team]; left.Cores < -roundingTolerance || left.Gpus < -roundingTolerance {
		t.Fatalf("%s is left with %+v beyond its quota", v.Team, left)
	}
}

func TestReclaimStopsOnlyWorkBeyondQuotas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkReclaim(t, genTeamsInput(t)) })
}

// Two inputs at which the check of TestReclaimStopsOnlyWorkBeyondQuotas once failed while quotas were
// built: a team was left with one core less than its quota, and the job's own team lost a replica of a
// higher priority.
func TestReclaimOnInputsThatOnceFailed(t *testing.T) {
	for name, c := range map[string]struct {
		otherQuota fleet.Resources
		machines   [][]runningTask
		level      int
		need       fleet.Resources
	}{
		"a team is left below its quota": {
			otherQuota: fleet.Resources{Cores: 1},
			machines: [][]runningTask{{
				{team: "other", level: 1, need: fleet.Resources{Cores: 1}},
				{team: "guest", level: 1, need: fleet.Resources{Cores: 7}, stopping: true},
			}},
			level: 1,
			need:  fleet.Resources{Cores: 1},
		},
		"the job's own team loses a replica of a higher priority": {
			otherQuota: fleet.Resources{Cores: 5, Gpus: 1},
			machines: [][]runningTask{
				{{team: "owner", level: 3, need: fleet.Resources{Cores: 8}, isReplica: true}},
				{
					{team: "guest", level: 4, need: fleet.Resources{Cores: 1, Gpus: 2}, isReplica: true},
					{team: "other", level: 2, need: fleet.Resources{Cores: 7, Gpus: 2}},
				},
				{
					{team: "other", level: 3, need: fleet.Resources{Cores: 4, Gpus: 2}, isReplica: true},
					{team: "owner", level: 3, need: fleet.Resources{Cores: 3}, stopping: true},
					{team: "owner", level: 2, need: fleet.Resources{Cores: 1, Gpus: 2}, isReplica: true, withinQuota: true},
				},
				{
					{team: "other", level: 1, need: fleet.Resources{Cores: 1, Gpus: 1}},
					{team: "guest", level: 4, need: fleet.Resources{Cores: 3, Gpus: 2}, isReplica: true},
					{team: "guest", level: 4, need: fleet.Resources{Cores: 2, Gpus: 1}},
					{team: "guest", level: 2, need: fleet.Resources{Cores: 2}, isReplica: true},
				},
			},
			level: 2,
			need:  fleet.Resources{Cores: 3, Gpus: 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			in, serial := teamsInput(c.otherQuota), 0
			for i, tasks := range c.machines {
				n := node(fmt.Sprint("m", i), 8, 4)
				for _, task := range tasks {
					in.addRunning(&n, serial, task)
					serial++
				}
				in.Nodes = append(in.Nodes, n)
			}
			in.addPending(c.level, 1, c.need, true)
			checkReclaim(t, in)
		})
	}
}

// A job of low priority within its team's quota goes before urgent work of others beyond theirs,
// which leaves the machine at once, replicas too; beyond the quota it waits.
func TestWithinQuotaJobDoesNotWaitForTeamsWithoutQuota(t *testing.T) {
	for _, withinQuota := range []bool{true, false} {
		full := node("m1", 8, 4)
		full.Victims = []Victim{{
			Serial:    1,
			JobUID:    "run-000001",
			Team:      "guest",
			Level:     4,
			Need:      fleet.Resources{Cores: 8, Gpus: 4},
			IsReplica: true,
		}}
		full.Free, full.FreeAfterStops, full.FreeAfterBoot = fleet.Resources{RAM: 1}, fleet.Resources{RAM: 1}, fleet.Resources{RAM: 1}
		in := &Input{
			Window:          1,
			ReserveAfterS:   30,
			PriorityWeights: DefaultPriorityWeights,
			Teams:           map[string]*Team{"owner": {}, "guest": {}},
			Nodes:           []Node{full},
			WithinQuota:     map[string]bool{"run-000002": withinQuota},
		}
		in.Teams["guest"].Used.Cores, in.Teams["guest"].Used.Gpus = 8, 4
		mine, teamsWithoutQuota := job("run-000002", 1, 1, 8, 4), job("run-000003", 4, 1, 8, 4)
		mine.Spec.Team, mine.WithinQuota, teamsWithoutQuota.Spec.Team = "owner", withinQuota, "guest"
		in.Jobs = []*Job{teamsWithoutQuota, mine}
		if stops := len(Run(in).Preemptions); (stops == 1) != withinQuota {
			t.Errorf("within quota %v: %d preemptions", withinQuota, stops)
		}
	}
	// In a deployment without quotas, priority decides the order of the queue as before.
	a, b := &wire.JobSpec{UID: "run-000001", Team: "owner"}, &wire.JobSpec{UID: "run-000002", Team: "guest"}
	jobs := []*Job{{Spec: a, Level: 1}, {Spec: b, Level: 2}}
	SortQueue(jobs, 1)
	if jobs[0].Spec != b {
		t.Error("a job of a lower priority goes first")
	}
}
