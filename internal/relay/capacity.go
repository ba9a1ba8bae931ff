package relay

import "time"

// Limits on the number of workers, as shares of a node's maximum number of connections.
const (
	relayAboveShare  = 0.5  // the heartbeats of a larger fleet are relayed
	directBelowShare = 0.4  // those of a smaller fleet go directly to the leader; the gap prevents frequent mode changes
	followerShare    = 0.5  // workers that a follower usually accepts
	leaderShare      = 0.25 // workers that the leader usually accepts itself while followers relay
	maxShare         = 0.65 // upper limit for any controller, if the usual shares do not suffice for the fleet
)

// Factors that are applied to numbers of workers.
const (
	capacityFactor  = 1.05 // the controllers together should have capacity for this many times the fleet
	maxImbalance    = 1.25 // a follower hands workers over if it has more than this many times those of the least loaded one
	shareFactorStep = 1.1  // the usual shares are multiplied by this until they suffice for the fleet
)

// MaxWorkers returns the maximum number of workers of a controller with the given connection limit.
func MaxWorkers(connections int) int { return int(maxShare * float64(connections)) }

// adjustShares sets shareFactor: it raises the shares of all controllers if the usual shares of those that are
// usable do not suffice for the fleet. r.mu must be held.
func (r *Router) adjustShares() {
	for r.shareFactor = 1; ; r.shareFactor *= shareFactorStep {
		totalCapacity, allAtMax := 0, true
		for label := range r.Zones {
			if label == r.Self || r.usable[label] {
				totalCapacity += r.capacity(label)
				allAtMax = allAtMax && r.share(label) >= maxShare
			}
		}
		if allAtMax || float64(totalCapacity) >= capacityFactor*float64(r.fleetSize) {
			return
		}
	}
}

// share returns the share of its connections that a controller uses for workers. r.mu must be held.
func (r *Router) share(label string) float64 {
	share := followerShare
	if label == r.Self {
		share = leaderShare
	}
	return min(share*r.shareFactor, maxShare)
}

// capacity returns the number of workers that a controller accepts from any zone. r.mu must be held.
func (r *Router) capacity(label string) int { return int(r.share(label) * float64(r.MaxConnections)) }

// capacityFor returns the number of workers, from all zones together, below which a controller accepts another
// worker from the given zone. The limit is higher for the controller's own zone, whose workers can reach no other
// controller during a network partition of the zone. When a leader accepted only its usual share, the leases of a
// third of the 700 machines in a partitioned zone expired. r.mu must be held.
func (r *Router) capacityFor(label, zone string) int {
	if r.Zones[label] == zone {
		return MaxWorkers(r.MaxConnections)
	}
	return r.capacity(label)
}

// isOverloaded reports whether a controller should hand over a worker from a zone: it is Full, or has more workers
// than it accepts from that zone. r.mu must be held.
func (r *Router) isOverloaded(label, zone string, pressure Pressure) bool {
	return pressure == Full || r.load[label] > r.capacityFor(label, zone)
}

// chooseController returns the controller to which a worker from a zone should send its heartbeats. current is the
// one that receives them now. r.mu must be held.
func (r *Router) chooseController(zone, current string, pressure Pressure, now time.Time) string {
	overloaded := r.isOverloaded(current, zone, pressure)
	if r.Zones[current] == zone && !overloaded {
		return current
	}
	allowed := func(label string) bool { return !overloaded || label != current }
	sameZone := r.leastLoaded(now, zone, func(label string) bool { return r.Zones[label] == zone && allowed(label) })
	if sameZone != "" {
		return sameZone
	}
	follower := r.leastLoaded(now, zone, func(label string) bool { return label != r.Self && allowed(label) })
	switch {
	case follower == "" && overloaded && current != r.Self && r.leaderHasCapacity(now):
		return r.Self // no follower has free capacity: the worker moves from an overloaded follower to the leader
	case follower == "":
		return current
	case overloaded || r.shouldMove(current, follower):
		return follower
	}
	return current
}

// leaderHasCapacity reports whether the leader accepts one more worker from any zone. r.mu must be held.
func (r *Router) leaderHasCapacity(now time.Time) bool {
	return r.load[r.Self] < r.capacity(r.Self) && !now.Before(r.fullUntil[r.Self])
}

// shouldMove reports whether a worker should move to the least loaded follower, if no controller in its zone can
// accept it. The leader always hands it over, to save its own connections and processor time. r.mu must be held.
func (r *Router) shouldMove(current, follower string) bool {
	return current == r.Self || !r.usable[current] || float64(r.load[current]) > maxImbalance*float64(r.load[follower]+1)
}

// leastLoaded returns the controller with the fewest workers among those that are eligible and can accept one more
// worker from a zone, or "" if there is none. r.mu must be held.
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
