package jobdag

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Every run draws the same inputs; -rapid.seed draws others.
func init() { _ = flag.Set("rapid.seed", "1") }

// model is a simple reference for the graph. It holds the jobs and their own committed final states, and
// computes everything else from these at each call.
type model struct {
	jobs     map[string]Job
	finished map[string]State // committed final states, also of an archived job that is not in jobs
	archived map[string]bool
	order    []string // UIDs of all jobs, in the order in which they were accepted
}

// state derives the state of a job from its committed state and the jobs that it depends on.
func (m *model) state(uid string) State {
	if state, ok := m.finished[uid]; ok {
		return state
	}
	for _, name := range m.jobs[uid].Dependencies {
		if m.state(name) == Cancelled {
			return Cancelled
		}
	}
	return Open
}

func (m *model) ready(uid string) bool {
	isUnfinished := func(name string) bool { return m.state(name) != Done }
	return m.state(uid) == Open && !slices.ContainsFunc(m.jobs[uid].Dependencies, isUnfinished)
}

// urgency derives a job's priority and due time from all open jobs that depend on it.
func (m *model) urgency(uid string) (int, float64) {
	job := m.jobs[uid]
	level, dueMs := job.Level, job.DueMs
	for _, other := range m.order {
		if m.state(other) == Open && slices.Contains(m.jobs[other].Dependencies, uid) {
			otherLevel, otherDueMs := m.urgency(other)
			level, dueMs = max(level, otherLevel), min(dueMs, otherDueMs-m.jobs[other].ExpectedRunMs)
		}
	}
	return level, dueMs
}

func (m *model) hasOpenDependents(uid string) bool {
	return slices.ContainsFunc(m.order, func(other string) bool {
		return m.state(other) == Open && slices.Contains(m.jobs[other].Dependencies, uid)
	})
}

// harness applies the same changes to a graph and to its model, and collects the effects that the graph
// reported.
type harness struct {
	model         *model
	graph         *Graph
	reportedReady map[string]bool
	cancelled     map[string]bool
	urgency       map[string]urgency // as a caller knows it that follows the graph's reports
	notAdded      []string           // accepted jobs that are not in the graph yet
}

func newHarness(t *rapid.T) *harness {
	h := &harness{
		model:         &model{jobs: map[string]Job{}, finished: map[string]State{}, archived: map[string]bool{}},
		graph:         New(),
		reportedReady: map[string]bool{},
		cancelled:     map[string]bool{},
		urgency:       map[string]urgency{},
	}
	// The graph learns of a job that was archived earlier only from its final status.
	if rapid.Bool().Draw(t, "old") {
		h.model.finished["old"] = rapid.SampledFrom([]State{Done, Cancelled}).Draw(t, "oldState")
		h.model.archived["old"] = true
		h.model.order = append(h.model.order, "old")
	}
	return h
}

// apply records the effects of a change. No job may be reported ready twice.
func (h *harness) apply(t *rapid.T, effects Effects) {
	for _, uid := range effects.Ready {
		if h.reportedReady[uid] {
			t.Fatalf("%s is reported ready twice, want once", uid)
		}
		h.reportedReady[uid] = true
	}
	for _, uid := range effects.Cancelled {
		h.cancelled[uid] = true
	}
}

// recordUrgency reads the urgency of a job, as a caller does when the job was added or reported as changed.
func (h *harness) recordUrgency(uid string) {
	level, dueMs := h.graph.Urgency(uid)
	h.urgency[uid] = urgency{level: level, dueMs: dueMs}
}

func (h *harness) updateUrgency() {
	for _, uid := range h.graph.UpdateUrgency() {
		h.recordUrgency(uid)
	}
}

func (h *harness) add(t *rapid.T, uid string) {
	h.apply(t, h.graph.Add(uid, h.model.jobs[uid]))
	h.recordUrgency(uid)
	if h.graph.Ready(uid) {
		h.reportedReady[uid] = true
	}
	if state, ok := h.model.finished[uid]; ok {
		h.apply(t, h.graph.Finish(uid, state))
	}
}

