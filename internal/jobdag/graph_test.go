package jobdag

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The same inputs every run; -rapid.seed draws others.
func init() { _ = flag.Set("rapid.seed", "1") }

// model is what the graph is checked against: the jobs and their own committed states,
// from which all else is computed anew each time.
type model struct {
	jobs     map[string]Job
	finished map[string]State // committed, of jobs that the model or only the records know
	archived map[string]bool
	order    []string
}

// state derives where a job stands by walking everything that it needs.
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
	return m.state(uid) == Open && !slices.ContainsFunc(m.jobs[uid].Dependencies, func(name string) bool { return m.state(name) != Done })
}

// urgency derives a job's priority and due time from all open jobs that need it.
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

// The graph says the same as the plain model, whatever happens in whichever order:
// jobs that come before or after those that they name, ends, cancellations, records
// that are archived, and final statuses that are read later.
func TestGraphAgreesWithAPlainModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{jobs: map[string]Job{}, finished: map[string]State{}, archived: map[string]bool{}}
		g := New()
		ready, cancelled := map[string]bool{}, map[string]bool{}
		take := func(e Effects) {
			for _, uid := range e.Released {
				if ready[uid] {
					t.Fatalf("%s is released twice", uid)
				}
				ready[uid] = true
			}
			for _, uid := range e.Cancelled {
				cancelled[uid] = true
			}
		}
		// An archived job is known to the graph only by its final status.
		if rapid.Bool().Draw(t, "old") {
			m.finished["old"] = rapid.SampledFrom([]State{Done, Cancelled}).Draw(t, "oldState")
			m.archived["old"] = true
			m.order = append(m.order, "old")
		}
		var late []string // accepted, and not added yet
		add := func(uid string) {
			take(g.Add(uid, m.jobs[uid]))
			if g.Ready(uid) {
				ready[uid] = true
			}
			if state, ok := m.finished[uid]; ok {
				take(g.Finish(uid, state))
			}
		}
		steps := rapid.IntRange(5, 60).Draw(t, "steps")
		for step := range steps {
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1:
				uid := fmt.Sprintf("j%d", step)
				job := Job{Level: rapid.IntRange(1, 4).Draw(t, "level"), DueMs: math.Inf(1), ExpectedRunMs: float64(rapid.IntRange(0, 50).Draw(t, "run"))}
				if rapid.Bool().Draw(t, "due") {
					job.DueMs = float64(rapid.IntRange(0, 1000).Draw(t, "dueMs"))
				}
				if len(m.order) > 0 {
					job.Dependencies = slices.Compact(slices.Sorted(slices.Values(rapid.SliceOfN(rapid.SampledFrom(m.order), 0, 3).Draw(t, "awaits"))))
				}
				m.jobs[uid] = job
				m.order = append(m.order, uid)
				if late = append(late, uid); rapid.Bool().Draw(t, "atOnce") {
					for _, uid := range rapid.Permutation(late).Draw(t, "order") {
						add(uid)
					}
					late = nil
				}
			case 2, 3:
				if len(m.order) == 0 {
					continue
				}
				uid := rapid.SampledFrom(m.order).Draw(t, "finish")
				if _, known := m.finished[uid]; known || slices.Contains(late, uid) {
					continue
				}
				to := Cancelled
				if m.ready(uid) && rapid.Bool().Draw(t, "done") {
					to = Done
				}
				m.finished[uid] = to
				take(g.Finish(uid, to))
			case 4:
				if len(m.order) == 0 {
					continue
				}
				uid := rapid.SampledFrom(m.order).Draw(t, "archive")
				if m.finished[uid].Final() && !slices.Contains(late, uid) {
					m.archived[uid] = true
					g.Archive(uid)
				}
			case 5: // all final statuses that are asked for are read
				for _, uid := range g.Unresolved() {
					if state, ok := m.finished[uid]; ok {
						take(g.Finish(uid, state))
					}
				}
			}
		}
		for _, uid := range late {
			add(uid)
		}
		for _, uid := range g.Unresolved() {
			take(g.Finish(uid, m.finished[uid]))
		}
		for _, uid := range m.order {
			if m.archived[uid] {
				continue
			}
			if got, want := g.State(uid), m.state(uid); got != want {
				t.Fatalf("%s is %s, want %s", uid, got, want)
			}
			if got, want := g.Ready(uid), m.ready(uid); got != want || want && !ready[uid] {
				t.Fatalf("%s: ready %v, released %v, want %v", uid, got, ready[uid], want)
			}
			if _, own := m.finished[uid]; !own && m.state(uid) == Cancelled && !cancelled[uid] {
				t.Fatalf("%s is cancelled and nobody was told", uid)
			}
			if m.state(uid) != Open {
				continue
			}
			level, dueMs := g.Urgency(uid)
			if wantLevel, wantDueMs := m.urgency(uid); level != wantLevel || dueMs != wantDueMs {
				t.Fatalf("%s has level %d, due %v, want %d, %v", uid, level, dueMs, wantLevel, wantDueMs)
			}
		}
		for _, uid := range m.order {
			if !m.archived[uid] {
				m.finished[uid] = Cancelled
				g.Finish(uid, Cancelled)
				g.Archive(uid)
			}
		}
		if g.Len() > 0 || g.HasUnresolved() {
			t.Fatalf("%d jobs are left when all are archived", g.Len())
		}
	})
}

