package relay

import (
	"slices"
	"time"
)

const (
	// stayLeases is the number of worker leases during which a worker is not moved after it has left a controller: it
	// may be unable to reach that controller.
	stayLeases = 3
	// stayIntervals is the number of heartbeat intervals after which a worker that probably left because of one slow
	// answer may be sent back. A worker counts as reporting while its last heartbeat is at most that old.
	stayIntervals = 2
	// countsMaxAgeShare is the maximum age of the worker counts, as a share of a heartbeat interval.
	countsMaxAgeShare = 0.25
)

// departure records that a worker has left a controller by its own decision: its heartbeats arrive at another
// controller to which the router has not sent it.
type departure struct {
	controller string
	leftAt     time.Time
	repeated   bool // the worker had left the same controller before
}

// recordDeparture records that a worker has left its controller by its own decision. It keeps the last departure
// from each controller, since a delayed copy of a heartbeat can look like a stay at another controller in between.
func (w *workerState) recordDeparture(now time.Time) {
	for i := range w.departures {
		if w.departures[i].controller == w.controller {
			w.departures[i] = departure{w.controller, now, true}
			return
		}
	}
	w.departures = append(w.departures, departure{controller: w.controller, leftAt: now})
}

// isRecent reports whether a departure is less than stayLeases worker leases old. Older ones have no effect.
func (r *Router) isRecent(d departure, now time.Time) bool {
	return now.Sub(d.leftAt) < stayLeases*r.Lease
}

// dropOldDepartures removes the departures of a worker that are not recent. Most workers have none.
func (r *Router) dropOldDepartures(worker *workerState, now time.Time) {
	if len(worker.departures) == 0 {
		return
	}
	worker.departures = slices.DeleteFunc(worker.departures, func(d departure) bool { return !r.isRecent(d, now) })
}

// hasRecentDeparture reports whether any departure of the worker is recent.
func (r *Router) hasRecentDeparture(worker *workerState, now time.Time) bool {
	return slices.ContainsFunc(worker.departures, func(d departure) bool { return r.isRecent(d, now) })
}

// shouldStay reports whether a worker that has recently left a controller by its own decision must not be moved.
// It may be unable to reach that controller, and its lease would expire if it were sent back at once. The worker
// may go back after stayIntervals if it has left that controller only once and most other workers still reach the
// controller: the reason was probably one slow answer. Workers that stayed out of their zone for three leases lost
// their tasks when the zone was partitioned from the network meanwhile. r.mu must be held.
func (r *Router) shouldStay(worker *workerState, now time.Time) bool {
	return slices.ContainsFunc(worker.departures, func(d departure) bool {
		return d.repeated || now.Sub(d.leftAt) < stayIntervals*r.HeartbeatInterval || !r.currentCounts(now).isReachable(d.controller)
	})
}

// workerCounts holds two numbers for each controller: the workers that send it heartbeats (reporting), and those
// that have recently left it by their own decision (left).
type workerCounts struct {
	countedAt       time.Time
	reporting, left map[string]int // by label of the controller
}

// isReachable reports whether a controller receives heartbeats from most of its workers. A worker that has left it
// then probably received one slow answer and has not lost its network path to the controller.
func (c *workerCounts) isReachable(label string) bool {
	return c.reporting[label] > 1 && c.reporting[label] > c.left[label]
}

// currentCounts returns the worker counts, and recounts if they are older than countsMaxAgeShare of a heartbeat
// interval. r.mu must be held.
func (r *Router) currentCounts(now time.Time) *workerCounts {
	counts := &r.counts
	if now.Sub(counts.countedAt) < time.Duration(countsMaxAgeShare*float64(r.HeartbeatInterval)) {
		return counts
	}
	*counts = workerCounts{countedAt: now, reporting: map[string]int{}, left: map[string]int{}}
	for _, worker := range r.workers {
		if now.Sub(worker.lastHeartbeat) <= stayIntervals*r.HeartbeatInterval {
			counts.reporting[worker.controller]++
		}
		for _, d := range worker.departures {
			if d.controller != worker.controller && r.isRecent(d, now) {
				counts.left[d.controller]++
			}
		}
	}
	return counts
}
