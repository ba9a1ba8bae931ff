package controller

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/autoscaler"
	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// limitedStore is a state store that rejects commits above its limits.
type limitedStore struct {
	Store
	t        *testing.T
	limits   config.StateLimits
	revision uint64
	items    map[string]wire.KeyValue
	released map[string]bool // machines that limitedCloud has terminated
}

func newLimitedStore(t *testing.T, limits config.StateLimits) *limitedStore {
	t.Helper()
	return &limitedStore{t: t, limits: limits, items: map[string]wire.KeyValue{}, released: map[string]bool{}}
}

func (l *limitedStore) List(_ context.Context, prefix string) ([]wire.KeyValue, uint64, error) {
	var rows []wire.KeyValue
	for _, key := range slices.Sorted(maps.Keys(l.items)) {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, l.items[key])
		}
	}
	return rows, l.revision, nil
}

func (l *limitedStore) Commit(_ context.Context, tx wire.Transaction) (uint64, error) {
	if l.isTooLarge(tx) {
		l.t.Errorf("commit with %d changes and %d compares exceeds the limits %+v", len(tx.Changes), len(tx.Compares), l.limits)
		return 0, &store.RejectedError{}
	}
	l.revision++
	for _, c := range tx.Changes {
		if c.Drop != "" {
			delete(l.items, c.Drop)
		} else {
			l.items[c.Set] = wire.KeyValue{Key: c.Set, Value: c.Value, ModRevision: l.revision}
		}
	}
	return l.revision, nil
}

func (l *limitedStore) isTooLarge(tx wire.Transaction) bool {
	if len(tx.Changes) > l.limits.TxnOps || len(tx.Compares) > 4*l.limits.TxnOps || len(records.Encode(tx)) > wire.MaxBody {
		return true
	}
	return slices.ContainsFunc(tx.Changes, func(c wire.Change) bool {
		return float64(len(c.Value)) > l.limits.ValueKb*1024
	})
}

// limitedCloud is a cloud that fails the test if more machines are released at once than it allows.
type limitedCloud struct {
	Cloud
	*limitedStore
}

func (limitedCloud) List(context.Context) ([]wire.ListedHost, error) { return nil, nil }

func (l limitedCloud) Release(_ context.Context, hosts []string) error {
	if len(hosts) > wire.MaxRelease {
		l.t.Errorf("%d machines are released at once, want at most %d", len(hosts), wire.MaxRelease)
	}
	for _, host := range hosts {
		l.released[host] = true
	}
	return nil
}

// newLeader returns a leader of a term that has loaded the records in the store.
func (l *limitedStore) newLeader(term uint64, now *time.Time) *Controller {
	l.t.Helper()
	c := newTestLeader(now)
	c.term, c.Store, c.Cloud, c.loaded = term, l, limitedCloud{limitedStore: l}, false
	c.fleet = fleet.New(term, c.Config.WorkerLease(), c)
	c.requests, c.releases = autoscaler.NewRequests(term), autoscaler.NewReleases(term)
	c.writer = newPlacementWriter(c.Config, c.Store, c.term, c)
	c.Config.Cluster.State, c.Config.Cluster.Teams = l.limits, []config.Team{{Name: "crew"}}
	c.catalog = g8Catalog()
	c.catalog.MachineTypes[0].BootS = 30
	c.JobCache.Reset(nil, 1, *now)
	if err := c.loadState(context.Background()); err != nil {
		l.t.Fatal(err)
	}
	return c
}

// addJob stores a job's record and passes it to a leader as its job cache would.
func (l *limitedStore) addJob(c *Controller, spec wire.JobSpec) watchcache.Entry {
	record := records.Job{Spec: spec, Status: wire.JobQueued, TasksPerPlacement: records.TasksPerPlacement(8192, 8192)}
	key := records.JobKey(spec.UID)
	l.items[key] = wire.KeyValue{Key: key, Value: records.Encode(record), ModRevision: 1}
	entry := watchcache.Entry{Job: &record, ModRevision: 1}
	c.applyJobEventLocked(spec.UID, entry)
	return entry
}

// listedHosts returns the cloud's list of this many machines of type g8, distributed over the zones in turn.
func listedHosts(count int, zones ...string) []wire.ListedHost {
	hosts := make([]wire.ListedHost, 0, count)
	for i := range count {
		hosts = append(hosts, wire.ListedHost{
			UID:         fmt.Sprintf("m-%06d", i),
			MachineType: "g8",
			Zone:        zones[i%len(zones)],
			Status:      "running",
		})
	}
	return hosts
}

// commitAll commits batches until there is nothing left to write.
func commitAll(t *testing.T, c *Controller) {
	t.Helper()
	for b := c.nextBatch(); b != nil; b = c.nextBatch() {
		c.writer.commit(t.Context(), b)
	}
}
