package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/autoscaler"
	"lotusstile.dev/lotusstile/internal/clusterversion"
	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// newTestLeader is a leader with two zones of 90 machines each that report once a
// second, and a clock that the test moves.
func newTestLeader(now *time.Time) *Controller {
	cfg := &config.Config{}
	cfg.Cluster.Workers.ReportS, cfg.Cluster.Workers.LeaseS, cfg.Cluster.Workers.CancelS, cfg.Cluster.Cloud.Rps = 1, 10, 40, 6
	cfg.Cluster.State.ValueKb = 8
	c := New(Options{
		Config:   cfg,
		Settings: func() wire.Settings { return records.DefaultSettings(1) },
		Peers:    fakePeers{zones: []string{"a"}},
		Observer: fakeObserver{finished: map[string]wire.JobStatus{}},
		Version:  clusterversion.NewTracker(),
		JobCache: watchcache.New(),
	}, 5)
	c.now = func() time.Time { return *now }
	c.loaded = true
	c.detector.Start(now.Add(-time.Hour))
	return c
}

func (c *Controller) heartbeatFrom(i int, sequence uint64, now time.Time) {
	zone := "a"
	if i%2 == 1 {
		zone = "b"
	}
	c.fleet.ApplyHeartbeat(&wire.Heartbeat{Host: fmt.Sprintf("m-%03d", i), Zone: zone, Incarnation: 1, Sequence: sequence, FencingToken: 5}, now)
}

// A cut between zones silences machines one after the other, as their reports
// come due, and a follower answers some of them soon. None is given up before
// nothing can run there any more: counting only those that were quiet for three intervals, and
// taking those that a follower answers for well, a leader returned 38 of 90.
// Up to half of a zone that stop while the others report are given up after three
// intervals, and more than that after a lease if a controller there is reached:
// two thirds of a zone that had died were down for six leases.
func TestWhichMachinesAreDeclaredDead(t *testing.T) {
	const machines, step = 180, 50 * time.Millisecond
	for _, tc := range []struct {
		name     string
		silent   func(i int) bool
		retained func(i int) bool // by a follower, from four seconds on
		relays   bool             // the follower relays their reports
		after    time.Duration
		want     int
	}{
		{"cut", func(i int) bool { return i%2 == 1 }, func(i int) bool { return i%4 == 1 }, false, 30 * time.Second, 0},
		{"few", func(i int) bool { return i < 9 }, func(int) bool { return false }, false, 4500 * time.Millisecond, 9},
		{"many", func(i int) bool { return i%3 == 0 }, func(int) bool { return false }, false, 4500 * time.Millisecond, 60},
		{"most of a zone that is reached", func(i int) bool { return i%2 == 0 && i > 20 }, func(int) bool { return false }, false, 11500 * time.Millisecond, 79},
		{"links of the leader", func(int) bool { return true }, func(i int) bool { return i%3 > 0 }, true, 8 * time.Second, 0},
		{"links of the leader, a few late", func(int) bool { return true }, func(i int) bool { return i%24 > 0 }, true, 5200 * time.Millisecond, 0},
		{"links of the leader, a few lost", func(int) bool { return true }, func(i int) bool { return i%24 > 0 }, true, 8 * time.Second, 8},
		{"a zone that nothing keeps", func(i int) bool { return i%2 == 1 }, func(int) bool { return false }, false, 45 * time.Second, 90},
	} {
		now := time.Unix(1000, 0)
		c := newTestLeader(&now)
		began := now
		for sequence := uint64(1); now.Sub(began) < 10*time.Second+tc.after; sequence++ {
			at := now.Sub(began)
			for i := range machines {
				due := int64(i)%20 == int64(sequence)%20 // each in its turn, once a second
				switch {
				case due && (at < 10*time.Second || !tc.silent(i)):
					c.heartbeatFrom(i, sequence, now)
				case due && at > 14*time.Second && tc.retained(i) && tc.relays:
					c.heartbeatFrom(i, sequence, now)
					c.fleet.Get(fmt.Sprintf("m-%03d", i)).LastRelayedHeartbeat = now
				case due && at > 14*time.Second && tc.retained(i):
					c.fleet.Get(fmt.Sprintf("m-%03d", i)).LastHeartbeat = now
				}
			}
			c.fleet.MarkSuspected(now)
			c.releaseDead(now)
			now = now.Add(step)
		}
		var dead []string
		c.fleet.Each(func(m *fleet.Machine) {
			if m.State == fleet.Returning {
				dead = append(dead, m.ID)
			}
		})
		slices.Sort(dead)
		if len(dead) != tc.want {
			t.Errorf("%s: %d machines are given up, expected %d: %v", tc.name, len(dead), tc.want, dead)
		}
	}
}

