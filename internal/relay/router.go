package relay

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lotusstile.dev/lotusstile/wire"
)

// Mode says who answers the workers.
type Mode int

// The modes.
const (
	Direct  Mode = iota // all workers report to the leader
	Relayed             // followers keep workers and relay their reports
)

var modeNames = [...]string{"direct", "relayed"}

func (m Mode) String() string { return modeNames[m] }

// Shares of a node's connections, and of the time.
const (
	relayAboveShare = 0.5  // more workers than this are relayed
	directBelow     = 0.4  // fewer are not
	followerShare   = 0.5  // workers that a follower takes
	leaderShare     = 0.25 // workers that the leader keeps itself once others relay
	maxShare        = 0.65 // workers that any controller takes where these are too few for the fleet
	capacityFactor  = 1.05 // times the fleet that the controllers together are to take
	maxImbalance    = 1.25 // times the least load that a follower may have before it gives workers up
	moveIntervals   = 4    // reports' intervals in which the whole fleet may be moved
	stayLeases      = 3    // leases for which a worker stays that cannot reach the controller it left
	stayIntervals   = 2    // reports' intervals for which one stays that has met a slow answer
	censusShare     = 0.25 // of a report's interval: how often it is counted who is heard
)

// MaxWorkers is how many workers can keep a connection to a controller with so many.
func MaxWorkers(connections int) int { return int(maxShare * float64(connections)) }

// RouterConfig is what a Router is made with.
type RouterConfig struct {
	Self              string            // label of this node
	Zones             map[string]string // zone by label, this node's included
	Connections       int               // that a node may have
	HeartbeatInterval time.Duration
	Lease             time.Duration
}

// Router decides at the leader which controller each worker reports to. Once the fleet
// is larger than the connections of one controller allow, workers are sent to a
// controller of their own zone, so that a zone that is cut off keeps its leases; those
// of zones without one go where the fewest are.
type Router struct {
	RouterConfig

	mu             sync.Mutex
	mode           Mode
	fleetSize      int                     // of the fleet
	workers        map[string]*workerState // by host
	load           map[string]int          // workers by label
	usable         map[string]bool         // followers that are reached and can relay
	fullUntil      map[string]time.Time    // until when controllers that had no connection get no workers
	growth         float64                 // times its usual share that a controller takes, up to maxShare
	moves          *rate.Limiter
	staleCheckedAt time.Time
	census         census
}

// census counts the workers of each controller: those that were heard lately, and those that
// have gone elsewhere by themselves.
type census struct {
	countedAt       time.Time
	reporting, left map[string]int // by label
}

// isHearingWorkers reports whether a controller hears most of its workers, so that one that has gone
// elsewhere has rather met a slow answer than lost the way.
func (c *census) isHearingWorkers(label string) bool {
	return c.reporting[label] > 1 && c.reporting[label] > c.left[label]
}

// workerState is where a worker reports.
type workerState struct {
	incarnation   uint64 // of the newest report
	sequence      uint64
	controller    string // label; where it was sent, if it was
	lastHeartbeat time.Time
	departures    []departure // controllers that it has left by itself, in the last stayLeases
}

// departure is that a worker has left a controller by itself: it came elsewhere without being
// sent.
type departure struct {
	label    string
	at       time.Time
	repeated bool // it had left that one before
}

// NewRouter makes a router in a mode: what the leader before had, if that is known.
func NewRouter(cfg RouterConfig, mode Mode) *Router {
	return &Router{RouterConfig: cfg, mode: mode, workers: map[string]*workerState{}, load: map[string]int{}, usable: map[string]bool{}, fullUntil: map[string]time.Time{}, growth: 1,
		moves: rate.NewLimiter(0, 1)}
}

// Mode is the mode that followers are told.
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
	slog.Info("check-ins", "from", r.mode.String(), "to", to.String(), "workers", workers)
	r.mode = to
	clear(r.workers)
	clear(r.load)
}

