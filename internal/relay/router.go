package relay

import (
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lotusstile.dev/lotusstile/wire"
)

// Mode is how the heartbeats of the fleet reach the leader.
type Mode int

// The modes. Their strings are part of the administration API.
const (
	Direct  Mode = iota // all workers send their heartbeats to the leader
	Relayed             // workers send them to followers too, which relay them to the leader
)

var modeNames = [...]string{"direct", "relayed"}

// String returns the name of the mode.
func (m Mode) String() string { return modeNames[m] }

// moveIntervals is the number of heartbeat intervals in which the whole fleet may be moved.
const moveIntervals = 4

// RouterConfig configures a Router.
type RouterConfig struct {
	Self              string            // label of this node
	Zones             map[string]string // zone by label, this node's included
	Connections       int               // that a node may have
	HeartbeatInterval time.Duration     // of workers
	Lease             time.Duration     // of workers
}

// Router decides at the leader which controller each worker sends its heartbeats to. Once the fleet
// is larger than the connections of one controller allow, workers are sent to a
// controller of their own zone, so that their leases continue while the zone is cut off; those
// of zones without a controller go to the least loaded one. It is safe for concurrent use.
type Router struct {
	RouterConfig

	mu             sync.Mutex
	mode           Mode
	fleetSize      int
	workers        map[string]*workerState // by host
	load           map[string]int          // workers by label
	usable         map[string]bool         // followers that are reached and can relay
	fullUntil      map[string]time.Time    // by label: until then a controller that was Full gets no workers
	growth         float64                 // factor of the usual shares, which then end at maxShare
	moves          *rate.Limiter           // of workers that may stay but had better move
	staleCheckedAt time.Time               // when forgetStale last searched
	census         census                  // use currentCensus
}

// workerState is what is known of where a worker sends its heartbeats.
type workerState struct {
	incarnation   uint64 // of the newest heartbeat
	sequence      uint64 // of the newest heartbeat
	controller    string // label of the one that it was sent to, else of the one it sends heartbeats to
	lastHeartbeat time.Time
	departures    []departure // from controllers that it has left on its own, in the last stayLeases
}

// NewRouter returns a router that starts in a mode: that of the previous leader, if it is known.
func NewRouter(cfg RouterConfig, mode Mode) *Router {
	return &Router{
		RouterConfig: cfg,
		mode:         mode,
		workers:      map[string]*workerState{},
		load:         map[string]int{},
		usable:       map[string]bool{},
		fullUntil:    map[string]time.Time{},
		growth:       1,
		moves:        rate.NewLimiter(0, 1),
	}
}

// Mode returns the mode, which pings announce to followers.
func (r *Router) Mode() Mode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

// setMode is the one function that changes the mode. r.mu is held.
func (r *Router) setMode(to Mode, workers int) {
	if r.mode == to {
		return
	}
	slog.Info("heartbeat routing mode changed", "from", r.mode.String(), "to", to.String(), "workers", workers)
	r.mode = to
	clear(r.workers)
	clear(r.load)
}

// SetFleetSize sets the number of workers that the leader knows of.
func (r *Router) SetFleetSize(workers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch connections := float64(r.Connections); {
	case float64(workers) > connections*relayAboveShare:
		r.setMode(Relayed, workers)
	case float64(workers) < connections*directBelowShare:
		r.setMode(Direct, workers)
	}
	r.fleetSize = workers
	r.adjustGrowth()
	perSecond := float64(workers) / (moveIntervals * r.HeartbeatInterval.Seconds())
	r.moves.SetLimit(rate.Limit(perSecond))
	r.moves.SetBurst(max(1, int(perSecond)))
}

// SetUsable sets whether a follower is reached and can relay.
func (r *Router) SetUsable(label string, usable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.usable[label] != usable {
		r.usable[label] = usable
		r.adjustGrowth()
	}
}

// Load returns the number of workers by the label of the controller that they send heartbeats to.
func (r *Router) Load() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	load := make(map[string]int, len(r.load))
	for label, workers := range r.load {
		load[label] = workers
	}
	return load
}

// Route records that a worker's heartbeat arrived at a controller, and returns the label of the one that
// the worker has to move to, or "" if it stays. A late copy of a heartbeat changes nothing, since it does
// not show where the worker is now. A worker for which its controller has no connection left moves at
// once if another controller has room; others move at a limited rate.
func (r *Router) Route(heartbeat *wire.Heartbeat, at string, pressure Pressure, now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == Direct {
		return "" // all workers stay at the leader: nothing is counted
	}
	r.forgetStale(now)
	worker, fresh := r.recordHeartbeat(heartbeat, at, now)
	if !fresh || r.shouldStay(worker, now) {
		return ""
	}
	if pressure == Full {
		r.fullUntil[at] = now.Add(r.Lease)
	}
	to := r.chooseController(heartbeat.Zone, at, pressure, now)
	if to == at {
		return ""
	}
	// Workers of an overloaded controller are exempt from the rate limit: it has no connections left.
	if !r.isOverloaded(at, heartbeat.Zone, pressure) && !r.moves.AllowN(now, 1) {
		return ""
	}
	r.assign(worker, to)
	return to
}

// recordHeartbeat records where a worker's heartbeat arrived. fresh is false for a late copy. r.mu is held.
func (r *Router) recordHeartbeat(heartbeat *wire.Heartbeat, at string, now time.Time) (worker *workerState, fresh bool) {
	worker = r.workers[heartbeat.Host]
	if worker == nil {
		worker = &workerState{}
		r.workers[heartbeat.Host] = worker
	}
	if heartbeat.Incarnation < worker.incarnation ||
		heartbeat.Incarnation == worker.incarnation && heartbeat.Sequence <= worker.sequence {
		return worker, false
	}
	worker.incarnation, worker.sequence, worker.lastHeartbeat = heartbeat.Incarnation, heartbeat.Sequence, now
	r.dropOldDepartures(worker, now)
	if worker.controller != "" && at != worker.controller {
		worker.recordDeparture(now)
	}
	r.assign(worker, at)
	return worker, true
}

// assign records and counts a worker at a controller, and no longer at the one before. r.mu is held.
func (r *Router) assign(worker *workerState, to string) {
	if worker.controller == to {
		return
	}
	if worker.controller != "" {
		r.load[worker.controller]--
	}
	worker.controller = to
	r.load[to]++
}

// forgetStale forgets workers without a heartbeat for a lease, unless one of their departures still
// counts. r.mu is held.
func (r *Router) forgetStale(now time.Time) {
	if now.Sub(r.staleCheckedAt) < r.Lease/2 {
		return
	}
	r.staleCheckedAt = now
	for host, worker := range r.workers {
		if now.Sub(worker.lastHeartbeat) > r.Lease && !r.hasRecentDeparture(worker, now) {
			r.load[worker.controller]--
			delete(r.workers, host)
		}
	}
}