// While the cloud has no spot machine for a job, it does not wait for one; from
// time to time the cloud is asked again.
func TestSpotSpent(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	c.catalog = &wire.Catalog{MachineTypes: []wire.MachineType{{Name: "g8", Cores: 64, Gpus: 8, RAMGb: 512, Zones: []string{"a", "b"}}, {Name: "g1", Cores: 8, Gpus: 1, RAMGb: 32, Zones: []string{"a"}}}}
	w := &wire.JobSpec{Cores: 16, Gpus: 2, RAMGb: 64, AllowSpot: true}
	spent := func(want bool, when string) {
		if got := c.isSpotExhausted(w, now); got != want {
			t.Errorf("%s: spent is %v", when, got)
		}
	}
	spent(false, "before anything was asked")
	c.refusals.Add(autoscaler.MachineGroup{Type: "g8", Zone: "a", Spot: true}, now)
	spent(false, "one zone of two")
	c.refusals.Add(autoscaler.MachineGroup{Type: "g8", Zone: "b", Spot: true}, now)
	spent(true, "both zones, and the small type does not hold it")
	w.MachineTypes = []string{"g1"}
	w.Cores, w.Gpus, w.RAMGb = 8, 1, 32
	spent(false, "a type that was not refused")
	w.MachineTypes = []string{"g8"}
	now = now.Add(4 * c.Config.WorkerLease())
	spent(false, "a while later")
}

// A leader that stood still, or that answered no reports because the state service
// was away for too long, does not know who would have reported meanwhile: it gives
// up nobody until they have had their time again.
func TestUnreachableMachinesAreNotDeclaredDead(t *testing.T) {
	for _, tc := range []struct {
		name   string
		step   time.Duration // from round to round until it is over
		knows  bool          // the state service is read all the time
		silent time.Duration
		want   int
	}{
		{"stood still", 25 * time.Second, true, 25 * time.Second, 0},
		{"an outage", time.Second / 2, false, 90 * time.Second, 0},
		{"silent machines", time.Second / 2, true, 30 * time.Second, 20}, // the others are in a zone without a controller
	} {
		now := time.Unix(1000, 0)
		c := newTestLeader(&now)
		c.catalog = &wire.Catalog{MachineTypes: []wire.MachineType{{Name: "g8", Cores: 64, Gpus: 8, RAMGb: 512, Zones: []string{"a", "b"}}}}
		dead := func() int {
			n := 0
			c.fleet.Each(func(m *fleet.Machine) {
				if m.State == fleet.Returning {
					n++
				}
			})
			return n
		}
		sequence := uint64(0)
		round := func(step time.Duration, knows, reports bool) {
			now = now.Add(step)
			if knows {
				c.JobCache.Reset(nil, 0, now)
			}
			// In an outage reports are answered for as long as they may be.
			if sequence++; reports || !knows && now.Sub(c.JobCache.Fresh()) <= c.Config.KnowledgeLimit() {
				for i := range 40 {
					c.heartbeatFrom(i, sequence, now)
				}
			}
			c.runCycle(time.Second)
		}
		round(0, true, true)
		for over := now.Add(tc.silent); now.Before(over); {
			round(tc.step, tc.knows, false)
		}
		if n := dead(); n != tc.want {
			t.Errorf("%s: %d machines are given up, expected %d", tc.name, n, tc.want)
		}
		for range 120 { // none of them reports now, either
			round(time.Second/2, true, false)
		}
		if n := dead(); n != 40 {
			t.Errorf("%s: %d machines are given up a minute later, expected 40", tc.name, n)
		}
	}
}

