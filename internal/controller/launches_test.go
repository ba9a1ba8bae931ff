package controller

import (
	"fmt"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/autoscaler"
	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// Placements of cancelled jobs, which are never written, do not use up the launch budget. Placements
// that are due to be written use it up, but a job that has one can still add launches to it.
func TestCancelledJobsDoNotDelayLaunches(t *testing.T) {
	for _, status := range []wire.JobStatus{wire.JobAborted, wire.JobQueued} {
		now := time.Unix(1000, 0)
		c := newTestLeader(&now)
		c.Config.Cluster.State.WriteRps, c.Config.Cluster.State.TxnOps = 100, 24
		c.Config.Cluster.Teams = []config.Team{{Name: "crew"}}
		c.catalog = g8Catalog()
		c.JobCache.Reset(nil, 0, now)
		for i := range 40 {
			c.heartbeatFrom(i, 1, now)
			m := c.fleet.Get(hostName(i))
			m.Type, m.Capacity = "g8", autoscaler.Capacity(&c.catalog.MachineTypes[0])
		}
		addJob := func(spec wire.JobSpec, status wire.JobStatus, dirty bool) {
			record := &records.Job{Spec: spec, Status: status, TasksPerPlacement: 8}
			c.applyJobEventLocked(spec.UID, watchcache.Entry{Job: record, ModRevision: 1})
			if dirty {
				c.jobs.get(spec.UID).placement(0).markChanged(now)
			}
		}
		spec := wire.JobSpec{
			Team:      "crew",
			Kind:      wire.Service,
			TaskCount: 1,
			Cores:     1,
			Gpus:      1,
			RAMGb:     1,
			Image:     "i",
			Priority:  wire.High,
		}
		for i := range 250 {
			spec.UID = fmt.Sprintf("run-%06d", i)
			addJob(spec, status, true)
		}
		spec.UID, spec.Priority = "run-000250", wire.Critical
		addJob(spec, wire.JobQueued, status == wire.JobQueued)
		c.runCycle(time.Second)
		if c.jobs.get(spec.UID).liveAttempts != 1 {
			t.Errorf("with 250 jobs that are %s, %d attempts are live, want 1", status, c.jobs.get(spec.UID).liveAttempts)
		}
	}
}
