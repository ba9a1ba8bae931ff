package controller

import (
	"context"
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/failuredetector"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// newDetector returns the failure detector of a deployment.
func newDetector(cfg *config.Config, bootS func(machineType string) (float64, bool)) *failuredetector.Detector {
	return failuredetector.New(failuredetector.Options{
		HeartbeatInterval: cfg.HeartbeatInterval(),
		WorkerLease:       cfg.WorkerLease(),
		TasksEndWithin:    cfg.CancelTimeout(),
		Controllers:       len(cfg.Members) + 1,
		BootS:             bootS,
	})
}

// recordRenewalsByPeers records a heartbeat of every machine whose worker lease another node has renewed lately, according to
// that node's answers to pings. c.mu is held.
func (c *Controller) recordRenewalsByPeers(now time.Time) {
	c.recordHeartbeatsElsewhere(c.Peers.RenewedHosts(), now)
}

// recordHeartbeatsElsewhere records that other nodes have answered heartbeats of these machines, so the machines are
// alive. LastHeartbeatHere does not change, because this node has not received these heartbeats. c.mu is held.
func (c *Controller) recordHeartbeatsElsewhere(hosts []string, now time.Time) {
	for _, host := range hosts {
		if m := c.fleet.Get(host); m != nil {
			m.LastHeartbeat = now
		}
	}
}

// followRenewedLeases watches the records of followers that can reach the state store but not this node. In these
// records they list the machines whose worker leases they renew: these machines are alive. Without this, a partition
// between zones made the leader release every machine on the other side, with all its tasks.
func (c *Controller) followRenewedLeases(ctx context.Context) {
	wait, retryDelay := c.Config.WorkerLease(), c.Config.HeartbeatInterval()
	watchcache.Follow(ctx, c.Store, records.RenewedLeasesPrefix, wait, retryDelay, watchcache.HandlerFuncs{OnChanged: c.applyRenewedLeases})
}

// applyRenewedLeases applies a record of renewed worker leases. It ignores the deletion of a record.
func (c *Controller) applyRenewedLeases(event wire.WatchEvent) {
	if event.Set == "" {
		return
	}
	var renewed records.RenewedLeases
	if err := wire.Decode(event.Value, &renewed); err != nil {
		slog.Warn("record of renewed worker leases cannot be decoded", "key", event.Set, "err", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordHeartbeatsElsewhere(renewed.Hosts, c.now())
}

// pauseDetectionWhileStale pauses failure detection while this node does not answer heartbeats because its cancellation
// data is stale: it then receives no heartbeats, and every machine would look dead. c.mu is held.
func (c *Controller) pauseDetectionWhileStale(now time.Time) {
	stale := now.Sub(c.JobCache.FreshAsOf()) > c.Config.MaxCancellationAge()
	if c.detector.SetPaused(stale) {
		if stale {
			slog.Warn("failure detection paused: heartbeats are not answered while cancellation data is stale", "term", c.term)
		} else {
			slog.Warn("failure detection resumed: heartbeats are answered again", "term", c.term)
		}
	}
	if stale {
		c.detector.Reset(c.fleet, now)
	}
}

// releaseDead releases the machines that the failure detector declares dead. It also stops the tasks of the machines
// that the cloud is about to reclaim. c.mu is held.
func (c *Controller) releaseDead(now time.Time) {
	evaluation := c.detector.Evaluate(failuredetector.Observation{Now: now, Machines: c.fleet, Peers: c.Peers})
	c.fleet.Each(func(m *fleet.Machine) {
		if cause := evaluation.CauseOfDeath(m); cause != failuredetector.NotDead {
			c.startRelease(m, now, string(cause))
		}
		if m.SpotNotice {
			c.checkpointTasks(m, now)
		}
	})
}

// usualBootS returns how many seconds a machine of a type usually takes to boot; known is false if the
// catalog does not have the type. c.mu is held.
func (c *Controller) usualBootS(machineType string) (seconds float64, known bool) {
	t := findMachineType(c.catalog, machineType)
	if t == nil {
		return 0, false
	}
	return t.BootS, true
}

// checkpointTasks stops the tasks of a machine that the cloud is about to reclaim, with a grace
// period for a checkpoint. c.mu is held.
func (c *Controller) checkpointTasks(m *fleet.Machine, now time.Time) {
	m.EachAttempt(func(a *fleet.Attempt) {
		if j := c.jobs.get(a.JobUID); j != nil && a.Live() && !a.Stopping {
			c.stopAttempt(a, j.record.Spec.CheckpointOnStopS+c.Config.Cluster.Workers.ReportS, now, "spot notice")
		}
	})
}
