package sched

import (
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/wire"
)

// Node is the state of a machine that a cycle uses. Only in this package and in its input is a machine called a node:
// elsewhere a node is a controller.
type Node struct {
	ID               string
	Type             string
	Zone             string
	Spot             bool
	Capacity         fleet.Resources
	Free             fleet.Resources // free now; zero for a machine that accepts no launches
	FreeAfterStops   fleet.Resources // free once the tasks that are being stopped have ended
	FreeAfterBoot    fleet.Resources // free once the machine has booted
	Registered       bool            // sends heartbeats, so it may have images or be fetching them
	Images           []string        // images that it has or is fetching
	ActiveFetches    int             // number of images being fetched; they share the machine's fetch rate
	Victims          []Victim        // running tasks that may be preempted; order does not matter
	HourlyPrice      float64         // 0 if unknown
	ScaleInCandidate bool            // will be scaled in unless a task that may not use spot machines needs it
	RunsOnDemandWork bool            // not scaled in, because it runs tasks that may not use spot machines
}

// Victim is a running task that may be preempted by a job of a higher priority. A job that is within its
// team's quota may also preempt it if the victim belongs to another team that exceeds its quota.
type Victim struct {
	Serial        int // the caller's identifier of the attempt
	JobUID        string
	Team          string
	Level         int // priority level, below maxLevels
	Need          fleet.Resources
	MaxLossS      float64   // seconds of work lost if the task is stopped; an upper bound if LossGrowsFrom is set
	LossGrowsFrom time.Time // if set, the loss is the time since then, at most MaxLossS
	IsReplica     bool      // replica of a service: stopping it affects users at once
}

// lossS returns how many seconds of work are lost if the task is stopped now.
func (v *Victim) lossS(now time.Time) float64 {
	if v.LossGrowsFrom.IsZero() {
		return v.MaxLossS
	}
	return min(now.Sub(v.LossGrowsFrom).Seconds(), v.MaxLossS)
}

// Job is a job with pending tasks. Run updates its PendingTasks, LiveAttempts and LiveByZone.
type Job struct {
	Spec             *wire.JobSpec
	Level            int            // priority level: higher levels go first
	WithinQuota      bool           // fits its team's quota: goes first, and does not wait for tasks that other teams run beyond theirs
	QueuedSinceMs    int64          // Unix time in ms when it was accepted or, if later, became ready: the jobs that it depends on were done
	PendingTasks     int            // tasks without an attempt that may be placed now
	LiveAttempts     int            // attempts not known to have ended
	LiveByZone       map[string]int // LiveAttempts by zone
	HasStarted       bool           // one of its tasks has been launched before
	WaitedS          float64        // seconds that it has been waiting
	FetchDelaysStart bool           // fetching its image may make it start too late
	StartSlackS      float64        // its target time to start minus the time for image fetch and delivery
	LaxityS          float64        // how long it can still wait and meet its deadline; negative if it cannot
	CannotAwaitBoot  bool           // has waited as long as a machine takes to boot, or would miss its deadline by waiting for one
	WaitedPastBoot   bool           // has waited as long as a machine takes to boot
	SpotUnavailable  bool           // the cloud has no spot machine for it: do not wait for one
	FirstTaskOverdue bool           // holds only the first task of an array, which should have started by now
	AvoidedMachine   string         // ID of a machine that it must not be placed on; "" if none
}

// Team holds a team's usage, limit and quota. A limit of 0 means no limit, a quota of 0 no quota.
type Team struct {
	Used, Limit, Quota struct{ Cores, Gpus float64 }
	// Stopping is the part of Used whose tasks are being stopped. It counts against the limit until the
	// tasks have left their machines, but no longer counts toward the quota.
	Stopping struct{ Cores, Gpus float64 }
}

// beyondQuota returns by how much the team's usage would exceed its quota if the resources in more were
// also released. Negative amounts are below the quota.
func (t *Team) beyondQuota(more fleet.Resources) fleet.Resources {
	return fleet.Resources{
		Cores: t.Used.Cores - t.Stopping.Cores - t.Quota.Cores - more.Cores,
		Gpus:  t.Used.Gpus - t.Stopping.Gpus - t.Quota.Gpus - more.Gpus,
	}
}

// Input is the snapshot that a cycle works on. A node index of a Plan counts the slots of View first,
// then Nodes.
type Input struct {
	Now             time.Time
	View            *View  // machines that are retained from cycle to cycle; nil if there are none
	Nodes           []Node // nodes that exist in this cycle only
	Jobs            []*Job // order does not matter
	Teams           map[string]*Team
	Window          int     // maximum number of jobs that the cycle considers
	ReserveAfterS   float64 // the first job that is tried may get a reservation once it has waited longer than this
	PriorityWeights [5]float64
	// Previous, if set, is a plan for the same view and nodes; the cycle starts from the capacity that it
	// left. Capacity that the stopping tasks of that plan still occupy counts as free, so the result only
	// shows what would fit: its placements must not be launched.
	Previous *Plan
	// WithinQuota says by UID whether a job is within its team's quota. It includes jobs without pending
	// tasks. It is nil if no team has a quota.
	WithinQuota map[string]bool
	// PreemptOnlyBelow, if above 0, is a priority level: tasks of this level or above are not preempted
	// for their priority. If it is 0, only the levels of the jobs decide.
	PreemptOnlyBelow int
}

// DefaultPriorityWeights holds p_j (see the package comment) by priority level. The weights affect only
// Plan.Objective; SortQueue puts jobs of higher priority first.
var DefaultPriorityWeights = [5]float64{0, 1, 4, 16, 64}
