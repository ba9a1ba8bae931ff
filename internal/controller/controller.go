// Package controller is the leader at work: it keeps the picture, runs the
// rounds, writes what they decide, answers workers and looks after machines.
// One Controller lives for one term.
//
// All parts share one picture under one lock, since a round has to see it at one moment. Each
// field belongs to the files that the comment above its group names: others only read it.
package controller

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/clusterversion"
	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/faultattribution"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/jobdag"
	"lotusstile.dev/lotusstile/internal/provision"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/standby"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// Store is what a controller needs of the state service.
type Store interface {
	watchcache.Reader
	Get(ctx context.Context, key string) (wire.KeyValue, bool, error)
	Commit(ctx context.Context, tx wire.Transaction) (uint64, error)
}

// Cloud is what it needs of the cloud.
type Cloud interface {
	Catalog(ctx context.Context) (wire.Catalog, error)
	Provision(ctx context.Context, r wire.ProvisionRequest) ([]string, error)
	Return(ctx context.Context, hosts []string) error
	List(ctx context.Context) ([]wire.ListedHost, error)
	// MinListDuration is the least time that a list of so many machines takes.
	MinListDuration(machines int) time.Duration
}

// Worker is what it needs of workers.
type Worker interface {
	// Announce tells a worker the term's token. It returns the worker's
	// session and the highest token the worker has seen.
	Announce(ctx context.Context, address string, token, incarnation uint64) (wire.Heartbeat, error)
}

// VersionTracker tells which formats of records are in use.
type VersionTracker interface {
	InForce() clusterversion.Version
}

// Deps is what a controller works with.
type Deps struct {
	Config         *config.Config
	Store          Store
	Cloud          Cloud
	Worker         Worker
	JobCache       *watchcache.Cache
	Version        VersionTracker
	Settings       func() wire.Settings
	ObserveTerm    func(term uint64)   // a newer term was seen
	RenewedByPeers func() []string     // machines that peers answer
	Reached        func() []string     // zones of the controllers that are reached, this one included
	Rounded        func(time.Duration) // a round took this long
	// RelayReached reports whether a follower that relays reports answers.
	RelayReached func(label string) bool
	// Prove checks what this node has followed as a warm standby; nil if it follows nothing.
	Prove func(ctx context.Context, term uint64) (*standby.Proven, error)
	// Source offers what this term knows to a standby; nil if there is none.
	Source *standby.Source
	// Vacant is when this node saw that nobody leads.
	LeaderlessSince time.Time
	// Final is told of final statuses that are committed; nil if nobody asks.
	Final func(uid string, status wire.JobStatus)
	// Promoted is told once how the takeover went; nil if nobody asks.
	Promoted func(records.Takeover)
}

// Controller leads one term.
type Controller struct {
	Deps
	term          uint64
	wake          chan struct{} // the writer has work
	placementWake chan struct{} // there is something to place
	returnsWake   chan struct{} // there is something to return
	resolveWake   chan struct{} // a job waits for one whose final status is not known
	now           func() time.Time

	mu sync.Mutex

	// The term: controller.go, load.go, takeover.go.
	cancel       context.CancelFunc
	begun        time.Time
	loaded       bool
	warmAttempts int                        // checks of what was followed that the state service did not answer
	listings     map[string][]wire.KeyValue // records that load has listed so far, by prefix
	takeover     *takeover

	// Jobs and their attempts: events.go, dependencies.go, status.go.
	jobs           map[string]*job
	graph          *jobdag.Graph
	countsRevision uint64        // counts changes of jobs' counts of tasks
	finals         []finalStatus // final statuses to tell, by revision: finals.go
	fleet          *fleet.Fleet
	evidence       *faultattribution.Evidence // who fails where: failures.go

	// Rounds: round.go, picture.go, nodes.go, spare.go.
	window           int
	last             wire.RoundStatus
	lastAt           time.Time
	arrive           map[string]*arrivals
	headroomMachines map[string]bool // machines kept as spare room by the last round
	nodes            nodeCache       // nodes.go

	// The cloud: rent.go.
	catalog          *wire.Catalog
	provisionCounter int // counter in booking names
	pendingRequests  map[string]*provisionRequest
	refused          map[provision.MachineGroup]refusal

	// Returns: returns.go.
	returns        map[string]*pendingReturn
	returnsRecords []returnsRecord
	returnKeys     int // counter in their keys

	// Who is alive: lost.go.
	steady                time.Time            // since when liveness is judged
	cutOff                map[string]time.Time // by zone: when most of it was last silent
	relayUnreachableSince map[string]time.Time // while followers relay, by controller: when its links last seemed lost
	answersPaused         bool                 // no reports are answered: no machine is declared lost for its silence

	// Answers to workers: checkin.go, announce.go.
	waitingAnswers map[string]chan struct{} // check-ins that wait for commands, by machine
	announced      map[string]time.Time     // when the token was last announced, by machine

	// Records: writer.go, limits.go, images.go.
	singlesUntil   time.Time            // until when jobs are written one by one
	recordedImages map[string]imageNote // which images of a machine are recorded

	// What a standby follows: views.go.
	views viewChanges
}

