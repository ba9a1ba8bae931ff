// Package jobdag holds the graph of dependencies between jobs. It determines which jobs become ready or are
// cancelled when a job ends or is cancelled, and which priority and due time a job inherits from the jobs
// that depend on it. The package does no I/O, and uses neither records nor a clock.
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
	Unresolved State = iota // its record is not known yet, or was removed before the graph knew its final state
	Open                    // accepted and neither done nor cancelled
	Done                    // the record of its end is committed
	Cancelled               // a committed record cancels the job or one that it depends on
)

var stateNames = [...]string{"unresolved", "open", "done", "cancelled"}

func (s State) String() string { return stateNames[s] }

// Final reports whether a state never changes again.
func (s State) Final() bool { return s == Done || s == Cancelled }

// Job holds the properties of a job that the graph uses. Times are in milliseconds.
type Job struct {
	Dependencies  []string // UIDs of the jobs that have to be done first
	Level         int      // its own priority: jobs of a higher level come first
	DueMs         float64  // its own due time, as Unix time; +Inf if it has none
	ExpectedRunMs float64  // how long it is expected to run once its dependencies are done
}

// Effects lists the UIDs of the jobs that a change of the graph affects.
type Effects struct {
	Ready     []string // jobs whose dependencies are now all done
	Cancelled []string // jobs that are cancelled because a job that they depend on is
}

// node is a job of the graph. The fields that its neighbours read come first, so that they share a cache line.
type node struct {
	state        State
	isStale      bool // its urgency has to be computed again
	isRemoved    bool // it is no longer in the graph
	archived     bool // its record is not known or was removed: the node stays only while other jobs depend on it
	urgency      urgency
	startByMs    float64 // when its predecessors have to be done, so that it is done by its due time
	visitedBy    uint64  // the last traversal that has visited it
	predecessors []*node
	successors   []*node // dependents, also those that were removed from the graph until they are compacted away
	Job
	uid                 string
	removedSuccessors   int // number of successors that were removed from the graph
	pendingPredecessors int // number of predecessors that are not done
	openSuccessors      int // number of successors in state Open
}

// Graph holds the jobs that are not archived, and archived jobs while other jobs in the graph depend on them.
// A change takes time in proportion to the jobs and dependencies that it affects, each of which it handles
// once. Graph is not safe for concurrent use.
type Graph struct {
	nodes      map[string]*node
	unresolved map[string]*node
	stale      []*node // nodes whose urgency has to be computed again
	traversals uint64  // number of traversals so far
}

// New returns an empty graph.
func New() *Graph { return &Graph{nodes: map[string]*node{}, unresolved: map[string]*node{}} }

// Add adds an accepted job. It does nothing if the job is in the graph already and its state is not Unresolved.
func (g *Graph) Add(uid string, job Job) Effects {
	var effects Effects
	n := g.nodes[uid]
	if n == nil {
		n = g.newNode(uid)
	} else if n.state != Unresolved {
		return effects
	}
	n.Job, n.archived = job, false
	n.setUrgency(urgency{level: job.Level, dueMs: job.DueMs})
	unlink(n)
	g.traversals++
	for _, name := range job.Dependencies {
		g.addPredecessor(n, name)
	}
	g.setState(n, Open)
	if slices.ContainsFunc(n.predecessors, func(p *node) bool { return p.state == Cancelled }) {
		effects.Cancelled = append(effects.Cancelled, uid)
		g.finish(n, Cancelled, &effects)
	}
	return effects
}

// unlink removes the dependencies of n, which has some if its record was removed before and is known again now.
func unlink(n *node) {
	for _, predecessor := range n.predecessors {
		predecessor.successors = slices.DeleteFunc(predecessor.successors, func(s *node) bool { return s == n })
	}
	n.predecessors, n.pendingPredecessors = nil, 0
}

// addPredecessor adds a dependency of n. If the graph does not have that job, it is added in state Unresolved.
func (g *Graph) addPredecessor(n *node, name string) {
	predecessor := g.nodes[name]
	if predecessor == nil {
		predecessor = g.newNode(name)
		g.unresolved[name] = predecessor
	}
	if predecessor.visitedBy == g.traversals {
		return // n names it twice
	}
	predecessor.visitedBy = g.traversals
	predecessor.successors = append(predecessor.successors, n)
	n.predecessors = append(n.predecessors, predecessor)
	if predecessor.state != Done {
		n.pendingPredecessors++
	}
}

