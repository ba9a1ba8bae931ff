package sched

import (
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// Node is a machine as a cycle sees it.
type Node struct {
	ID               string
	Type             string
	Zone             string
	Spot             bool
	Capacity         fleet.Resources
	Free             fleet.Resources // usable now; zero for a machine that accepts no launches
	FreeAfterStops   fleet.Resources // usable once the tasks that are being stopped have ended
	FreeAfterBoot    fleet.Resources // usable once the machine is up
	Registered       bool            // it sends heartbeats: it has images, or fetches them
	Images           []string        // images that it has or fetches
	ActiveFetches    int             // images that it fetches now; they share its fetch rate
	Victims          []Victim        // running tasks that may be preempted, in any order
	HourlyPrice      float64         // 0 if unknown
	ScaleInCandidate bool            // will be scaled in unless work that may not use spot machines needs it
	RunsOnDemandWork bool            // stays because it runs work that may not use spot machines
}

// Victim is a running task that a job of a higher priority may preempt, or a job within its team's
// quota if this task's team is beyond its own quota.
type Victim struct {
	Serial        int // identifies the attempt to the caller
	JobUID        string
	Team          string
	Level         int // priority level, below maxLevels
	Need          fleet.Resources
	MaxLossS      float64   // seconds of work lost if it is stopped; the upper bound if LossGrowsFrom is set
	LossGrowsFrom time.Time // if set, the loss grows from this time on
	IsReplica     bool      // a replica of a service: users notice at once that it is stopped
}

// lossS returns how many seconds of work are lost if the task is stopped now.
func (v *Victim) lossS(now time.Time) float64 {
	if v.LossGrowsFrom.IsZero() {
		return v.MaxLossS
	}
	return min(now.Sub(v.LossGrowsFrom).Seconds(), v.MaxLossS)
}

// Job is a job with pending tasks. A cycle updates PendingTasks, LiveAttempts and LiveByZone.
type Job struct {
	Spec             *wire.JobSpec
	Level            int            // priority level: higher goes first
	WithinQuota      bool           // fits its team's quota: does not wait for work of other teams
	QueuedSinceMs    int64          // Unix time when it was accepted or, if later, released by its dependencies
	PendingTasks     int            // tasks without an attempt
	LiveAttempts     int            // attempts that are not known to have ended
	LiveByZone       map[string]int // LiveAttempts by zone
	WaitedS          float64
	FetchDelaysStart bool    // the fetch of its image may make the start late
	StartSlackS      float64 // what is left of its time to start after fetch and delivery
	LaxityS          float64 // how long it can still wait and meet its deadline
	CannotAwaitBoot  bool    // has waited as long as a new machine takes to boot, or has no time left for that
	WaitedPastBoot   bool    // has waited as long as a new machine takes to boot
	SpotUnavailable  bool    // the cloud has no spot machine for it, so it does not wait for one
	FirstTaskOverdue bool    // this is the first task of an array that should have begun by now
	AvoidedMachine   string  // ID of a machine that it must not be placed on; "" if none
}

// Team is what a team uses, and its limit and quota. A limit of 0 means no limit, a quota of 0 no quota.
type Team struct {
	Used, Limit, Quota struct{ Cores, Gpus float64 }
	// Stopping is the part of Used that is being stopped. It counts against the limit until it is off
	// its machine, but no longer toward the quota.
	Stopping struct{ Cores, Gpus float64 }
}

// beyondQuota returns how much a team would still use beyond its quota if more of its work were stopped.
func (t *Team) beyondQuota(more fleet.Resources) fleet.Resources {
	return fleet.Resources{
		Cores: t.Used.Cores - t.Stopping.Cores - t.Quota.Cores - more.Cores,
		Gpus:  t.Used.Gpus - t.Stopping.Gpus - t.Quota.Gpus - more.Gpus,
	}
}

// Input is the snapshot that a cycle decides on. Its nodes are the machines of View, by slot, followed
// by Nodes.
type Input struct {
	Now             time.Time
	View            *View  // machines that are retained from cycle to cycle; nil if there are none
	Nodes           []Node // transient nodes of this cycle only
	Jobs            []*Job // in any order
	Teams           map[string]*Team
	Window          int     // most jobs that the cycle considers
	ReserveAfterS   float64 // the first job of the window gets a reservation once it has waited longer
	PriorityWeights [5]float64
	// Previous, if set, is the plan whose remaining room the cycle starts from, with the same view and
	// nodes. Room that is free once its stops have ended counts as free at once: such a cycle asks what
	// would fit, and its placements must not be launched.
	Previous *Plan
	// WithinQuota is the jobs within the quotas of their teams, by UID, those with nothing pending
	// included; nil if no team has a quota.
	WithinQuota map[string]bool
	// PreemptOnlyBelow protects work of this level or above from every job; 0 leaves it to the levels
	// of the jobs.
	PreemptOnlyBelow int
}

// DefaultPriorityWeights is p_j by priority level. They enter Plan.Objective only; that work of a higher
// priority goes first is up to SortQueue.
var DefaultPriorityWeights = [5]float64{0, 1, 4, 16, 64}
