package controller

import (
	"context"
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/wire"
)

// minCallsBetweenLists sets the minimum time between two machine lists: the time in which the cloud
// allows this many calls. It leaves the other calls to provisioning and releases.
const minCallsBetweenLists = 8

// pollCloud reads the machine list and the catalog periodically until ctx ends. It leaves enough time
// between two lists to read all pages of a list within the cloud's call rate.
func (c *Controller) pollCloud(ctx context.Context) {
	minPeriod := max(c.Config.CloudListLag()*2/3, time.Duration(minCallsBetweenLists*float64(time.Second)/c.Config.Cluster.Cloud.Rps))
	var catalogRead time.Time
	for ctx.Err() == nil {
		if now := c.now(); catalogRead.IsZero() || now.Sub(catalogRead) > 3*c.Config.WorkerLease() {
			if c.readCatalog(ctx) {
				catalogRead = now
			}
		}
		requestedAt := c.now()
		hosts, err := c.Cloud.List(ctx)
		if err != nil {
			slog.Warn("machine list cannot be read", "err", err)
		} else {
			c.applyMachineList(hosts, requestedAt)
		}
		if !timeralign.Sleep(ctx, c.untilNext(max(minPeriod, c.Cloud.MinListDuration(len(hosts))))) {
			return
		}
	}
}

// readCatalog reads the machine types and their prices. It returns false, and the last catalog stays
// in use, if that failed or the new catalog has no machine types.
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

// applyMachineList updates the fleet from a machine list that was requested at requestedAt. A list may
// show an older state than the list before it.
func (c *Controller) applyMachineList(hosts []wire.ListedHost, requestedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	listed := make(map[string]bool, len(hosts))
	for i := range hosts {
		listed[hosts[i].UID] = true
		c.applyListedHost(&hosts[i], requestedAt, now)
	}
	c.fleet.Each(func(m *fleet.Machine) {
		if !listed[m.ID] && c.hasFailedIfUnlisted(m, now) {
			c.markFailed(m)
		}
		if listed[m.ID] && m.State == fleet.Gone {
			c.releases.StillListed(m.ID, now)
		}
	})
}

// applyListedHost updates a machine from its entry in a machine list. c.mu is held.
func (c *Controller) applyListedHost(host *wire.ListedHost, requestedAt, now time.Time) {
	m := c.fleet.GetOrAdd(host.UID, now)
	if m.State == fleet.Gone {
		return
	}
	if !m.Listed {
		m.Listed = true
		m.Type, m.Zone, m.Spot, m.Address = host.MachineType, host.Zone, host.Spot, host.Address
		created := requestedAt.Add(-time.Duration(host.AgeS * float64(time.Second)))
		if created.Before(m.FirstSeen) {
			m.FirstSeen = created
		}
		c.fleet.MarkChanged(m)
		c.setCapacity(m)
	}
	if host.Status == wire.HostFailed {
		c.markFailed(m)
	}
}

// hasFailedIfUnlisted reports whether a machine that is not in the latest list has failed. A new machine
// may be younger than the list. A machine that has been known for much longer than the lag of lists,
// whether it was ever listed or not, is in every list until it is gone. A machine that sends
// heartbeats has not failed. c.mu is held.
func (c *Controller) hasFailedIfUnlisted(m *fleet.Machine, now time.Time) bool {
	return now.Sub(m.FirstSeen) > 4*c.Config.CloudListLag()+c.Config.WorkerLease() &&
		now.Sub(m.LastHeartbeat) > 2*c.Config.HeartbeatInterval()
}

// markFailed records that a machine has stopped without being released. The next scheduling cycle
// releases it. c.mu is held.
func (c *Controller) markFailed(m *fleet.Machine) {
	if !m.Failed {
		m.Failed = true
		c.fleet.MarkChanged(m)
	}
}
