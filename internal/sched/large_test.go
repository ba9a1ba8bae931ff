package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// large makes the picture of a fleet that is mostly full.
func large(machines, waiting int) *Input {
	r := rand.New(rand.NewPCG(1, 1))
	in := &Input{Window: 200, ReserveAfterS: 10, PriorityWeights: DefaultPriorityWeights, Teams: map[string]*Team{"t": {}}}
	caps := fleet.Resources{Cores: 96, Gpus: 8, RAM: 576}
	for i := range machines {
		n := Node{ID: fmt.Sprintf("m-%06d", i), Type: "g8", Zone: []string{"a", "b"}[i%2], Capacity: caps, HourlyPrice: 24.9, RunsOnDemandWork: true, Spot: i%4 == 0}
		if n.Spot {
			n.HourlyPrice, n.RunsOnDemandWork = 5.9, false
		}
		used := r.IntN(9)
		if i%16 != 0 {
			used = 8
		}
		n.Free = caps.Sub(fleet.Resources{Cores: 8 * float64(used), Gpus: float64(used), RAM: 40 * float64(used)})
		n.FreeAfterStops, n.FreeAfterBoot = n.Free, n.Free
		n.Registered, n.Images = true, []string{fmt.Sprint(r.IntN(20)), fmt.Sprint(r.IntN(20))}
		for range used {
			n.Victims = append(n.Victims, Victim{Serial: i*8 + len(n.Victims), Level: 1 + r.IntN(3), Need: fleet.Resources{Cores: 8, Gpus: 1, RAM: 40}, MaxLossS: 20, IsReplica: r.IntN(2) == 0})
		}
		in.Nodes = append(in.Nodes, n)
	}
	for i := range waiting {
		w := &wire.JobSpec{UID: fmt.Sprintf("run-%06d", i), Team: "t", Kind: wire.Service, Priority: wire.High, TaskCount: 1 + r.IntN(6), Cores: 8, Gpus: 1, RAMGb: 40, Image: fmt.Sprint(r.IntN(20))}
		if i%4 == 0 {
			w.Kind, w.Priority, w.TaskCount, w.AllowSpot = wire.JobArray, wire.BestEffort, 30, true
		}
		in.Jobs = append(in.Jobs, &Job{Spec: w, Level: w.Priority.Level(), PendingTasks: w.TaskCount, LiveByZone: map[string]int{}, FetchDelaysStart: i%8 == 1, LaxityS: 50})
	}
	return in
}

// viewOf puts nodes into a view.
func viewOf(nodes []Node) *View {
	view := NewView()
	for i := range nodes {
		view.Upsert(&nodes[i])
	}
	return view
}

// One round over classes of machines that are kept, and the same round as it was before, over
// all machines anew.
func BenchmarkRound(b *testing.B) {
	for _, machines := range []int{340, 1350, 4000, 6000} {
		for _, waiting := range []int{5, 50, 500} {
			for _, retained := range []bool{true, false} {
				b.Run(fmt.Sprintf("machines=%d/waiting=%d/kept=%v", machines, waiting, retained), func(b *testing.B) {
					b.ReportAllocs()
					view := viewOf(large(machines, 0).Nodes)
					if retained { // rounds use the memory of those before
						in := large(machines, waiting)
						in.View, in.Nodes = view, nil
						Run(in)
					}
					b.ResetTimer()
					for range b.N {
						b.StopTimer()
						in := large(machines, waiting)
						if retained {
							in.View, in.Nodes = view, nil
						}
						b.StartTimer()
						if retained {
							Run(in)
						} else {
							refRun(in)
						}
					}
				})
			}
		}
	}
}
