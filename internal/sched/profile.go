package sched

import "lotusstile.dev/lotusstile/internal/fleet"

// nodeProfile holds the properties of a machine that many machines share and that a cycle does not change.
type nodeProfile struct {
	machineType, zone string
	spot              bool
	runsOnDemandWork  bool
	scaleInCandidate  bool
	registered        bool
	capacity          fleet.Resources
	hourlyPrice       float64
}

func profileOf(n *Node) nodeProfile {
	return nodeProfile{
		machineType:      n.Type,
		zone:             n.Zone,
		spot:             n.Spot,
		runsOnDemandWork: n.RunsOnDemandWork,
		scaleInCandidate: n.ScaleInCandidate,
		registered:       n.Registered,
		capacity:         n.Capacity,
		hourlyPrice:      n.HourlyPrice,
	}
}

// profileTable assigns IDs to profiles: their index in the list.
type profileTable struct {
	list  []nodeProfile
	index map[nodeProfile]int32
}

// idOf returns the ID of a profile, and adds the profile if it is new.
func (t *profileTable) idOf(profile nodeProfile) int32 {
	id, known := t.index[profile]
	if !known {
		id = int32(len(t.list))
		t.list = append(t.list, profile)
		if t.index == nil {
			t.index = map[nodeProfile]int32{}
		}
		t.index[profile] = id
	}
	return id
}
