package sched

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// cloneInput copies an input, because each of the two cycles that are compared changes its jobs and teams. The
// copy has one team, with the GPU limit given.
func cloneInput(in Input, gpuLimit float64) *Input {
	jobs := make([]*Job, 0, len(in.Jobs))
	for _, job := range in.Jobs {
		clone := *job
		clone.LiveByZone = maps.Clone(job.LiveByZone)
		jobs = append(jobs, &clone)
	}
	in.Jobs, in.Teams = jobs, map[string]*Team{"crew": {}}
	in.Teams["crew"].Limit.Gpus = gpuLimit
	return &in
}

// describePlan returns a text of a plan that names nodes by ID, so that texts of equal plans are equal.
func describePlan(plan *Plan, id func(node int) string) string {
	text := fmt.Sprintf("reserved %q, objective %.9f, window %d\n", plan.ReservedFor, plan.Objective, plan.JobsConsidered)
	for _, p := range plan.Placements {
		text += fmt.Sprintf("%s on %s: %d\n", p.Job.Spec.UID, id(p.Node), p.Count)
	}
	for _, p := range plan.Preemptions {
		text += fmt.Sprintf("stop %d on %s\n", p.Serial, id(p.Node))
	}
	for _, shortfall := range plan.Shortfalls {
		text += fmt.Sprintf("shortfall of %s: %d\n", shortfall.Job.Spec.UID, shortfall.Count)
	}
	return text
}

// checkAgainstReference runs two cycles with the class index and two reference cycles at each step and checks that
// their plans agree. It returns the numbers of first cycles and of their placements and preemptions.
func checkAgainstReference(t fataler, steps []cycleStep) (cycles, placed, stopped int) {
	t.Helper()
	view, nodes := NewView(), map[string]Node{}
	for _, step := range steps {
		for _, change := range step.Changes {
			if change.Gone != "" {
				view.Remove(change.Gone)
				delete(nodes, change.Gone)
				continue
			}
			n := change.Node
			view.Upsert(&n)
			nodes[n.ID] = n
		}
		in := Input{
			Now:             testNow,
			Nodes:           step.Rentals,
			Jobs:            step.Jobs,
			Window:          step.Window,
			ReserveAfterS:   30,
			PriorityWeights: DefaultPriorityWeights,
		}
		first := compareWithReference(t, view, in, nodes, step.GPULimit, nil)
		cycles, placed, stopped = cycles+1, placed+len(first.Placements), stopped+len(first.Preemptions)
		in.Jobs = step.JobsAfter
		compareWithReference(t, view, in, nodes, step.GPULimit, first)
	}
	return cycles, placed, stopped
}

// A cycle with a view and a class index makes the same plan as the reference cycle, which visits every node. The
// cases have single machines that change from cycle to cycle, nodes outside the view, and second cycles that start
// from the plan of the first.
func TestClassIndexDecidesAsReference(t *testing.T) {
	cycles, placed, stopped := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		newCycles, newPlaced, newStopped := checkAgainstReference(t, genSteps(t))
		cycles, placed, stopped = cycles+newCycles, placed+newPlaced, stopped+newStopped
	})
	if placed < cycles/2 || stopped < cycles/20 {
		t.Errorf("%d cycles made %d placements and %d preemptions, want at least %d and %d", cycles, placed, stopped, cycles/2, cycles/20)
	}
}

// An input that once failed TestClassIndexDecidesAsReference: the cycle left free capacity on a machine that the
// reference cycle had booked.
func TestClassIndexDecidesAsReferenceOnInputThatOnceFailed(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", "class_index_steps.json"))
	if err != nil {
		t.Fatal(err)
	}
	var steps []cycleStep
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields() // if a field is renamed, the test must fail and not ignore its data
	if err := decoder.Decode(&steps); err != nil {
		t.Fatal(err)
	}
	if cycles, _, _ := checkAgainstReference(t, steps); cycles != 12 {
		t.Errorf("got %d cycles, want 12", cycles)
	}
}

// compareWithReference runs both cycles, checks that their plans agree, and returns that of the cycle with classes.
func compareWithReference(t fataler, view *View, in Input, machines map[string]Node, gpuLimit float64, previous *Plan) *Plan {
	t.Helper()
	in.View, in.Previous = view, previous
	plan := Run(cloneInput(in, gpuLimit))
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
	for _, machineID := range slices.Sorted(maps.Keys(machines)) {
		reference.Nodes = append(reference.Nodes, machines[machineID])
	}
	reference.Nodes = append(reference.Nodes, in.Nodes...)
	if previous != nil {
		reference.Nodes = slices.Clone(reference.Nodes)
		for i := range reference.Nodes {
			n := &reference.Nodes[i]
			slot := slotOf[n.ID]
			n.Free, n.FreeAfterStops, n.FreeAfterBoot = previous.FreeAfterStops[slot], previous.FreeAfterStops[slot], previous.FreeAfterBoot[slot]
		}
	}
	want := runReference(cloneInput(reference, gpuLimit))
	wantText := describePlan(want, func(node int) string { return reference.Nodes[node].ID })
	if got := describePlan(plan, id); got != wantText {
		t.Fatalf("got plan of the cycle with classes:\n%s\nwant plan of the reference cycle:\n%s", got, wantText)
	}
	for i := range reference.Nodes {
		slot := slotOf[reference.Nodes[i].ID]
		afterStops, afterBoot := plan.FreeAfterStops[slot], plan.FreeAfterBoot[slot]
		if afterStops != want.FreeAfterStops[i] || afterBoot != want.FreeAfterBoot[i] {
			t.Fatalf("%s: free after stops %v, boot %v, want %v, %v", id(slot), afterStops, afterBoot, want.FreeAfterStops[i], want.FreeAfterBoot[i])
		}
	}
	return plan
}

// On fleets of 4,096 and 6,000 machines with hundreds of jobs and thousands of victims, a cycle with classes makes
// the same plan as the reference cycle. The view contains all machines.
func TestClassIndexDecidesAsReferenceOnLargeFleets(t *testing.T) {
	for _, machines := range []int{4096, 6000} {
		retained, reference := largeInput(machines, 300), largeInput(machines, 300)
		retained.Window, reference.Window = 300, 300
		retained.View, retained.Nodes = viewOf(retained.Nodes), nil
		if n := retained.View.MachineCount(); n != machines {
			t.Fatalf("the view has %d machines, want %d", n, machines)
		}
		plan, want := Run(retained), runReference(reference)
		got, wanted := describePlan(plan, retained.View.MachineID), describePlan(want, func(node int) string { return reference.Nodes[node].ID })
		if got != wanted {
			t.Errorf("with %d machines the plan of the cycle with classes differs from that of the reference cycle", machines)
		}
		if len(plan.Placements) == 0 || len(plan.Preemptions) == 0 {
			t.Errorf("%d machines: got %d placements, %d preemptions, want both", machines, len(plan.Placements), len(plan.Preemptions))
		}
	}
}
