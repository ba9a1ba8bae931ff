package relay

import (
	"log/slog"
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
	workersShare    = 0.5  // workers that a follower takes
	leaderShare     = 0.25 // workers that the leader keeps itself once others relay
	unevenness      = 1.25 // times the least load that a follower may have before it gives workers up
	moveIntervals   = 4    // reports' intervals in which the whole fleet may be moved
	stayLeases      = 3    // leases for which a worker stays where it came back to
)

// RouterConfig is what a Router is made with.
type RouterConfig struct {
	Self        string            // label of this node
	Zones       map[string]string // zone by label, this node's included
	Connections int               // that a node may have
	ReportEvery time.Duration
	Lease       time.Duration
}

// Router decides at the leader which controller each worker reports to. Once the fleet
// is larger than the connections of one controller allow, workers are sent to a
// controller of their own zone, so that a zone that is cut off keeps its leases; those
// of zones without one go where the fewest are.
type Router struct {
	RouterConfig

	mu      sync.Mutex
	mode    Mode
	workers map[string]*placement // by host
	load    map[string]int        // workers by label
	usable  map[string]bool       // followers that are reached and can relay
	moves   *rate.Limiter
	swept   time.Time
}

// placement is where a worker reports.
type placement struct {
	shift    uint64 // of the newest report
	tick     uint64
	at       string // label; where it was sent, if it was
	seen     time.Time
	staysTil time.Time // it came here by itself: it is not sent anywhere before
}

// NewRouter makes a router in a mode: what the leader before had, if that is known.
func NewRouter(cfg RouterConfig, mode Mode) *Router {
	return &Router{RouterConfig: cfg, mode: mode, workers: map[string]*placement{}, load: map[string]int{}, usable: map[string]bool{},
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

// Resize takes the number of workers that the leader knows of.
func (r *Router) Resize(workers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch connections := float64(r.Connections); {
	case float64(workers) > connections*relayAboveShare:
		r.setMode(Relayed, workers)
	case float64(workers) < connections*directBelow:
		r.setMode(Direct, workers)
	}
	perSecond := float64(workers) / (moveIntervals * r.ReportEvery.Seconds())
	r.moves.SetLimit(rate.Limit(perSecond))
	r.moves.SetBurst(max(1, int(perSecond)))
}

// Usable notes whether a follower is reached and can relay.
func (r *Router) Usable(label string, usable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usable[label] = usable
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
// if it stays. A late copy of a report says nothing about where the worker is.
func (r *Router) Route(report *wire.Report, at string, now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == Direct {
		return "" // all report to the leader: nothing is counted
	}
	r.sweep(now)
	p, fresh := r.note(report, at, now)
	if !fresh || now.Before(p.staysTil) {
		return ""
	}
	to := r.choose(report.Yard, at)
	if to == at {
		return ""
	}
	// What a controller has too much of goes at once: it has no connections left.
	if tooMany := r.load[at] > r.capacity(at); !tooMany && !r.moves.AllowN(now, 1) {
		return ""
	}
	r.moveLoad(p, to)
	return to
}

// note keeps where a worker reports. One that has gone elsewhere by itself is left alone
// for a while: it may not reach the controller that it comes from. Sent back at once, it
// would lose its lease on the way. r.mu is held.
func (r *Router) note(report *wire.Report, at string, now time.Time) (p *placement, fresh bool) {
	p = r.workers[report.Host]
	if p == nil {
		p = &placement{}
		r.workers[report.Host] = p
	}
	if report.Shift < p.shift || report.Shift == p.shift && report.Tick <= p.tick {
		return p, false
	}
	p.shift, p.tick, p.seen = report.Shift, report.Tick, now
	if p.at != "" && at != p.at {
		p.staysTil = now.Add(stayLeases * r.Lease)
	}
	r.moveLoad(p, at)
	return p, true
}

// moveLoad counts a worker at a controller. r.mu is held.
func (r *Router) moveLoad(p *placement, to string) {
	if p.at == to {
		return
	}
	if p.at != "" {
		r.load[p.at]--
	}
	p.at = to
	r.load[to]++
}

// choose is the controller that a worker of a zone which reports at one should report
// to. r.mu is held.
func (r *Router) choose(zone, at string) string {
	if r.Zones[at] == zone && r.load[at] <= r.capacity(at) {
		return at
	}
	if home := r.least(func(label string) bool { return r.Zones[label] == zone }); home != "" {
		return home
	}
	least := r.least(func(label string) bool { return label != r.Self })
	if least == "" {
		// No follower has room: the leader takes what is too much for one.
		if r.load[at] > r.capacity(at) && r.load[r.Self] < r.capacity(r.Self) {
			return r.Self
		}
		return at
	}
	switch {
	case r.load[at] > r.capacity(at), at != r.Self && !r.usable[at]:
		return least
	case at == r.Self:
		return least // the leader has other things to do
	case float64(r.load[at]) > unevenness*float64(r.load[least]+1):
		return least
	}
	return at
}

// capacity is how many workers a controller takes. r.mu is held.
func (r *Router) capacity(label string) int {
	share := workersShare
	if label == r.Self {
		share = leaderShare
	}
	return int(share * float64(r.Connections))
}

// least is the controller with the fewest workers of those that can take one more, or
// "". r.mu is held.
func (r *Router) least(which func(label string) bool) string {
	best := ""
	for label := range r.Zones {
		if label != r.Self && !r.usable[label] || !which(label) || r.load[label] >= r.capacity(label) {
			continue
		}
		if best == "" || r.load[label] < r.load[best] || r.load[label] == r.load[best] && label < best {
			best = label
		}
	}
	return best
}

// sweep forgets workers that have not reported for a lease. r.mu is held.
func (r *Router) sweep(now time.Time) {
	if now.Sub(r.swept) < r.Lease/2 {
		return
	}
	r.swept = now
	for host, p := range r.workers {
		if now.Sub(p.seen) > r.Lease && now.After(p.staysTil) {
			r.load[p.at]--
			delete(r.workers, host)
		}
	}
}
