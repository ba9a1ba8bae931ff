// Package controller does the work of the leader of a fleet, for one term: it runs scheduling
// cycles, commits their decisions, answers workers' heartbeats, and scales the fleet out and in.
//
// Controller ties the parts together: it owns the lock and the order of the steps. Decisions that need neither the lock
// nor this order are made by separate types: by jobTable and job, batchBuilder, nodeCache and nodeBuilder, urgency,
// failoverReport and changedViews in this package, and by the packages fleet, sched, jobdag, autoscaler,
// failuredetector and faultattribution. One lock guards the whole state, because a scheduling cycle needs a consistent
// view of all of it. Nothing blocks while the lock is held.
package controller

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lotusstile.dev/lotusstile/internal/autoscaler"
	"lotusstile.dev/lotusstile/internal/failuredetector"
	"lotusstile.dev/lotusstile/internal/faultattribution"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/wire"
)

// Controller leads one term.
//
// mu guards the fields below it. Each group of these fields is changed only in the files that its comment names. The
// doc comment of a method that must be called with mu held says "c.mu is held"; all other methods lock mu themselves or
// use nothing that it guards.
type Controller struct {
	Options
	term          uint64
	startedAt     time.Time
	now           func() time.Time
	placementWake chan struct{} // there is something to place
	releaseWake   chan struct{} // there is a machine to release
	resolveWake   chan struct{} // a job depends on one whose final status is not known yet
	writer        *placementWriter
	progress      atomic.Uint64 // see Progress

	mu sync.Mutex

	// The term: controller.go, load.go, failover.go.
	cancel   context.CancelFunc
	loader   *recordLoader // set while the state is being loaded; used by the loading goroutine only
	loaded   bool
	failover *failoverReport

	// Jobs and their attempts: jobevents.go, dependencies.go, commits.go, launches.go, failures.go.
	jobs                  *jobTable
	fleet                 *fleet.Fleet
	faultEvidence         *faultattribution.Evidence // which jobs and machines have failed attempts
	singleJobCommitsUntil time.Time                  // until then a batch holds records of one job only

	// Task counts for users: taskcounts.go.
	countsRevisionDue time.Time // when reviseUnconfirmedCounts is due; zero: never again, or not yet loaded

	// Scheduling cycles: cycle.go, nodecache.go, progress.go.
	window      int // how many jobs a cycle considers
	lastCycle   wire.CycleStatus
	lastCycleAt time.Time
	cycleDue    time.Time // when the next cycle is due; zero until the first one is awaited
	nodes       nodeCache

	// Scale out: scaleout.go, headroom.go, machinelist.go.
	catalog          *wire.Catalog
	requests         *autoscaler.Requests
	refusals         *autoscaler.Refusals
	arrivals         *autoscaler.Arrivals
	headroomMachines map[string]bool // machines that the last cycle kept as headroom

	// Scale in: scalein.go.
	releases *autoscaler.Releases

	// Failure detection: liveness.go.
	detector *failuredetector.Detector

	// Answers to workers: heartbeat.go, tokenannounce.go.
	waitingAnswers map[string]chan struct{} // by machine; when a channel is closed, the heartbeat answer that waits is sent
	announcedAt    map[string]time.Time     // when the fencing token was last announced, by machine

	// Images of machines, as the records list them: imagerecords.go.
	recordedImages map[string]recordedImages // by machine

	// Changes that a warm standby has to be sent: standbyviews.go.
	views changedViews
}

// New returns the controller of a term. Run makes it lead.
func New(options Options, term uint64) *Controller {
	lease := options.Config.WorkerLease()
	jobs := newJobTable()
	c := &Controller{
		Options:        options,
		term:           term,
		now:            time.Now,
		placementWake:  make(chan struct{}, 1),
		releaseWake:    make(chan struct{}, 1),
		resolveWake:    make(chan struct{}, 1),
		jobs:           jobs,
		faultEvidence:  faultattribution.New(evidenceLeases * lease),
		window:         options.Settings().Window,
		nodes:          newNodeCache(jobs),
		requests:       autoscaler.NewRequests(term),
		refusals:       autoscaler.NewRefusals(lease),
		arrivals:       autoscaler.NewArrivals(lease),
		releases:       autoscaler.NewReleases(term),
		waitingAnswers: map[string]chan struct{}{},
		announcedAt:    map[string]time.Time{},
		recordedImages: map[string]recordedImages{},
	}
	c.startedAt = c.now()
	c.fleet = fleet.New(term, lease, c)
	c.detector = newDetector(options.Config, c.usualBootS)
	c.writer = newPlacementWriter(options.Config, options.Store, term, c)
	c.failover = newFailoverReport(term, options.Config.Label, options.LeaderlessSince, c.startedAt)
	return c
}

