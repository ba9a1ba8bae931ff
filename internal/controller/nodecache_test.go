package controller

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// nodeCacheModel draws random events that may change machines, attempts, jobs, prices or headroom.
type nodeCacheModel struct {
	t        *rapid.T
	c        *Controller
	now      time.Time
	jobs     int
	sequence uint64
}

func newNodeCacheModel(t *rapid.T) *nodeCacheModel {
	model := &nodeCacheModel{t: t, now: time.Unix(1000, 0)}
	c := newTestLeader(&model.now)
	c.JobCache.Reset(nil, 1, model.now)
	c.Config.Cluster.Teams = []config.Team{{Name: "crew"}}
	c.catalog = g8Catalog()
	g8 := &c.catalog.MachineTypes[0]
	g8.BootS, g8.Hourly, g8.SpotHourly = 30, 20, 5
	model.c = c
	return model
}

// actions returns the events, by name.
func (m *nodeCacheModel) actions() map[string]func() {
	return map[string]func(){
		"heartbeat": m.heartbeat,
		"job":       m.addJob,
		"place":     m.place,
		"stop":      m.stop,
		"archive":   m.archive,
		"list":      m.listMachines,
		"price":     m.changePrice,
		"release":   m.release,
		"cycle":     func() { m.c.runCycle(time.Second) },
		"time":      func() { m.now = m.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(m.t, "seconds")) * time.Second) },
	}
}

// machine draws a machine; nil if the fleet does not know the drawn one.
func (m *nodeCacheModel) machine() *fleet.Machine {
	return m.c.fleet.Get(fmt.Sprintf("m-%d", rapid.IntRange(0, 5).Draw(m.t, "machine")))
}

// heartbeat sends a heartbeat of a machine that reports its attempts in random states and leaves some of them out.
func (m *nodeCacheModel) heartbeat() {
	id := fmt.Sprintf("m-%d", rapid.IntRange(0, 5).Draw(m.t, "host"))
	var tasks []wire.TaskReport
	if known := m.c.fleet.Get(id); known != nil {
		known.EachAttempt(func(a *fleet.Attempt) {
			report := m.taskReport(a)
			if rapid.IntRange(0, 5).Draw(m.t, "missing") > 0 {
				tasks = append(tasks, report)
			}
		})
	}
	if rapid.IntRange(0, 5).Draw(m.t, "unknown") == 0 {
		tasks = append(tasks, wire.TaskReport{Task: "run-999999/0", Attempt: 1, Status: wire.TaskRunning})
	}
	m.sequence++
	h := wire.Heartbeat{
		Host:         id,
		MachineType:  "g8",
		Zone:         "a",
		Spot:         id == "m-1",
		Incarnation:  1 + uint64(rapid.IntRange(0, 20).Draw(m.t, "incarnation"))/20,
		Sequence:     m.sequence,
		FencingToken: m.c.term,
		Tasks:        tasks,
	}
	if rapid.IntRange(0, 30).Draw(m.t, "notice") == 0 {
		h.SpotNoticeS = new(float64)
	}
	m.c.Heartbeat(m.t.Context(), &h, HeartbeatOptions{})
}

func (m *nodeCacheModel) taskReport(a *fleet.Attempt) wire.TaskReport {
	statuses := []wire.TaskStatus{wire.TaskFetching, wire.TaskRunning, wire.TaskSaving, wire.TaskEnded}
	report := wire.TaskReport{Task: a.TaskName(), Attempt: a.Number, Status: rapid.SampledFrom(statuses).Draw(m.t, "status")}
	if report.Status == wire.TaskEnded {
		causes := []wire.Cause{wire.CauseDone, wire.CauseError, wire.CauseStopped}
		report.Cause = rapid.SampledFrom(causes).Draw(m.t, "cause")
	}
	return report
}

