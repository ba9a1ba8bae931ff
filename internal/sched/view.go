package sched

import (
	"cmp"
	"slices"

	"github.com/bits-and-blooms/bitset"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// View holds the machines of a fleet as cycles see them. It is retained from cycle to cycle: a machine
// that has changed is upserted, and a cycle only reads what is there. Machines have slots in the order
// of their IDs, so that ties are broken by ID at no cost. It is not safe for concurrent use.
type View struct {
	slots          map[string]int32 // by machine ID
	nodes          []retainedNode   // by slot
	profiles       profileTable
	imageIndex     map[string]*bitset.BitSet // by image: the slots of machines that have or fetch it
	victimsByLevel [maxLevels]int            // how many victims there are of each priority level
	unsorted       bool                      // slots are not in the order of IDs
	profilesInUse  int                       // as of the last compaction
	vacantSlots    int                       // slots without a machine
	scratch        scratchSpace
}

// retainedNode is a machine in its slot.
type retainedNode struct {
	id            string // "": the slot is vacant
	profile       int32
	activeFetches int32
	free          [horizons]fleet.Resources
	victims       []Victim
	images        []string // sorted
}

// maxLevels is above every priority level of jobs.
const maxLevels = 8

// NewView returns an empty view.
func NewView() *View {
	return &View{slots: map[string]int32{}, imageIndex: map[string]*bitset.BitSet{}}
}

// SlotCount returns the number of slots: nodes of a plan below it are machines of the view.
func (v *View) SlotCount() int { return len(v.nodes) }

// MachineCount returns the number of machines.
func (v *View) MachineCount() int { return len(v.slots) }

// MachineID returns the ID of the machine in a slot, "" if there is none.
func (v *View) MachineID(slot int) string { return v.nodes[slot].id }

// Upsert adds a machine, or replaces it if it has changed, and reports whether anything has. The caller
// must not change the node's slices afterwards.
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
		profile:       v.profiles.idOf(profileOf(n)),
		activeFetches: int32(n.ActiveFetches),
		free:          [horizons]fleet.Resources{n.Free, n.FreeAfterStops, n.FreeAfterBoot},
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

// isEqual reports whether two nodes are the same to a cycle.
func (node *retainedNode) isEqual(other *retainedNode) bool {
	if node.profile != other.profile || node.activeFetches != other.activeFetches || node.free != other.free ||
		!slices.Equal(node.images, other.images) || len(node.victims) != len(other.victims) {
		return false
	}
	// Victims come in any order, and their order does not matter to a cycle. There are few to compare.
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
	// The last slot is never vacant: appendSlot compares a new machine with the one before.
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

// updateImageIndex records that the images of a slot have changed from old to next. Both lists are
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

// maxUnusedProfiles is how many profiles may be known beside twice those that are in use. Each change
// of prices makes new ones.
const maxUnusedProfiles = 64

// compact brings the slots into the order of IDs, and drops vacant slots and unused profiles once they
// are many.
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
		node.profile = used.idOf(v.profiles.list[node.profile]) // unused profiles are dropped
		v.slots[node.id] = int32(slot)
		v.updateImageIndex(int32(slot), nil, node.images)
	}
	v.profiles, v.profilesInUse = used, len(used.list)
}

// lowestVictimLevel returns the lowest priority level of any victim, maxLevels if there is none.
func (v *View) lowestVictimLevel() int {
	for level, count := range v.victimsByLevel {
		if count > 0 {
			return level
		}
	}
	return maxLevels
}