// A new leader knows no zone of machines that died before it began. They are
// judged with the whole fleet, and not taken for a zone that is cut off.
func TestMachinesOfUnknownZone(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestLeader(&now)
	c.detector.Start(now)
	for i := range 20 {
		m := c.fleet.GetOrAdd(fmt.Sprintf("x-%03d", i), now)
		c.fleet.AddAttempt(m, &fleet.Attempt{JobUID: "run-000001", TaskIndex: i, Number: 1, Incarnation: 1, Inherited: true}, now)
	}
	for sequence := uint64(1); sequence <= 12; sequence++ {
		for i := range 100 {
			c.heartbeatFrom(i, sequence, now)
		}
		c.fleet.MarkSuspected(now)
		c.releaseDead(now)
		now = now.Add(time.Second)
	}
	dead := 0
	c.fleet.Each(func(m *fleet.Machine) {
		if m.State == fleet.Returning {
			dead++
		}
	})
	if dead != 20 {
		t.Errorf("%d machines are given up, expected 20", dead)
	}
}

// What is never written does not hold up launches: the pieces of jobs that were
// called off together. Nor does what waits to be written: a job whose piece is
// due takes its launches along.
func TestCancelledJobsDoNotDelayLaunches(t *testing.T) {
	for _, status := range []wire.JobStatus{wire.JobAborted, wire.JobQueued} {
		now := time.Unix(1000, 0)
		c := newTestLeader(&now)
		c.Config.Cluster.State.WriteRps, c.Config.Cluster.State.TxnOps = 100, 24
		c.Config.Cluster.Teams = []config.Team{{Name: "crew"}}
		c.catalog = &wire.Catalog{MachineTypes: []wire.MachineType{{Name: "g8", Cores: 64, Gpus: 8, RAMGb: 512, Zones: []string{"a", "b"}}}}
		c.JobCache.Reset(nil, 0, now)
		for i := range 40 {
			c.heartbeatFrom(i, 1, now)
			m := c.fleet.Get(fmt.Sprintf("m-%03d", i))
			m.Type, m.Capacity = "g8", autoscaler.Capacity(&c.catalog.MachineTypes[0])
		}
		spec := wire.JobSpec{Team: "crew", Kind: wire.Service, TaskCount: 1, Cores: 1, Gpus: 1, RAMGb: 1, Image: "i", Priority: wire.High}
		for i := range 250 {
			uid := fmt.Sprintf("run-%06d", i)
			spec.UID = uid
			c.applyJobEventLocked(uid, watchcache.Entry{Job: &records.Job{Spec: spec, Status: status, Per: 8}, ModRevision: 1})
			c.jobs.get(uid).placement(0).markChanged(now)
		}
		spec.UID, spec.Priority = "run-000250", wire.Critical
		c.applyJobEventLocked(spec.UID, watchcache.Entry{Job: &records.Job{Spec: spec, Status: wire.JobQueued, Per: 8}, ModRevision: 1})
		if status == wire.JobQueued {
			c.jobs.get(spec.UID).placement(0).markChanged(now)
		}
		c.runCycle(time.Second)
		if c.jobs.get(spec.UID).live != 1 {
			t.Errorf("with 250 jobs that are %s, nothing is started", status)
		}
	}
}

