package sched

import "lotusstile.dev/lotusstile/internal/fleet"

// scratchSpace is memory that each cycle reuses. Without reuse, these lists made up nearly all allocations of
// a leader with 2,700 machines.
type scratchSpace struct {
	free          [horizonCount][]fleet.Resources
	profileID     []int32 // by slot
	activeFetches []int32 // by slot
	classID       []int32 // by slot
	reserved      []bool  // by slot
	classes       []class
	classIndex    map[classKey]int32
	members       []int32 // member lists of all classes, one after the other
	groups        []candidateGroup
	options       []preemptionOption
	eligible      []bool // by profile
	preemptible   []preemptibleSummary
	victims       []Victim           // copies of victims, those of each node in stop order
	sortedVictims map[int32][]Victim // by slot: subslices of victims
	maxFit        map[demandShape]int
}

// reset clears the memory for a cycle with the given number of nodes.
func (s *scratchSpace) reset(nodes int) {
	s.profileID, s.activeFetches = resize(s.profileID, nodes), resize(s.activeFetches, nodes)
	s.classID, s.reserved = resize(s.classID, nodes), resize(s.reserved, nodes)
	s.free[atOnce] = resize(s.free[atOnce], nodes)
	s.free[afterStops], s.free[afterBoot] = make([]fleet.Resources, nodes), make([]fleet.Resources, nodes) // not reused: the plan keeps them
	s.preemptible, s.victims = s.preemptible[:0], s.victims[:0]
	if s.sortedVictims == nil {
		s.sortedVictims, s.maxFit = map[int32][]Victim{}, map[demandShape]int{}
	}
	clear(s.sortedVictims)
	clear(s.maxFit)
}

// resize returns a list of n zero values. It reuses the memory of list if that is large enough. New memory has
// one eighth of spare capacity, so that a fleet that grows machine by machine does not cause an allocation in
// every cycle.
func resize[T any](list []T, n int) []T {
	if cap(list) < n {
		return make([]T, n, n+n/8)
	}
	list = list[:n]
	clear(list)
	return list
}

// loadNodes copies the state of the input's nodes into the cycle's scratch memory.
func (c *cycle) loadNodes() {
	view := c.view
	scratch := &view.scratch
	scratch.reset(view.SlotCount() + len(c.input.Nodes))
	c.sortedVictims, c.maxFit = scratch.sortedVictims, scratch.maxFit
	c.scratch, c.free = scratch, scratch.free
	for slot := range view.nodes {
		node := &view.nodes[slot]
		scratch.profileID[slot], scratch.activeFetches[slot] = node.profileID, node.activeFetches
		for at := range c.free {
			c.free[at][slot] = node.free[at]
		}
	}
	c.lowestVictimLevel = view.lowestVictimLevel()
	for i := range c.input.Nodes {
		node, slot := &c.input.Nodes[i], view.SlotCount()+i
		scratch.profileID[slot], scratch.activeFetches[slot] = view.profiles.idOf(profileOf(node)), int32(node.ActiveFetches)
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
