package sched

import (
	"fmt"
	"slices"
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
	n := Node{
		ID:               id,
		Type:             fmt.Sprint("t", size.Gpus),
		Zone:             rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
		Spot:             rapid.Bool().Draw(t, "spot"),
		Capacity:         size,
		RunsOnDemandWork: rapid.IntRange(0, 3).Draw(t, "onDemandWork") == 0,
		HourlyPrice:      size.Cores,
	}
	n.ScaleInCandidate = !n.RunsOnDemandWork && rapid.Bool().Draw(t, "scaleIn")
	n.FreeAfterBoot = size
	if rapid.IntRange(0, 5).Draw(t, "absent") == 0 {
		return n
	}
	n.Registered, n.ActiveFetches = true, rapid.IntRange(0, 1).Draw(t, "fetches")
	images := rapid.SliceOfN(rapid.SampledFrom([]string{"i", "j", "k"}), 0, 2).Draw(t, "images")
	n.Images = slices.Compact(slices.Sorted(slices.Values(images)))
	n.Free = size
	for range rapid.IntRange(0, 5).Draw(t, "tasks") {
		*victims++
		v := genVictim(t, *victims, size.Gpus/4)
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

// genVictim draws a running task.
func genVictim(t *rapid.T, serial int, gpus float64) Victim {
	v := Victim{
		Serial:    serial,
		Level:     rapid.IntRange(1, 4).Draw(t, "level"),
		Need:      fleet.Resources{Cores: float64(rapid.IntRange(1, 4).Draw(t, "cores")), Gpus: gpus, RAM: 10},
		MaxLossS:  float64(rapid.IntRange(0, 3).Draw(t, "loss")),
		IsReplica: rapid.Bool().Draw(t, "replica"),
	}
	if rapid.Bool().Draw(t, "grows") {
		v.LossGrowsFrom = testNow.Add(-time.Duration(rapid.IntRange(0, 3).Draw(t, "since")) * time.Second)
	}
	return v
}

// genJobs draws the jobs that wait.
func genJobs(t *rapid.T) []*Job {
	jobs := make([]*Job, rapid.IntRange(0, 12).Draw(t, "jobs"))
	for i := range jobs {
		jobs[i] = genJob(t, i)
	}
	return jobs
}

// genJob draws a job that waits.
func genJob(t *rapid.T, i int) *Job {
	w := &wire.JobSpec{
		UID:         fmt.Sprintf("run-%06d", i),
		Team:        "crew",
		TaskCount:   rapid.IntRange(1, 6).Draw(t, "tasks"),
		Cores:       float64(rapid.IntRange(1, 4).Draw(t, "cores")),
		Gpus:        float64(rapid.IntRange(0, 2).Draw(t, "gpus")),
		RAMGb:       10,
		Kind:        rapid.SampledFrom([]wire.JobKind{wire.JobArray, wire.Service}).Draw(t, "kind"),
		AllowSpot:   rapid.Bool().Draw(t, "spot"),
		SingleZone:  rapid.IntRange(0, 4).Draw(t, "singleZone") == 0,
		SpreadZones: rapid.IntRange(0, 4).Draw(t, "spreadZones") == 0,
		Image:       rapid.SampledFrom([]string{"i", "j", "l"}).Draw(t, "image"),
	}
	if rapid.IntRange(0, 4).Draw(t, "picky") == 0 {
		w.MachineTypes, w.Zone = []string{"t4"}, "b"
	}
	j := &Job{
		Spec:             w,
		Level:            rapid.IntRange(1, 4).Draw(t, "level"),
		QueuedSinceMs:    int64(i),
		PendingTasks:     w.TaskCount,
		LiveByZone:       map[string]int{},
		WaitedS:          float64(rapid.SampledFrom([]int{0, 40}).Draw(t, "waited")),
		FetchDelaysStart: rapid.Bool().Draw(t, "fetch"),
		CannotAwaitBoot:  rapid.Bool().Draw(t, "cannotAwaitBoot"),
		WaitedPastBoot:   rapid.Bool().Draw(t, "waitedPastBoot"),
		SpotUnavailable:  rapid.Bool().Draw(t, "spotUnavailable"),
	}
	if rapid.IntRange(0, 4).Draw(t, "avoids") == 0 {
		j.AvoidedMachine = "m-005"
	}
	if rapid.IntRange(0, 4).Draw(t, "runs") == 0 {
		j.LiveAttempts, j.LiveByZone["b"] = 1, 1
	}
	return j
}

// nodeChange is a machine that has changed, or one that has gone.
type nodeChange struct {
	Gone string // ID of the machine that has gone; "" if Node has changed
	Node Node
}

// cycleStep is what changes before a cycle, and the input of it and of a second cycle over what
// the first one has left.
type cycleStep struct {
	Changes   []nodeChange
	Jobs      []*Job
	Window    int
	Rentals   []Node
	GPULimit  float64
	JobsAfter []*Job
}

// genSteps draws the changes and inputs of several cycles.
func genSteps(t *rapid.T) []cycleStep {
	steps := make([]cycleStep, rapid.IntRange(1, 30).Draw(t, "steps"))
	victims := 0
	for i := range steps {
		step := &steps[i]
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			id := fmt.Sprintf("m-%03d", rapid.IntRange(0, 12).Draw(t, "machine"))
			if rapid.IntRange(0, 5).Draw(t, "gone") == 0 {
				step.Changes = append(step.Changes, nodeChange{Gone: id})
				continue
			}
			step.Changes = append(step.Changes, nodeChange{Node: genNode(t, id, &victims)})
		}
		step.Jobs = genJobs(t)
		step.Window = rapid.SampledFrom([]int{3, 200}).Draw(t, "window")
		for k := range rapid.IntRange(0, 2).Draw(t, "rentals") {
			step.Rentals = append(step.Rentals, genNode(t, fmt.Sprintf("rental-%d", k), &victims))
		}
		step.GPULimit = float64(rapid.SampledFrom([]int{0, 0, 5}).Draw(t, "limit"))
		step.JobsAfter = genJobs(t)
	}
	return steps
}
