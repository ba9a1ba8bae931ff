package controller

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// noteRenewedByPeers notes the machines that other nodes answer: they are not silent.
func (c *Controller) noteRenewedByPeers(now time.Time) {
	for _, id := range c.Peers.RenewedHosts() {
		if m := c.fleet.Get(id); m != nil {
			m.LastHeartbeat = now
		}
	}
}

// followRenewedLeases listens to followers that are cut off from this node, but not from
// the state service: the machines that they answer are alive. Without this,
// every machine behind a cut between zones was returned with all it served.
func (c *Controller) followRenewedLeases(ctx context.Context) {
	wait, pause := c.Config.WorkerLease(), c.Config.HeartbeatInterval()
	watchcache.Follow(ctx, c.Store, records.RenewedLeasesPrefix, wait, pause, watchcache.Funcs{Changed: func(n wire.WatchEvent) {
		var retained records.RenewedLeases
		if n.Set == "" {
			return
		}
		if err := wire.Decode(n.Value, &retained); err != nil {
			slog.Warn("kept machines cannot be read", "key", n.Set, "err", err)
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		now := c.now()
		for _, id := range retained.Hosts {
			if m := c.fleet.Get(id); m != nil {
				m.LastHeartbeat = now
			}
		}
	}})
}

// resetLiveness gives every machine the time again that it has to report: a leader
// that stood still does not know who reported meanwhile.
func (c *Controller) resetLiveness(now time.Time) {
	c.steady = now
	c.fleet.Each(func(m *fleet.Machine) { m.LastHeartbeat, m.LastHeartbeatHere = now, now })
}

// pauseLiveness judges no silence while this node answers no reports, since what it
// knows of withdrawals is too old: it then hears nobody, and when it answers
// again the workers come back one after the other. After an outage of a minute a
// leader had given up 550 of 700 machines.
func (c *Controller) pauseLiveness(now time.Time) {
	paused := now.Sub(c.JobCache.Fresh()) > c.Config.KnowledgeLimit()
	if paused != c.answersPaused {
		slog.Warn("reports are not answered on old knowledge", "term", c.term, "paused", paused)
	}
	if c.answersPaused = paused; paused {
		c.resetLiveness(now)
	}
}

// silence is how many machines of a zone, or of a controller, are silent.
type silence struct {
	total      int
	longSilent int // for over three intervals of reports
	silent     int // for over two
}

// liveness is what one look at all machines tells of who reports.
type liveness struct {
	// zones counts by zone who reports here: machines that a follower answers are behind the
	// same cut as those that still look for a node. Under the empty name it counts all: that
	// is how machines are judged of which a new leader knows no zone. They are no zone of
	// their own: 62 spot machines that had been taken, and would never be listed again, were
	// held for one that was cut off.
	zones map[string]*silence
	// carriers counts by the controller that answers them, "" for this one, machines that
	// have reported in this term. While followers relay reports, those of one controller
	// are a few of a zone or of the fleet, and most of them silent at once means that it has
	// lost its links.
	carriers map[string]*silence
	newest   map[string]time.Time // newest report by carrier
	relayed  int                  // machines that reported by way of other nodes in the last lease
	total    int                  // machines that are not gone
}

// lookAround looks at all machines once.
func (c *Controller) lookAround(now time.Time) *liveness {
	every, lease := c.Config.HeartbeatInterval(), c.Config.WorkerLease()
	l := &liveness{zones: map[string]*silence{}, carriers: map[string]*silence{}, newest: map[string]time.Time{}}
	all := silenceOf(l.zones, "")
	c.fleet.Each(func(m *fleet.Machine) {
		if m.State != fleet.Gone {
			l.total++
		}
		if !m.LastRelayedHeartbeat.IsZero() && now.Sub(m.LastRelayedHeartbeat) < lease {
			l.relayed++
		}
		if m.LastHeartbeatHere.After(l.newest[m.RelayedBy]) {
			l.newest[m.RelayedBy] = m.LastHeartbeatHere
		}
		silent := now.Sub(m.LastHeartbeatHere)
		if m.State == fleet.Ready || m.State == fleet.Confirming {
			silenceOf(l.carriers, m.RelayedBy).count(silent, every)
		}
		if m.State == fleet.Returning || m.State == fleet.Gone || m.State == fleet.Booting && m.LiveCount() == 0 {
			return
		}
		all.count(silent, every)
		if m.Zone != "" {
			silenceOf(l.zones, m.Zone).count(silent, every)
		}
	})
	return l
}

func silenceOf(counts map[string]*silence, name string) *silence {
	s := counts[name]
	if s == nil {
		s = &silence{}
		counts[name] = s
	}
	return s
}

func (s *silence) count(silent, every time.Duration) {
	s.total++
	if silent > 3*every {
		s.longSilent++
	}
	if silent > 2*every {
		s.silent++
	}
}

// most reports whether more than a part of the machines are silent, and more than one.
func (s *silence) most(part int) bool { return s != nil && s.silent > max(1, s.total/part) }

// manyRelayed reports whether so many machines report by way of other nodes that
// this node's own links to the workers may have failed. Those that did not find
// another node yet are then not lost: each that they try in vain costs them
// several intervals.
func (l *liveness) manyRelayed() bool { return l.relayed > max(1, l.total/16) }

// onlyHere reports whether this node is the only carrier.
func onlyHere[T any](byCarrier map[string]T) bool {
	_, here := byCarrier[""]
	return here && len(byCarrier) == 1
}

// noteUnreachableRelays notes, while followers relay reports, which controllers seem to have lost
// their links: followers that are not reached, and every controller, this one included as
// "", none of whose machines has reported for half of a report's interval. Pings tell of the
// loss only after the first of its machines have been silent for three intervals, and
// counting who is silent does not always tell by then: with 18 machines of its own, a leader
// that had lost them gave up the first one in 7 % of the runs, since just under half of the
// others had been silent for two intervals.
func (c *Controller) noteUnreachableRelays(l *liveness, now time.Time) {
	if onlyHere(l.newest) {
		return
	}
	for via, reported := range l.newest {
		if now.Sub(reported) > c.Config.HeartbeatInterval()/2 || via != "" && !c.Peers.RelayReached(via) {
			c.relayUnreachableSince[via] = now
		}
	}
}

// workerAttempt is what a node that does not answer costs a worker, as the protocol
// has it: it waits 4 s for the answer and tries the next node 1 s later.
const workerAttempt = 5 * time.Second

// declareDead decides which machines to return because they are lost.
func (c *Controller) declareDead(now time.Time) {
	around := c.lookAround(now)
	c.noteCutOffZones(around, now)
	c.noteUnreachableRelays(around, now)
	d := c.doubtsOf(around, now)
	c.fleet.Each(func(m *fleet.Machine) {
		if why := d.causeOfDeath(m); why != "" {
			c.startReturn(m, now, why)
		}
		if m.SpotNotice {
			c.saveTasks(m, now)
		}
	})
}

// noteCutOffZones notes the zones that are cut off. Most machines of a zone that fall silent
// together are cut off rather than lost, if no controller there is reached either: what they
// run may go on, and they will be back. Where a controller is reached, they are lost.
func (c *Controller) noteCutOffZones(around *liveness, now time.Time) {
	reached := c.Peers.ReachedZones()
	for zone, z := range around.zones {
		if zone != "" && z.longSilent > 2 && 2*z.longSilent > z.total && !slices.Contains(reached, zone) {
			c.cutOff[zone] = now
		}
	}
}

// doubts is what speaks against a silent machine being lost.
type doubts struct {
	c        *Controller
	now      time.Time
	around   *liveness
	part     int           // a group is in doubt if more than one in so many is silent
	patience time.Duration // for one machine
	search   time.Duration // how long a worker may look for a node
}

func (c *Controller) doubtsOf(around *liveness, now time.Time) *doubts {
	every := c.Config.HeartbeatInterval()
	// The first machines behind a cut are quiet for three intervals while the
	// last ones have just missed a report: counting only the quiet ones, a
	// leader returned 17 of 90 before it saw that there was a cut. Up to half of
	// a zone counts as lost: if it is their network that failed, their leases
	// end anyway, and what they ran is down for as long later instead.
	d := &doubts{c: c, now: now, around: around, part: 2, patience: 3 * every}
	// It learns with its next report that one is gone, and each that does not answer costs
	// it one try.
	notReached := len(c.Config.Members) + 1 - len(c.Peers.ReachedZones())
	d.search = every*5/4 + time.Duration(max(1, notReached))*workerAttempt
	if around.manyRelayed() {
		// It may be this node's own links: a leader that had lost the workers
		// returned 150 of 330 on their way to its peers, and 80 still when it
		// gave up no more than an eighth, but after three intervals.
		d.part, d.patience = 8, max(d.patience, d.search+every/2)
	}
	return d
}

// cutOff reports whether a machine is behind a cut. When a cut ends, machines come back one
// after the other: the last ones must not be taken for lost because the others are back.
func (d *doubts) cutOff(m *fleet.Machine) bool {
	at, ok := d.c.cutOff[m.Zone]
	return ok && d.now.Sub(at) < d.c.Config.WorkerLease()
}

// patienceWith is for how long a machine may be silent.
func (d *doubts) patienceWith(m *fleet.Machine) time.Duration {
	if at, ok := d.c.relayUnreachableSince[m.RelayedBy]; ok && d.now.Sub(at) < d.c.Config.WorkerLease() {
		// It looks for another node; its last answer may have waited for
		// commands, and for the next batch.
		return max(d.patience, d.search+3*d.c.Config.HeartbeatInterval()/2)
	}
	return d.patience
}

// alone reports whether a silent machine is one of few: if not, it is rather its controller or
// its zone that is not reached.
func (d *doubts) alone(m *fleet.Machine) bool {
	if !onlyHere(d.around.carriers) && d.around.carriers[m.RelayedBy].most(d.part) {
		return false
	}
	return !d.cutOff(m) && !d.around.zones[m.Zone].most(d.part)
}

// causeOfDeath is why a machine is given up; "" if it is not.
func (d *doubts) causeOfDeath(m *fleet.Machine) string {
	silent := d.now.Sub(m.LastHeartbeat)
	switch {
	case m.State == fleet.Returning || m.State == fleet.Gone:
		return ""
	case m.Failed:
		return "failed"
	case m.State == fleet.Suspected && (!d.cutOff(m) || silent > d.tasksEndWithin()):
		return "silent"
	case d.silentAlone(m, silent):
		return "silent while others report"
	case d.neverCameUp(m):
		return "never came up"
	case m.SpotNotice && m.LiveCount() == 0 && m.State == fleet.Ready:
		return "is being taken back"
	}
	return ""
}

// tasksEndWithin is how long after its last report nothing of a machine behind a cut runs on: a
// node without the state service stops renewing leases in time for withdrawn tasks to die.
func (d *doubts) tasksEndWithin() time.Duration {
	return time.Duration(d.c.Config.Cluster.Workers.CancelS * float64(time.Second))
}

// silentAlone reports whether a machine has fallen silent while the others go on: it has
// stopped, hangs or is cut off, and by the time it comes back its lease has ended. Waiting would
// only cost time. Those that a new leader has not heard yet may still be looking for it, and get
// a little longer.
func (d *doubts) silentAlone(m *fleet.Machine, silent time.Duration) bool {
	switch {
	case m.State == fleet.Ready:
		return d.now.Sub(d.c.steady) > d.c.Config.WorkerLease() && silent > d.patienceWith(m) && d.alone(m)
	case m.State == fleet.Booting && m.LiveCount() > 0:
		return silent > d.search && d.alone(m)
	}
	return false
}

// neverCameUp reports whether a machine should have come up long ago.
func (d *doubts) neverCameUp(m *fleet.Machine) bool {
	if m.State != fleet.Booting || m.LiveCount() > 0 {
		return false
	}
	const usualS, boots = 60, 3.5
	boot := float64(usualS)
	if r := d.c.machineType(m.Type); r != nil {
		boot = r.BootS
	}
	settled := d.now.Sub(d.c.steady) > 2*d.c.Config.WorkerLease()
	return settled && d.now.Sub(m.FirstSeen).Seconds() > boots*boot
}

// saveTasks stops the tasks of a machine that the cloud takes back.
func (c *Controller) saveTasks(m *fleet.Machine, now time.Time) {
	m.Each(func(a *fleet.Attempt) {
		if j := c.jobs.get(a.JobUID); j != nil && a.Live() && !a.Stopping {
			c.stopAttempt(a, j.record.Spec.CheckpointOnStopS+c.Config.Cluster.Workers.ReportS, now, "spot notice")
		}
	})
}