// accept draws a job, and whether all accepted jobs that are not in the graph yet are added now, in any order.
func (h *harness) accept(t *rapid.T, uid string) {
	job := Job{
		Level:         rapid.IntRange(1, 4).Draw(t, "level"),
		DueMs:         math.Inf(1),
		ExpectedRunMs: float64(rapid.IntRange(0, 50).Draw(t, "run")),
	}
	if rapid.Bool().Draw(t, "due") {
		job.DueMs = float64(rapid.IntRange(0, 1000).Draw(t, "dueMs"))
	}
	if len(h.model.order) > 0 {
		names := rapid.SliceOfN(rapid.SampledFrom(h.model.order), 0, 3).Draw(t, "dependencies")
		job.Dependencies = slices.Compact(slices.Sorted(slices.Values(names)))
	}
	h.model.jobs[uid] = job
	h.model.order = append(h.model.order, uid)
	if h.notAdded = append(h.notAdded, uid); rapid.Bool().Draw(t, "atOnce") {
		for _, uid := range rapid.Permutation(h.notAdded).Draw(t, "order") {
			h.add(t, uid)
		}
		h.notAdded = nil
	}
}

// finish draws a job, and whether it ends or is cancelled.
func (h *harness) finish(t *rapid.T) {
	if len(h.model.order) == 0 {
		return
	}
	uid := rapid.SampledFrom(h.model.order).Draw(t, "finish")
	if _, known := h.model.finished[uid]; known || slices.Contains(h.notAdded, uid) {
		return
	}
	to := Cancelled
	if h.model.ready(uid) && rapid.Bool().Draw(t, "done") {
		to = Done
	}
	h.model.finished[uid] = to
	h.apply(t, h.graph.Finish(uid, to))
}

// archive draws a job, and removes its record if its state is final.
func (h *harness) archive(t *rapid.T) {
	if len(h.model.order) == 0 {
		return
	}
	uid := rapid.SampledFrom(h.model.order).Draw(t, "archive")
	if h.model.finished[uid].Final() && !slices.Contains(h.notAdded, uid) {
		h.model.archived[uid] = true
		h.graph.Archive(uid)
	}
}

// resolve passes the graph the final statuses of those of its unresolved jobs that have one.
func (h *harness) resolve(t *rapid.T) {
	for _, uid := range h.graph.Unresolved() {
		if state, ok := h.model.finished[uid]; ok {
			h.apply(t, h.graph.Finish(uid, state))
		}
	}
}

// addAndResolveAll adds all accepted jobs that are not in the graph yet, and resolves all unresolved jobs.
func (h *harness) addAndResolveAll(t *rapid.T) {
	for _, uid := range h.notAdded {
		h.add(t, uid)
	}
	for _, uid := range h.graph.Unresolved() {
		h.apply(t, h.graph.Finish(uid, h.model.finished[uid]))
	}
}

// check compares a job in the graph with the same job in the model.
func (h *harness) check(t *rapid.T, uid string) {
	if got, want := h.graph.State(uid), h.model.state(uid); got != want {
		t.Fatalf("%s is %s, want %s", uid, got, want)
	}
	if got, want := h.graph.Ready(uid), h.model.ready(uid); got != want || want && !h.reportedReady[uid] {
		t.Fatalf("%s: ready %v, reported ready %v, want ready %v, and reported ready if it is", uid, got, h.reportedReady[uid], want)
	}
	if _, finished := h.model.finished[uid]; !finished && h.model.state(uid) == Cancelled && !h.cancelled[uid] {
		t.Fatalf("%s is cancelled with a job that it depends on, but no effect lists it", uid)
	}
	if h.model.state(uid) != Open {
		return
	}
	level, dueMs := h.graph.Urgency(uid)
	if wantLevel, wantDueMs := h.model.urgency(uid); level != wantLevel || dueMs != wantDueMs {
		t.Fatalf("%s has level %d and due time %v, want %d and %v", uid, level, dueMs, wantLevel, wantDueMs)
	}
	if reported := h.urgency[uid]; reported != (urgency{level: level, dueMs: dueMs}) {
		t.Fatalf("%s has level %d and due time %v, but was last reported with %+v", uid, level, dueMs, reported)
	}
	if got, want := h.graph.HasOpenDependents(uid), h.model.hasOpenDependents(uid); got != want {
		t.Fatalf("%s: HasOpenDependents() = %v, want %v", uid, got, want)
	}
}

