package controller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/timeralign"
)

// How many announcements are sent at a time: each to a machine that is gone or cut off holds a
// connection until it times out, and those to machines that would answer wait behind them.
const (
	minConcurrentAnnouncements = 16
	announcedShare             = 0.125   // of the machines that the token is announced to
	announcementConnections    = 1 / 32. // of the connections, at most
)

// concurrentAnnouncements is how many announcements to so many machines are sent at a time.
func (c *Controller) concurrentAnnouncements(machines int) int {
	most := int(announcementConnections * float64(c.Config.Cluster.Limits.MaxConnections))
	return max(minConcurrentAnnouncements, min(most, int(announcedShare*float64(machines))))
}

// announceToken announces the fencing token to workers that send no heartbeats: they may be
// connected to a deposed leader that still answers them.
func (c *Controller) announceToken(ctx context.Context) {
	interval := c.Config.HeartbeatInterval()
	for timeralign.Sleep(ctx, c.untilNext(interval/2)) {
		var wg sync.WaitGroup
		announcements := c.nextAnnouncements()
		slots := make(chan struct{}, c.concurrentAnnouncements(len(announcements)))
		for _, a := range announcements {
			slots <- struct{}{}
			wg.Add(1)
			go func() {
				defer func() { <-slots; wg.Done() }()
				c.announce(ctx, a)
			}()
		}
		wg.Wait()
	}
}

// announcement is a worker that the token is announced to.
type announcement struct {
	host        string
	address     string
	incarnation uint64 // the newest that is known
}

// nextAnnouncements chooses the workers that the token is announced to next.
func (c *Controller) nextAnnouncements() []announcement {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now.Sub(c.startedAt) < 2*c.Config.HeartbeatInterval() {
		return nil // most send a heartbeat by themselves
	}
	var announcements []announcement
	c.fleet.Each(func(m *fleet.Machine) {
		if c.needsAnnouncement(m, now) {
			announcements = append(announcements, announcement{m.ID, m.Address, newestIncarnation(m)})
		}
	})
	// In random order, since most of them may be gone together: one that answers is enough to
	// end the term of a leader that is deposed and does not know.
	rand.Shuffle(len(announcements), func(i, k int) {
		announcements[i], announcements[k] = announcements[k], announcements[i]
	})
	// A quarter of them at a time: those that answer take milliseconds, and a whole fleet may
	// be connected to a deposed leader.
	most := max(2*minConcurrentAnnouncements, len(announcements)/4)
	announcements = announcements[:min(len(announcements), most)]
	for _, a := range announcements {
		c.announcedAt[a.host] = now
	}
	return announcements
}

// needsAnnouncement reports whether a machine can be reached, has sent no heartbeat for two
// intervals, and has not been sent the token within three.
func (c *Controller) needsAnnouncement(m *fleet.Machine, now time.Time) bool {
	interval := c.Config.HeartbeatInterval()
	switch {
	case m.Address == "" || m.State == fleet.Gone || m.State == fleet.Returning:
		return false
	case m.State == fleet.Ready && now.Sub(m.LastHeartbeat) < 2*interval:
		return false
	case m.State == fleet.Booting && !m.Listed:
		return false
	}
	return now.Sub(c.announcedAt[m.ID]) >= 3*interval
}

// newestIncarnation is the newest incarnation of a machine that is known, and at least 1.
func newestIncarnation(m *fleet.Machine) uint64 {
	incarnation := max(m.Incarnation, m.IncarnationHint)
	m.Each(func(a *fleet.Attempt) { incarnation = max(incarnation, a.Incarnation) })
	return max(incarnation, 1)
}

// announce announces the token to a worker. It ends the term if the worker has seen a higher one.
func (c *Controller) announce(ctx context.Context, a announcement) {
	r, err := c.Worker.Announce(ctx, a.address, c.term, a.incarnation)
	if err != nil {
		slog.Debug("fencing token cannot be announced", "host", a.host, "err", err)
		return
	}
	if r.FencingToken > c.term {
		c.Observer.TermObserved(r.FencingToken)
		c.stepDown("a worker has seen a higher token")
		return
	}
	if r.FencingToken == c.term && r.Incarnation == a.incarnation {
		c.extendBoot(a.host)
	}
	if r.FencingToken < c.term && r.Incarnation != a.incarnation && strings.EqualFold(r.Host, a.host) {
		if _, err := c.Worker.Announce(ctx, a.address, c.term, r.Incarnation); err != nil {
			slog.Debug("fencing token cannot be announced", "host", a.host, "err", err)
		}
	}
}

// extendBoot gives a machine that has sent no heartbeat in this term the time again to send one.
// It has taken the token in the incarnation that its tasks are known from: another node has
// renewed its lease, and it is on its way here.
func (c *Controller) extendBoot(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.fleet.Get(host); m != nil && m.State == fleet.Booting {
		m.LastHeartbeat = c.now()
	}
}
