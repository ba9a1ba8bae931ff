package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/autoscaler"
	"lotusstile.dev/lotusstile/internal/cloud"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/wire"
)

// provisionCallShare is the share of the cloud's call rate that provisioning may use. Machine lists and
// releases use the rest.
const provisionCallShare = 0.25

// maxProvisionAttempts is how many times a request is sent before it is abandoned.
const maxProvisionAttempts = 4

// scale decides which machines to provision for tasks that no machine has room for, and starts the
// release of idle machines. It returns the requests to send. c.mu is held.
func (c *Controller) scale(s *snapshot, plan *sched.Plan, now time.Time) []wire.ProvisionRequest {
	settled := c.detector.IsSettled(now)
	headroom := c.planHeadroom(s, plan, now)
	// A new leader does not know yet which machines are alive. It provisions no machines until
	// the known ones have sent heartbeats or failure detection is settled.
	if !settled && c.requests.Len() == 0 && c.fleet.Len() > 0 && c.awaitsFirstHeartbeats() {
		return nil
	}
	requests := c.planRequests(plan.Shortfalls, headroom.Shortfalls, now)
	if settled {
		c.releaseIdle(plan.Shortfalls, now)
	}
	return requests
}

// planRequests decides which machines to provision for tasks and headroom that no machine has room
// for. c.mu is held.
func (c *Controller) planRequests(tasks, headroom []sched.Shortfall, now time.Time) []wire.ProvisionRequest {
	machinesByZone := map[string]int{}
	c.fleet.Each(func(m *fleet.Machine) { machinesByZone[m.Zone]++ })
	overdueAt := c.now().Add(time.Duration(c.Settings().IntervalS * float64(time.Second)))
	plan, left := autoscaler.Plan(c.catalog, autoscaler.Demand{
		Shortfalls:     append(append([]sched.Shortfall{}, tasks...), headroom...),
		MachinesByZone: machinesByZone,
		Refused:        func(g autoscaler.MachineGroup) bool { return c.refusals.InBackoff(g, now) },
		MaxRequests:    c.provisionCalls(),
		IsOverdue:      func() bool { return c.now().After(overdueAt) },
	})
	if left > 0 {
		slog.Warn("scale-out plan overran its interval", "term", c.term, "shortfalls", len(tasks)+len(headroom), "left", left)
	}
	requests := make([]wire.ProvisionRequest, 0, len(plan))
	for _, request := range plan {
		requests = append(requests, c.requests.Add(request))
	}
	return requests
}

// provisionCalls returns how many requests for machines a scheduling cycle may make.
func (c *Controller) provisionCalls() int {
	return int(provisionCallShare * c.Config.Cluster.Cloud.Rps * c.Settings().IntervalS)
}

// awaitsFirstHeartbeats reports whether machines that may run tasks have not sent a heartbeat
// with this term's token yet. c.mu is held.
func (c *Controller) awaitsFirstHeartbeats() bool {
	found := false
	c.fleet.Each(func(m *fleet.Machine) {
		found = found || (m.State == fleet.Booting && m.LiveCount() > 0) || m.State == fleet.Confirming
	})
	return found
}

// provisionMachines sends a request for machines and retries it after errors until the cloud
// provisions some, reports that it has no capacity, or maxProvisionAttempts are used up. After that
// the request is no longer pending.
func (c *Controller) provisionMachines(ctx context.Context, request wire.ProvisionRequest) {
	backoff := c.Config.CloudListLag() / 4
	for attempt := 0; attempt < maxProvisionAttempts && ctx.Err() == nil; attempt++ {
		hosts, err := c.Cloud.Provision(ctx, request)
		if err == nil {
			slog.Info("machines provisioned", append(requestAttributes(request), "hosts", hosts)...)
			c.addProvisioned(request, hosts)
			return
		}
		slog.Info("machines cannot be provisioned", append(requestAttributes(request), "err", err)...)
		if errors.Is(err, cloud.ErrNoCapacity) {
			c.mu.Lock()
			c.refusals.Add(machineGroupOf(request), c.now())
			c.mu.Unlock()
			break
		}
		timeralign.Sleep(ctx, backoff)
		backoff *= 2
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests.Finish(request.RequestID)
}

// addProvisioned adds the machines that the cloud has provisioned to the fleet. If they are fewer than
// were requested, that counts as a refusal.
func (c *Controller) addProvisioned(request wire.ProvisionRequest, hosts []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.requests.Finish(request.RequestID)
	c.refusals.Clear(machineGroupOf(request))
	if len(hosts) < request.Count {
		c.refusals.Add(machineGroupOf(request), now)
	}
	for _, host := range hosts {
		m := c.fleet.GetOrAdd(host, now)
		m.Type, m.Zone, m.Spot = request.MachineType, request.Zone, request.Spot
		c.fleet.MarkChanged(m)
		c.setCapacity(m)
	}
}

func machineGroupOf(request wire.ProvisionRequest) autoscaler.MachineGroup {
	return autoscaler.MachineGroup{Type: request.MachineType, Zone: request.Zone, Spot: request.Spot}
}

// requestAttributes returns the log attributes that describe a request for machines.
func requestAttributes(request wire.ProvisionRequest) []any {
	return []any{
		"request", request.RequestID,
		"machine_type", request.MachineType,
		"zone", request.Zone,
		"spot", request.Spot,
		"count", request.Count,
	}
}