func (m *nodeCacheModel) addJob() {
	m.jobs++
	priorities := []wire.Priority{wire.BestEffort, wire.High}
	spec := wire.JobSpec{
		UID:       fmt.Sprintf("run-%06d", m.jobs),
		JobClass:  "serve",
		Team:      "crew",
		Kind:      wire.JobArray,
		Priority:  rapid.SampledFrom(priorities).Draw(m.t, "priority"),
		TaskCount: 2,
		Cores:     8,
		Gpus:      1,
		RAMGb:     8,
		Image:     rapid.SampledFrom([]string{"i", "j"}).Draw(m.t, "image"),
		AllowSpot: rapid.Bool().Draw(m.t, "spot"),
	}
	if m.jobs > 1 && rapid.Bool().Draw(m.t, "depends") {
		spec.Dependencies = []string{fmt.Sprintf("run-%06d", rapid.IntRange(1, m.jobs-1).Draw(m.t, "dependency"))}
	}
	record := &records.Job{Spec: spec, Status: wire.JobQueued, TasksPerPlacement: 8, AcceptedAtMs: m.now.UnixMilli()}
	m.c.applyJobEventLocked(spec.UID, watchcache.Entry{Job: record, ModRevision: 1})
}

// place places a task of the newest job that has waiting tasks.
func (m *nodeCacheModel) place() {
	machine, j := m.machine(), (*job)(nil)
	for i := range m.jobs {
		if known := m.c.jobs.get(fmt.Sprintf("run-%06d", i+1)); known != nil && known.waitingCount() > 0 {
			j = known
		}
	}
	if j == nil || machine == nil {
		return
	}
	for _, task := range j.nextWaitingTasks(1) {
		p := j.placement(task)
		a := &fleet.Attempt{JobUID: j.uid, TaskIndex: task, Number: p.nextAttempt, Resources: j.taskResources, Image: j.record.Spec.Image}
		p.nextAttempt++
		j.addAttempt(p, a)
		m.c.fleet.AddAttempt(machine, a, m.now)
		m.c.fleet.MarkCommitted(a, m.now)
	}
}

func (m *nodeCacheModel) stop() {
	if machine := m.machine(); machine != nil {
		machine.EachAttempt(func(a *fleet.Attempt) { m.c.stopAttempt(a, 0, m.now, "test") })
	}
}

func (m *nodeCacheModel) archive() {
	uid := fmt.Sprintf("run-%06d", rapid.IntRange(1, max(1, m.jobs)).Draw(m.t, "job"))
	if j := m.c.jobs.get(uid); j != nil {
		m.c.applyJobEventLocked(j.uid, watchcache.Entry{ModRevision: ^uint64(0)})
	}
}

func (m *nodeCacheModel) listMachines() {
	hosts := []wire.ListedHost{
		{UID: "m-0", MachineType: "g8", Zone: "a", Status: wire.HostFailed},
		{UID: "m-6", MachineType: "g8", Zone: "b", AgeS: 5, Status: "booting"},
	}
	m.c.applyMachineList(hosts[rapid.IntRange(0, 1).Draw(m.t, "from"):], m.now)
}

func (m *nodeCacheModel) changePrice() {
	m.c.catalog.MachineTypes[0].SpotHourly++
	m.c.fleet.Each(m.c.fleet.MarkChanged)
}

func (m *nodeCacheModel) release() {
	if machine := m.machine(); machine != nil && rapid.IntRange(0, 3).Draw(m.t, "rare") == 0 {
		m.c.startRelease(machine, m.now, "test")
		m.c.fleet.MarkGone(machine, m.now, "test")
		m.c.fleet.Forget(machine.ID)
	}
}

// check compares the cached nodes with rebuilt ones.
func (m *nodeCacheModel) check(event string) {
	m.c.refreshNodes(m.now)
	present := 0
	m.c.fleet.Each(func(machine *fleet.Machine) {
		if _, ok := m.c.nodes.builder.build(machine, m.now); ok {
			present++
		}
		if m.c.nodes.rebuild(machine.ID, machine, m.now) {
			m.t.Fatalf("after event %q the cached node of %s differs from the rebuilt one", event, machine.ID)
		}
	})
	if nodes := m.c.nodes.view.MachineCount(); nodes != present {
		m.t.Fatalf("after event %q the cache has %d nodes, want %d", event, nodes, present)
	}
}

// After every event the cached nodes are equal to rebuilt ones: every change of a machine, an
// attempt, a job's level, prices or headroom must mark the machines concerned.
func TestReusedNodesMatchRebuiltOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newNodeCacheModel(t)
		actions := model.actions()
		names := slices.Sorted(maps.Keys(actions))
		for range 150 {
			name := rapid.SampledFrom(names).Draw(t, "action")
			actions[name]()
			model.check(name)
		}
		if stale := model.c.nodes.staleNodes; stale > 0 {
			t.Fatalf("%d nodes were out of date without a mark on their machine, want 0", stale)
		}
	})
}