// The first task of an array that is larger than its class usually is goes before
// others of its rank once it has waited for long, and only the first: at a team's
// limit, with a queue of minutes, one of nine of the largest had begun after four
// minutes.
func TestLargeArraysBegin(t *testing.T) {
	now := time.Now()
	c := newTestLeader(&now)
	c.Options.Config.Cluster.Teams = []config.Team{{Name: "crew"}}
	c.catalog = &wire.Catalog{MachineTypes: []wire.MachineType{{Name: "g", Cores: 8, Gpus: 8, RAMGb: 8, BootS: 30, Zones: []string{"a"}}}}
	array := func(uid string, tasks int, ago time.Duration) *job {
		spec := wire.JobSpec{UID: uid, JobClass: "batch", Team: "crew", Kind: wire.JobArray, Priority: wire.Standard, TaskCount: tasks, Cores: 1, Gpus: 1, RAMGb: 1}
		e := watchcache.Entry{Job: &records.Job{Spec: spec, Status: wire.JobQueued, Per: 16, AtMs: now.Add(-ago).UnixMilli()}, ModRevision: 1}
		c.applyJobEventLocked(uid, e)
		c.jobs.get(uid).waitingSince = now.Add(-ago)
		return c.jobs.get(uid)
	}
	for i := range 12 {
		array(fmt.Sprintf("run-%06d", i), 2, 4*time.Minute)
	}
	large := array("run-000100", 9, 3*time.Minute)
	young := array("run-000101", 9, time.Minute)
	order := func() (uids []string, waiting []int) {
		p := c.newSnapshot(now, time.Second)
		sched.SortQueue(p.in.Jobs, 40)
		for _, j := range p.in.Jobs {
			uids, waiting = append(uids, j.Spec.UID), append(waiting, j.PendingTasks)
		}
		return uids, waiting
	}
	uids, waiting := order()
	if len(uids) != 15 || uids[0] != large.uid || waiting[0] != 1 || uids[13] != large.uid || waiting[13] != 8 || uids[14] != young.uid || waiting[14] != 9 {
		t.Errorf("the order is %v, with %v tasks", uids, waiting)
	}
	// Once it has run, it waits its turn, also when its task has ended.
	a := &fleet.Attempt{JobUID: large.uid, TaskIndex: 0, Number: 1, Resources: large.need}
	large.addAttempt(large.placement(0), a)
	c.fleet.ApplyHeartbeat(&wire.Heartbeat{Host: "m", MachineType: "g", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: 5}, now)
	c.fleet.AddAttempt(c.fleet.Get("m"), a, now)
	c.fleet.MarkCommitted(a, now)
	for sequence, status := range []wire.TaskStatus{wire.TaskRunning, wire.TaskEnded} {
		c.fleet.ApplyHeartbeat(&wire.Heartbeat{Host: "m", MachineType: "g", Zone: "a", Incarnation: 1, Sequence: uint64(2 + sequence), FencingToken: 5,
			Tasks: []wire.TaskReport{{Task: a.TaskName(), Attempt: 1, Status: status, Cause: wire.CauseStopped}}}, now)
	}
	if uids, _ := order(); len(uids) != 14 || uids[0] == large.uid || large.live != 0 {
		t.Errorf("after it has begun, the order is %v", uids)
	}
}

// A leader that loses its own workers while followers relay the others doubts its own links,
// also while fewer than half of its workers have been silent for two intervals: the first of
// them is not given up before it had the time to find a follower.
func TestLeaderDoubtsItsOwnLinksWhileOthersRelay(t *testing.T) {
	const own, step = 18, 50 * time.Millisecond
	cut := time.Unix(1000, 0)
	now := cut
	c := newTestLeader(&now)
	report := func(i int, via string, at time.Time) {
		host := fmt.Sprintf("m-%03d", i)
		c.fleet.ApplyHeartbeat(&wire.Heartbeat{Host: host, Zone: "a", Incarnation: 1, Sequence: uint64(at.UnixMilli()), FencingToken: 5}, at)
		c.fleet.Get(host).RelayedBy = via
	}
	for i := range own {
		age := time.Duration(i) * time.Second / 25 // 0 to 0.68 s
		if i == 0 {
			age = 1700 * time.Millisecond
		}
		report(i, "", cut.Add(-age))
	}
	for now.Sub(cut) < 5500*time.Millisecond {
		for i := own; i < 5*own; i++ {
			report(i, "follower", now)
		}
		c.fleet.MarkSuspected(now)
		c.releaseDead(now)
		now = now.Add(step)
	}
	c.fleet.Each(func(m *fleet.Machine) {
		if m.State == fleet.Returning {
			t.Errorf("%s is given up", m.ID)
		}
	})
}
