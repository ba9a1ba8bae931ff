package sched

import (
	"cmp"
	"slices"

	"github.com/bits-and-blooms/bitset"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// View holds the state of the machines of a fleet. It is retained from cycle to cycle: the caller upserts
// the machines that have changed. Each machine has a slot. During a cycle, slots are in the order of machine
// IDs, so that comparing slots breaks ties by ID. A View is not safe for concurrent use.
type View struct {
	slots          map[string]int32 // by machine ID
	nodes          []retainedNode   // by slot
	profiles       profileTable
	imageIndex     map[string]*bitset.BitSet // by image: slots of the machines that have or are fetching it
	victimsByLevel [maxLevels]int            // number of victims of each priority level
	unsorted       bool                      // slots are not in the order of machine IDs
	profilesInUse  int                       // number of profiles after the last compaction
	vacantSlots    int                       // number of slots without a machine
	scratch        scratchSpace
}

// retainedNode is a machine in its slot.
type retainedNode struct {
	id            string // "": the slot is vacant
	profileID     int32
	activeFetches int32
	free          [horizonCount]fleet.Resources
	victims       []Victim
	images        []string // sorted
}

// maxLevels is greater than any priority level.
const maxLevels = 8

// NewView returns an empty view.
func NewView() *View {
	return &View{slots: map[string]int32{}, imageIndex: map[string]*bitset.BitSet{}}
}

// SlotCount returns the number of slots, vacant ones included. In a Plan, node indexes below it are slots of
// the view.
func (v *View) SlotCount() int { return len(v.nodes) }

// MachineCount returns the number of machines.
func (v *View) MachineCount() int { return len(v.slots) }

// MachineID returns the ID of the machine in a slot, or "" if the slot is vacant.
func (v *View) MachineID(slot int) string { return v.nodes[slot].id }

// Upsert adds a machine, or replaces it if it has changed, and reports whether the view has changed. It may
// sort n.Images and keeps the node's slices; the caller must not modify them afterwards.
func (v *View) Upsert(n *Node) (changed bool) {
	slot, known := v.slots[n.ID]
	if !known {
		slot = v.appendSlot(n.ID)
	}
	if !slices.IsSorted(n.Images) {
		slices.Sort(n.Images)
	}
	old := &v.nodes[slot]
	next := retainedNode{
		id:            n.ID,
		profileID:     v.profiles.idOf(profileOf(n)),
		activeFetches: int32(n.ActiveFetches),
		free:          [horizonCount]fleet.Resources{n.Free, n.FreeAfterStops, n.FreeAfterBoot},
		victims:       n.Victims,
		images:        n.Images,
	}
	if known && old.isEqual(&next) {
		return false
	}
	v.updateImageIndex(slot, old.images, next.images)
	v.adjustVictimCounts(old.victims, -1)
	v.adjustVictimCounts(next.victims, 1)
	*old = next
	return true
}

// isEqual reports whether two nodes are equal, apart from the order of their victims.
func (node *retainedNode) isEqual(other *retainedNode) bool {
	if node.profileID != other.profileID || node.activeFetches != other.activeFetches || node.free != other.free ||
		!slices.Equal(node.images, other.images) || len(node.victims) != len(other.victims) {
		return false
	}
	// The order of victims does not matter. A node has few, so a linear search is fast enough.
	for i := range node.victims {
		if node.victims[i] != other.victims[i] && !slices.Contains(other.victims, node.victims[i]) {
			return false
		}
	}
	return true
}

// appendSlot adds a slot for a machine.
func (v *View) appendSlot(id string) int32 {
	slot := int32(len(v.nodes))
	if slot > 0 && v.nodes[slot-1].id > id {
		v.unsorted = true
	}
	v.nodes = append(v.nodes, retainedNode{id: id})
	v.slots[id] = slot
	return slot
}

// Remove removes a machine and reports whether it was there.
func (v *View) Remove(id string) (known bool) {
	slot, known := v.slots[id]
	if !known {
		return false
	}
	node := &v.nodes[slot]
	v.updateImageIndex(slot, node.images, nil)
	v.adjustVictimCounts(node.victims, -1)
	*node = retainedNode{}
	delete(v.slots, id)
	v.vacantSlots++
	// Drop vacant slots at the end: appendSlot compares the ID of a new machine with that of the last slot.
	for len(v.nodes) > 0 && v.nodes[len(v.nodes)-1].id == "" {
		v.nodes = v.nodes[:len(v.nodes)-1]
		v.vacantSlots--
	}
	return true
}

// adjustVictimCounts adds change to the count of each victim's level.
func (v *View) adjustVictimCounts(victims []Victim, change int) {
	for i := range victims {
		v.victimsByLevel[victims[i].Level] += change
	}
}

// updateImageIndex records that the images of a slot have changed from old to next. Both lists must be
// sorted.
func (v *View) updateImageIndex(slot int32, old, next []string) {
	for _, image := range old {
		if _, retained := slices.BinarySearch(next, image); retained {
			continue
		}
		holders := v.imageIndex[image]
		if holders.Clear(uint(slot)); holders.None() {
			delete(v.imageIndex, image)
		}
	}
	for _, image := range next {
		if _, had := slices.BinarySearch(old, image); had {
			continue
		}
		holders := v.imageIndex[image]
		if holders == nil {
			holders = bitset.New(uint(len(v.nodes)))
			v.imageIndex[image] = holders
		}
		holders.Set(uint(slot))
	}
}

// maxUnusedProfiles limits the profile table: it is compacted when it has more than twice the profiles in
// use at the last compaction, plus this number. Each change of prices adds profiles.
const maxUnusedProfiles = 64

// compact sorts the slots by machine ID and drops vacant slots and unused profiles. It does nothing if the
// slots are sorted already and there are few vacant slots and unused profiles.
func (v *View) compact() {
	if !v.unsorted && v.vacantSlots <= len(v.slots)/2 && len(v.profiles.list) <= 2*v.profilesInUse+maxUnusedProfiles {
		return
	}
	nodes := slices.DeleteFunc(v.nodes, func(node retainedNode) bool { return node.id == "" })
	slices.SortFunc(nodes, func(a, b retainedNode) int { return cmp.Compare(a.id, b.id) })
	v.nodes, v.unsorted, v.vacantSlots = nodes, false, 0
	clear(v.imageIndex)
	used := profileTable{}
	for slot := range nodes {
		node := &nodes[slot]
		node.profileID = used.idOf(v.profiles.list[node.profileID]) // adds only profiles in use
		v.slots[node.id] = int32(slot)
		v.updateImageIndex(int32(slot), nil, node.images)
	}
	v.profiles, v.profilesInUse = used, len(used.list)
}

// lowestVictimLevel returns the lowest priority level of any victim, or maxLevels if there are no victims.
func (v *View) lowestVictimLevel() int {
	for level, count := range v.victimsByLevel {
		if count > 0 {
			return level
		}
	}
	return maxLevels
}
