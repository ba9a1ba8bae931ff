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
type Controller struct {
	Options
	term          uint64
	placementWake chan struct{} // there is something to place
	releaseWake   chan struct{} // there is a machine to release
	resolveWake   chan struct{} // a job waits for one whose final status is not known
	now           func() time.Time

	mu sync.Mutex

	// The term: controller.go, load.go, takeover.go.
	cancel        context.CancelFunc
	startedAt     time.Time
	loaded        bool
	proofAttempts int                        // checks of what was followed that the state service did not answer
	listings      map[string][]wire.KeyValue // records that load has listed so far, by prefix
	failover      *failoverReport

	// Jobs and their attempts: jobevents.go, dependencies.go, failures.go.
	jobs     *jobTable
	fleet    *fleet.Fleet
	evidence *faultattribution.Evidence // which jobs and machines fail

	// Rounds: round.go, picture.go, nodes.go.
	window      int
	lastRound   wire.RoundStatus
	lastRoundAt time.Time
	nodes       nodeCache // nodes.go

	// Scale out: scaleout.go, headroom.go, machinelist.go.
	catalog          *wire.Catalog
	requests         *autoscaler.Requests
	refusals         *autoscaler.Refusals
	arrivals         *autoscaler.Arrivals
	headroomMachines map[string]bool // machines that the last round kept as headroom

	// Scale in: scalein.go.
	releases *autoscaler.Releases

	// Who is alive: liveness.go.
	detector *failuredetector.Detector

	// Answers to workers: heartbeat.go, tokenannounce.go.
	waitingAnswers map[string]chan struct{} // check-ins that wait for commands, by machine
	announcedAt    map[string]time.Time     // when the fencing token was last announced, by machine

	// Commits: placementwriter.go, commits.go.
	writer                *placementWriter
	singleJobCommitsUntil time.Time // until when jobs are written one by one

	// Images on record: imagerecords.go.
	recordedImages map[string]recordedImages // which images of a machine are recorded

	// What a standby follows: views.go.
	views changedViews
}

// New makes the controller of a term.
func New(options Options, term uint64) *Controller {
	c := &Controller{Options: options, term: term, placementWake: make(chan struct{}, 1), releaseWake: make(chan struct{}, 1),
		resolveWake: make(chan struct{}, 1), now: time.Now,
		jobs: newJobTable(), recordedImages: map[string]recordedImages{}, announcedAt: map[string]time.Time{}, waitingAnswers: map[string]chan struct{}{}}
	c.fleet = fleet.New(term, options.Config.WorkerLease(), c)
	c.evidence = faultattribution.New(evidenceLeases * options.Config.WorkerLease())
	c.requests = autoscaler.NewRequests(term)
	c.refusals = autoscaler.NewRefusals(options.Config.WorkerLease())
	c.arrivals = autoscaler.NewArrivals(options.Config.WorkerLease())
	c.releases = autoscaler.NewReleases(term)
	c.detector = newDetector(options.Config)
	c.nodes = newNodeCache()
	c.writer = newPlacementWriter(options.Config, options.Store, term, c)
	c.startedAt = c.now()
	c.window = options.Settings().Window
	c.failover = newFailoverReport(term, options.Config.Label, options.LeaderlessSince, c.startedAt)
	return c
}

// Term is the term it leads.
func (c *Controller) Term() uint64 { return c.term }

// StartedAt is when the term began here.
func (c *Controller) StartedAt() time.Time { return c.startedAt }

// Run leads until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	c.JobCache.Listen(c.applyJobEvent)
	defer c.JobCache.Listen(nil)
	pause := c.Config.LeaderLeaseTTL() / 10
	for {
		err := c.loadState(ctx)
		if err == nil {
			break
		}
		slog.Warn("cannot load the picture", "term", c.term, "err", err)
		if !timeralign.Sleep(ctx, pause) {
			return
		}
	}
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){
		c.writer.run, c.runRounds, c.followCloud, c.releaseMachines, c.announceToken, c.recordImages, c.followRenewedLeases, c.runResolver,
	} {
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

// stepDown ends the term: a newer one is known to exist.
func (c *Controller) stepDown(why string) {
	slog.Info("term is over", "term", c.term, "why", why)
	c.mu.Lock()
	cancel := c.cancel
	c.mu.Unlock()
	if cancel != nil {
		cancel()
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
func (c *Controller) stopAttempt(a *fleet.Attempt, gracePeriodS float64, now time.Time, why string) {
	c.fleet.StopAttempt(a, gracePeriodS, now, why)
	if a.Live() {
		c.endAnswerWait(a.Machine)
	}
}

// setCapacity fills in what a machine of its type offers.
func (c *Controller) setCapacity(m *fleet.Machine) {
	if c.catalog == nil || m.Type == "" {
		return
	}
	for i := range c.catalog.MachineTypes {
		if c.catalog.MachineTypes[i].Name == m.Type {
			m.Capacity = autoscaler.Capacity(&c.catalog.MachineTypes[i])
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
	c.views.markMachine(m.ID)
	c.recordFirstReady(m)
	if m.State == fleet.Gone {
		c.evidence.ForgetMachine(m.ID)
	}
}

// stepDownOnLeaderConflict ends the term if a commit failed because of the leader's key.
func (c *Controller) stepDownOnLeaderConflict(err error) {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) && slices.Contains(conflict.Failed, records.LeaderKey) {
		c.stepDown("the leader's key has changed")
	}
}
