package sched

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

var testNow = time.Unix(10_000, 0)

// genNode draws a machine: few different amounts, so that many are alike, and some that are
// overbooked.
func genNode(t *rapid.T, id string, victims *int) Node {
	size := rapid.SampledFrom([]fleet.Resources{{Cores: 16, Gpus: 4, RAM: 100}, {Cores: 8, Gpus: 0, RAM: 60}}).Draw(t, "size")
	n := Node{ID: id, Type: fmt.Sprint("t", size.Gpus), Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"), Spot: rapid.Bool().Draw(t, "spot"), Capacity: size,
		RunsOnDemandWork: rapid.IntRange(0, 3).Draw(t, "fixed") == 0, HourlyPrice: size.Cores}
	n.ScaleInCandidate = !n.RunsOnDemandWork && rapid.Bool().Draw(t, "leaving")
	n.FreeAfterBoot = size
	if rapid.IntRange(0, 5).Draw(t, "absent") == 0 {
		return n
	}
	n.Registered, n.ActiveFetches = true, rapid.IntRange(0, 1).Draw(t, "pulling")
	n.Images = slices.Compact(slices.Sorted(slices.Values(rapid.SliceOfN(rapid.SampledFrom([]string{"i", "j", "k"}), 0, 2).Draw(t, "images"))))
	n.Free = size
	for range rapid.IntRange(0, 5).Draw(t, "tasks") {
		*victims++
		v := Victim{Serial: *victims, Level: rapid.IntRange(1, 4).Draw(t, "level"), Need: fleet.Resources{Cores: float64(rapid.IntRange(1, 4).Draw(t, "cores")), Gpus: size.Gpus / 4, RAM: 10},
			MaxLossS: float64(rapid.IntRange(0, 3).Draw(t, "loss")), IsReplica: rapid.Bool().Draw(t, "serve")}
		if rapid.Bool().Draw(t, "grows") {
			v.LossGrowsFrom = testNow.Add(-time.Duration(rapid.IntRange(0, 3).Draw(t, "since")) * time.Second)
		}
		n.Free = n.Free.Sub(v.Need)
		n.Victims = append(n.Victims, v)
	}
	n.FreeAfterStops = n.Free
	if rapid.Bool().Draw(t, "ending") {
		n.FreeAfterStops = n.FreeAfterStops.Add(fleet.Resources{Cores: 2, Gpus: 1, RAM: 10})
	}
	n.FreeAfterBoot = n.FreeAfterStops
	return n
}

func genJobs(t *rapid.T) []*Job {
	var jobs []*Job
	for i := range rapid.IntRange(0, 12).Draw(t, "jobs") {
		w := &wire.JobSpec{UID: fmt.Sprintf("run-%06d", i), Team: "crew", TaskCount: rapid.IntRange(1, 6).Draw(t, "legs"), Cores: float64(rapid.IntRange(1, 4).Draw(t, "cores")),
			Gpus: float64(rapid.IntRange(0, 2).Draw(t, "gpus")), RAMGb: 10, Kind: rapid.SampledFrom([]wire.JobKind{wire.JobArray, wire.Service}).Draw(t, "shape"),
			AllowSpot: rapid.Bool().Draw(t, "spot"), SingleZone: rapid.IntRange(0, 4).Draw(t, "together") == 0, SpreadZones: rapid.IntRange(0, 4).Draw(t, "scatter") == 0,
			Image: rapid.SampledFrom([]string{"i", "j", "l"}).Draw(t, "image")}
		if rapid.IntRange(0, 4).Draw(t, "picky") == 0 {
			w.MachineTypes, w.Zone = []string{"t4"}, "b"
		}
		j := &Job{Spec: w, Level: rapid.IntRange(1, 4).Draw(t, "level"), QueuedSinceMs: int64(i), PendingTasks: w.TaskCount, LiveByZone: map[string]int{}, WaitedS: float64(rapid.SampledFrom([]int{0, 40}).Draw(t, "waited")),
			FetchDelaysStart: rapid.Bool().Draw(t, "fetch"), CannotAwaitBoot: rapid.Bool().Draw(t, "overdue"), WaitedPastBoot: rapid.Bool().Draw(t, "tired"), SpotUnavailable: rapid.Bool().Draw(t, "dear")}
		if rapid.IntRange(0, 4).Draw(t, "avoids") == 0 {
			j.AvoidedMachine = "m-005"
		}
		if rapid.IntRange(0, 4).Draw(t, "runs") == 0 {
			j.LiveAttempts, j.LiveByZone["b"] = 1, 1
		}
		jobs = append(jobs, j)
	}
	return jobs
}

// forBoth is an input for one of the two rounds that are compared: rounds change jobs and teams.
func forBoth(in Input, limit float64) *Input {
	var jobs []*Job
	for _, j := range in.Jobs {
		next := *j
		next.LiveByZone = maps.Clone(j.LiveByZone)
		jobs = append(jobs, &next)
	}
	in.Jobs, in.Teams = jobs, map[string]*Team{"crew": {}}
	in.Teams["crew"].Limit.Gpus = limit
	return &in
}

