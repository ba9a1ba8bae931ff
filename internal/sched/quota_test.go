package sched

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// runningTask is a task that runs on a machine of a teamsInput.
type runningTask struct {
	team        string
	level       int
	need        fleet.Resources
	isReplica   bool
	withinQuota bool
	stopping    bool // is being stopped already, so it is no victim
}

// teamsInput returns an input with three teams and without machines and jobs. Team "other" has the quota that
// is given and "guest" has none. The quota of "owner" takes effect only through Input.WithinQuota.
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

// addRunning places a running task on a machine and adds its resources to the usage of its team.
func (in *Input) addRunning(n *Node, serial int, task runningTask) {
	victim := Victim{
		Serial:    serial,
		JobUID:    fmt.Sprintf("run-%06d", serial),
		Team:      task.team,
		Level:     task.level,
		Need:      task.need,
		IsReplica: task.isReplica,
	}
	in.WithinQuota[victim.JobUID] = task.withinQuota
	team := in.Teams[task.team]
	if task.stopping { // its resources become free without a preemption
		team.Stopping.Cores += task.need.Cores
		team.Stopping.Gpus += task.need.Gpus
	} else {
		n.Victims = append(n.Victims, victim)
	}
	n.FreeAfterStops = n.FreeAfterStops.Sub(task.need)
	n.Free = n.Free.Sub(task.need)
	n.FreeAfterBoot = n.FreeAfterBoot.Sub(task.need)
	team.Used.Cores += task.need.Cores
	team.Used.Gpus += task.need.Gpus
}

// addPending makes a job of team "owner" the only pending job.
func (in *Input) addPending(level, tasks int, need fleet.Resources, withinQuota bool) {
	j := job("run-900000", level, tasks, need.Cores, need.Gpus)
	j.Spec.Team, j.WithinQuota = "owner", withinQuota
	in.WithinQuota[j.Spec.UID] = withinQuota
	in.Jobs = []*Job{j}
}

// genRunningTask draws a task that fits the free capacity of a machine.
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

// genTeamsInput draws machines that are full of running tasks of three teams, and one pending job.
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

// fataler holds the methods of *testing.T and *rapid.T that the checks use.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// checkReclaim runs a cycle and checks its preemptions. Each victim has a lower priority than the job, or the job
// is within its team's quota and the victim is beyond the quota of another team. No such preemption takes the other
// team below its quota. No task that another team runs within its quota is stopped. The usage of the other teams
// stays as it was, because tasks count against the limit until they have left the machine.
// Nothing is stopped unless tasks of the job are placed.
func checkReclaim(t fataler, in *Input) {
	t.Helper()
	used, excess := map[string]Team{}, map[string]fleet.Resources{}
	for name, team := range in.Teams {
		used[name], excess[name] = *team, team.beyondQuota(fleet.Resources{})
	}
	pending := in.Jobs[0].PendingTasks
	plan := Run(in)
	for _, preemption := range plan.Preemptions {
		for i := range in.Nodes[preemption.Node].Victims {
			if victim := &in.Nodes[preemption.Node].Victims[i]; victim.Serial == preemption.Serial {
				checkVictim(t, in, victim, excess)
			}
		}
	}
	for name, team := range in.Teams {
		if name != "owner" && team.Used != used[name].Used {
			t.Fatalf("usage of team %s after the cycle is %+v, want %+v as before", name, team.Used, used[name].Used)
		}
	}
	if len(plan.Preemptions) > 0 && in.Jobs[0].PendingTasks == pending {
		t.Fatalf("got %d preemptions although no task of the pending job is placed, want none", len(plan.Preemptions))
	}
}

// checkVictim checks one preemption. If it reclaims from another team, checkVictim subtracts the victim from
// that team's usage in excess of its quota.
func checkVictim(t fataler, in *Input, victim *Victim, excess map[string]fleet.Resources) {
	t.Helper()
	preemptor := in.Jobs[0]
	if victim.Team != "owner" && in.WithinQuota[victim.JobUID] {
		t.Fatalf("victim %+v, within its team's quota, is stopped for job %+v of another team", victim, preemptor)
	}
	if victim.Level < preemptor.Level {
		return
	}
	if !preemptor.WithinQuota || victim.Team == "owner" || in.WithinQuota[victim.JobUID] {
		t.Fatalf("victim %+v of the same or a higher level is stopped for job %+v, which may not reclaim it", victim, preemptor)
	}
	excess[victim.Team] = excess[victim.Team].Sub(victim.Need)
	if left := excess[victim.Team]; left.Cores < -roundingTolerance || left.Gpus < -roundingTolerance {
		t.Fatalf("usage of team %s exceeds its quota by %+v after reclaim, want at least 0", victim.Team, left)
	}
}

func TestReclaimStopsOnlyWorkBeyondQuotas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkReclaim(t, genTeamsInput(t)) })
}

// Two inputs that once failed the check of TestReclaimStopsOnlyWorkBeyondQuotas: a team was left with one core
// less than its quota, and the job's own team lost a replica of a higher priority.
func TestReclaimOnInputsThatOnceFailed(t *testing.T) {
	for name, testCase := range map[string]struct {
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
			in, serial := teamsInput(testCase.otherQuota), 0
			for i, tasks := range testCase.machines {
				machine := node(fmt.Sprint("m", i), 8, 4)
				for _, task := range tasks {
					in.addRunning(&machine, serial, task)
					serial++
				}
				in.Nodes = append(in.Nodes, machine)
			}
			in.addPending(testCase.level, 1, testCase.need, true)
			checkReclaim(t, in)
		})
	}
}

// A job of low priority within its team's quota goes before jobs of higher priority of a team that has no quota,
// and preempts that team's tasks at once, even replicas. A job that is not within the quota preempts
// nothing.
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
		ownerJob, guestJob := job("run-000002", 1, 1, 8, 4), job("run-000003", 4, 1, 8, 4)
		ownerJob.Spec.Team, ownerJob.WithinQuota, guestJob.Spec.Team = "owner", withinQuota, "guest"
		in.Jobs = []*Job{guestJob, ownerJob}
		if preemptions := len(Run(in).Preemptions); (preemptions == 1) != withinQuota {
			t.Errorf("job within quota %v: got %d preemptions, want 1 only if it is within", withinQuota, preemptions)
		}
	}
	// Without quotas, priority alone decides the order of these jobs.
	ownerSpec, guestSpec := &wire.JobSpec{UID: "run-000001", Team: "owner"}, &wire.JobSpec{UID: "run-000002", Team: "guest"}
	jobs := []*Job{{Spec: ownerSpec, Level: 1}, {Spec: guestSpec, Level: 2}}
	SortQueue(jobs, 1)
	if jobs[0].Spec != guestSpec {
		t.Errorf("first job of the queue is %s, want %s, which has the higher priority", jobs[0].Spec.UID, guestSpec.UID)
	}
}
