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

// Options are the settings of a controller and the systems that it works with. A field is required unless its comment
// says that it may be nil or zero.
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

	// LeaderlessSince is when this node detected that there was no leader; zero if it did not detect that.
	LeaderlessSince time.Time
	// ProveStandbyCopy checks this node's copy of the records against the state store, for a new term. Only a warm standby
	// has such a copy: the field is nil if this node is not one.
	ProveStandbyCopy func(ctx context.Context, term uint64) (*standby.ProvenCopy, error)
	// StandbySource offers the state of this term to a warm standby; nil if no warm standby is to be served.
	StandbySource *standby.Source
}

// Store is the part of the state store's client that a controller uses.
type Store interface {
	watchcache.Reader
	// Get reads one key; found is false if it does not exist.
	Get(ctx context.Context, key string) (item wire.KeyValue, found bool, err error)
	// Commit applies a transaction and returns its revision. Its errors include *store.ConflictError,
	// *store.RejectedError and store.ErrOutcomeUnknown.
	Commit(ctx context.Context, tx wire.Transaction) (uint64, error)
}

// Cloud is the part of the cloud's client that a controller uses.
type Cloud interface {
	Catalog(ctx context.Context) (wire.Catalog, error)
	// Provision requests machines and returns the names of those that the cloud provides, which may be fewer. It fails
	// with cloud.ErrNoCapacity if the cloud provides none.
	Provision(ctx context.Context, r wire.ProvisionRequest) ([]string, error)
	Release(ctx context.Context, hosts []string) error
	List(ctx context.Context) ([]wire.ListedHost, error)
	// MinListDuration returns the shortest time in which this many machines can be listed.
	MinListDuration(machines int) time.Duration
}

// Worker sends requests to workers.
type Worker interface {
	// Announce sends a worker the fencing token of the term. It returns the worker's incarnation and the highest token
	// that the worker has seen.
	Announce(ctx context.Context, address string, token, incarnation uint64) (wire.Heartbeat, error)
}

// Peers reports what this node knows of the other controllers of the cluster. Its methods are called with the
// controller's lock held and must not block.
type Peers interface {
	// RenewedHosts lists the machines whose worker leases other controllers have renewed lately.
	RenewedHosts() []string
	// ReachableZones lists the zones of the reachable controllers, including the zone of this one.
	ReachableZones() []string
	// RelayReachable reports whether the follower with this label, which relays heartbeats, is reachable.
	RelayReachable(label string) bool
}

// Observer receives the events of a term. All its methods except TokenObserved are called with the controller's lock
// held and must not block.
type Observer interface {
	// TokenObserved is called when a worker presents a fencing token that is newer than the term.
	TokenObserved(token uint64)
	// CycleFinished is called for every scheduling cycle that makes decisions, with the time that they took. It is not
	// called for cycles before the catalog has been read.
	CycleFinished(took time.Duration)
	// JobFinished is called when the final status of a job is committed.
	JobFinished(uid string, status wire.JobStatus)
	// FailoverFinished is called once, after the first scheduling cycle that could place tasks.
	FailoverFinished(report records.Failover)
}

// VersionTracker reports the cluster version in force, which tells which formats of records and messages may be used.
type VersionTracker interface {
	InForce() clusterversion.Version
}
