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

// limitedStore is a state service that takes what its limits allow.
type limitedStore struct {
	Store
	t        *testing.T
	limits   config.StateLimits
	revision uint64
	items    map[string]wire.KeyValue
	returned map[string]bool
}

func (l *limitedStore) List(_ context.Context, under string) ([]wire.KeyValue, uint64, error) {
	var rows []wire.KeyValue
	for _, key := range slices.Sorted(maps.Keys(l.items)) {
		if strings.HasPrefix(key, under) {
			rows = append(rows, l.items[key])
		}
	}
	return rows, l.revision, nil
}

func (l *limitedStore) Commit(_ context.Context, tx wire.Transaction) (uint64, error) {
	tooLarge := len(tx.Changes) > l.limits.TxnOps || len(tx.Compares) > 4*l.limits.TxnOps || len(records.Encode(tx)) > wire.MaxBody
	for _, c := range tx.Changes {
		tooLarge = tooLarge || float64(len(c.Value)) > l.limits.ValueKb*1024
	}
	if tooLarge {
		l.t.Errorf("a commit of %d changes and %d guards is rejected", len(tx.Changes), len(tx.Compares))
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

// limitedCloud is a cloud that takes back no more machines at once than it allows.
type limitedCloud struct {
	Cloud
	*limitedStore
}

func (l limitedCloud) List(context.Context) ([]wire.ListedHost, error) { return nil, nil }

func (l limitedCloud) Return(_ context.Context, hosts []string) error {
	if len(hosts) > wire.MaxReturn {
		l.t.Errorf("%d machines are returned at once", len(hosts))
	}
	for _, host := range hosts {
		l.returned[host] = true
	}
	return nil
}

// newLeader is a leader of a term beside the services.
func (l *limitedStore) newLeader(term uint64, now *time.Time) *Controller {
	c := newTestLeader(now)
	c.term, c.Store, c.Cloud, c.loaded = term, l, limitedCloud{limitedStore: l}, false
	c.fleet = fleet.New(term, c.Config.WorkerLease(), c)
	c.requests, c.releases = autoscaler.NewRequests(term), autoscaler.NewReleases(term)
	c.writer = newPlacementWriter(c.Config, c.Store, c.term, c)
	c.Config.Cluster.State, c.Config.Cluster.Teams = l.limits, []config.Team{{Name: "crew"}}
	c.catalog = &wire.Catalog{MachineTypes: []wire.MachineType{{Name: "g8", Cores: 64, Gpus: 8, RAMGb: 512, BootS: 30, Zones: []string{"a", "b"}}}}
	c.JobCache.Reset(nil, 1, *now)
	if err := c.loadState(context.Background()); err != nil {
		l.t.Fatal(err)
	}
	return c
}

// A fleet of 4,096 and of 6,000 machines is listed, reports, gets a task on each machine within
// the limits of the state service, has all its images recorded, is taken over by the next
// leader with every attempt, and is returned to the last machine.
func TestLargeFleetFromListToReturn(t *testing.T) {
	for _, machines := range []int{4096, 6000} {
		now := time.Unix(10_000, 0)
		services := &limitedStore{t: t, limits: config.StateLimits{Rps: 900, WriteRps: 350, ValueKb: 8, TxnOps: 24}, items: map[string]wire.KeyValue{}, returned: map[string]bool{}}
		c := services.newLeader(5, &now)
		spec := wire.JobSpec{UID: "run-000001", JobClass: "batch", Team: "crew", Kind: wire.JobArray, Priority: wire.High, TaskCount: machines, Cores: 64, Gpus: 8, RAMGb: 512, Image: "img"}
		rec := records.Job{Spec: spec, Status: wire.JobQueued, Per: records.TasksPerPlacement(8192, 8192)}
		services.items[records.JobKey(spec.UID)] = wire.KeyValue{Key: records.JobKey(spec.UID), Value: records.Encode(rec), ModRevision: 1}
		c.applyJobEventLocked(spec.UID, watchcache.Entry{Job: &rec, ModRevision: 1})
		var hosts []wire.ListedHost
		for i := range machines {
			hosts = append(hosts, wire.ListedHost{UID: fmt.Sprintf("m-%06d", i), MachineType: "g8", Zone: []string{"a", "b"}[i%2], Status: "running"})
		}
		c.applyMachineList(hosts, now)
		report := func(c *Controller, sequence uint64) (launches int) {
			for i := range hosts {
				r := wire.Heartbeat{Host: hosts[i].UID, MachineType: "g8", Zone: hosts[i].Zone, Incarnation: 1, Sequence: sequence, FencingToken: c.term}
				c.fleet.Get(r.Host).Each(func(a *fleet.Attempt) {
					if a.State != fleet.Planned && a.State != fleet.Committed || a.Inherited {
						r.Tasks = append(r.Tasks, wire.TaskReport{Task: a.TaskName(), Attempt: a.Number, Status: wire.TaskRunning})
					}
				})
				o, _ := c.Heartbeat(t.Context(), &r, HeartbeatOptions{})
				launches += len(o.Commands)
			}
			return launches
		}
		report(c, 1)
		launches, sequence := 0, uint64(1)
		for ; launches < machines && sequence < 20; sequence++ {
			now = now.Add(time.Second)
			c.runCycle(time.Second)
			for b := c.nextBatch(); b != nil; b = c.nextBatch() {
				c.writer.commit(t.Context(), b)
			}
			launches += report(c, sequence+1)
		}
		report(c, sequence+1)
		if j := c.jobs.get(spec.UID); launches != machines || j.runningCount() != machines {
			t.Fatalf("%d machines: %d launches, %d running", machines, launches, j.runningCount())
		}
		now = now.Add(time.Minute)
		for range machines/services.limits.TxnOps + 1 {
			c.recordSomeImages(t.Context())
		}
		if images, _, _ := services.List(t.Context(), records.ImagesPrefix); len(images) != machines {
			t.Errorf("the images of %d of %d machines are recorded", len(images), machines)
		}
		next := services.newLeader(6, &now)
		next.applyJobEventLocked(spec.UID, watchcache.Entry{Job: &rec, ModRevision: 1})
		next.loaded = false
		if err := next.loadState(t.Context()); err != nil {
			t.Fatal(err)
		}
		if j := next.jobs.get(spec.UID); j.live != machines || next.fleet.Len() != machines {
			t.Fatalf("the next leader knows %d attempts on %d machines", j.live, next.fleet.Len())
		}
		report(next, sequence+2)
		next.fleet.Each(func(m *fleet.Machine) {
			if m.State != fleet.Ready || m.LiveCount() != 1 {
				t.Fatalf("%s is %s with %d attempts", m.ID, m.State, m.LiveCount())
			}
			next.startRelease(m, now, "test")
		})
		for next.recordReleases(t.Context()) {
		}
		for next.sendReleases(t.Context()) {
		}
		if len(services.returned) != machines || next.fleet.Len() != 0 {
			t.Errorf("%d of %d machines are returned, %d are left", len(services.returned), machines, next.fleet.Len())
		}
	}
}

// Of more jobs than are told at once, a follower learns the counts of all, ping by ping.
func TestCountsOfManyJobsArriveInParts(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	const jobs = 3*maxCountsPerReply + 1
	for i := range jobs {
		uid := fmt.Sprintf("run-%06d", i)
		c.applyJobEventLocked(uid, watchcache.Entry{Job: &records.Job{Spec: wire.JobSpec{UID: uid, TaskCount: 1}, Status: wire.JobQueued, Per: 1}, ModRevision: 1})
		c.jobs.markCountsChanged(c.jobs.get(uid))
	}
	announced, revision := map[string]bool{}, uint64(0)
	for pings, more := 0, true; more; pings++ {
		var views []wire.JobView
		if views, revision, more = c.CountsSince(revision); len(views) > maxCountsPerReply || pings > jobs/maxCountsPerReply {
			t.Fatalf("%d counts by ping %d", len(views), pings)
		}
		for _, v := range views {
			announced[v.UID] = true
		}
	}
	if len(announced) != jobs || revision != c.jobs.revision {
		t.Errorf("%d of %d counts are told, up to %d of %d", len(announced), jobs, revision, c.jobs.revision)
	}
}
