package sched

// chooseNodes chooses the best nodes for up to want tasks of a job. If zone is not "", it considers only
// nodes in that zone.
func (c *cycle) chooseNodes(job *Job, want int, at horizon, zone string) []Placement {
	isBetter := func(a, b *candidateGroup) bool { return compareGroups(job, a, b) < 0 }
	groups := newHeap(c.candidateGroups(job, want, at, zone), isBetter)
	var placements []Placement
	var takenByZone map[string]int
	if job.Spec.SpreadZones {
		takenByZone = map[string]int{}
	}
	var tied []cursor
	for want > 0 && groups.Len() > 0 {
		best := groups.Pop()
		tied = append(tied[:0], c.newCursor(&best))
		for groups.Len() > 0 && compareGroups(job, &best, groups.Min()) == 0 {
			group := groups.Pop()
			tied = append(tied, c.newCursor(&group))
		}
		for slot := c.nextNode(tied, job); slot >= 0 && want > 0; slot = c.nextNode(tied, job) {
			tasks := min(best.tasksPerNode, want)
			if job.Spec.SpreadZones {
				nodeZone := c.zoneOf(slot)
				if tasks = min(tasks, zoneAllowance(job, nodeZone)-takenByZone[nodeZone]); tasks <= 0 {
					continue
				}
				takenByZone[nodeZone] += tasks
			}
			placements = append(placements, Placement{Job: job, Node: int(slot), Count: tasks})
			want -= tasks
		}
	}
	return placements
}

// cursor iterates over the nodes of a candidateGroup.
type cursor struct {
	class                  *class
	classID                int32
	position               int // index in class.members
	splitByImage, hasImage bool
}

// newCursor returns a cursor before the first node of a group.
func (c *cycle) newCursor(group *candidateGroup) cursor {
	class := &c.scratch.classes[group.classID]
	for class.head < len(class.members) && c.scratch.classID[class.members[class.head]] != group.classID {
		class.head++
	}
	return cursor{
		class:        class,
		classID:      group.classID,
		position:     class.head,
		splitByImage: group.splitByImage,
		hasImage:     group.hasImage,
	}
}

// nextNode returns the lowest slot that any of the cursors is at, and advances that cursor. It returns -1
// if no nodes are left. The groups of the cursors are equally good for the job, so the slot breaks the tie.
func (c *cycle) nextNode(tied []cursor, job *Job) int32 {
	lowest := -1
	for i := range tied {
		if !c.skipToMember(&tied[i], job) {
			continue
		}
		if lowest < 0 || tied[i].slot() < tied[lowest].slot() {
			lowest = i
		}
	}
	if lowest < 0 {
		return -1
	}
	slot := tied[lowest].slot()
	tied[lowest].position++
	return slot
}

// slot returns the slot that the cursor is at.
func (cur *cursor) slot() int32 { return cur.class.members[cur.position] }

// skipToMember advances a cursor to the next node that is still in its class, belongs to its group, and is not
// the job's avoided machine. It does not move if the cursor is at such a node. It reports whether there is one.
func (c *cycle) skipToMember(cur *cursor, job *Job) bool {
	for ; cur.position < len(cur.class.members); cur.position++ {
		slot := cur.slot()
		if c.scratch.classID[slot] != cur.classID || cur.splitByImage && c.hasImage(slot) != cur.hasImage || c.isAvoided(job, slot) {
			continue
		}
		return true
	}
	return false
}