// SetFleetSize takes the number of workers that the leader knows of.
func (r *Router) SetFleetSize(workers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch connections := float64(r.Connections); {
	case float64(workers) > connections*relayAboveShare:
		r.setMode(Relayed, workers)
	case float64(workers) < connections*directBelow:
		r.setMode(Direct, workers)
	}
	r.fleetSize = workers
	r.adjustGrowth()
	perSecond := float64(workers) / (moveIntervals * r.HeartbeatInterval.Seconds())
	r.moves.SetLimit(rate.Limit(perSecond))
	r.moves.SetBurst(max(1, int(perSecond)))
}

// SetUsable notes whether a follower is reached and can relay.
func (r *Router) SetUsable(label string, usable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.usable[label] != usable {
		r.usable[label] = usable
		r.adjustGrowth()
	}
}

// adjustGrowth lets controllers take more than their usual share where the usual shares of those that
// are reached do not hold the fleet. r.mu is held.
func (r *Router) adjustGrowth() {
	const step = 1.1
	for r.growth = 1; ; r.growth *= step {
		room, most := 0, true
		for label := range r.Zones {
			if label == r.Self || r.usable[label] {
				room += r.capacity(label)
				most = most && r.share(label) >= maxShare
			}
		}
		if most || float64(room) >= capacityFactor*float64(r.fleetSize) {
			return
		}
	}
}

// Load is the number of workers by the label of the controller that they report to.
func (r *Router) Load() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	load := make(map[string]int, len(r.load))
	for label, n := range r.load {
		load[label] = n
	}
	return load
}

// Route notes that a worker reports at a controller, and returns where it has to go: ""
// if it stays. A late copy of a report says nothing about where the worker is. A controller
// that has no connection left for it gives it up at once, if another one has room.
func (r *Router) Route(report *wire.Heartbeat, at string, pressure Pressure, now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == Direct {
		return "" // all report to the leader: nothing is counted
	}
	r.forgetStale(now)
	p, fresh := r.recordHeartbeat(report, at, now)
	if !fresh || r.shouldStay(p, now) {
		return ""
	}
	if pressure == Full {
		r.fullUntil[at] = now.Add(r.Lease)
	}
	to := r.chooseController(report.Zone, at, pressure, now)
	if to == at {
		return ""
	}
	// What a controller has too much of goes at once: it has no connections left.
	if !r.isOverloaded(at, report.Zone, pressure) && !r.moves.AllowN(now, 1) {
		return ""
	}
	r.assign(p, to)
	return to
}

// recordHeartbeat keeps where a worker reports. r.mu is held.
func (r *Router) recordHeartbeat(report *wire.Heartbeat, at string, now time.Time) (p *workerState, fresh bool) {
	p = r.workers[report.Host]
	if p == nil {
		p = &workerState{}
		r.workers[report.Host] = p
	}
	if report.Incarnation < p.incarnation || report.Incarnation == p.incarnation && report.Sequence <= p.sequence {
		return p, false
	}
	p.incarnation, p.sequence, p.lastHeartbeat = report.Incarnation, report.Sequence, now
	p.departures = slices.DeleteFunc(p.departures, func(d departure) bool { return now.Sub(d.at) >= stayLeases*r.Lease })
	if p.controller != "" && at != p.controller {
		p.recordDeparture(now)
	}
	r.assign(p, at)
	return p, true
}

// recordDeparture notes that a worker has left by itself the controller that it was at. Each is kept: a
// late copy of a report may look as if the worker had been at another one in between.
func (p *workerState) recordDeparture(now time.Time) {
	for i := range p.departures {
		if p.departures[i].label == p.controller {
			p.departures[i] = departure{p.controller, now, true}
			return
		}
	}
	p.departures = append(p.departures, departure{label: p.controller, at: now})
}

// shouldStay reports whether a worker that has gone elsewhere by itself is left alone there: it may
// not reach the controller that it has left. Sent back at once, it would lose its lease on the
// way. If that controller hears most of its workers, and the worker has not left it before, it
// has met a slow answer and may go back soon: away from its zone for three leases, it lost its
// tasks when the zone was cut off meanwhile. r.mu is held.
func (r *Router) shouldStay(p *workerState, now time.Time) bool {
	return slices.ContainsFunc(p.departures, func(d departure) bool {
		return d.repeated || now.Sub(d.at) < stayIntervals*r.HeartbeatInterval || !r.currentCensus(now).isHearingWorkers(d.label)
	})
}

