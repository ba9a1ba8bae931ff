package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// largeInput returns an input with a fleet that is mostly full, the same one in each call.
func largeInput(machines, waiting int) *Input {
	random := rand.New(rand.NewPCG(1, 1))
	in := &Input{Window: 200, ReserveAfterS: 10, PriorityWeights: DefaultPriorityWeights, Teams: map[string]*Team{"t": {}}}
	for i := range machines {
		in.Nodes = append(in.Nodes, largeNode(random, i))
	}
	for i := range waiting {
		in.Jobs = append(in.Jobs, largeJob(random, i))
	}
	return in
}

func largeNode(random *rand.Rand, i int) Node {
	capacity := fleet.Resources{Cores: 96, Gpus: 8, RAM: 576}
	n := Node{
		ID:               fmt.Sprintf("m-%06d", i),
		Type:             "g8",
		Zone:             []string{"a", "b"}[i%2],
		Capacity:         capacity,
		HourlyPrice:      24.9,
		RunsOnDemandWork: true,
		Spot:             i%4 == 0,
	}
	if n.Spot {
		n.HourlyPrice, n.RunsOnDemandWork = 5.9, false
	}
	used := random.IntN(9)
	if i%16 != 0 {
		used = 8
	}
	n.Free = capacity.Sub(fleet.Resources{Cores: 8 * float64(used), Gpus: float64(used), RAM: 40 * float64(used)})
	n.FreeAfterStops, n.FreeAfterBoot = n.Free, n.Free
	n.Registered, n.Images = true, []string{fmt.Sprint(random.IntN(20)), fmt.Sprint(random.IntN(20))}
	for range used {
		n.Victims = append(n.Victims, Victim{
			Serial:    i*8 + len(n.Victims),
			Level:     1 + random.IntN(3),
			Need:      fleet.Resources{Cores: 8, Gpus: 1, RAM: 40},
			MaxLossS:  20,
			IsReplica: random.IntN(2) == 0,
		})
	}
	return n
}

func largeJob(random *rand.Rand, i int) *Job {
	spec := &wire.JobSpec{
		UID:       fmt.Sprintf("run-%06d", i),
		Team:      "t",
		Kind:      wire.Service,
		Priority:  wire.High,
		TaskCount: 1 + random.IntN(6),
		Cores:     8,
		Gpus:      1,
		RAMGb:     40,
		Image:     fmt.Sprint(random.IntN(20)),
	}
	if i%4 == 0 {
		spec.Kind, spec.Priority, spec.TaskCount, spec.AllowSpot = wire.JobArray, wire.BestEffort, 30, true
	}
	return &Job{
		Spec:             spec,
		Level:            spec.Priority.Level(),
		PendingTasks:     spec.TaskCount,
		LiveByZone:       map[string]int{},
		FetchDelaysStart: i%8 == 1,
		LaxityS:          50,
	}
}

// viewOf returns a view that holds the nodes.
func viewOf(nodes []Node) *View {
	view := NewView()
	for i := range nodes {
		view.Upsert(&nodes[i])
	}
	return view
}

// BenchmarkRound measures a cycle with a view and a class index (kept=true) and a reference cycle, which visits
// every machine (kept=false). docs/results-fleet.md quotes its name.
func BenchmarkRound(b *testing.B) {
	for _, machines := range []int{340, 1350, 4000, 6000} {
		for _, waiting := range []int{5, 50, 500} {
			for _, retained := range []bool{true, false} {
				b.Run(fmt.Sprintf("machines=%d/waiting=%d/kept=%v", machines, waiting, retained), func(b *testing.B) {
					b.ReportAllocs()
					view := viewOf(largeInput(machines, 0).Nodes)
					if retained { // warm up: later cycles reuse the memory of this one
						in := largeInput(machines, waiting)
						in.View, in.Nodes = view, nil
						Run(in)
					}
					b.ResetTimer()
					for range b.N {
						b.StopTimer()
						in := largeInput(machines, waiting)
						if retained {
							in.View, in.Nodes = view, nil
						}
						b.StartTimer()
						if retained {
							Run(in)
						} else {
							runReference(in)
						}
					}
				})
			}
		}
	}
}