// Term returns the term that the controller leads.
func (c *Controller) Term() uint64 { return c.term }

// StartedAt returns when New was called.
func (c *Controller) StartedAt() time.Time { return c.startedAt }

// Run leads until ctx ends or a newer term is known to exist. It must be called only once. It returns when all its
// goroutines have ended, except the one that stores the record of a failover.
func (c *Controller) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	c.JobCache.SetListener(c.applyJobEvent)
	defer c.JobCache.SetListener(nil)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.monitorProgress(ctx) })
	if !c.loadStateWithRetries(ctx) {
		return
	}
	for _, run := range []func(context.Context){
		c.writer.run,
		c.runCycles,
		c.pollCloud,
		c.releaseMachines,
		c.announceToken,
		c.recordImages,
		c.followRenewedLeases,
		c.runResolver,
	} {
		wg.Go(func() { run(ctx) })
	}
}

// loadStateWithRetries loads the state and retries until that succeeds. It returns false if ctx ends first.
func (c *Controller) loadStateWithRetries(ctx context.Context) bool {
	retryDelay := c.Config.LeaderLeaseTTL() / 10
	for {
		err := c.loadState(ctx)
		if err == nil {
			return true
		}
		slog.Warn("state cannot be loaded", "term", c.term, "err", err)
		if !timeralign.Sleep(ctx, retryDelay) {
			return false
		}
	}
}

// untilNext returns how long to wait until periodic work with this period is next due. All periodic work is due on a
// common timer grid, so that work of different periods wakes the process at the same moments.
func (c *Controller) untilNext(period time.Duration) time.Duration {
	return c.Config.TimerGrid().UntilNext(time.Now(), period)
}

// stepDown ends the term because a newer one is known to exist. c.mu must not be held, since stepDown locks it: a
// leader that called stepDown with c.mu held deadlocked and never answered a request again.
func (c *Controller) stepDown(reason string) {
	slog.Info("term ends", "term", c.term, "reason", reason)
	c.mu.Lock()
	cancel := c.cancel
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// stepDownOnLeaderConflict ends the term if a commit failed because the leader's key has changed. c.mu must not be
// held.
func (c *Controller) stepDownOnLeaderConflict(err error) {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) && slices.Contains(conflict.Failed, records.LeaderKey) {
		c.stepDown("the leader's key has changed")
	}
}

// notify wakes the goroutine that waits on ch. If none waits now, the next wait on ch ends at once.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// stopAttempt requests the end of an attempt within a grace period in seconds. If a heartbeat answer to the attempt's
// machine is waiting for commands, it is sent now. c.mu is held.
func (c *Controller) stopAttempt(a *fleet.Attempt, gracePeriodS float64, now time.Time, reason string) {
	c.fleet.StopAttempt(a, gracePeriodS, now, reason)
	if a.Live() {
		c.endAnswerWait(a.Machine)
	}
}

// setCapacity sets the capacity of a machine according to its type in the catalog. It does nothing if the catalog does
// not have the type. c.mu is held.
func (c *Controller) setCapacity(m *fleet.Machine) {
	if machineType := findMachineType(c.catalog, m.Type); machineType != nil {
		m.Capacity = autoscaler.Capacity(machineType)
		c.fleet.MarkChanged(m)
	}
}

// MachineChanged logs a change of a machine's state and updates what depends on that state. The fleet calls it for
// every change, with c.mu held.
func (c *Controller) MachineChanged(m *fleet.Machine, from fleet.MachineState, reason string) {
	if from == m.State {
		slog.Info("machine added", "host", m.ID, "state", m.State.String(), "reason", reason)
	} else {
		slog.Info("machine state changed", "host", m.ID, "from", from.String(), "to", m.State.String(),
			"incarnation", m.Incarnation, "reason", reason)
	}
	c.views.markMachine(m.ID)
	m.EachAttempt(func(a *fleet.Attempt) {
		if j := c.jobs.get(a.JobUID); j != nil {
			c.jobs.markCountsChanged(j) // what is known of the attempt depends on the machine's state
		}
	})
	c.recordFirstReady(m)
	if m.State == fleet.Gone {
		c.faultEvidence.ForgetMachine(m.ID)
	}
}
