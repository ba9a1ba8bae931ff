package sched

import (
	"slices"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// The class index saves a cycle from visiting every node for every job. A class is a set of nodes with the
// same profile, number of active fetches and free capacity; only their IDs, images and victims may differ. It has
// nothing to do with the classes of jobs (wire.JobSpec.JobClass). For each job the cycle compares classes, and visits
// single nodes only in the classes where it places tasks. A node is in no class if the smallest need of the window
// fits it at no horizon.

// noClass is the class ID of a node that is in no class.
const noClass = -1

// classKey holds the properties that all nodes of a class share.
type classKey struct {
	profileID     int32
	activeFetches int32
	free          [horizonCount]fleet.Resources
}

// class is a set of nodes with equal properties.
type class struct {
	classKey
	members []int32 // sorted slots; may include nodes that have left the class, which readers skip
	head    int     // index in members: all nodes before it have left the class
	size    int     // number of nodes in the class, without those that have left
}

// buildClassIndex puts each node on which the smallest need of a window fits into its class. A reserved node is in no class.
func (c *cycle) buildClassIndex(smallest fleet.Resources) {
	c.smallestNeed = smallest
	scratch := c.scratch
	if scratch.classIndex == nil {
		scratch.classIndex = map[classKey]int32{}
	}
	clear(scratch.classIndex)
	scratch.classes = scratch.classes[:0]
	c.openClasses = [horizonCount][]int32{}
	for slot := range scratch.classID {
		scratch.classID[slot] = noClass
		if c.isVacant(slot) || scratch.reserved[slot] {
			continue
		}
		if key := c.classKeyOf(int32(slot)); c.fitsSmallest(&key) {
			classID := c.classFor(key)
			scratch.classID[slot] = classID
			scratch.classes[classID].size++
		}
	}
	scratch.fillMembers()
}

// fillMembers fills the member lists of all classes, which share one array. The capacity of each list equals
// its length, so that a later insertion reallocates the list and does not overwrite the next one.
func (s *scratchSpace) fillMembers() {
	s.members = resize(s.members, len(s.classID))
	used := 0
	for classID := range s.classes {
		size := s.classes[classID].size
		s.classes[classID].members = s.members[used : used : used+size]
		used += size
	}
	for slot, classID := range s.classID {
		if classID != noClass {
			s.classes[classID].members = append(s.classes[classID].members, int32(slot))
		}
	}
}

// classKeyOf returns the key of the class that matches the current state of a node.
func (c *cycle) classKeyOf(slot int32) classKey {
	return classKey{
		profileID:     c.scratch.profileID[slot],
		activeFetches: c.scratch.activeFetches[slot],
		free:          [horizonCount]fleet.Resources{c.free[atOnce][slot], c.free[afterStops][slot], c.free[afterBoot][slot]},
	}
}

// fitsSmallest reports whether the smallest need fits the nodes of a class at any horizon.
func (c *cycle) fitsSmallest(key *classKey) bool {
	for at := range key.free {
		if key.free[at].FitsRequested(c.smallestNeed) {
			return true
		}
	}
	return false
}

// classFor returns the ID of the class with a key, and adds the class if it is new.
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

// reclassify moves a node to the class that matches its free capacity. It is called after the free capacity or
// the reservation of the node has changed. A reserved node is in no class.
func (c *cycle) reclassify(slot int32) {
	scratch := c.scratch
	if old := scratch.classID[slot]; old != noClass {
		scratch.classes[old].size--
		scratch.classID[slot] = noClass
	}
	key := c.classKeyOf(slot)
	if scratch.reserved[slot] || !c.fitsSmallest(&key) {
		return
	}
	classID := c.classFor(key)
	scratch.classID[slot] = classID
	target := &scratch.classes[classID]
	target.size++
	position, known := slices.BinarySearch(target.members, slot)
	if !known {
		target.members = slices.Insert(target.members, position, slot)
	}
	target.head = min(target.head, position)
}