// Long chains, wide fans and diamonds cost a change no more than the jobs concerned.
func TestLargeGraphs(t *testing.T) {
	const size = 2000
	g := New()
	g.Add("j0", Job{Level: 1, DueMs: math.Inf(1)})
	for i := 1; i < size; i++ {
		g.Add(fmt.Sprintf("j%d", i), Job{Dependencies: []string{fmt.Sprintf("j%d", i-1)}, Level: 1, DueMs: math.Inf(1), ExpectedRunMs: 1})
		g.Add(fmt.Sprintf("fan%d", i), Job{Dependencies: []string{"j0"}, Level: 1, DueMs: math.Inf(1)})
	}
	g.Add("last", Job{Dependencies: []string{fmt.Sprintf("j%d", size-1)}, Level: 4, DueMs: 10000, ExpectedRunMs: 1})
	if level, dueMs := g.Urgency("j0"); level != 4 || dueMs != 10000-size {
		t.Errorf("the first of a chain has level %d and due time %v", level, dueMs)
	}
	if e := g.Finish("j0", Done); len(e.Released) != size {
		t.Errorf("%d jobs are released, want %d", len(e.Released), size)
	}
	if e := g.Finish("j1", Cancelled); len(e.Cancelled) != size-1 {
		t.Errorf("%d jobs are cancelled, want %d", len(e.Cancelled), size-1)
	}
}

// A new leader reads jobs in any order: what the last of a chain asks for reaches the
// first, whichever of them is known first.
func TestUrgencyReachesTheFirstInAnyOrder(t *testing.T) {
	jobs := map[string]Job{
		"first":  {Level: 1, DueMs: math.Inf(1), ExpectedRunMs: 10},
		"middle": {Dependencies: []string{"first"}, Level: 1, DueMs: math.Inf(1), ExpectedRunMs: 20},
		"last":   {Dependencies: []string{"middle"}, Level: 3, DueMs: 100, ExpectedRunMs: 30},
	}
	for _, order := range [][]string{{"first", "middle", "last"}, {"last", "first", "middle"}, {"first", "last", "middle"}, {"last", "middle", "first"}} {
		g := New()
		for _, uid := range order {
			g.Add(uid, jobs[uid])
		}
		if level, dueMs := g.Urgency("first"); level != 3 || dueMs != 50 {
			t.Errorf("in the order %v the first has level %d and due time %v", order, level, dueMs)
		}
	}
}
