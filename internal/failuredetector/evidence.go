package failuredetector

import (
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// evidence is the counts of silent machines that a judgement rests on, from one pass over all
// machines.
type evidence struct {
	// zones counts machines by zone. Only heartbeats that this leader answered count here, and
	// not those that a cut-off follower answered on its behalf: such machines are behind the
	// same cut as those that still look for a controller. The empty name counts the machines of
	// all zones: machines whose zone a new leader does not know are compared with all others.
	// They are no zone of their own: 62 spot machines that the cloud had reclaimed, and would
	// never list again, were taken for a zone that was cut off.
	zones map[string]*group
	// relays counts by relay the machines that have sent a heartbeat in this term. While
	// followers relay heartbeats, the machines of one relay are a small part of a zone or of
	// the fleet; if most of them are silent at once, the relay cannot reach them.
	relays          map[string]*group
	newestHeartbeat map[string]time.Time // by relay
	// relayed is how many machines have sent a heartbeat through another node within the last
	// worker lease.
	relayed int
	total   int // machines that are not gone
}

// group counts the silent machines of a zone, or of a relay.
type group struct {
	total      int
	silent     int // no heartbeat for over two intervals
	longSilent int // no heartbeat for over three intervals
}

// gather counts all machines.
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

// sendsHeartbeats reports whether heartbeats are expected of a machine. None is expected of one
// that is Booting and has no attempts: it may not have come up yet.
func sendsHeartbeats(m *fleet.Machine) bool {
	switch m.State {
	case fleet.Returning, fleet.Gone:
		return false
	case fleet.Booting:
		return m.LiveCount() > 0
	}
	return true
}

// groupOf returns the group of a name, which it adds if there is none.
func groupOf(groups map[string]*group, name string) *group {
	g := groups[name]
	if g == nil {
		g = &group{}
		groups[name] = g
	}
	return g
}

// add counts a machine whose last heartbeat was silence ago.
func (g *group) add(silence, heartbeatInterval time.Duration) {
	g.total++
	if silence > 3*heartbeatInterval {
		g.longSilent++
	}
	if silence > 2*heartbeatInterval {
		g.silent++
	}
}

// hasMoreSilentThan reports whether more than one in oneIn machines are silent, and more than one
// machine. It is false for a nil group.
func (g *group) hasMoreSilentThan(oneIn int) bool {
	return g != nil && g.silent > max(1, g.total/oneIn)
}

// manyRelayedOneIn is the share of the fleet, as one in so many, that sends heartbeats through
// other nodes if this node's own links to the workers may have failed.
const manyRelayedOneIn = 16

// manyRelayed reports whether so many machines send heartbeats through other nodes that this
// node's own links to the workers may have failed. A machine that has not found another node yet
// is then not dead: each node that does not answer costs it several intervals.
func (e *evidence) manyRelayed() bool { return e.relayed > max(1, e.total/manyRelayedOneIn) }

// onlyHere reports whether no follower relays heartbeats: all machines are under the empty name.
func onlyHere[T any](byRelay map[string]T) bool {
	_, here := byRelay[""]
	return here && len(byRelay) == 1
}
