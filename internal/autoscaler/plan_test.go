package autoscaler

import (
	"fmt"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/wire"
)

// Machines for the tasks of a dead fleet of 4,096 and of 6,000 machines are provisioned within some
// cycles, with no more calls in each than are allowed and none larger than the cloud accepts, and
// the decision takes less than a second: when it looked at every bin for each task it took several.
func TestPlanReplacesADeadFleetWithinItsCalls(t *testing.T) {
	catalog := &wire.Catalog{MachineTypes: []wire.MachineType{{
		Name:       "g8",
		Cores:      96,
		Gpus:       8,
		RAMGb:      576,
		Hourly:     20,
		SpotHourly: 5,
		Zones:      []string{"a", "b", "c", "d"},
	}}}
	for _, machines := range []int{4096, 6000} {
		const calls = 10
		shorts := make([]sched.Shortfall, 0, machines)
		for i := range machines {
			spec := &wire.JobSpec{UID: fmt.Sprintf("run-%06d", i), TaskCount: 8, Cores: float64(8 + i%5), Gpus: 1, RAMGb: 40}
			shorts = append(shorts, sched.Shortfall{Job: &sched.Job{Spec: spec}, Count: 8})
		}
		machinesByZone, provisioned, began := map[string]int{}, 0, time.Now()
		for cycles := 0; len(shorts) > 0; cycles++ {
			if cycles > machines/(calls*wire.MaxProvision)+2 {
				t.Fatalf("%d machines are provisioned after %d cycles", provisioned, cycles)
			}
			requests := Plan(catalog, Demand{
				Shorts:         shorts,
				MachinesByZone: machinesByZone,
				Refused:        func(MachineGroup) bool { return false },
				Calls:          calls,
			})
			if len(requests) > calls {
				t.Fatalf("%d calls in a cycle", len(requests))
			}
			requested := 0
			for _, r := range requests {
				if r.Count < 1 || r.Count > wire.MaxProvision {
					t.Fatalf("%d machines in a call", r.Count)
				}
				machinesByZone[r.Zone] += r.Count
				requested += r.Count
			}
			provisioned += requested
			shorts = shorts[min(requested, len(shorts)):]
		}
		if took := time.Since(began); provisioned < machines || took > 4*time.Second {
			t.Errorf("%d machines are provisioned for %d in %s", provisioned, machines, took)
		}
	}
}
