package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/cloud"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/ledger"
	"lotusstile.dev/lotusstile/internal/provision"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// rental is a request to the cloud that is not answered yet.
type rental struct{ req wire.RentRequest }

// refusal remembers that the cloud had no capacity for a group.
type refusal struct {
	until time.Time
	pause time.Duration
}

// book names a rental: the term and a counter make names that no node uses
// again.
func (c *Controller) book(r provision.Rent) *rental {
	c.rents++
	req := wire.RentRequest{Booking: fmt.Sprintf("lt-%d-%d", c.term, c.rents), Rig: r.Rig, Yard: r.Yard, Standby: r.Standby, HowMany: r.Count}
	out := &rental{req}
	c.pending[req.Booking] = out
	return out
}

// rent asks the cloud until it answers, for a while.
func (c *Controller) rent(ctx context.Context, r *rental) {
	pause := c.Config.ListLag() / 4
	group := provision.Group{Rig: r.req.Rig, Yard: r.req.Yard, Standby: r.req.Standby}
	for try := 0; try < 4 && ctx.Err() == nil; try++ {
		hosts, err := c.Cloud.Rent(ctx, r.req)
		if err == nil {
			slog.Info("rented", "booking", r.req.Booking, "rig", r.req.Rig, "yard", r.req.Yard, "standby", r.req.Standby, "asked", r.req.HowMany, "hosts", hosts)
			c.mu.Lock()
			now := c.now()
			delete(c.pending, r.req.Booking)
			delete(c.refused, group)
			if len(hosts) < r.req.HowMany {
				c.refuse(group, now)
			}
			for _, h := range hosts {
				m := c.fleet.Know(h, now)
				m.Rig, m.Yard, m.Standby = r.req.Rig, r.req.Yard, r.req.Standby
				c.capacity(m)
			}
			c.mu.Unlock()
			return
		}
		slog.Info("rental failed", "booking", r.req.Booking, "rig", r.req.Rig, "yard", r.req.Yard, "standby", r.req.Standby, "err", err)
		if errors.Is(err, cloud.ErrNoCapacity) {
			c.mu.Lock()
			c.refuse(group, c.now())
			c.mu.Unlock()
			break
		}
		sleep(ctx, pause)
		pause *= 2
	}
	c.mu.Lock()
	delete(c.pending, r.req.Booking)
	c.mu.Unlock()
}

// refuse passes a group over for a while, longer each time.
func (c *Controller) refuse(g provision.Group, now time.Time) {
	pause := min(max(c.refused[g].pause*2, c.Config.Lease()/2), 3*c.Config.Lease())
	c.refused[g] = refusal{now.Add(pause), pause}
}

