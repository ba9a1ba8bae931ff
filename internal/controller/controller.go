// Package controller is the leader of a fleet at work, for one term: it runs scheduling cycles,
// commits what they decide, answers workers' heartbeats, and scales the fleet out and in.
//
// A Controller is the assembly. It owns the lock and the order of steps; what can be decided
// without either stands in types of its own: jobTable and job, batchBuilder, nodeCache and
// nodeBuilder, urgency, failoverReport and changedViews here, and the packages fleet, sched,
// jobdag, autoscaler, failuredetector and faultattribution. One lock guards the whole state,
// since a scheduling cycle has to see all of it at one moment. Nothing waits while it is held.
package controller

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
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
// The fields below mu are guarded by it. Each group of them is changed by the files that its
// comment names only.
type Controller struct {
	Options
	term          uint64
	startedAt     time.Time
	now           func() time.Time
	placementWake chan struct{} // there is something to place
	releaseWake   chan struct{} // there is a machine to release
	resolveWake   chan struct{} // a job waits for one whose final status is not known
	writer        *placementWriter

	mu sync.Mutex

	// The term: controller.go, load.go, failover.go.
	cancel   context.CancelFunc
	loader   *recordLoader // while the state is loaded, by the goroutine that does so
	loaded   bool
	failover *failoverReport

	// Jobs and their attempts: jobevents.go, dependencies.go, commits.go, launches.go, failures.go.
	jobs                  *jobTable
	fleet                 *fleet.Fleet
	faultEvidence         *faultattribution.Evidence // which jobs and machines fail
	singleJobCommitsUntil time.Time                  // until when jobs are written one by one

	// Scheduling cycles: cycle.go, nodecache.go.
	window      int // how many jobs a cycle looks at
	lastCycle   wire.RoundStatus
	lastCycleAt time.Time
	nodes       nodeCache

	// Scale out: scaleout.go, headroom.go, machinelist.go.
	catalog          *wire.Catalog
	requests         *autoscaler.Requests
	refusals         *autoscaler.Refusals
	arrivals         *autoscaler.Arrivals
	headroomMachines map[string]bool // machines that the last cycle kept as headroom

	// Scale in: scalein.go.
	releases *autoscaler.Releases

	// Who is alive: liveness.go.
	detector *failuredetector.Detector

	// Answers to workers: heartbeat.go, tokenannounce.go.
	waitingAnswers map[string]chan struct{} // heartbeats whose answers wait for commands, by machine
	announcedAt    map[string]time.Time     // when the fencing token was last announced, by machine

	// Images on record: imagerecords.go.
	recordedImages map[string]recordedImages // by machine

	// What a warm standby follows: standbyviews.go.
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

// StartedAt returns when the term began here.
func (c *Controller) StartedAt() time.Time { return c.startedAt }

// Run leads until ctx ends or a newer term is known to exist. It returns once all its
// goroutines have, but for the one that stores the record of a failover.
func (c *Controller) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	c.JobCache.SetListener(c.applyJobEvent)
	defer c.JobCache.SetListener(nil)
	if !c.loadUntilDone(ctx) {
		return
	}
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){
		c.writer.run,
		c.runCycles,
		c.followCloud,
		c.releaseMachines,
		c.announceToken,
		c.recordImages,
		c.followRenewedLeases,
		c.runResolver,
	} {
		wg.Go(func() { run(ctx) })
	}
	wg.Wait()
}

// loadUntilDone loads the state, again and again until that succeeds. It reports whether it did;
// if not, ctx has ended.
func (c *Controller) loadUntilDone(ctx context.Context) bool {
	pause := c.Config.LeaderLeaseTTL() / 10
	for {
		err := c.loadState(ctx)
		if err == nil {
			return true
		}
		slog.Warn("state cannot be loaded", "term", c.term, "err", err)
		if !timeralign.Sleep(ctx, pause) {
			return false
		}
	}
}

// untilNext is how long to wait for periodic work, so that works of different periods wake the
// process together.
func (c *Controller) untilNext(period time.Duration) time.Duration {
	return c.Config.TimerGrid().UntilNext(time.Now(), period)
}

// stepDown ends the term: a newer one is known to exist. c.mu must not be held: a leader that
// ended its term while holding it answered nobody, for ever.
func (c *Controller) stepDown(reason string) {
	slog.Info("term ends", "term", c.term, "reason", reason)
	c.mu.Lock()
	cancel := c.cancel
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// stepDownOnLeaderConflict ends the term if a commit failed because of the leader's key. c.mu
// must not be held.
func (c *Controller) stepDownOnLeaderConflict(err error) {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) && slices.Contains(conflict.Failed, records.LeaderKey) {
		c.stepDown("the leader's key has changed")
	}
}

// notify wakes whoever waits on ch, now or next.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// stopAttempt asks for the end of an attempt.
func (c *Controller) stopAttempt(a *fleet.Attempt, gracePeriodS float64, now time.Time, reason string) {
	c.fleet.StopAttempt(a, gracePeriodS, now, reason)
	if a.Live() {
		c.endAnswerWait(a.Machine)
	}
}

// setCapacity sets the capacity of a machine to what the catalog says of its type, if it does.
func (c *Controller) setCapacity(m *fleet.Machine) {
	if machineType := findMachineType(c.catalog, m.Type); machineType != nil {
		m.Capacity = autoscaler.Capacity(machineType)
		c.fleet.MarkChanged(m)
	}
}

// MachineChanged logs a change of a machine's state and passes it on to what depends on it. The
// fleet calls it for every change, with c.mu held.
func (c *Controller) MachineChanged(m *fleet.Machine, from fleet.MachineState, reason string) {
	if from == m.State {
		slog.Info("machine added", "host", m.ID, "state", m.State.String(), "reason", reason)
	} else {
		slog.Info("machine state changed", "host", m.ID, "from", from.String(), "to", m.State.String(),
			"incarnation", m.Incarnation, "reason", reason)
	}
	c.views.markMachine(m.ID)
	c.recordFirstReady(m)
	if m.State == fleet.Gone {
		c.faultEvidence.ForgetMachine(m.ID)
	}
}
