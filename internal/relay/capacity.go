package relay

import "time"

// Numbers of workers, as shares of a node's connections.
const (
	relayAboveShare  = 0.5  // the heartbeats of a larger fleet are relayed
	directBelowShare = 0.4  // those of a smaller fleet are not; the gap prevents frequent mode changes
	followerShare    = 0.5  // that a follower usually takes
	leaderShare      = 0.25 // that the leader usually takes itself while others relay
	maxShare         = 0.65 // that any controller takes if the usual shares have no room for the fleet
)

// Factors of a number of workers.
const (
	capacityFactor = 1.05 // the controllers should have room for this many times the fleet
	maxImbalance   = 1.25 // a follower with more than this many times the least load passes workers on
	growthStep     = 1.1  // factor by which the usual shares are raised until the fleet has room
)

// MaxWorkers returns how many workers a controller that may have so many connections takes at most.
func MaxWorkers(connections int) int { return int(maxShare * float64(connections)) }

// adjustGrowth raises the share that controllers take if the usual shares of those that are reached
// have no room for the fleet. r.mu is held.
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

// capacityFor returns the number of workers up to which a controller takes another one of a zone.
// It is higher for the controller's own zone, whose workers can reach no other controller while the
// zone is cut off: when a leader took no more than its usual share, the leases of a third of the
// machines of a cut-off zone of 700 ended. r.mu is held.
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
		return r.Self // no follower has room: the leader takes the worker from an overloaded one
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
// follower. The leader always passes it on, to save its own connections and processor time. r.mu is
// held.
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
