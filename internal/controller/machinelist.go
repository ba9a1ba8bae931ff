package controller

import (
	"context"
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/wire"
)

// callsPerList is how many of the calls that the cloud allows go by from list to list at least.
const callsPerList = 8

// followCloud reads the machine list and the catalog from time to time: the list no more often
// than its pages can be read without a pause.
func (c *Controller) followCloud(ctx context.Context) {
	least := max(c.Config.ListLag()*2/3, time.Duration(callsPerList*float64(time.Second)/c.Config.Cluster.Cloud.Rps))
	var catalogRead time.Time
	for ctx.Err() == nil {
		if now := c.now(); catalogRead.IsZero() || now.Sub(catalogRead) > 3*c.Config.WorkerLease() {
			if c.readCatalog(ctx) {
				catalogRead = now
			}
		}
		asked := c.now()
		hosts, err := c.Cloud.List(ctx)
		if err != nil {
			slog.Warn("machine list cannot be read", "err", err)
		} else {
			c.applyMachineList(hosts, asked)
		}
		if !timeralign.Sleep(ctx, c.untilNext(max(least, c.Cloud.MinListDuration(len(hosts))))) {
			return
		}
	}
}

// readCatalog reads the machine types and their prices. It reports whether there are any.
func (c *Controller) readCatalog(ctx context.Context) bool {
	catalog, err := c.Cloud.Catalog(ctx)
	if err != nil {
		slog.Warn("catalog cannot be read", "err", err)
		return false
	}
	if len(catalog.MachineTypes) == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.catalog = &catalog
	c.fleet.Each(c.setCapacity)
	c.fleet.Each(c.fleet.MarkChanged) // prices may have changed
	return true
}

// applyMachineList brings the fleet up to date by a machine list that was asked for at asked. The
// list may be older than the last one.
func (c *Controller) applyMachineList(hosts []wire.ListedHost, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	listed := make(map[string]bool, len(hosts))
	for i := range hosts {
		listed[hosts[i].UID] = true
		c.applyListedHost(&hosts[i], asked, now)
	}
	c.fleet.Each(func(m *fleet.Machine) {
		if !listed[m.ID] && c.shouldBeListed(m, now) {
			c.markFailed(m)
		}
		if listed[m.ID] && m.State == fleet.Gone {
			c.releases.StillListed(m.ID, now)
		}
	})
}

// applyListedHost brings a machine up to date by its line of a machine list. c.mu is held.
func (c *Controller) applyListedHost(host *wire.ListedHost, asked, now time.Time) {
	m := c.fleet.GetOrAdd(host.UID, now)
	if m.State == fleet.Gone {
		return
	}
	if !m.Listed {
		m.Listed = true
		m.Type, m.Zone, m.Spot, m.Address = host.MachineType, host.Zone, host.Spot, host.Address
		if born := asked.Add(-time.Duration(host.AgeS * float64(time.Second))); born.Before(m.FirstSeen) {
			m.FirstSeen = born
		}
		c.fleet.MarkChanged(m)
		c.setCapacity(m)
	}
	if host.Status == wire.HostFailed {
		c.markFailed(m)
	}
}

// shouldBeListed reports whether every list shows a machine unless it is gone. Once listed, a
// machine stays listed until it is gone. A list may be old, but not older than a machine that was
// listed long ago. The same goes for one that has been known for that long and never was.
func (c *Controller) shouldBeListed(m *fleet.Machine, now time.Time) bool {
	return now.Sub(m.FirstSeen) > 4*c.Config.ListLag()+c.Config.WorkerLease() &&
		now.Sub(m.LastHeartbeat) > 2*c.Config.HeartbeatInterval()
}

// markFailed records that a machine has stopped on its own. c.mu is held.
func (c *Controller) markFailed(m *fleet.Machine) {
	if !m.Failed {
		m.Failed = true
		c.fleet.MarkChanged(m)
	}
}