// currentCensus is the census as it was a moment ago. r.mu is held.
func (r *Router) currentCensus(now time.Time) *census {
	c := &r.census
	if now.Sub(c.countedAt) < time.Duration(censusShare*float64(r.HeartbeatInterval)) {
		return c
	}
	*c = census{countedAt: now, reporting: map[string]int{}, left: map[string]int{}}
	for _, p := range r.workers {
		if now.Sub(p.lastHeartbeat) <= stayIntervals*r.HeartbeatInterval {
			c.reporting[p.controller]++
		}
		for _, d := range p.departures {
			if d.label != p.controller && now.Sub(d.at) < stayLeases*r.Lease {
				c.left[d.label]++
			}
		}
	}
	return c
}

// assign counts a worker at a controller. r.mu is held.
func (r *Router) assign(p *workerState, to string) {
	if p.controller == to {
		return
	}
	if p.controller != "" {
		r.load[p.controller]--
	}
	p.controller = to
	r.load[to]++
}

// chooseController is the controller that a worker of a zone which reports at one should report
// to. r.mu is held.
func (r *Router) chooseController(zone, at string, pressure Pressure, now time.Time) string {
	over := r.isOverloaded(at, zone, pressure)
	if r.Zones[at] == zone && !over {
		return at
	}
	other := func(label string) bool { return !over || label != at }
	if home := r.leastLoaded(now, zone, func(label string) bool { return r.Zones[label] == zone && other(label) }); home != "" {
		return home
	}
	least := r.leastLoaded(now, zone, func(label string) bool { return label != r.Self && other(label) })
	if least == "" {
		// No follower has room: the leader takes what is too much for one.
		if over && at != r.Self && r.load[r.Self] < r.capacity(r.Self) && !now.Before(r.fullUntil[r.Self]) {
			return r.Self
		}
		return at
	}
	switch {
	case over, at != r.Self && !r.usable[at]:
		return least
	case at == r.Self:
		return least // the leader has other things to do
	case float64(r.load[at]) > maxImbalance*float64(r.load[least]+1):
		return least
	}
	return at
}

// share is the share of its connections that a controller gives to workers. r.mu is held.
func (r *Router) share(label string) float64 {
	share := followerShare
	if label == r.Self {
		share = leaderShare
	}
	return min(share*r.growth, maxShare)
}

// capacity is how many workers a controller takes. r.mu is held.
func (r *Router) capacity(label string) int { return int(r.share(label) * float64(r.Connections)) }

// capacityFor is up to how many workers a controller takes one of a zone. One of its own zone
// has no other that it can report to while the zone is cut off: with a leader that took no more
// than its usual share, a third of a cut-off zone of 700 machines lost their leases.
func (r *Router) capacityFor(label, zone string) int {
	if r.Zones[label] == zone {
		return MaxWorkers(r.Connections)
	}
	return r.capacity(label)
}

// isOverloaded reports whether a controller has no connection for a worker of a zone that reports
// there. r.mu is held.
func (r *Router) isOverloaded(label, zone string, pressure Pressure) bool {
	return pressure == Full || r.load[label] > r.capacityFor(label, zone)
}

// leastLoaded is the controller with the fewest workers of those that can take one more of a zone, or
// "". r.mu is held.
func (r *Router) leastLoaded(now time.Time, zone string, which func(label string) bool) string {
	best := ""
	for label := range r.Zones {
		if label != r.Self && !r.usable[label] || !which(label) || r.load[label] >= r.capacityFor(label, zone) || now.Before(r.fullUntil[label]) {
			continue
		}
		if best == "" || r.load[label] < r.load[best] || r.load[label] == r.load[best] && label < best {
			best = label
		}
	}
	return best
}

// forgetStale forgets workers that have not reported for a lease. r.mu is held.
func (r *Router) forgetStale(now time.Time) {
	if now.Sub(r.staleCheckedAt) < r.Lease/2 {
		return
	}
	r.staleCheckedAt = now
	for host, p := range r.workers {
		if now.Sub(p.lastHeartbeat) > r.Lease && !slices.ContainsFunc(p.departures, func(d departure) bool { return now.Sub(d.at) < stayLeases*r.Lease }) {
			r.load[p.controller]--
			delete(r.workers, host)
		}
	}
}