// archiveAll cancels and archives all jobs. The graph must be empty afterwards.
func (h *harness) archiveAll(t *rapid.T) {
	for _, uid := range h.model.order {
		if !h.model.archived[uid] {
			h.model.finished[uid] = Cancelled
			h.graph.Finish(uid, Cancelled)
			h.graph.Archive(uid)
		}
	}
	if h.graph.Len() > 0 || h.graph.HasUnresolved() {
		t.Fatalf("after all jobs are archived: %d jobs, unresolved %v, want 0, false", h.graph.Len(), h.graph.HasUnresolved())
	}
}

// The graph agrees with the model after any sequence of changes: jobs are added before or after those that
// they depend on, end, are cancelled or are archived, and final statuses are read later.
func TestGraphAgreesWithAPlainModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		for step := range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0, 1:
				h.accept(t, fmt.Sprintf("j%d", step))
			case 2, 3:
				h.finish(t)
			case 4:
				h.archive(t)
			case 5:
				h.resolve(t)
			case 6:
				h.updateUrgency()
			}
		}
		h.addAndResolveAll(t)
		h.updateUrgency()
		for _, uid := range h.model.order {
			if !h.model.archived[uid] {
				h.check(t, uid)
			}
		}
		h.archiveAll(t)
	})
}

// Changes in a long chain and in a wide fan of 2,000 jobs each affect all the jobs that depend on the changed
// one. Each change must take time in proportion to the number of jobs that it affects.
func TestLargeGraphs(t *testing.T) {
	const size = 2000
	g := New()
	g.Add("j0", Job{Level: 1, DueMs: math.Inf(1)})
	for i := 1; i < size; i++ {
		g.Add(fmt.Sprintf("j%d", i), Job{Dependencies: []string{fmt.Sprintf("j%d", i-1)}, Level: 1, DueMs: math.Inf(1), ExpectedRunMs: 1})
		g.Add(fmt.Sprintf("fan%d", i), Job{Dependencies: []string{"j0"}, Level: 1, DueMs: math.Inf(1)})
	}
	g.Add("last", Job{Dependencies: []string{fmt.Sprintf("j%d", size-1)}, Level: 4, DueMs: 10000, ExpectedRunMs: 1})
	g.UpdateUrgency()
	if level, dueMs := g.Urgency("j0"); level != 4 || dueMs != 10000-size {
		t.Errorf("the first job of the chain has level %d and due time %v, want 4 and %d", level, dueMs, 10000-size)
	}
	if e := g.Finish("j0", Done); len(e.Ready) != size {
		t.Errorf("%d jobs are reported ready, want %d", len(e.Ready), size)
	}
	if e := g.Finish("j1", Cancelled); len(e.Cancelled) != size-1 {
		t.Errorf("%d jobs are cancelled, want %d", len(e.Cancelled), size-1)
	}
}

