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

// Limits of concurrent announcements. An announcement to a machine that is terminated or unreachable occupies a
// connection until it times out, and delays those to machines that would answer. So there must be enough concurrent
// announcements, but they must not use up the connections.
const (
	minConcurrentAnnouncements  = 16
	concurrentAnnouncementShare = 0.125   // of the machines that the token is announced to
	announcementConnectionShare = 1 / 32. // of the permitted connections, at most
	minAnnouncementsPerRound    = 2 * minConcurrentAnnouncements
)

// concurrentAnnouncements returns how many announcements are sent concurrently if there are this many machines to
// announce the token to.
func (c *Controller) concurrentAnnouncements(machines int) int {
	connectionLimit := int(announcementConnectionShare * float64(c.Config.Cluster.Limits.MaxConnections))
	return max(minConcurrentAnnouncements, min(connectionLimit, int(concurrentAnnouncementShare*float64(machines))))
}

// announceToken announces the fencing token, until ctx ends, to workers that send no heartbeats to this leader: they may
// be connected to a deposed leader that still answers them.
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
	incarnation uint64 // the newest known incarnation
}

// nextAnnouncements chooses the workers that the token is announced to next, and records the time of the announcement
// for each. It returns none in the first two heartbeat intervals of a term.
func (c *Controller) nextAnnouncements() []announcement {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now.Sub(c.startedAt) < 2*c.Config.HeartbeatInterval() {
		return nil // most workers send a heartbeat without an announcement
	}
	var announcements []announcement
	c.fleet.Each(func(m *fleet.Machine) {
		if c.needsAnnouncement(m, now) {
			announcements = append(announcements, announcement{m.ID, m.Address, newestIncarnation(m)})
		}
	})
	// The order is random, since most of the machines may have been lost together. A single worker that has the token is
	// enough to end the term of a leader that is deposed and whose lease is not renewed.
	rand.Shuffle(len(announcements), func(i, k int) {
		announcements[i], announcements[k] = announcements[k], announcements[i]
	})
	// Each round announces to a quarter of these machines: those that answer take milliseconds, and a whole fleet may be
	// connected to a deposed leader.
	roundLimit := max(minAnnouncementsPerRound, len(announcements)/4)
	announcements = announcements[:min(len(announcements), roundLimit)]
	for _, a := range announcements {
		c.announcedAt[a.host] = now
	}
	return announcements
}

// needsAnnouncement reports whether the token is to be announced to a machine: its address is known, it has sent no
// heartbeat with the token for two heartbeat intervals, and the token was not announced to it in the last three. A
// machine in state Booting must also have been listed by the cloud. c.mu is held.
func (c *Controller) needsAnnouncement(m *fleet.Machine, now time.Time) bool {
	interval := c.Config.HeartbeatInterval()
	switch {
	case m.Address == "" || m.State == fleet.Gone || m.State == fleet.Releasing:
		return false
	case m.State == fleet.Ready && now.Sub(m.LastHeartbeat) < 2*interval:
		return false
	case m.State == fleet.Booting && !m.Listed:
		return false
	}
	return now.Sub(c.announcedAt[m.ID]) >= 3*interval
}

// newestIncarnation returns the newest known incarnation of a machine, and 1 if none is known.
func newestIncarnation(m *fleet.Machine) uint64 {
	incarnation := max(m.Incarnation, m.IncarnationHint)
	m.EachAttempt(func(a *fleet.Attempt) { incarnation = max(incarnation, a.Incarnation) })
	return max(incarnation, 1)
}

// announce announces the token to a worker.
func (c *Controller) announce(ctx context.Context, a announcement) {
	answer, err := c.Worker.Announce(ctx, a.address, c.term, a.incarnation)
	if err != nil {
		slog.Debug("fencing token cannot be announced", "host", a.host, "err", err)
		return
	}
	if answer.FencingToken > c.term {
		c.Observer.TokenObserved(answer.FencingToken)
		return
	}
	if answer.FencingToken == c.term && answer.Incarnation == a.incarnation {
		c.restartHeartbeatTimeout(a.host)
	}
	// The worker is in another incarnation than this node knew and has not accepted the token: announce the token again
	// for that incarnation.
	if answer.FencingToken < c.term && answer.Incarnation != a.incarnation && strings.EqualFold(answer.Host, a.host) {
		if _, err := c.Worker.Announce(ctx, a.address, c.term, answer.Incarnation); err != nil {
			slog.Debug("fencing token cannot be announced", "host", a.host, "err", err)
		}
	}
}

// restartHeartbeatTimeout restarts the heartbeat timeout of a machine that has sent no heartbeat in this term. Its worker
// has accepted the token and is still in the newest incarnation that this node knows, so its worker lease has not
// expired: another node has renewed the lease, and the worker will soon send its heartbeats to this node.
func (c *Controller) restartHeartbeatTimeout(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.fleet.Get(host); m != nil && m.State == fleet.Booting {
		m.LastHeartbeat = c.now()
	}
}
