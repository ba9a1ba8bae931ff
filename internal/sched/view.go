package sched

import (
	"cmp"
	"slices"

	"github.com/bits-and-blooms/bitset"

	"lotusstile.dev/lotusstile/internal/fleet"
)

// View holds the machines of a fleet as rounds see them. It is kept from round to round: a
// machine that has changed is put in anew, and a round only reads what is there. Machines
// have slots in the order of their IDs, so that ties are broken by ID at no cost. It is not
// safe for concurrent use.
type View struct {
	slots    map[string]int32
	nodes    []retainedNode // by slot
	kinds    kinds
	images   map[string]*bitset.BitSet // by image: the slots of machines that have or fetch it
	levels   [maxLevels]int            // how many victims there are of each level
	unsorted bool                      // slots are not in the order of IDs
	inUse    int                       // kinds that were in use when they were last counted
	empty    int                       // slots without a machine
	memory   memory
}

// retainedNode is a machine in its slot.
type retainedNode struct {
	id      string // "": the slot is vacant
	kind    int32
	pulling int32
	room    [layers]fleet.Resources
	victims []Victim
	images  []string // sorted
}

// maxLevels is above every level of jobs.
const maxLevels = 8

// kind is what a machine has in common with others whatever room they have.
type kind struct {
	machineType, zone    string
	spot, fixed, leaving bool
	present              bool
	capacity             fleet.Resources
	price                float64
}

func kindOf(n *Node) kind {
	return kind{n.Type, n.Zone, n.Spot, n.RunsOnDemandWork, n.ScaleInCandidate, n.Registered, n.Capacity, n.HourlyPrice}
}

// kinds numbers kinds.
type kinds struct {
	list  []kind
	index map[kind]int32
}

func (k *kinds) number(of kind) int32 {
	i, known := k.index[of]
	if !known {
		i = int32(len(k.list))
		k.list = append(k.list, of)
		if k.index == nil {
			k.index = map[kind]int32{}
		}
		k.index[of] = i
	}
	return i
}

// NewView makes an empty view.
func NewView() *View {
	return &View{slots: map[string]int32{}, images: map[string]*bitset.BitSet{}}
}

// Len is the number of slots: nodes of a plan below it are machines of the view.
func (v *View) SlotCount() int { return len(v.nodes) }

// MachineCount is the number of machines.
func (v *View) MachineCount() int { return len(v.slots) }

// ID is the ID of the machine in a slot, "" if there is none.
func (v *View) MachineID(slot int) string { return v.nodes[slot].id }

// Put takes a machine in, or what has changed of it, and reports whether anything has. The
// node's slices must not be changed afterwards.
func (v *View) Upsert(n *Node) (changed bool) {
	slot, known := v.slots[n.ID]
	if !known {
		slot = v.append(n.ID)
	}
	if !slices.IsSorted(n.Images) {
		slices.Sort(n.Images)
	}
	old := &v.nodes[slot]
	next := retainedNode{id: n.ID, kind: v.kinds.number(kindOf(n)), pulling: int32(n.ActiveFetches),
		room: [layers]fleet.Resources{n.Free, n.FreeAfterStops, n.FreeAfterBoot}, victims: n.Victims, images: n.Images}
	if known && old.equal(&next) {
		return false
	}
	v.setImages(slot, old.images, next.images)
	v.countVictims(old.victims, -1)
	v.countVictims(next.victims, 1)
	*old = next
	return true
}

// equal reports whether two nodes are the same to a round.
func (k *retainedNode) equal(o *retainedNode) bool {
	if k.kind != o.kind || k.pulling != o.pulling || k.room != o.room || !slices.Equal(k.images, o.images) || len(k.victims) != len(o.victims) {
		return false
	}
	// Victims come in any order: few are compared, and a difference in order is none.
	for i := range k.victims {
		if k.victims[i] != o.victims[i] && !slices.Contains(o.victims, k.victims[i]) {
			return false
		}
	}
	return true
}

// append makes a slot for a machine.
func (v *View) append(id string) int32 {
	slot := int32(len(v.nodes))
	if slot > 0 && v.nodes[slot-1].id > id {
		v.unsorted = true
	}
	v.nodes = append(v.nodes, retainedNode{id: id})
	v.slots[id] = slot
	return slot
}

// Remove takes a machine out, and reports whether it was there.
func (v *View) Remove(id string) (known bool) {
	slot, known := v.slots[id]
	if !known {
		return false
	}
	node := &v.nodes[slot]
	v.setImages(slot, node.images, nil)
	v.countVictims(node.victims, -1)
	*node = retainedNode{}
	delete(v.slots, id)
	v.empty++
	// No vacant slot is last: a machine that is appended is compared with the one before.
	for len(v.nodes) > 0 && v.nodes[len(v.nodes)-1].id == "" {
		v.nodes = v.nodes[:len(v.nodes)-1]
		v.empty--
	}
	return true
}

func (v *View) countVictims(victims []Victim, change int) {
	for i := range victims {
		v.levels[victims[i].Level] += change
	}
}

// setImages keeps the slots of images in step with the images of a slot. Both lists are
// sorted.
func (v *View) setImages(slot int32, old, next []string) {
	for _, image := range old {
		if _, retained := slices.BinarySearch(next, image); retained {
			continue
		}
		holders := v.images[image]
		if holders.Clear(uint(slot)); holders.None() {
			delete(v.images, image)
		}
	}
	for _, image := range next {
		if _, had := slices.BinarySearch(old, image); had {
			continue
		}
		holders := v.images[image]
		if holders == nil {
			holders = bitset.New(uint(len(v.nodes)))
			v.images[image] = holders
		}
		holders.Set(uint(slot))
	}
}

// unusedKinds is how many kinds may be known beside twice those that are in use. Each change of
// prices makes new ones.
const unusedKinds = 64

// prepare brings the slots into the order of IDs, and gives up vacant slots and unused kinds
// once they are many.
func (v *View) prepare() {
	if !v.unsorted && v.empty <= len(v.slots)/2 && len(v.kinds.list) <= 2*v.inUse+unusedKinds {
		return
	}
	nodes := slices.DeleteFunc(v.nodes, func(k retainedNode) bool { return k.id == "" })
	slices.SortFunc(nodes, func(a, b retainedNode) int { return cmp.Compare(a.id, b.id) })
	v.nodes, v.unsorted, v.empty = nodes, false, 0
	clear(v.images)
	used := kinds{}
	for slot := range nodes {
		node := &nodes[slot]
		node.kind = used.number(v.kinds.list[node.kind]) // kinds that are no longer used go
		v.slots[node.id] = int32(slot)
		v.setImages(int32(slot), nil, node.images)
	}
	v.kinds, v.inUse = used, len(used.list)
}

// lowestVictim is the level of the least victim.
func (v *View) lowestVictim() int {
	for level, n := range v.levels {
		if n > 0 {
			return level
		}
	}
	return maxLevels
}
