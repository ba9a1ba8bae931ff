package controller

import (
	"context"
	"time"

	"lotusstile.dev/lotusstile/internal/clusterversion"
	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/standby"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// Options are the settings of a controller and the systems that it works with. All fields
// without a remark are required.
type Options struct {
	Config *config.Config
	// Settings returns the operators' settings in force. It is called in every scheduling cycle.
	Settings func() wire.Settings

	Store    Store
	Cloud    Cloud
	Worker   Worker
	Peers    Peers
	Observer Observer
	Version  VersionTracker
	// JobCache is this node's watch cache of job records.
	JobCache *watchcache.Cache

	// LeaderlessSince is when this node saw that nobody leads; zero if it did not see that.
	LeaderlessSince time.Time
	// Prove checks what this node has followed as a warm standby against the state store, for a
	// new term; nil if it follows nothing.
	Prove func(ctx context.Context, term uint64) (*standby.Proven, error)
	// Source offers the state of this term to a warm standby; nil if there is none.
	Source *standby.Source
}

// Store is the part of the state store's client that a controller uses.
type Store interface {
	watchcache.Reader
	// Get reads one key; found is false if it does not exist.
	Get(ctx context.Context, key string) (item wire.KeyValue, found bool, err error)
	// Commit applies a transaction and returns the revision that it made. It fails with
	// *store.ConflictError, *store.RejectedError or store.ErrOutcomeUnknown, among others.
	Commit(ctx context.Context, tx wire.Transaction) (uint64, error)
}

// Cloud is the part of the cloud's client that a controller uses.
type Cloud interface {
	Catalog(ctx context.Context) (wire.Catalog, error)
	// Provision asks for machines and returns the names of those that it got, which may be
	// fewer. It fails with cloud.ErrNoCapacity if there are none.
	Provision(ctx context.Context, r wire.ProvisionRequest) ([]string, error)
	Return(ctx context.Context, hosts []string) error
	List(ctx context.Context) ([]wire.ListedHost, error)
	// MinListDuration is the least time that a list of so many machines takes.
	MinListDuration(machines int) time.Duration
}

// Worker sends requests to workers.
type Worker interface {
	// Announce sends a worker the fencing token of the term. It returns the worker's
	// incarnation and the highest token that the worker has seen.
	Announce(ctx context.Context, address string, token, incarnation uint64) (wire.Heartbeat, error)
}

// Peers reports what this node knows of the other controllers of the cluster. Its methods are
// called with the controller's lock held and must not wait.
type Peers interface {
	// RenewedHosts lists the machines whose worker leases other controllers have renewed lately.
	RenewedHosts() []string
	// ReachedZones lists the zones of the controllers that are reached, this one included.
	ReachedZones() []string
	// RelayReached reports whether a follower that relays heartbeats is reached.
	RelayReached(label string) bool
}

// Observer is informed of the course of a term. But for TermObserved, its methods are called
// with the controller's lock held and must not wait.
type Observer interface {
	// TermObserved says that a newer term was seen.
	TermObserved(term uint64)
	// CycleFinished says how long the decisions of a scheduling cycle took.
	CycleFinished(took time.Duration)
	// JobFinished says that the final status of a job is committed.
	JobFinished(uid string, status wire.JobStatus)
	// FailoverFinished is called once, after the first scheduling cycle that could place tasks.
	FailoverFinished(report records.Failover)
}

// VersionTracker reports which formats of records and messages may be used.
type VersionTracker interface {
	InForce() clusterversion.Version
}