// described is a plan in terms of IDs.
func described(plan *Plan, id func(node int) string) string {
	out := fmt.Sprintf("reserved %q, objective %.9f, window %d\n", plan.ReservedFor, plan.Objective, plan.JobsConsidered)
	for _, p := range plan.Placements {
		out += fmt.Sprintf("%s on %s: %d\n", p.Job.Spec.UID, id(p.Node), p.Count)
	}
	for _, s := range plan.Preemptions {
		out += fmt.Sprintf("stop %d on %s\n", s.Serial, id(s.Node))
	}
	for _, s := range plan.Shortfalls {
		out += fmt.Sprintf("%s is short of %d\n", s.Job.Spec.UID, s.Count)
	}
	return out
}

// Rounds over classes of machines that are kept from round to round choose what a round chose
// that looked at every machine anew: over fleets that change by single machines, with other
// nodes beside, and in a second round over what the first has left.
func TestClassesChooseAsBefore(t *testing.T) {
	rounds, placed, stopped := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		view, fleetNow, victims := NewView(), map[string]Node{}, 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			for range rapid.IntRange(1, 5).Draw(t, "changes") {
				id := fmt.Sprintf("m-%03d", rapid.IntRange(0, 12).Draw(t, "machine"))
				if rapid.IntRange(0, 5).Draw(t, "gone") == 0 {
					view.Remove(id)
					delete(fleetNow, id)
					continue
				}
				n := genNode(t, id, &victims)
				view.Upsert(&n)
				fleetNow[id] = n
			}
			in := Input{Now: testNow, Jobs: genJobs(t), Window: rapid.SampledFrom([]int{3, 200}).Draw(t, "window"), ReserveAfterS: 30, PriorityWeights: DefaultPriorityWeights}
			for i := range rapid.IntRange(0, 2).Draw(t, "rentals") {
				n := genNode(t, fmt.Sprintf("rental-%d", i), &victims)
				in.Nodes = append(in.Nodes, n)
			}
			limit := float64(rapid.SampledFrom([]int{0, 0, 5}).Draw(t, "limit"))
			after := compare(t, view, in, fleetNow, limit, nil)
			rounds, placed, stopped = rounds+1, placed+len(after.Placements), stopped+len(after.Preemptions)
			in.Jobs = genJobs(t)
			compare(t, view, in, fleetNow, limit, after)
		}
	})
	if placed < rounds/2 || stopped < rounds/20 {
		t.Errorf("%d rounds placed %d times and stopped %d victims", rounds, placed, stopped)
	}
}

// compare lets both rounds decide and returns the plan of the one over classes.
func compare(t *rapid.T, view *View, in Input, machines map[string]Node, limit float64, after *Plan) *Plan {
	in.View, in.Previous = view, after
	plan := Run(forBoth(in, limit))
	id := func(node int) string {
		if node < view.SlotCount() {
			return view.MachineID(node)
		}
		return in.Nodes[node-view.SlotCount()].ID
	}
	reference := in
	reference.View, reference.Previous, reference.Nodes = nil, nil, nil
	slotOf := map[string]int{}
	for node := range view.SlotCount() + len(in.Nodes) {
		slotOf[id(node)] = node
	}
	for _, name := range slices.Sorted(maps.Keys(machines)) {
		reference.Nodes = append(reference.Nodes, machines[name])
	}
	reference.Nodes = append(reference.Nodes, in.Nodes...)
	if after != nil {
		reference.Nodes = slices.Clone(reference.Nodes)
		for i := range reference.Nodes {
			n := &reference.Nodes[i]
			slot := slotOf[n.ID]
			n.Free, n.FreeAfterStops, n.FreeAfterBoot = after.FreeAfterStops[slot], after.FreeAfterStops[slot], after.FreeAfterBoot[slot]
		}
	}
	want := refRun(forBoth(reference, limit))
	wantText := described(want, func(node int) string { return reference.Nodes[node].ID })
	if got := described(plan, id); got != wantText {
		t.Fatalf("the round over classes:\n%s\nthe one over all machines:\n%s", got, wantText)
	}
	for i := range reference.Nodes {
		slot := slotOf[reference.Nodes[i].ID]
		if plan.FreeAfterStops[slot] != want.FreeAfterStops[i] || plan.FreeAfterBoot[slot] != want.FreeAfterBoot[i] {
			t.Fatalf("%s has %v and %v left, not %v and %v", id(slot), plan.FreeAfterStops[slot], plan.FreeAfterBoot[slot], want.FreeAfterStops[i], want.FreeAfterBoot[i])
		}
	}
	return plan
}

// On fleets of 4,096 and 6,000 machines, hundreds of jobs and thousands of tasks that may be
// displaced, rounds over classes choose what the round over all machines chose, and leave no
// machine out.
func TestLargeFleetsAreChosenFromAsBefore(t *testing.T) {
	for _, machines := range []int{4096, 6000} {
		retained, all := large(machines, 300), large(machines, 300)
		retained.Window, all.Window = 300, 300
		retained.View, retained.Nodes = viewOf(retained.Nodes), nil
		if n := retained.View.MachineCount(); n != machines {
			t.Fatalf("%d of %d machines are kept", n, machines)
		}
		plan, want := Run(retained), refRun(all)
		got, wanted := described(plan, retained.View.MachineID), described(want, func(node int) string { return all.Nodes[node].ID })
		if got != wanted {
			t.Errorf("with %d machines the rounds differ", machines)
		}
		if len(plan.Placements) == 0 || len(plan.Preemptions) == 0 {
			t.Errorf("with %d machines there are %d places and %d stops", machines, len(plan.Placements), len(plan.Preemptions))
		}
	}
}
