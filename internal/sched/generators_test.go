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

// genNode draws a machine. It draws from few sizes and needs, so that many machines fall into the same class.
// Some machines are overbooked. lastSerial is the serial number of the last victim that was drawn.
func genNode(t *rapid.T, id string, lastSerial *int) Node {
	size := rapid.SampledFrom([]fleet.Resources{{Cores: 16, Gpus: 4, RAM: 100}, {Cores: 8, Gpus: 0, RAM: 60}}).Draw(t, "size")
	node := Node{
		ID:               id,
		Type:             fmt.Sprint("t", size.Gpus),
		Zone:             rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
		Spot:             rapid.Bool().Draw(t, "spot"),
		Capacity:         size,
		RunsOnDemandWork: rapid.IntRange(0, 3).Draw(t, "onDemandWork") == 0,
		HourlyPrice:      size.Cores,
	}
	node.ScaleInCandidate = !node.RunsOnDemandWork && rapid.Bool().Draw(t, "scaleIn")
	node.FreeAfterBoot = size
	if rapid.IntRange(0, 5).Draw(t, "absent") == 0 {
		return node
	}
	node.Registered, node.ActiveFetches = true, rapid.IntRange(0, 1).Draw(t, "fetches")
	images := rapid.SliceOfN(rapid.SampledFrom([]string{"i", "j", "k"}), 0, 2).Draw(t, "images")
	node.Images = slices.Compact(slices.Sorted(slices.Values(images)))
	node.Free = size
	for range rapid.IntRange(0, 5).Draw(t, "tasks") {
		*lastSerial++
		victim := genVictim(t, *lastSerial, size.Gpus/4)
		node.Free = node.Free.Sub(victim.Need)
		node.Victims = append(node.Victims, victim)
	}
	node.FreeAfterStops = node.Free
	if rapid.Bool().Draw(t, "ending") {
		node.FreeAfterStops = node.FreeAfterStops.Add(fleet.Resources{Cores: 2, Gpus: 1, RAM: 10})
	}
	node.FreeAfterBoot = node.FreeAfterStops
	return node
}

// genVictim draws a running task.
func genVictim(t *rapid.T, serial int, gpus float64) Victim {
	victim := Victim{
		Serial:    serial,
		Level:     rapid.IntRange(1, 4).Draw(t, "level"),
		Need:      fleet.Resources{Cores: float64(rapid.IntRange(1, 4).Draw(t, "cores")), Gpus: gpus, RAM: 10},
		MaxLossS:  float64(rapid.IntRange(0, 3).Draw(t, "loss")),
		IsReplica: rapid.Bool().Draw(t, "replica"),
	}
	if rapid.Bool().Draw(t, "grows") {
		victim.LossGrowsFrom = testNow.Add(-time.Duration(rapid.IntRange(0, 3).Draw(t, "since")) * time.Second)
	}
	return victim
}

// genJobs draws the pending jobs of a cycle.
func genJobs(t *rapid.T) []*Job {
	jobs := make([]*Job, rapid.IntRange(0, 12).Draw(t, "jobs"))
	for i := range jobs {
		jobs[i] = genJob(t, i)
	}
	return jobs
}

// genJob draws a pending job.
func genJob(t *rapid.T, i int) *Job {
	spec := &wire.JobSpec{
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
		spec.MachineTypes, spec.Zone = []string{"t4"}, "b"
	}
	job := &Job{
		Spec:             spec,
		Level:            rapid.IntRange(1, 4).Draw(t, "level"),
		QueuedSinceMs:    int64(i),
		PendingTasks:     spec.TaskCount,
		LiveByZone:       map[string]int{},
		WaitedS:          float64(rapid.SampledFrom([]int{0, 40}).Draw(t, "waited")),
		FetchDelaysStart: rapid.Bool().Draw(t, "fetch"),
		CannotAwaitBoot:  rapid.Bool().Draw(t, "cannotAwaitBoot"),
		WaitedPastBoot:   rapid.Bool().Draw(t, "waitedPastBoot"),
		SpotUnavailable:  rapid.Bool().Draw(t, "spotUnavailable"),
	}
	if rapid.IntRange(0, 4).Draw(t, "avoids") == 0 {
		job.AvoidedMachine = "m-005"
	}
	if rapid.IntRange(0, 4).Draw(t, "runs") == 0 {
		job.LiveAttempts, job.LiveByZone["b"] = 1, 1
	}
	return job
}

// nodeChange is a machine that is added or changed, or one that is removed.
type nodeChange struct {
	Gone string // ID of the machine that is removed; "" if Node is added or changed
	Node Node
}

// cycleStep holds the changes of machines before a cycle, the input of that cycle, and the jobs of a second cycle
// that starts from the plan of the first one (Input.Previous).
type cycleStep struct {
	Changes   []nodeChange
	Jobs      []*Job
	Window    int
	Rentals   []Node // nodes outside the view, which exist in this step only
	GPULimit  float64
	JobsAfter []*Job
}

// genSteps draws the changes and inputs of several cycles.
func genSteps(t *rapid.T) []cycleStep {
	steps := make([]cycleStep, rapid.IntRange(1, 30).Draw(t, "steps"))
	lastSerial := 0
	for i := range steps {
		step := &steps[i]
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			id := fmt.Sprintf("m-%03d", rapid.IntRange(0, 12).Draw(t, "machine"))
			if rapid.IntRange(0, 5).Draw(t, "gone") == 0 {
				step.Changes = append(step.Changes, nodeChange{Gone: id})
				continue
			}
			step.Changes = append(step.Changes, nodeChange{Node: genNode(t, id, &lastSerial)})
		}
		step.Jobs = genJobs(t)
		step.Window = rapid.SampledFrom([]int{3, 200}).Draw(t, "window")
		for k := range rapid.IntRange(0, 2).Draw(t, "rentals") {
			step.Rentals = append(step.Rentals, genNode(t, fmt.Sprintf("rental-%d", k), &lastSerial))
		}
		step.GPULimit = float64(rapid.SampledFrom([]int{0, 0, 5}).Draw(t, "limit"))
		step.JobsAfter = genJobs(t)
	}
	return steps
}
