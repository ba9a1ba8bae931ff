package relay

import "time"

// Shares of a node's connections.
const (
	relayAboveShare  = 0.5  // a fleet of more workers is relayed
	directBelowShare = 0.4  // one of fewer is not; the gap keeps the mode from changing to and fro
	followerShare    = 0.5  // workers that a follower takes
	leaderShare      = 0.25 // workers that the leader keeps itself once others relay
	maxShare         = 0.65 // workers that any controller takes where these are too few for the fleet
)

// Factors of a number of workers.
const (
	capacityFactor = 1.05 // times the fleet that the controllers together are to take
	maxImbalance   = 1.25 // times the least load that a follower may have before it gives workers up
	growthStep     = 1.1  // by which shares are raised until the fleet has room
)

// MaxWorkers returns how many workers can keep a connection to a controller with so many connections.
func MaxWorkers(connections int) int { return int(maxShare * float64(connections)) }

// adjustGrowth lets controllers take more than their usual share where the usual shares of those that
// are reached have no room for the fleet. r.mu is held.
func (r *Router) adjustGrowth() {
	for r.growth = 1; ; r.growth *= growthStep {
		room, allAtMax := 0, true
		for label := range r.Zones {
			if label == r.Self || r.usable[label] {
				room += r.capacity(label)
				allAtMax = allAtMax && r.share(label) >= maxShare
			}
		}
		if allAtMax || float64(room) >= capacityFactor*float64(r.fleetSize) {
			return
		}
	}
}

// share returns the share of its connections that a controller gives to workers. r.mu is held.
func (r *Router) share(label string) float64 {
	share := followerShare
	if label == r.Self {
		share = leaderShare
	}
	return min(share*r.growth, maxShare)
}

// capacity returns how many workers a controller takes. r.mu is held.
func (r *Router) capacity(label string) int { return int(r.share(label) * float64(r.Connections)) }

// capacityFor returns up to how many workers a controller takes one of a zone. One of its own zone
// has no other that it can reach while the zone is cut off: with a leader that took no more
// than its usual share, a third of a cut-off zone of 700 machines lost their leases.
func (r *Router) capacityFor(label, zone string) int {
	if r.Zones[label] == zone {
		return MaxWorkers(r.Connections)
	}
	return r.capacity(label)
}

// isOverloaded reports whether a controller has no connection for a worker of a zone that sends its
// heartbeats there. r.mu is held.
func (r *Router) isOverloaded(label, zone string, pressure Pressure) bool {
	return pressure == Full || r.load[label] > r.capacityFor(label, zone)
}

// chooseController returns the controller that a worker of a zone should send its heartbeats to, given
// the one where they arrive. r.mu is held.
func (r *Router) chooseController(zone, at string, pressure Pressure, now time.Time) string {
	overloaded := r.isOverloaded(at, zone, pressure)
	if r.Zones[at] == zone && !overloaded {
		return at
	}
	allowed := func(label string) bool { return !overloaded || label != at }
	home := r.leastLoaded(now, zone, func(label string) bool { return r.Zones[label] == zone && allowed(label) })
	if home != "" {
		return home
	}
	least := r.leastLoaded(now, zone, func(label string) bool { return label != r.Self && allowed(label) })
	switch {
	case least == "" && overloaded && at != r.Self && r.leaderHasRoom(now):
		return r.Self // no follower has room: the leader takes what is too much for one
	case least == "":
		return at
	case overloaded || r.shouldMove(at, least):
		return least
	}
	return at
}

// leaderHasRoom reports whether the leader takes one more worker of any zone. r.mu is held.
func (r *Router) leaderHasRoom(now time.Time) bool {
	return r.load[r.Self] < r.capacity(r.Self) && !now.Before(r.fullUntil[r.Self])
}

// shouldMove reports whether a worker that has no controller in its zone should move to the least loaded
// follower. The leader has other things to do than to keep it. r.mu is held.
func (r *Router) shouldMove(at, least string) bool {
	return at == r.Self || !r.usable[at] || float64(r.load[at]) > maxImbalance*float64(r.load[least]+1)
}

// leastLoaded returns the controller with the fewest workers of those that are eligible and can take
// one more of a zone, or "". r.mu is held.
func (r *Router) leastLoaded(now time.Time, zone string, eligible func(label string) bool) string {
	best := ""
	for label := range r.Zones {
		if label != r.Self && !r.usable[label] || !eligible(label) {
			continue
		}
		if r.load[label] >= r.capacityFor(label, zone) || now.Before(r.fullUntil[label]) {
			continue
		}
		if best == "" || r.load[label] < r.load[best] || r.load[label] == r.load[best] && label < best {
			best = label
		}
	}
	return best
}
