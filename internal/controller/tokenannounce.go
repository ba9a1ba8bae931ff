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

// Limits of the announcements that are sent at a time. An announcement to a machine that is gone
// or cut off occupies a connection until it times out, and those to machines that would answer
// wait behind it; so there must be enough of them, but they must not use up the connections.
const (
	minConcurrentAnnouncements  = 16
	concurrentAnnouncementShare = 0.125   // of the machines that the token is announced to
	announcementConnectionShare = 1 / 32. // of the connections, at most
	minAnnouncementsPerTurn     = 2 * minConcurrentAnnouncements
)

// concurrentAnnouncements returns how many announcements are sent at a time, of those to this many
// machines.
func (c *Controller) concurrentAnnouncements(machines int) int {
	most := int(announcementConnectionShare * float64(c.Config.Cluster.Limits.MaxConnections))
	return max(minConcurrentAnnouncements, min(most, int(concurrentAnnouncementShare*float64(machines))))
}

// announceToken announces the fencing token to workers that send no heartbeats, until ctx ends:
// they may be connected to a deposed leader that still answers them.
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

// nextAnnouncements chooses the workers that the token is announced to next, and records that it
// is. There are none in the first two heartbeat intervals of a term.
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
	most := max(minAnnouncementsPerTurn, len(announcements)/4)
	announcements = announcements[:min(len(announcements), most)]
	for _, a := range announcements {
		c.announcedAt[a.host] = now
	}
	return announcements
}

// needsAnnouncement reports whether the token is to be announced to a machine: its address is known,
// it has sent no heartbeat with the token for two intervals, and there was no announcement to it
// within three. A machine that is Booting must have been listed by the cloud. c.mu is held.
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
		c.restartBootTimeout(a.host)
	}
	// The worker is at another incarnation than is known here and has not accepted the token: it is
	// announced again for that one.
	if r.FencingToken < c.term && r.Incarnation != a.incarnation && strings.EqualFold(r.Host, a.host) {
		if _, err := c.Worker.Announce(ctx, a.address, c.term, r.Incarnation); err != nil {
			slog.Debug("fencing token cannot be announced", "host", a.host, "err", err)
		}
	}
}

// restartBootTimeout restarts the timeout of a machine that has sent no heartbeat in this term. It has
// accepted the token in the incarnation that its tasks are known from, so its worker lease has not
// ended: another node has renewed it, and the worker is about to send its heartbeats here.
func (c *Controller) restartBootTimeout(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.fleet.Get(host); m != nil && m.State == fleet.Booting {
		m.LastHeartbeat = c.now()
	}
}
