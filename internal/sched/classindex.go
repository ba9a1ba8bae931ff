package sched

import (
	"slices"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// A cycle does not visit every node for every job. Nodes that are alike in all that a cycle
// compares, except their images, form a class: for a job the cycle compares classes, and visits single
// nodes only in the classes that it places tasks on. Nodes without room for the smallest need of the
// window are in no class.

// noClass is the class ID of a node that is in no class.
const noClass = -1

// classKey is what the nodes of a class have in common.
type classKey struct {
	profile       int32
	activeFetches int32
	free          [horizons]fleet.Resources
}

// class is a set of nodes that are alike.
type class struct {
	classKey
	members []int32 // slots in order; nodes that have left the class are skipped
	head    int     // all members before it have left
	size    int     // members that have not left
}

// buildClassIndex puts the nodes that have room for the smallest need of the window into classes.
func (c *cycle) buildClassIndex(smallest fleet.Resources) {
	c.smallestNeed = smallest
	scratch := c.scratch
	if scratch.classIndex == nil {
		scratch.classIndex = map[classKey]int32{}
	}
	clear(scratch.classIndex)
	scratch.classes = scratch.classes[:0]
	for slot := range scratch.class {
		scratch.class[slot] = noClass
		if c.isVacant(slot) {
			continue
		}
		if key := c.classKeyOf(int32(slot)); c.hasRoomForSmallest(&key) {
			classID := c.classFor(key)
			scratch.class[slot] = classID
			scratch.classes[classID].size++
		}
	}
	scratch.fillMembers()
}

// fillMembers lists the members of all classes in one allocation. Each list is full, so that
// appending to it later does not overwrite the next one.
func (s *scratchSpace) fillMembers() {
	s.members = resize(s.members, len(s.class))
	used := 0
	for classID := range s.classes {
		size := s.classes[classID].size
		s.classes[classID].members = s.members[used : used : used+size]
		used += size
	}
	for slot, classID := range s.class {
		if classID != noClass {
			s.classes[classID].members = append(s.classes[classID].members, int32(slot))
		}
	}
}

// classKeyOf returns the key of the class that a node belongs to in its present state.
func (c *cycle) classKeyOf(slot int32) classKey {
	return classKey{
		profile:       c.scratch.profile[slot],
		activeFetches: c.scratch.activeFetches[slot],
		free:          [horizons]fleet.Resources{c.free[atOnce][slot], c.free[afterStops][slot], c.free[afterBoot][slot]},
	}
}

// hasRoomForSmallest reports whether nodes of a class have room for the smallest need, now or later.
func (c *cycle) hasRoomForSmallest(key *classKey) bool {
	for at := range key.free {
		if key.free[at].FitsRequested(c.smallestNeed) {
			return true
		}
	}
	return false
}

// classFor returns the ID of the class of a key, which it adds if there is none.
func (c *cycle) classFor(key classKey) int32 {
	scratch := c.scratch
	classID, known := scratch.classIndex[key]
	if !known {
		classID = int32(len(scratch.classes))
		scratch.classes = append(scratch.classes, class{classKey: key})
		scratch.classIndex[key] = classID
		for at := range c.openClasses {
			if key.free[at].FitsRequested(c.smallestNeed) {
				c.openClasses[at] = append(c.openClasses[at], classID)
			}
		}
	}
	return classID
}

// reclassify moves a node whose room has changed into the class that it belongs to now.
func (c *cycle) reclassify(slot int32) {
	scratch := c.scratch
	if old := scratch.class[slot]; old != noClass {
		scratch.classes[old].size--
		scratch.class[slot] = noClass
	}
	key := c.classKeyOf(slot)
	if scratch.reserved[slot] || !c.hasRoomForSmallest(&key) {
		return
	}
	classID := c.classFor(key)
	scratch.class[slot] = classID
	target := &scratch.classes[classID]
	target.size++
	position, known := slices.BinarySearch(target.members, slot)
	if !known {
		target.members = slices.Insert(target.members, position, slot)
	}
	target.head = min(target.head, position)
}
