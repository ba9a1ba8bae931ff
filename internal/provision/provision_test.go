package provision

import (
	"fmt"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/wire"
)

// What a lost fleet of 4,096 and of 6,000 machines ran is rented for within some rounds, each in
// calls that the cloud takes and no more than are allowed, and deciding what takes no second:
// with a look at every machine of the packing for each task it took several.
func TestDeadFleetIsProvisionedAgain(t *testing.T) {
	cat := &wire.Catalog{MachineTypes: []wire.MachineType{{Name: "g8", Cores: 96, Gpus: 8, RAMGb: 576, Hourly: 20, SpotHourly: 5, Zones: []string{"a", "b", "c", "d"}}}}
	for _, machines := range []int{4096, 6000} {
		var shorts []sched.Shortfall
		for i := range machines {
			w := &wire.JobSpec{UID: fmt.Sprintf("run-%06d", i), TaskCount: 8, Cores: float64(8 + i%5), Gpus: 1, RAMGb: 40}
			shorts = append(shorts, sched.Shortfall{Job: &sched.Job{Spec: w}, Count: 8})
		}
		const calls = 10
		population, provisioned, began := map[string]int{}, 0, time.Now()
		for rounds := 0; len(shorts) > 0; rounds++ {
			if rounds > machines/(calls*wire.MaxProvision)+2 {
				t.Fatalf("after %d rounds %d machines are rented", rounds, provisioned)
			}
			requests := Plan(cat, Demand{Shorts: shorts, Population: population, Refused: func(MachineGroup) bool { return false }, Calls: calls})
			if len(requests) > calls {
				t.Fatalf("%d calls in a round", len(requests))
			}
			brought := 0
			for _, r := range requests {
				if r.Count < 1 || r.Count > wire.MaxProvision {
					t.Fatalf("%d machines in a call", r.Count)
				}
				population[r.Zone] += r.Count
				brought += r.Count
			}
			provisioned += brought
			shorts = shorts[min(brought, len(shorts)):]
		}
		if took := time.Since(began); provisioned < machines || took > 4*time.Second {
			t.Errorf("%d machines for %d in %s", provisioned, machines, took)
		}
	}
}
