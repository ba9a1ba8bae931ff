package controller

import (
	"context"
	"log/slog"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"math/rand/v2"
	"strings"
	"sync"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// How many announcements are under way at a time: each to a machine that is gone or cut off
// holds a connection until it times out, and those that would answer wait behind them.
const (
	leastAnnouncements  = 16
	announcementsOfAll  = 0.125   // of the machines that are to be told
	announcementsSocket = 1 / 32. // of the connections, at most
)

// announcements is how many announcements to so many machines are under way at a time.
func (c *Controller) announcements(machines int) int {
	most := int(announcementsSocket * float64(c.Config.Cluster.Limits.MaxConnections))
	return max(leastAnnouncements, min(most, int(announcementsOfAll*float64(machines))))
}

// announcing tells the token to workers that do not report: they may sit at a
// deposed leader that still answers them.
func (c *Controller) announcing(ctx context.Context) {
	every := c.Config.HeartbeatInterval()
	for timeralign.Sleep(ctx, c.untilNext(every/2)) {
		var wg sync.WaitGroup
		targets := c.toAnnounce()
		slots := make(chan struct{}, c.announcements(len(targets)))
		for _, t := range targets {
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
	session       uint64
}

func (c *Controller) toAnnounce() []announcement {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	every := c.Config.HeartbeatInterval()
	if now.Sub(c.startedAt) < 2*every {
		return nil // most report by themselves
	}
	var ts []announcement
	c.fleet.Each(func(m *fleet.Machine) {
		if m.Address == "" || m.State == fleet.Gone || m.State == fleet.Returning {
			return
		}
		if m.State == fleet.Ready && now.Sub(m.LastHeartbeat) < 2*every {
			return
		}
		if m.State == fleet.Booting && !m.Listed || now.Sub(c.announced[m.ID]) < 3*every {
			return
		}
		incarnation := max(m.Incarnation, m.IncarnationHint)
		m.Each(func(a *fleet.Attempt) { incarnation = max(incarnation, a.Incarnation) })
		ts = append(ts, announcement{m.ID, m.Address, max(incarnation, 1)})
	})
	// Any of them, for most may be gone together: one that answers is enough to
	// end the term of a leader that is deposed and does not know.
	rand.Shuffle(len(ts), func(i, k int) { ts[i], ts[k] = ts[k], ts[i] })
	// A quarter of them at a time: those that answer take milliseconds, and a whole
	// fleet may sit at a deposed leader.
	ts = ts[:min(len(ts), max(2*leastAnnouncements, len(ts)/4))]
	for _, t := range ts {
		c.announced[t.host] = now
	}
	return ts
}

func (c *Controller) announce(ctx context.Context, t announcement) {
	r, err := c.Worker.Announce(ctx, t.address, c.term, t.session)
	if err != nil {
		slog.Debug("token not announced", "host", t.host, "err", err)
		return
	}
	if r.FencingToken > c.term {
		c.Observer.TermObserved(r.FencingToken)
		c.stepDown("a worker has seen a higher token")
		return
	}
	if r.FencingToken == c.term && r.Incarnation == t.session {
		c.alive(t.host)
	}
	if r.FencingToken < c.term && r.Incarnation != t.session && strings.EqualFold(r.Host, t.host) {
		if _, err := c.Worker.Announce(ctx, t.address, c.term, r.Incarnation); err != nil {
			slog.Debug("token not announced", "host", t.host, "err", err)
		}
	}
}

// alive notes that a machine which has not reported in this term has taken the
// token in the session that its tasks are known from: another node has kept its
// lease, and it is on its way here.
func (c *Controller) alive(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.fleet.Get(host); m != nil && m.State == fleet.Booting {
		m.LastHeartbeat = c.now()
	}
}
