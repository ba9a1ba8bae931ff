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
	Urgency   []string // jobs whose priority or due time has changed
}

// node is a job of the graph.
type node struct {
	Job
	state               State
	archived            bool // its record is not known or was removed: the node stays only while other jobs depend on it
	predecessors        []*node
	successors          map[string]*node // dependents in the graph
	pendingPredecessors int              // number of predecessors that are not done
	uid                 string
	effectiveLevel      int     // the highest of its own priority and those of its open successors
	effectiveDueMs      float64 // the earliest of its own due time and those that its open successors require
}

// Graph holds the jobs that are not archived, and archived jobs while other jobs in the graph depend on them.
// It is not safe for concurrent use.
type Graph struct {
	nodes      map[string]*node
	unresolved map[string]*node
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
			n.pendingPredecessors++
		}
	}
	if slices.ContainsFunc(n.predecessors, func(p *node) bool { return p.state == Cancelled }) {
		g.transition(n, Cancelled, &effects)
		effects.Cancelled = append(effects.Cancelled, uid)
	}
	g.updateUrgency(n, &effects)
	// If the job's successors were added before it, its urgency may be the same as before. updateUrgency has
	// then not updated its predecessors, which inherit this urgency, too.
	for _, predecessor := range n.predecessors {
		g.updateUrgency(predecessor, &effects)
	}
	return effects
}

// newNode adds a node in state Unresolved.
func (g *Graph) newNode(uid string) *node {
	n := &node{uid: uid, archived: true, successors: map[string]*node{}, effectiveDueMs: math.Inf(1)}
	n.DueMs = math.Inf(1)
	g.nodes[uid] = n
	return n
}

// Finish records that a job's end (state Done) or its cancellation (state Cancelled) is committed. It does
// nothing if the job is not in the graph, if its state is final already, or if state is not final.
func (g *Graph) Finish(uid string, state State) Effects {
	var effects Effects
	if n := g.nodes[uid]; n != nil && state.Final() {
		g.transition(n, state, &effects)
	}
	return effects
}

// transition sets the state of a job to Done or Cancelled, updates its successors and predecessors, and adds
// the affected jobs to effects. No other function sets a final state. A state that is final already stays.
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
			if successor.pendingPredecessors--; successor.pendingPredecessors == 0 {
				effects.Ready = append(effects.Ready, successor.uid)
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

// updateUrgency computes a job's effective priority and due time again. If they have changed, it does the
// same for the jobs that this job depends on.
func (g *Graph) updateUrgency(n *node, effects *Effects) {
	level, dueMs := n.Level, n.DueMs
	for _, successor := range n.successors {
		if successor.state != Open {
			continue
		}
		level = max(level, successor.effectiveLevel)
		dueMs = min(dueMs, successor.effectiveDueMs-successor.ExpectedRunMs)
	}
	if level == n.effectiveLevel && dueMs == n.effectiveDueMs {
		return
	}
	n.effectiveLevel, n.effectiveDueMs = level, dueMs
	effects.Urgency = append(effects.Urgency, n.uid)
	if n.state != Open {
		return // its predecessors inherit urgency from open jobs only
	}
	for _, predecessor := range n.predecessors {
		g.updateUrgency(predecessor, effects)
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
		n.state = Unresolved
		g.unresolved[uid] = n
	}
	g.removeIfUnused(n)
}

// removeIfUnused removes an archived job if no job in the graph depends on it.
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

// Urgency returns a job's effective priority level and due time, which it may have inherited from its
// dependents; 0 and +Inf if the job is not in the graph.
func (g *Graph) Urgency(uid string) (level int, dueMs float64) {
	if n := g.nodes[uid]; n != nil {
		return n.effectiveLevel, n.effectiveDueMs
	}
	return 0, math.Inf(1)
}

// Unresolved returns the UIDs of the jobs in state Unresolved, sorted. Their final statuses have to be read.
func (g *Graph) Unresolved() []string { return slices.Sorted(maps.Keys(g.unresolved)) }

// HasUnresolved reports whether there are jobs in state Unresolved.
func (g *Graph) HasUnresolved() bool { return len(g.unresolved) > 0 }

// Len returns the number of jobs in the graph.
func (g *Graph) Len() int { return len(g.nodes) }