// lists reads the machine list and the prices from time to time.
func (c *Controller) lists(ctx context.Context) {
	every := max(c.Config.ListLag()*2/3, time.Duration(float64(8*time.Second)/c.Config.Cluster.Cloud.Rps))
	var priced time.Time
	for ctx.Err() == nil {
		if now := c.now(); priced.IsZero() || now.Sub(priced) > 3*c.Config.Lease() {
			cat, err := c.Cloud.Catalog(ctx)
			if err != nil {
				slog.Warn("no catalog", "err", err)
			} else if len(cat.Rigs) > 0 {
				priced = now
				c.mu.Lock()
				c.cat = &cat
				c.fleet.Each(c.capacity)
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
		if !sleep(ctx, every) {
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
		seen[h.Uid] = true
		m := c.fleet.Know(h.Uid, now)
		if m.State == fleet.Gone {
			continue
		}
		if !m.Listed {
			m.Listed = true
			m.Rig, m.Yard, m.Standby, m.Address = h.Rig, h.Yard, h.Standby, h.Address
			if born := asked.Add(-time.Duration(h.AgeS * float64(time.Second))); born.Before(m.Born) {
				m.Born = born
			}
			c.capacity(m)
		}
		if h.Status == wire.HostFailed {
			m.Failed = true
		}
	}
	c.fleet.Each(func(m *fleet.Machine) {
		// Once listed, a machine stays listed until it is gone. A list may be
		// old, but not older than a machine that was listed long ago.
		// The same goes for one that has been known for that long and never was.
		if !seen[m.ID] && now.Sub(m.Born) > 4*c.Config.ListLag()+c.Config.Lease() && now.Sub(m.Heard) > 2*c.Config.ReportEvery() {
			m.Failed = true
		}
		if ret := c.returns[m.ID]; ret != nil && m.State == fleet.Gone && seen[m.ID] {
			ret.goneAt = now // still listed: keep its record
		}
	})
}

// hear notes the machines that other nodes answer: they are not silent.
func (c *Controller) hear(now time.Time) {
	for _, id := range c.Heard() {
		if m := c.fleet.Get(id); m != nil {
			m.Heard = now
		}
	}
}

// hearKept listens to followers that are cut off from this node, but not from
// the state service: the machines that they answer are alive. Without this,
// every machine behind a cut between zones was returned with all it served.
func (c *Controller) hearKept(ctx context.Context) {
	hold, pause := c.Config.Lease(), c.Config.ReportEvery()
	ledger.Follow(ctx, c.Store, ledger.KeptPrefix, hold, pause, func([]wire.Item, uint64) {}, func(n wire.News) {
		var kept ledger.Kept
		if n.Set == "" {
			return
		}
		if err := json.Unmarshal(n.Value, &kept); err != nil {
			slog.Warn("kept machines cannot be read", "key", n.Set, "err", err)
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		now := c.now()
		for _, id := range kept.Hosts {
			if m := c.fleet.Get(id); m != nil {
				m.Heard = now
			}
		}
	})
}

// excuse gives every machine the time again that it has to report: a leader
// that stood still does not know who reported meanwhile.
func (c *Controller) excuse(now time.Time) {
	slog.Warn("stood still", "term", c.term, "for", now.Sub(c.lastAt).String())
	c.steady = now
	c.fleet.Each(func(m *fleet.Machine) { m.Heard, m.Reported = now, now })
}

// silence is how many machines of a zone are silent.
type silence struct {
	total  int
	quiet  int // for over three intervals of reports
	hushed int // for over two
}

// relayed reports whether so many machines report by way of other nodes that
// this node's own links to the workers may have failed. Those that did not find
// another node yet are then not lost: each that they try in vain costs them
// several intervals.
func (c *Controller) relayed(now time.Time) bool {
	n, total := 0, 0
	c.fleet.Each(func(m *fleet.Machine) {
		if m.State != fleet.Gone {
			total++
		}
		if !m.Relayed.IsZero() && now.Sub(m.Relayed) < c.Config.Lease() {
			n++
		}
	})
	return n > max(1, total/16)
}

// silences counts by zone who reports here: machines that a follower answers are
// behind the same cut as those that still look for a node. Under the empty name
// it counts all: that is how machines are judged of which a new leader knows no
// zone. They are no zone of their own: 62 spot machines that had been taken, and
// would never be listed again, were held for one that was cut off.
func (c *Controller) silences(now time.Time) map[string]silence {
	every := c.Config.ReportEvery()
	zones := map[string]silence{}
	c.fleet.Each(func(m *fleet.Machine) {
		if m.State == fleet.Returning || m.State == fleet.Gone || m.State == fleet.Booting && m.LiveCount() == 0 {
			return
		}
		silent := now.Sub(m.Reported)
		for _, yard := range slices.Compact([]string{"", m.Yard}) {
			z := zones[yard]
			z.total++
			if silent > 3*every {
				z.quiet++
			}
			if silent > 2*every {
				z.hushed++
			}
			zones[yard] = z
		}
	})
	return zones
}

// workerTry is what a node that does not answer costs a worker, as the protocol
// has it: it waits 4 s for the answer and tries the next node 1 s later.
const workerTry = 5 * time.Second

// condemn decides which machines to return because they are lost.
func (c *Controller) condemn(now time.Time) {
	every, lease := c.Config.ReportEvery(), c.Config.Lease()
	zones, reached := c.silences(now), c.Reached()
	// Most machines of a zone that fall silent together are cut off rather than
	// lost, if no controller there is reached either: what they run may go on,
	// and they will be back. Where a controller is reached, they are lost.
	for yard, z := range zones {
		if yard != "" && z.quiet > 2 && 2*z.quiet > z.total && !slices.Contains(reached, yard) {
			c.cutOff[yard] = now
		}
	}
	// When a cut ends, machines come back one after the other: the last ones
	// must not be taken for lost because the others are back.
	cutOff := func(m *fleet.Machine) bool {
		at, ok := c.cutOff[m.Yard]
		return ok && now.Sub(at) < lease
	}
	// The first machines behind a cut are quiet for three intervals while the
	// last ones have just missed a report: counting only the quiet ones, a
	// leader returned 17 of 90 before it saw that there was a cut. Up to half of
	// a zone counts as lost: if it is their network that failed, their leases
	// end anyway, and what they ran is down for as long later instead. Only if
	// it may be this node's own links, no more than an eighth does: a leader
	// that had lost the workers returned 150 of 330 on their way to its peers.
	part := 2
	if c.relayed(now) {
		part = 8
	}
	lost := func(m *fleet.Machine) bool {
		z := zones[m.Yard]
		return !cutOff(m) && z.hushed <= max(1, z.total/part)
	}
	// Behind a cut, a node without the state service stops renewing leases in
	// time for withdrawn tasks to die: after this, nothing there runs on.
	over := time.Duration(c.Config.Cluster.Workers.CancelS * float64(time.Second))
	// How long a worker may look for a new leader: it learns with its next report
	// that a node is gone, and each that does not answer costs it one try.
	search := every*5/4 + time.Duration(max(1, len(c.Config.Members)+1-len(reached)))*workerTry
	settled := now.Sub(c.steady) > 2*lease
	c.fleet.Each(func(m *fleet.Machine) {
		switch {
		case m.State == fleet.Returning || m.State == fleet.Gone:
		case m.Failed:
			c.giveUp(m, now, "failed")
		case m.State == fleet.Silent && (!cutOff(m) || now.Sub(m.Heard) > over):
			c.giveUp(m, now, "silent")
		case lost(m) && (m.State == fleet.Ready && now.Sub(c.steady) > lease && now.Sub(m.Heard) > 3*every ||
			m.State == fleet.Booting && m.LiveCount() > 0 && now.Sub(m.Heard) > search):
			// Some machines fall silent while the others go on: they have
			// stopped, hang or are cut off, and by the time they come back
			// their leases have ended. Waiting would only cost time. Those that
			// a new leader has not heard yet may still be looking for it, and
			// get a little longer.
			c.giveUp(m, now, "silent while others report")
		case m.State == fleet.Booting && m.LiveCount() == 0:
			boot := 60.0
			if r := c.rig(m.Rig); r != nil {
				boot = r.BootS
			}
			if now.Sub(m.Born).Seconds() > 3.5*boot && settled {
				c.giveUp(m, now, "never came up")
			}
		case m.Warned && m.LiveCount() == 0 && m.State == fleet.Ready:
			c.giveUp(m, now, "is being taken back")
		}
		if m.Warned {
			m.Each(func(a *fleet.Attempt) {
				if j := c.jobs[a.Uid]; j != nil && a.Live() && !a.Stopping {
					c.stop(a, j.rec.Spec.StowS+c.Config.Cluster.Workers.ReportS, now, "spot notice")
				}
			})
		}
	})
}

// imageNote is how many images of a machine are recorded, and since when.
type imageNote struct {
	images int
	at     time.Time
}

// noteImages records which images machines have, so that a new leader knows
// where starts are quick. It loses nothing but time if it is late or fails.
func (c *Controller) noteImages(ctx context.Context) {
	for sleep(ctx, c.Config.ReportEvery()) {
		c.mu.Lock()
		now := c.now()
		tx := wire.Commit{Guards: []wire.Guard{{Key: ledger.LeaderKey, Stamp: c.term}}}
		noted := map[string]imageNote{}
		most := max(1, int(c.Config.Cluster.State.WriteRps/8))
		c.fleet.Each(func(m *fleet.Machine) {
			if m.State == fleet.Ready && len(m.Images) > c.noted[m.ID].images && now.Sub(c.noted[m.ID].at) > c.Config.Lease() && len(tx.Apply) < most {
				noted[m.ID] = imageNote{len(m.Images), now}
				names := slices.Sorted(maps.Keys(m.Images))
				tx.Apply = append(tx.Apply, wire.Change{Set: ledger.ImagesKey(m.ID), Value: ledger.Encode(ledger.Images{Names: names[:min(len(names), 16)]})})
			}
		})
		c.mu.Unlock()
		if len(tx.Apply) == 0 {
			continue
		}
		if _, err := c.Store.Commit(store.Note(ctx), tx); err != nil {
			c.checkDeposed(err)
			continue
		}
		c.mu.Lock()
		maps.Copy(c.noted, noted)
		c.mu.Unlock()
	}
}

// checkDeposed ends the term if a commit failed because of the leader's key.
func (c *Controller) checkDeposed(err error) {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) && slices.Contains(conflict.Failed, ledger.LeaderKey) {
		c.depose("the leader's key has changed")
	}
}

// announceSlots is how many announcements are under way at a time. Each to a
// machine that is gone or cut off holds one until it times out.
const announceSlots = 16

// announcing tells the token to workers that do not report: they may sit at a
// deposed leader that still answers them.
func (c *Controller) announcing(ctx context.Context) {
	every := c.Config.ReportEvery()
	slots := make(chan struct{}, announceSlots)
	for sleep(ctx, every/2) {
		var wg sync.WaitGroup
		for _, t := range c.toAnnounce() {
			slots <- struct{}{}
			wg.Add(1)
			go func() {
				defer func() { <-slots; wg.Done() }()
				c.announce(ctx, t)
			}()
		}
		wg.Wait()
	}
}

type announcement struct {
	host, address string
	shift         uint64
}

func (c *Controller) toAnnounce() []announcement {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	every := c.Config.ReportEvery()
	if now.Sub(c.begun) < 2*every {
		return nil // most report by themselves
	}
	var ts []announcement
	c.fleet.Each(func(m *fleet.Machine) {
		if m.Address == "" || m.State == fleet.Gone || m.State == fleet.Returning {
			return
		}
		if m.State == fleet.Ready && now.Sub(m.Heard) < 2*every {
			return
		}
		if m.State == fleet.Booting && !m.Listed || now.Sub(c.told[m.ID]) < 3*every {
			return
		}
		shift := m.Shift
		m.Each(func(a *fleet.Attempt) { shift = max(shift, a.Shift) })
		ts = append(ts, announcement{m.ID, m.Address, max(shift, 1)})
	})
	// Any of them, for most may be gone together: one that answers is enough to
	// end the term of a leader that is deposed and does not know.
	rand.Shuffle(len(ts), func(i, k int) { ts[i], ts[k] = ts[k], ts[i] })
	ts = ts[:min(len(ts), 2*announceSlots)]
	for _, t := range ts {
		c.told[t.host] = now
	}
	return ts
}

func (c *Controller) announce(ctx context.Context, t announcement) {
	r, err := c.Worker.Announce(ctx, t.address, c.term, t.shift)
	if err != nil {
		slog.Debug("token not announced", "host", t.host, "err", err)
		return
	}
	if r.Baton > c.term {
		c.Saw(r.Baton)
		c.depose("a worker has seen a higher token")
		return
	}
	if r.Baton < c.term && r.Shift != t.shift && strings.EqualFold(r.Host, t.host) {
		if _, err := c.Worker.Announce(ctx, t.address, c.term, r.Shift); err != nil {
			slog.Debug("token not announced", "host", t.host, "err", err)
		}
	}
}
