// Package jobdag is the graph of dependencies between jobs: which job depends on which, what a job's end or
// cancellation means for its dependents, and which priority and due time a job inherits from them. It is
// pure: it knows no records and no clock.
package jobdag

import (
	"maps"
	"math"
	"slices"
)

// State is the state of a job in the graph.
type State int

// The states of a job. Done and Cancelled are final.
const (
	Unresolved State = iota // named by a dependent; its record is not known yet, or gone before it was final
	Open                    // accepted and neither done nor cancelled
	Done                    // its end is committed
	Cancelled               // its cancellation is committed, or that of a job that it depends on
)

var stateNames = [...]string{"unresolved", "open", "done", "cancelled"}

func (s State) String() string { return stateNames[s] }

// Final reports whether a state never changes again.
func (s State) Final() bool { return s == Done || s == Cancelled }

// Job is what the graph needs to know of a job. Times are in milliseconds.
type Job struct {
	Dependencies  []string // the jobs that have to be done first
	Level         int      // its own priority: higher goes first
	DueMs         float64  // its own due time, as Unix time; +Inf if it has none
	ExpectedRunMs float64  // how long it is expected to run once its dependencies are done
}

// Effects is what a change of the graph means for jobs, by UID.
type Effects struct {
	Released  []string // all that they depend on is done
	Cancelled []string // a job that they depend on is cancelled
	Urgency   []string // their priority or due time has changed
}

// node is a job of the graph.
type node struct {
	Job
	state        State
	archived     bool // has no record: it stays only while others name it
	predecessors []*node
	successors   map[string]*node // dependents that are not archived
	pending      int              // predecessors that are not done
	uid          string
	level        int     // the highest of its own priority and those of its open successors
	dueMs        float64 // the earliest that its own and its open successors' due times require
}

// Graph holds the jobs that are not archived, and archived ones while others name them. It is not safe for
// concurrent use.
type Graph struct {
	nodes      map[string]*node
	unresolved map[string]*node
}

// New returns an empty graph.
func New() *Graph { return &Graph{nodes: map[string]*node{}, unresolved: map[string]*node{}} }

// Add adds an accepted job. A job that is in the graph already is left as it is.
func (g *Graph) Add(uid string, job Job) Effects {
	var effects Effects
	n := g.nodes[uid]
	if n == nil {
		n = g.newNode(uid)
	} else if n.state != Unresolved {
		return effects
	}
	delete(g.unresolved, uid)
	n.Job, n.state, n.archived = job, Open, false
	for _, name := range job.Dependencies {
		predecessor := g.nodes[name]
		if predecessor == nil {
			predecessor = g.newNode(name)
			g.unresolved[name] = predecessor
		}
		predecessor.successors[uid] = n
		n.predecessors = append(n.predecessors, predecessor)
		if predecessor.state != Done {
			n.pending++
		}
	}
	if slices.ContainsFunc(n.predecessors, func(p *node) bool { return p.state == Cancelled }) {
		g.transition(n, Cancelled, &effects)
		effects.Cancelled = append(effects.Cancelled, uid)
	}
	g.updateUrgency(n, &effects)
	// Its successors may have been added before it: their urgency counts for its predecessors, too.
	for _, predecessor := range n.predecessors {
		g.updateUrgency(predecessor, &effects)
	}
	return effects
}

// newNode adds an unresolved node.
func (g *Graph) newNode(uid string) *node {
	n := &node{uid: uid, archived: true, successors: map[string]*node{}, dueMs: math.Inf(1)}
	n.DueMs = math.Inf(1)
	g.nodes[uid] = n
	return n
}

// Finish records that a job's end or cancellation is committed, where state is Done or Cancelled. It does
// nothing if the job is not in the graph, if it is final already, or if state is not final.
func (g *Graph) Finish(uid string, state State) Effects {
	var effects Effects
	if n := g.nodes[uid]; n != nil && state.Final() {
		g.transition(n, state, &effects)
	}
	return effects
}