// A new leader reads jobs in any order. The first job of a chain inherits the priority and due time of the
// last one, in whichever order they are added.
func TestUrgencyReachesTheFirstInAnyOrder(t *testing.T) {
	jobs := map[string]Job{
		"first":  {Level: 1, DueMs: math.Inf(1), ExpectedRunMs: 10},
		"middle": {Dependencies: []string{"first"}, Level: 1, DueMs: math.Inf(1), ExpectedRunMs: 20},
		"last":   {Dependencies: []string{"middle"}, Level: 3, DueMs: 100, ExpectedRunMs: 30},
	}
	for _, order := range [][]string{
		{"first", "middle", "last"},
		{"last", "first", "middle"},
		{"first", "last", "middle"},
		{"last", "middle", "first"},
	} {
		g := New()
		for _, uid := range order {
			g.Add(uid, jobs[uid])
		}
		g.UpdateUrgency()
		if level, dueMs := g.Urgency("first"); level != 3 || dueMs != 50 {
			t.Errorf("in the order %v the first job has level %d and due time %v, want 3 and 50", order, level, dueMs)
		}
	}
}

// A late event may add a job again whose record was removed, between two updates of the urgency. The jobs that it
// depends on inherit its urgency again, and it still waits for them.
func TestJobThatIsAddedAgainPassesUrgencyOn(t *testing.T) {
	g := New()
	first := Job{Level: 1, DueMs: math.Inf(1)}
	middle := Job{Dependencies: []string{"first"}, Level: 1, DueMs: math.Inf(1), ExpectedRunMs: 20}
	g.Add("first", first)
	g.Add("middle", middle)
	g.Add("last", Job{Dependencies: []string{"middle"}, Level: 3, DueMs: 100, ExpectedRunMs: 30})
	g.Archive("middle")
	g.UpdateUrgency()
	if level, dueMs := g.Urgency("first"); level != 1 || !math.IsInf(dueMs, 1) {
		t.Errorf("after the middle job was removed, the first has level %d and due time %v, want 1 and +Inf", level, dueMs)
	}
	g.Add("middle", middle)
	g.UpdateUrgency()
	if level, dueMs := g.Urgency("first"); level != 3 || dueMs != 50 {
		t.Errorf("after the middle job was added again, the first has level %d and due time %v, want 3 and 50", level, dueMs)
	}
	if g.Ready("middle") {
		t.Error("the middle job is ready before the first is done")
	}
	if effects := g.Finish("first", Done); !slices.Equal(effects.Ready, []string{"middle"}) {
		t.Errorf("after the first job is done %v are ready, want the middle one", effects.Ready)
	}
}

// Changes of graphs with many paths handle each job and each dependency once. When the due time of a job was passed
// on along each path, the last job of a pipeline of 501 jobs that each name all earlier ones stopped the leader for
// minutes, and 45 jobs with estimates that make each path better than the one before took it over its memory.
func TestGraphsWithManyPathsTakeBoundedTime(t *testing.T) {
	const limit = 10 * time.Second // work that grows with the number of paths takes minutes to centuries
	for _, tc := range []struct {
		name string
		jobs []namedJob
	}{
		{"each names all earlier ones", denseGraph(501)},
		{"stages of two jobs", stagedGraph(45, 2)},
		{"10,000 dependencies", randomGraph(2000, 5)},
	} {
		for order, jobs := range map[string][]namedJob{"in order": tc.jobs, "reversed": reversed(tc.jobs), "shuffled": shuffled(tc.jobs)} {
			t.Run(tc.name+" "+order, func(t *testing.T) {
				began := time.Now()
				g := New()
				expectDistinct := func(what string, uids []string) {
					if distinct := len(slices.Compact(slices.Sorted(slices.Values(uids)))); distinct != len(uids) {
						t.Fatalf("%d %s jobs are reported for one change, %d of them distinct, want each once", len(uids), what, distinct)
					}
				}
				for _, job := range jobs {
					g.Add(job.uid, job.Job)
					expectDistinct("urgent", g.UpdateUrgency())
				}
				expectDistinct("ready", g.Finish(tc.jobs[0].uid, Done).Ready)
				expectDistinct("cancelled", g.Finish(tc.jobs[1].uid, Cancelled).Cancelled)
				expectDistinct("urgent", g.UpdateUrgency())
				if took := time.Since(began); took > limit {
					t.Errorf("%d jobs took %v, want at most %v", len(jobs), took, limit)
				}
			})
		}
	}
}
