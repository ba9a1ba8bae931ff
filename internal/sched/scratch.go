package sched

import "lotusstile.dev/lotusstile/internal/fleet"

// scratchSpace is memory that a cycle reuses from the one before: allocated again for each cycle and
// each job, these lists were nearly all that a leader of 2,700 machines allocated.
type scratchSpace struct {
	free          [horizons][]fleet.Resources
	profile       []int32 // by slot
	activeFetches []int32 // by slot
	class         []int32 // by slot
	reserved      []bool  // by slot
	classes       []class
	classIndex    map[classKey]int32
	members       []int32 // of all classes
	groups        []candidateGroup
	options       []preemptionOption
	eligible      []bool // by profile
	preemptible   []preemptible
	victims       []Victim           // copies that are sorted
	sortedVictims map[int32][]Victim // by slot: parts of victims
	maxFit        map[demandShape]int
}

// reset prepares the memory for a cycle over so many nodes.
func (s *scratchSpace) reset(nodes int) {
	s.profile, s.activeFetches = resize(s.profile, nodes), resize(s.activeFetches, nodes)
	s.class, s.reserved = resize(s.class, nodes), resize(s.reserved, nodes)
	s.free[atOnce] = resize(s.free[atOnce], nodes)
	s.free[afterStops], s.free[afterBoot] = make([]fleet.Resources, nodes), make([]fleet.Resources, nodes) // the plan retains these
	s.preemptible, s.victims = s.preemptible[:0], s.victims[:0]
	if s.sortedVictims == nil {
		s.sortedVictims, s.maxFit = map[int32][]Victim{}, map[demandShape]int{}
	}
	clear(s.sortedVictims)
	clear(s.maxFit)
}

// resize returns a list of n zero values, in the old memory if that is large enough. New memory has an
// eighth to spare, so that a fleet that grows machine by machine does not allocate in every cycle.
func resize[T any](list []T, n int) []T {
	if cap(list) < n {
		return make([]T, n, n+n/8)
	}
	list = list[:n]
	clear(list)
	return list
}

// loadNodes copies the nodes of the input into the cycle.
func (c *cycle) loadNodes() {
	view := c.view
	scratch := &view.scratch
	scratch.reset(view.SlotCount() + len(c.input.Nodes))
	c.sortedVictims, c.maxFit = scratch.sortedVictims, scratch.maxFit
	c.scratch, c.free = scratch, scratch.free
	for slot := range view.nodes {
		node := &view.nodes[slot]
		scratch.profile[slot], scratch.activeFetches[slot] = node.profile, node.activeFetches
		for at := range c.free {
			c.free[at][slot] = node.free[at]
		}
	}
	c.lowestVictimLevel = view.lowestVictimLevel()
	for i := range c.input.Nodes {
		node, slot := &c.input.Nodes[i], view.SlotCount()+i
		scratch.profile[slot], scratch.activeFetches[slot] = view.profiles.idOf(profileOf(node)), int32(node.ActiveFetches)
		c.free[atOnce][slot], c.free[afterStops][slot], c.free[afterBoot][slot] = node.Free, node.FreeAfterStops, node.FreeAfterBoot
		for k := range node.Victims {
			c.lowestVictimLevel = min(c.lowestVictimLevel, node.Victims[k].Level)
		}
	}
	c.profiles = view.profiles.list
	if previous := c.input.Previous; previous != nil {
		copy(c.free[atOnce], previous.FreeAfterStops)
		copy(c.free[afterStops], previous.FreeAfterStops)
		copy(c.free[afterBoot], previous.FreeAfterBoot)
	}
}
