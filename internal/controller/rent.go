package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/cloud"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/provision"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/wire"
)

// provisionRequest is a request to the cloud that is not answered yet.
type provisionRequest struct{ req wire.ProvisionRequest }

// refusal remembers that the cloud had no capacity for a group.
type refusal struct {
	until time.Time
	pause time.Duration
}

// book names a rental: the term and a counter make names that no node uses
// again.
func (c *Controller) book(r provision.Request) *provisionRequest {
	c.provisionCounter++
	req := wire.ProvisionRequest{RequestID: fmt.Sprintf("lt-%d-%d", c.term, c.provisionCounter), MachineType: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count}
	out := &provisionRequest{req}
	c.pendingRequests[req.RequestID] = out
	return out
}

// provisionMachines asks the cloud until it answers, for a while.
func (c *Controller) provisionMachines(ctx context.Context, r *provisionRequest) {
	pause := c.Config.ListLag() / 4
	group := provision.MachineGroup{Type: r.req.MachineType, Zone: r.req.Zone, Spot: r.req.Spot}
	for attempt := 0; attempt < 4 && ctx.Err() == nil; attempt++ {
		hosts, err := c.Cloud.Provision(ctx, r.req)
		if err == nil {
			slog.Info("rented", "booking", r.req.RequestID, "rig", r.req.MachineType, "yard", r.req.Zone, "standby", r.req.Spot, "asked", r.req.Count, "hosts", hosts)
			c.mu.Lock()
			now := c.now()
			delete(c.pendingRequests, r.req.RequestID)
			delete(c.refused, group)
			if len(hosts) < r.req.Count {
				c.refuse(group, now)
			}
			for _, h := range hosts {
				m := c.fleet.GetOrAdd(h, now)
				m.Type, m.Zone, m.Spot = r.req.MachineType, r.req.Zone, r.req.Spot
				c.fleet.MarkChanged(m)
				c.setCapacity(m)
			}
			c.mu.Unlock()
			return
		}
		slog.Info("rental failed", "booking", r.req.RequestID, "rig", r.req.MachineType, "yard", r.req.Zone, "standby", r.req.Spot, "err", err)
		if errors.Is(err, cloud.ErrNoCapacity) {
			c.mu.Lock()
			c.refuse(group, c.now())
			c.mu.Unlock()
			break
		}
		timeralign.Sleep(ctx, pause)
		pause *= 2
	}
	c.mu.Lock()
	delete(c.pendingRequests, r.req.RequestID)
	c.mu.Unlock()
}

// refuse passes a group over for a while, longer each time.
func (c *Controller) refuse(g provision.MachineGroup, now time.Time) {
	pause := min(max(c.refused[g].pause*2, c.Config.WorkerLease()/2), 3*c.Config.WorkerLease())
	c.refused[g] = refusal{now.Add(pause), pause}
}

// lists reads the machine list and the prices from time to time: the list no more often than
// its pages can be read without a pause.
func (c *Controller) lists(ctx context.Context) {
	least := max(c.Config.ListLag()*2/3, time.Duration(float64(8*time.Second)/c.Config.Cluster.Cloud.Rps))
	var priced time.Time
	for ctx.Err() == nil {
		if now := c.now(); priced.IsZero() || now.Sub(priced) > 3*c.Config.WorkerLease() {
			cat, err := c.Cloud.Catalog(ctx)
			if err != nil {
				slog.Warn("no catalog", "err", err)
			} else if len(cat.MachineTypes) > 0 {
				priced = now
				c.mu.Lock()
				c.catalog = &cat
				c.fleet.Each(c.setCapacity)
				c.fleet.Each(c.fleet.MarkChanged) // prices
				c.mu.Unlock()
			}
		}
		asked := c.now()
		hosts, err := c.Cloud.List(ctx)
		if err != nil {
			slog.Warn("no machine list", "err", err)
		} else {
			c.listed(hosts, asked)
		}
		if !timeralign.Sleep(ctx, c.untilNext(max(least, c.Cloud.MinListDuration(len(hosts))))) {
			return
		}
	}
}

// listed takes a machine list into the picture. It may be older than the last.
func (c *Controller) listed(hosts []wire.ListedHost, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	seen := make(map[string]bool, len(hosts))
	for i := range hosts {
		h := &hosts[i]
		seen[h.UID] = true
		m := c.fleet.GetOrAdd(h.UID, now)
		if m.State == fleet.Gone {
			continue
		}
		if !m.Listed {
			m.Listed = true
			m.Type, m.Zone, m.Spot, m.Address = h.MachineType, h.Zone, h.Spot, h.Address
			if born := asked.Add(-time.Duration(h.AgeS * float64(time.Second))); born.Before(m.FirstSeen) {
				m.FirstSeen = born
			}
			c.fleet.MarkChanged(m)
			c.setCapacity(m)
		}
		if h.Status == wire.HostFailed {
			c.failed(m)
		}
	}
	c.fleet.Each(func(m *fleet.Machine) {
		// Once listed, a machine stays listed until it is gone. A list may be
		// old, but not older than a machine that was listed long ago.
		// The same goes for one that has been known for that long and never was.
		if !seen[m.ID] && now.Sub(m.FirstSeen) > 4*c.Config.ListLag()+c.Config.WorkerLease() && now.Sub(m.LastHeartbeat) > 2*c.Config.HeartbeatInterval() {
			c.failed(m)
		}
		if ret := c.returns[m.ID]; ret != nil && m.State == fleet.Gone && seen[m.ID] {
			ret.goneAt = now // still listed: keep its record
		}
	})
}

// failed notes that a machine has stopped on its own.
func (c *Controller) failed(m *fleet.Machine) {
	if !m.Failed {
		m.Failed = true
		c.fleet.MarkChanged(m)
	}
}