// newNode adds a node in state Unresolved.
func (g *Graph) newNode(uid string) *node {
	n := &node{uid: uid, archived: true, urgency: urgency{dueMs: math.Inf(1)}}
	n.DueMs = math.Inf(1)
	g.nodes[uid] = n
	return n
}

// Finish records that a job's end (state Done) or its cancellation (state Cancelled) is committed. It does
// nothing if the job is not in the graph, if its state is final already, or if state is not final.
func (g *Graph) Finish(uid string, state State) Effects {
	var effects Effects
	if n := g.nodes[uid]; n != nil && state.Final() && !n.state.Final() {
		g.finish(n, state, &effects)
	}
	return effects
}

// finish sets the state of a job that is not final to Done or Cancelled, updates the jobs that depend on it, and
// adds those that are affected to effects.
func (g *Graph) finish(n *node, to State, effects *Effects) {
	g.setState(n, to)
	for pending := []*node{n}; len(pending) > 0; {
		last := len(pending) - 1
		finished := pending[last]
		pending = pending[:last]
		for _, successor := range finished.successors {
			switch {
			case successor.state != Open:
			case to == Cancelled:
				g.setState(successor, Cancelled)
				effects.Cancelled = append(effects.Cancelled, successor.uid)
				pending = append(pending, successor)
			default:
				if successor.pendingPredecessors--; successor.pendingPredecessors == 0 {
					effects.Ready = append(effects.Ready, successor.uid)
				}
			}
		}
	}
}

// setState sets the state of a job and marks the urgency of the jobs that it affects as stale. No other function
// sets the state of a node.
func (g *Graph) setState(n *node, to State) {
	wasOpen := n.state == Open
	n.state = to
	delete(g.unresolved, n.uid)
	if to == Unresolved {
		g.unresolved[n.uid] = n
	}
	if wasOpen == (to == Open) {
		return
	}
	change := 1
	if wasOpen {
		change = -1
	}
	g.markStale(n)
	for _, predecessor := range n.predecessors {
		predecessor.openSuccessors += change
		g.markStale(predecessor)
	}
}

// Archive records that a job's record was removed. If the graph has not seen the job finish, the job becomes
// Unresolved: the caller has to read its final status.
func (g *Graph) Archive(uid string) {
	n := g.nodes[uid]
	if n == nil {
		return
	}
	n.archived = true
	if n.state == Open {
		g.setState(n, Unresolved)
	}
	g.removeUnused(n)
}

// removeUnused removes an archived job if no job in the graph depends on it, and then likewise the jobs that it
// depended on.
func (g *Graph) removeUnused(n *node) {
	for candidates := []*node{n}; len(candidates) > 0; {
		last := len(candidates) - 1
		n := candidates[last]
		candidates = candidates[:last]
		if n.isRemoved || !n.archived || len(n.successors) > n.removedSuccessors {
			continue
		}
		n.isRemoved = true
		delete(g.nodes, n.uid)
		delete(g.unresolved, n.uid)
		for _, predecessor := range n.predecessors {
			predecessor.countRemovedSuccessor()
			candidates = append(candidates, predecessor)
		}
	}
}

// countRemovedSuccessor counts a successor that was removed from the graph. It compacts the successors once more than
// half of them are removed, so that each removal takes constant time on average.
func (n *node) countRemovedSuccessor() {
	n.removedSuccessors++
	if 2*n.removedSuccessors > len(n.successors) {
		n.successors = slices.DeleteFunc(n.successors, func(s *node) bool { return s.isRemoved })
		n.removedSuccessors = 0
	}
}

// State returns the state of a job, or Unresolved if the job is not in the graph.
func (g *Graph) State(uid string) State {
	if n := g.nodes[uid]; n != nil {
		return n.state
	}
	return Unresolved
}

// Ready reports whether a job is open and all jobs that it depends on are done.
func (g *Graph) Ready(uid string) bool {
	n := g.nodes[uid]
	return n != nil && n.state == Open && n.pendingPredecessors == 0
}

// HasOpenDependents reports whether an open job depends on this one.
func (g *Graph) HasOpenDependents(uid string) bool {
	n := g.nodes[uid]
	return n != nil && n.openSuccessors > 0
}

// Unresolved returns the UIDs of the jobs in state Unresolved, sorted. Their final statuses have to be read.
func (g *Graph) Unresolved() []string { return slices.Sorted(maps.Keys(g.unresolved)) }

// HasUnresolved reports whether there are jobs in state Unresolved.
func (g *Graph) HasUnresolved() bool { return len(g.unresolved) > 0 }

// Len returns the number of jobs in the graph.
func (g *Graph) Len() int { return len(g.nodes) }
