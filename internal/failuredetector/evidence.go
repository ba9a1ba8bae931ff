package failuredetector

import (
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// evidence holds the counts of silent machines that an evaluation is based on, from one pass over all
// machines.
type evidence struct {
	// zones counts machines by zone. Only heartbeats that this leader answered count here. Those
	// that a partitioned follower answered on its behalf do not: the follower's machines are behind
	// the same partition as the machines that still look for a controller.
	//
	// The group with the empty name counts the machines of all zones. Machines whose zone a new
	// leader does not know are compared with these. They must not form a zone of their own: 62 spot
	// machines that the cloud had reclaimed, and would never list again, were taken for a
	// partitioned zone.
	zones map[string]*group
	// relays counts, by relay, the machines that have sent a heartbeat in this term and are not
	// suspected. While followers relay heartbeats, the machines of one relay are a small part of a
	// zone or of the fleet. If many of them are silent at once, the relay cannot reach them.
	relays          map[string]*group
	newestHeartbeat map[string]time.Time // time of the newest heartbeat, by relay
	// relayedRecently is the number of machines that have sent a heartbeat through another node
	// within the last worker lease.
	relayedRecently int
	total           int // number of machines that are not Gone
}

// group counts the machines of a zone or of a relay.
type group struct {
	total                int
	silentTwoIntervals   int // no heartbeat for over two intervals
	silentThreeIntervals int // no heartbeat for over three intervals
}

// gatherEvidence counts the machines by zone and by relay.
func (d *Detector) gatherEvidence(machines Machines, now time.Time) *evidence {
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
			e.relayedRecently++
		}
		if m.LastHeartbeatHere.After(e.newestHeartbeat[m.RelayedBy]) {
			e.newestHeartbeat[m.RelayedBy] = m.LastHeartbeatHere
		}
		silence := now.Sub(m.LastHeartbeatHere)
		if m.State == fleet.Ready || m.State == fleet.Confirming {
			groupOf(e.relays, m.RelayedBy).add(silence, d.options.HeartbeatInterval)
		}
		if !heartbeatExpected(m) {
			return
		}
		all.add(silence, d.options.HeartbeatInterval)
		if m.Zone != "" {
			groupOf(e.zones, m.Zone).add(silence, d.options.HeartbeatInterval)
		}
	})
	return e
}

// heartbeatExpected reports whether a machine is expected to send heartbeats. A machine that is Booting
// and has no live attempts is not, since it may not have booted yet.
func heartbeatExpected(m *fleet.Machine) bool {
	switch m.State {
	case fleet.Releasing, fleet.Gone:
		return false
	case fleet.Booting:
		return m.LiveCount() > 0
	}
	return true
}

// groupOf returns the group with a name, and adds an empty one if there is none.
func groupOf(groups map[string]*group, name string) *group {
	g := groups[name]
	if g == nil {
		g = &group{}
		groups[name] = g
	}
	return g
}

// add counts a machine that has sent no heartbeat for the time silence.
func (g *group) add(silence, heartbeatInterval time.Duration) {
	g.total++
	if silence > 3*heartbeatInterval {
		g.silentThreeIntervals++
	}
	if silence > 2*heartbeatInterval {
		g.silentTwoIntervals++
	}
}

// silentExceedsShare reports whether the number of machines that are silent for two intervals exceeds both
// 1 and the total divided by divisor. It is false for a nil group.
func (g *group) silentExceedsShare(divisor int) bool {
	return g != nil && g.silentTwoIntervals > max(1, g.total/divisor)
}

// manyRelayedDivisor sets the threshold of manyRelayed: a sixteenth of the fleet.
const manyRelayedDivisor = 16

// manyRelayed reports whether so many machines send heartbeats through other nodes that this node's own
// links to the workers may have failed. A silent machine is then probably not dead: its worker is still
// looking for another node, and each node that does not answer costs it several intervals.
func (e *evidence) manyRelayed() bool { return e.relayedRecently > max(1, e.total/manyRelayedDivisor) }

// allDirect reports whether no follower relays heartbeats, that is, all machines are under the empty name.
func allDirect[T any](byRelay map[string]T) bool {
	_, found := byRelay[""]
	return found && len(byRelay) == 1
}
