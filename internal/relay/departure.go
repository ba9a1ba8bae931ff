package relay

import (
	"slices"
	"time"
)

const (
	stayLeases    = 3    // leases for which a worker stays that cannot reach the controller it left
	stayIntervals = 2    // heartbeat intervals for which one stays that met a slow answer
	censusShare   = 0.25 // of a heartbeat interval: how often the workers of controllers are counted
)

// departure records that a worker has left a controller by itself: its heartbeats arrive elsewhere
// though it was not sent there.
type departure struct {
	label    string
	at       time.Time
	repeated bool // it had left that one before
}

// recordDeparture records that a worker has left its controller by itself. Each departure is kept: a
// late copy of a heartbeat may look as if the worker had been at another one in between.
func (w *workerState) recordDeparture(now time.Time) {
	for i := range w.departures {
		if w.departures[i].label == w.controller {
			w.departures[i] = departure{w.controller, now, true}
			return
		}
	}
	w.departures = append(w.departures, departure{label: w.controller, at: now})
}

// isRecent reports whether a departure still counts.
func (r *Router) isRecent(d departure, now time.Time) bool { return now.Sub(d.at) < stayLeases*r.Lease }

// dropOldDepartures drops the departures of a worker that do not count any more.
func (r *Router) dropOldDepartures(worker *workerState, now time.Time) {
	worker.departures = slices.DeleteFunc(worker.departures, func(d departure) bool { return !r.isRecent(d, now) })
}

// hasRecentDeparture reports whether a departure of the worker still counts.
func (r *Router) hasRecentDeparture(worker *workerState, now time.Time) bool {
	return slices.ContainsFunc(worker.departures, func(d departure) bool { return r.isRecent(d, now) })
}

// shouldStay reports whether a worker that has gone elsewhere by itself is left alone there: it may
// not reach the controller that it has left. Sent back at once, it would lose its lease on the
// way. If that controller hears most of its workers, and the worker has not left it before, it
// has met a slow answer and may go back soon: away from its zone for three leases, it lost its
// tasks when the zone was cut off meanwhile. r.mu is held.
func (r *Router) shouldStay(worker *workerState, now time.Time) bool {
	return slices.ContainsFunc(worker.departures, func(d departure) bool {
		return d.repeated || now.Sub(d.at) < stayIntervals*r.HeartbeatInterval || !r.currentCensus(now).isHearingWorkers(d.label)
	})
}

// census counts the workers of each controller: those with a recent heartbeat there, and those that
// have gone elsewhere by themselves.
type census struct {
	countedAt       time.Time
	reporting, left map[string]int // by label
}

// isHearingWorkers reports whether a controller hears most of its workers, so that one that has gone
// elsewhere has rather met a slow answer than a broken path.
func (c *census) isHearingWorkers(label string) bool {
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
