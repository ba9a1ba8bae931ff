package failuredetector

import (
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// evidence is what one look at all machines tells of who sends heartbeats.
type evidence struct {
	// zones counts by zone who sends heartbeats here: machines that a follower answers are
	// behind the same cut as those that still look for a controller. Under the empty name it
	// counts all: that is how machines are judged of which a new leader knows no zone. They are
	// no zone of their own: 62 spot machines that the cloud had taken back, and would never be
	// listed again, were held for a zone that was cut off.
	zones map[string]*group
	// relays counts, by the controller that answers them, "" for this one, machines that have
	// sent a heartbeat in this term. While followers relay heartbeats, the machines of one
	// controller are a few of a zone or of the fleet, and most of them silent at once means
	// that it has lost its links.
	relays          map[string]*group
	newestHeartbeat map[string]time.Time // by relay
	// relayed is how many machines sent heartbeats by way of other nodes in the last lease.
	relayed int
	total   int // machines that are not gone
}

// group is how many machines of a zone, or of a relay, are silent.
type group struct {
	total      int
	silent     int // no heartbeat for over two intervals
	longSilent int // no heartbeat for over three intervals
}

// gather looks at all machines once.
func (d *Detector) gather(machines Machines, now time.Time) *evidence {
	e := &evidence{
		zones:           map[string]*group{},
		relays:          map[string]*group{},
		newestHeartbeat: map[string]time.Time{},
	}
	all := groupOf(e.zones, "")
	machines.Each(func(m *fleet.Machine) {
		if m.State != fleet.Gone {
			e.total++
		}
		if !m.LastRelayedHeartbeat.IsZero() && now.Sub(m.LastRelayedHeartbeat) < d.options.WorkerLease {
			e.relayed++
		}
		if m.LastHeartbeatHere.After(e.newestHeartbeat[m.RelayedBy]) {
			e.newestHeartbeat[m.RelayedBy] = m.LastHeartbeatHere
		}
		silence := now.Sub(m.LastHeartbeatHere)
		if m.State == fleet.Ready || m.State == fleet.Confirming {
			groupOf(e.relays, m.RelayedBy).add(silence, d.options.HeartbeatInterval)
		}
		if !sendsHeartbeats(m) {
			return
		}
		all.add(silence, d.options.HeartbeatInterval)
		if m.Zone != "" {
			groupOf(e.zones, m.Zone).add(silence, d.options.HeartbeatInterval)
		}
	})
	return e
}

// sendsHeartbeats reports whether heartbeats are expected of a machine: not of one that has
// nothing to run yet and may still boot.
func sendsHeartbeats(m *fleet.Machine) bool {
	switch m.State {
	case fleet.Returning, fleet.Gone:
		return false
	case fleet.Booting:
		return m.LiveCount() > 0
	}
	return true
}

func groupOf(groups map[string]*group, name string) *group {
	g := groups[name]
	if g == nil {
		g = &group{}
		groups[name] = g
	}
	return g
}

// add counts a machine whose last heartbeat is this old.
func (g *group) add(silence, heartbeatInterval time.Duration) {
	g.total++
	if silence > 3*heartbeatInterval {
		g.longSilent++
	}
	if silence > 2*heartbeatInterval {
		g.silent++
	}
}

// hasMoreSilentThan reports whether more than one in so many machines are silent, and more than
// one.
func (g *group) hasMoreSilentThan(oneIn int) bool {
	return g != nil && g.silent > max(1, g.total/oneIn)
}

// manyRelayed reports whether so many machines send heartbeats by way of other nodes that this
// node's own links to the workers may have failed. Those that have not found another node yet are
// then not dead: each that they try in vain costs them several intervals.
func (e *evidence) manyRelayed() bool { return e.relayed > max(1, e.total/16) }

// onlyHere reports whether this node is the only one that answers machines.
func onlyHere[T any](byRelay map[string]T) bool {
	_, here := byRelay[""]
	return here && len(byRelay) == 1
}