// transition is the one function that makes a job final: it moves it to Done or Cancelled, and adds to
// effects what that means for its dependents. A state that is final already stays.
func (g *Graph) transition(n *node, to State, effects *Effects) {
	if n.state == to || n.state.Final() {
		return
	}
	n.state = to
	delete(g.unresolved, n.uid)
	for _, successor := range n.successors {
		if successor.state != Open {
			continue
		}
		switch to {
		case Done:
			if successor.pending--; successor.pending == 0 {
				effects.Released = append(effects.Released, successor.uid)
			}
		case Cancelled:
			g.transition(successor, Cancelled, effects)
			effects.Cancelled = append(effects.Cancelled, successor.uid)
		}
	}
	for _, predecessor := range n.predecessors {
		g.updateUrgency(predecessor, effects)
	}
}

// updateUrgency derives a job's priority and due time again, and if they have changed, those of the jobs
// that it depends on.
func (g *Graph) updateUrgency(n *node, effects *Effects) {
	level, dueMs := n.Level, n.DueMs
	for _, successor := range n.successors {
		if successor.state != Open {
			continue
		}
		level = max(level, successor.level)
		dueMs = min(dueMs, successor.dueMs-successor.ExpectedRunMs)
	}
	if level == n.level && dueMs == n.dueMs {
		return
	}
	n.level, n.dueMs = level, dueMs
	effects.Urgency = append(effects.Urgency, n.uid)
	if n.state != Open {
		return // no dependent waits for it any more
	}
	for _, predecessor := range n.predecessors {
		g.updateUrgency(predecessor, effects)
	}
}

// Archive records that a job's record is gone. If the job has not finished here, its outcome has to be read
// from its final status.
func (g *Graph) Archive(uid string) {
	n := g.nodes[uid]
	if n == nil {
		return
	}
	n.archived = true
	if n.state == Open {
		n.state = Unresolved
		g.unresolved[uid] = n
	}
	g.removeIfUnused(n)
}

// removeIfUnused removes an archived job that no other names any more.
func (g *Graph) removeIfUnused(n *node) {
	if !n.archived || len(n.successors) > 0 {
		return
	}
	delete(g.nodes, n.uid)
	delete(g.unresolved, n.uid)
	for _, predecessor := range n.predecessors {
		delete(predecessor.successors, n.uid)
		g.removeIfUnused(predecessor)
	}
}

// State returns the state of a job; Unresolved if it is not in the graph.
func (g *Graph) State(uid string) State {
	if n := g.nodes[uid]; n != nil {
		return n.state
	}
	return Unresolved
}

// Ready reports whether a job is open and all that it depends on is known to be done.
func (g *Graph) Ready(uid string) bool {
	n := g.nodes[uid]
	return n != nil && n.state == Open && n.pending == 0
}

// HasOpenDependents reports whether an open job depends on this one.
func (g *Graph) HasOpenDependents(uid string) bool {
	n := g.nodes[uid]
	if n == nil {
		return false
	}
	for _, successor := range n.successors {
		if successor.state == Open {
			return true
		}
	}
	return false
}

// Urgency returns a job's priority level and due time, which it may have inherited from its dependents;
// 0 and +Inf if it is not in the graph.
func (g *Graph) Urgency(uid string) (level int, dueMs float64) {
	if n := g.nodes[uid]; n != nil {
		return n.level, n.dueMs
	}
	return 0, math.Inf(1)
}

// Unresolved returns the UIDs of the jobs whose final status has to be read, in order.
func (g *Graph) Unresolved() []string { return slices.Sorted(maps.Keys(g.unresolved)) }

// HasUnresolved reports whether there are any such jobs.
func (g *Graph) HasUnresolved() bool { return len(g.unresolved) > 0 }

// Len returns the number of jobs in the graph.
func (g *Graph) Len() int { return len(g.nodes) }
