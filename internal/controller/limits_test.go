package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/clusterversion"
	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// latestVersion is the version tracker of a cluster in which every node runs this release.
type latestVersion struct{}

func (latestVersion) InForce() clusterversion.Version { return clusterversion.Latest }

// No more tasks are placed than their placement records have room for: a launch that can never be recorded would occupy
// resources of its machine forever.
func TestPlacementsFitTheirRecords(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	c.Version = latestVersion{}
	nextValueKb := 2.0
	c.Config.Cluster.State.WriteRps, c.Config.Cluster.State.Next = 1000, &config.NextStateLimits{ValueKb: &nextValueKb}
	c.Config.Cluster.Teams = []config.Team{{Name: "crew"}}
	c.catalog = &wire.Catalog{MachineTypes: []wire.MachineType{{Name: "g8", Cores: 1, Gpus: 8, RAMGb: 512, Zones: []string{"a"}}}}
	c.JobCache.Reset(nil, 0, now)
	for i := range 170 {
		host := fmt.Sprintf("m-%03d-%s", i, strings.Repeat("x", 40))
		c.applyTestHeartbeat(host, 1, now)
	}
	tasksPerPlacement := records.TasksPerPlacement(c.Config.CurrentMaxValueBytes(), c.Config.MaxValueBytes())
	spec := wire.JobSpec{
		UID:       "run-000001",
		Team:      "crew",
		Kind:      wire.JobArray,
		Priority:  wire.High,
		TaskCount: 2 * tasksPerPlacement,
		Cores:     1,
		RAMGb:     1,
		Image:     "i",
	}
	j := c.addTestJob(spec, tasksPerPlacement)
	c.runCycle(time.Second)
	if j.liveAttempts == 0 || j.liveAttempts == spec.TaskCount {
		t.Fatalf("%d of %d tasks are placed, want some but not all", j.liveAttempts, spec.TaskCount)
	}
	builder := newBatchBuilder(c.term, c.batchLimits(now), now)
	for _, p := range j.placements {
		if value := builder.encodePlacement(p); value == nil {
			t.Errorf("placement record with %d attempts is larger than the limit, want one that fits", len(p.live))
		}
	}
	// After half of the placed tasks have ended, others are placed.
	placed := j.liveAttempts
	for _, p := range j.placements {
		for task, a := range p.live {
			if task%2 == 0 {
				c.fleet.MarkCommitted(a, now)
				a.EndCause, a.State = wire.CauseDone, fleet.Ended
				delete(p.live, task)
				p.done.MarkDone(task % tasksPerPlacement)
				j.liveAttempts--
				j.doneTasks++
			}
		}
	}
	c.runCycle(time.Second)
	if j.liveAttempts <= placed/2+1 {
		t.Errorf("%d tasks are placed after half of %d have ended, want more than %d", j.liveAttempts, placed, placed/2+1)
	}
}
