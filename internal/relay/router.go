package relay

import (
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lotusstile.dev/lotusstile/wire"
)

// Mode is the path by which the heartbeats of the fleet reach the leader.
type Mode int

// The modes. Their strings are part of the administration API.
const (
	Direct  Mode = iota // all workers send heartbeats to the leader
	Relayed             // workers also send heartbeats to followers, which relay them to the leader
)

var modeNames = [...]string{"direct", "relayed"}

// String returns the name of the mode.
func (m Mode) String() string { return modeNames[m] }

// moveIntervals is the minimum number of heartbeat intervals over which a move of the whole fleet is spread.
const moveIntervals = 4

// RouterConfig configures a Router.
type RouterConfig struct {
	Self              string            // label of this node
	Zones             map[string]string // zone by label, this node's included
	MaxConnections    int               // maximum number for each node
	HeartbeatInterval time.Duration     // between heartbeats of a worker
	Lease             time.Duration     // duration of a worker lease
}

// Router runs at the leader and decides to which controller each worker sends its heartbeats. Once the fleet is too
// large for the connections of one controller, the router sends workers to a controller in their own zone, which
// can renew their leases during a network partition of the zone. Workers in a zone without a controller go to the
// least loaded follower. A Router is safe for concurrent use.
type Router struct {
	RouterConfig

	mu             sync.Mutex
	mode           Mode
	fleetSize      int
	workers        map[string]*workerState // by host
	load           map[string]int          // number of workers by label of their controller
	usable         map[string]bool         // by label: the follower is reachable and can relay
	fullUntil      map[string]time.Time    // by label: the controller was Full and is assigned no workers until then
	shareFactor    float64                 // multiplies the usual shares, up to maxShare
	moveLimiter    *rate.Limiter           // limits moves of workers whose current controller is not overloaded
	staleCheckedAt time.Time               // when forgetStale last searched for stale workers
	counts         workerCounts            // may be out of date: use currentCounts
}

// workerState records to which controller a worker sends its heartbeats.
type workerState struct {
	incarnation   uint64 // of the newest heartbeat
	sequence      uint64 // of the newest heartbeat
	controller    string // label of the controller last assigned by the router or, if later, seen in a heartbeat
	lastHeartbeat time.Time
	departures    []departure // from controllers that the worker left by its own decision, in the last stayLeases
}

// NewRouter returns a router that starts in the given mode: that of the previous leader, if it is known.
func NewRouter(cfg RouterConfig, mode Mode) *Router {
	return &Router{
		RouterConfig: cfg,
		mode:         mode,
		workers:      map[string]*workerState{},
		load:         map[string]int{},
		usable:       map[string]bool{},
		fullUntil:    map[string]time.Time{},
		shareFactor:  1,
		moveLimiter:  rate.NewLimiter(0, 1),
	}
}

// Mode returns the current mode. Answers to pings announce it to followers.
func (r *Router) Mode() Mode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

// setMode is the only method that changes the mode. r.mu must be held.
func (r *Router) setMode(to Mode, workers int) {
	if r.mode == to {
		return
	}
	slog.Info("heartbeat routing mode changed", "from", r.mode.String(), "to", to.String(), "workers", workers)
	r.mode = to
	clear(r.workers)
	clear(r.load)
}

// SetFleetSize sets the number of workers that the leader knows, and adjusts the mode, the shares of the controllers
// and the rate of moves to it.
func (r *Router) SetFleetSize(workers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch connections := float64(r.MaxConnections); {
	case float64(workers) > connections*relayAboveShare:
		r.setMode(Relayed, workers)
	case float64(workers) < connections*directBelowShare:
		r.setMode(Direct, workers)
	}
	r.fleetSize = workers
	r.adjustShares()
	movesPerSecond := float64(workers) / (moveIntervals * r.HeartbeatInterval.Seconds())
	r.moveLimiter.SetLimit(rate.Limit(movesPerSecond))
	r.moveLimiter.SetBurst(max(1, int(movesPerSecond)))
}

// SetUsable sets whether a follower is reachable and can relay.
func (r *Router) SetUsable(label string, usable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.usable[label] != usable {
		r.usable[label] = usable
		r.adjustShares()
	}
}

// Load returns the number of workers that send heartbeats to each controller, by label.
func (r *Router) Load() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	load := make(map[string]int, len(r.load))
	for label, workers := range r.load {
		load[label] = workers
	}
	return load
}

// Route records that a worker's heartbeat arrived at the controller current, and returns the label of the
// controller to which the worker has to move, or "" if it stays. A delayed copy of a heartbeat changes nothing,
// since it does not show which controller the worker uses now. A worker of an overloaded controller moves at once
// if another controller has free capacity; other workers move at a limited rate.
func (r *Router) Route(heartbeat *wire.Heartbeat, current string, pressure Pressure, now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == Direct {
		return "" // all workers stay at the leader, and the load is not counted
	}
	r.forgetStale(now)
	worker, fresh := r.recordHeartbeat(heartbeat, current, now)
	if !fresh || r.shouldStay(worker, now) {
		return ""
	}
	if pressure == Full {
		r.fullUntil[current] = now.Add(r.Lease)
	}
	to := r.chooseController(heartbeat.Zone, current, pressure, now)
	if to == current {
		return ""
	}
	// Workers of an overloaded controller are exempt from the rate limit, since it has no connections left.
	if !r.isOverloaded(current, heartbeat.Zone, pressure) && !r.moveLimiter.AllowN(now, 1) {
		return ""
	}
	r.assign(worker, to)
	return to
}

// recordHeartbeat records that a worker's heartbeat arrived at the controller current. fresh is false for a delayed
// copy. r.mu must be held.
func (r *Router) recordHeartbeat(heartbeat *wire.Heartbeat, current string, now time.Time) (worker *workerState, fresh bool) {
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
	if worker.controller != "" && current != worker.controller {
		worker.recordDeparture(now)
	}
	r.assign(worker, current)
	return worker, true
}

// assign records a worker's controller and updates the load of that one and the previous one. r.mu must be held.
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

// forgetStale deletes the state of workers that have sent no heartbeat for a lease, unless they have a recent
// departure. r.mu must be held.
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