// New makes the controller of a term.
func New(d Deps, term uint64) *Controller {
	c := &Controller{Deps: d, term: term, wake: make(chan struct{}, 1), placementWake: make(chan struct{}, 1), returnsWake: make(chan struct{}, 1),
		resolveWake: make(chan struct{}, 1), now: time.Now,
		jobs: map[string]*job{}, graph: jobdag.New(), pendingRequests: map[string]*provisionRequest{}, refused: map[provision.MachineGroup]refusal{},
		arrive: map[string]*arrivals{}, cutOff: map[string]time.Time{}, recordedImages: map[string]imageNote{}, announced: map[string]time.Time{}, waitingAnswers: map[string]chan struct{}{}, relayUnreachableSince: map[string]time.Time{}}
	c.fleet = fleet.New(term, d.Config.WorkerLease(), c)
	c.evidence = faultattribution.New(evidenceLeases * d.Config.WorkerLease())
	c.returns = map[string]*pendingReturn{}
	c.nodes = newNodeCache()
	c.countsRevision = 1
	c.begun = c.now()
	c.window = d.Settings().Window
	c.takeover = newTakeover(term, d.Config.Label, d.LeaderlessSince, c.begun)
	return c
}

// Term is the term it leads.
func (c *Controller) Term() uint64 { return c.term }

// Begun is when the term began here.
func (c *Controller) Begun() time.Time { return c.begun }

// Run leads until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	c.JobCache.Listen(c.jobEvent)
	defer c.JobCache.Listen(nil)
	pause := c.Config.LeaderLeaseTTL() / 10
	for {
		err := c.load(ctx)
		if err == nil {
			break
		}
		slog.Warn("cannot load the picture", "term", c.term, "err", err)
		if !timeralign.Sleep(ctx, pause) {
			return
		}
	}
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){c.writer, c.rounds, c.lists, c.returning, c.announcing, c.noteImages, c.followRenewedLeases, c.resolving} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(ctx)
		}()
	}
	wg.Wait()
}

// untilNext is how long to wait for periodic work, so that works of different
// periods wake the process together.
func (c *Controller) untilNext(period time.Duration) time.Duration {
	return c.Config.Grid().Next(time.Now(), period)
}

// depose ends the term: a newer one is known to exist.
func (c *Controller) depose(why string) {
	slog.Info("term is over", "term", c.term, "why", why)
	c.mu.Lock()
	cancel := c.cancel
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (c *Controller) wakeWriter() { notify(c.wake) }

// notify wakes whoever waits on ch, now or next.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// stop asks for the end of an attempt.
func (c *Controller) stop(a *fleet.Attempt, gracePeriodS float64, now time.Time, why string) {
	c.fleet.StopAttempt(a, gracePeriodS, now, why)
	if a.Live() {
		c.answerNow(a.Machine)
	}
}

// capacity fills in what a machine of its type offers.
func (c *Controller) capacity(m *fleet.Machine) {
	if c.catalog == nil || m.Type == "" {
		return
	}
	for i := range c.catalog.MachineTypes {
		if c.catalog.MachineTypes[i].Name == m.Type {
			m.Capacity = provision.Capacity(&c.catalog.MachineTypes[i])
			c.fleet.MarkChanged(m)
		}
	}
}

func (c *Controller) machineType(name string) *wire.MachineType {
	if c.catalog == nil {
		return nil
	}
	for i := range c.catalog.MachineTypes {
		if c.catalog.MachineTypes[i].Name == name {
			return &c.catalog.MachineTypes[i]
		}
	}
	return nil
}

// MachineChanged logs a machine's change of state.
func (c *Controller) MachineChanged(m *fleet.Machine, from fleet.MachineState, why string) {
	slog.Info("machine", "host", m.ID, "from", from.String(), "to", m.State.String(), "shift", m.Incarnation, "why", why)
	c.views.machine(m.ID)
	c.noteReady(m)
	if m.State == fleet.Gone {
		c.evidence.ForgetMachine(m.ID)
	}
}

// refresh takes a job's record, as just read, into the picture.
func (c *Controller) refresh(uid string, item wire.KeyValue) {
	var rec records.Job
	if err := wire.Decode(item.Value, &rec); err != nil {
		slog.Error("job record cannot be read", "uid", uid, "err", err)
		return
	}
	c.jobEvent(uid, watchcache.Entry{Job: &rec, ModRevision: item.ModRevision})
}

// checkDeposed ends the term if a commit failed because of the leader's key.
func (c *Controller) checkDeposed(err error) {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) && slices.Contains(conflict.Failed, records.LeaderKey) {
		c.depose("the leader's key has changed")
	}
}
