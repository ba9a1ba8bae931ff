package relay

import (
	"slices"
	"time"
)

const (
	stayLeases    = 3    // leases for which a worker stays that may not reach the controller it left
	stayIntervals = 2    // heartbeat intervals for which one stays that only met a slow answer
	censusShare   = 0.25 // share of a heartbeat interval for which a census is used again
)

// departure records that a worker has left a controller on its own: its heartbeats arrive at another
// one to which the router did not send it.
type departure struct {
	label    string
	at       time.Time
	repeated bool // it had left the same controller before
}

// recordDeparture records that a worker has left its controller on its own. The departures from all
// controllers are kept, not only the last: a late copy of a heartbeat may look as if the worker had
// been at another controller in between.
func (w *workerState) recordDeparture(now time.Time) {
	for i := range w.departures {
		if w.departures[i].label == w.controller {
			w.departures[i] = departure{w.controller, now, true}
			return
		}
	}
	w.departures = append(w.departures, departure{label: w.controller, at: now})
}

// isRecent reports whether a departure still counts: it is less than stayLeases worker leases old.
func (r *Router) isRecent(d departure, now time.Time) bool { return now.Sub(d.at) < stayLeases*r.Lease }

// dropOldDepartures drops the departures of a worker that no longer count. Most workers have none.
func (r *Router) dropOldDepartures(worker *workerState, now time.Time) {
	if len(worker.departures) == 0 {
		return
	}
	worker.departures = slices.DeleteFunc(worker.departures, func(d departure) bool { return !r.isRecent(d, now) })
}

// hasRecentDeparture reports whether a departure of the worker still counts.
func (r *Router) hasRecentDeparture(worker *workerState, now time.Time) bool {
	return slices.ContainsFunc(worker.departures, func(d departure) bool { return r.isRecent(d, now) })
}

// shouldStay reports whether a worker that has moved on its own is left where it is: it may be unable
// to reach the controller that it has left, and sent back at once, its lease would end on the way. If
// that controller receives heartbeats of most of its workers, and the worker has not left it before,
// the worker has probably met a slow answer and may go back after stayIntervals: one that stayed away
// from its zone for three leases lost its tasks when the zone was cut off meanwhile. r.mu is held.
func (r *Router) shouldStay(worker *workerState, now time.Time) bool {
	return slices.ContainsFunc(worker.departures, func(d departure) bool {
		return d.repeated || now.Sub(d.at) < stayIntervals*r.HeartbeatInterval || !r.currentCensus(now).isReachable(d.label)
	})
}

// census counts the workers of each controller: those with a recent heartbeat there, and those that
// have left it on their own.
type census struct {
	countedAt       time.Time
	reporting, left map[string]int // by label
}

// isReachable reports whether a controller receives heartbeats of most of its workers, so that one
// that has left it has probably met a slow answer and not a broken path.
func (c *census) isReachable(label string) bool {
	return c.reporting[label] > 1 && c.reporting[label] > c.left[label]
}

// currentCensus returns the census, no older than censusShare of a heartbeat interval. r.mu is held.
func (r *Router) currentCensus(now time.Time) *census {
	c := &r.census
	if now.Sub(c.countedAt) < time.Duration(censusShare*float64(r.HeartbeatInterval)) {
		return c
	}
	*c = census{countedAt: now, reporting: map[string]int{}, left: map[string]int{}}
	for _, worker := range r.workers {
		if now.Sub(worker.lastHeartbeat) <= stayIntervals*r.HeartbeatInterval {
			c.reporting[worker.controller]++
		}
		for _, d := range worker.departures {
			if d.label != worker.controller && r.isRecent(d, now) {
				c.left[d.label]++
			}
		}
	}
	return c
}
