package jobdag

import "math"

// urgency is the effective priority level and due time of a job: its own, or those that it inherits from the open
// jobs that depend on it.
type urgency struct {
	level int     // the highest of its own and those of its open successors
	dueMs float64 // the earliest of its own and those that its open successors require
}

// Urgency returns a job's effective priority level and due time, as of the last UpdateUrgency. A job that was added
// since has its own. If the job is not in the graph, it returns 0 and +Inf.
func (g *Graph) Urgency(uid string) (level int, dueMs float64) {
	if n := g.nodes[uid]; n != nil {
		return n.urgency.level, n.urgency.dueMs
	}
	return 0, math.Inf(1)
}

// markStale marks a job whose urgency UpdateUrgency has to compute again.
func (g *Graph) markStale(n *node) {
	if !n.isStale && n.state == Open {
		n.isStale = true
		g.stale = append(g.stale, n)
	}
}

// UpdateUrgency computes the urgency of open jobs again after changes of the graph, and returns the UIDs of those
// jobs whose urgency has changed. Computing it with each change would cost more: jobs that were changed one after
// another would each pass their urgency on to the same predecessors, and in a graph with many paths a single change
// would reach a job along each of them.
func (g *Graph) UpdateUrgency() (changed []string) {
	if len(g.stale) == 0 {
		return nil
	}
	ordered := g.predecessorsFirst(g.stale)
	for i := len(ordered) - 1; i >= 0; i-- {
		n := ordered[i]
		if !n.isStale {
			continue
		}
		n.isStale = false
		current := n.currentUrgency()
		if current == n.urgency {
			continue
		}
		n.setUrgency(current)
		changed = append(changed, n.uid)
		for _, predecessor := range n.predecessors {
			predecessor.isStale = predecessor.state == Open
		}
	}
	for _, n := range g.stale {
		n.isStale = false // of those that are no longer open
	}
	clear(g.stale)
	g.stale = g.stale[:0]
	return changed
}

// setUrgency sets the urgency of a job. No other function does.
func (n *node) setUrgency(to urgency) {
	n.urgency = to
	n.startByMs = to.dueMs - n.ExpectedRunMs
}

// currentUrgency computes a job's urgency from its own and those of its open successors.
func (n *node) currentUrgency() urgency {
	current := urgency{level: n.Level, dueMs: n.DueMs}
	for _, successor := range n.successors {
		if successor.state != Open {
			continue
		}
		current.level = max(current.level, successor.urgency.level)
		if successor.startByMs < current.dueMs {
			current.dueMs = successor.startByMs
		}
	}
	return current
}

// step is a node on the path of a traversal, and the number of its predecessors that have been visited.
type step struct {
	node    *node
	visited int
}

// predecessorsFirst returns the given jobs that are open and all open jobs that they depend on, each once and after
// its predecessors. It keeps the path in a slice, since paths can be as long as there are jobs.
func (g *Graph) predecessorsFirst(from []*node) []*node {
	g.traversals++
	var ordered []*node
	var path []step
	for _, n := range from {
		path = g.visit(path, n)
		for len(path) > 0 {
			last := &path[len(path)-1]
			if last.visited == len(last.node.predecessors) {
				ordered = append(ordered, last.node)
				path = path[:len(path)-1]
				continue
			}
			predecessor := last.node.predecessors[last.visited]
			last.visited++
			path = g.visit(path, predecessor)
		}
	}
	return ordered
}

// visit appends a job to the path of the current traversal, unless it is not open or was visited before.
func (g *Graph) visit(path []step, n *node) []step {
	if n.state != Open || n.visitedBy == g.traversals {
		return path
	}
	n.visitedBy = g.traversals
	return append(path, step{node: n})
}
