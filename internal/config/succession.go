package config

import "slices"

// sortedLabels returns the labels of all controllers in the order in which workers try them.
func (c *Config) sortedLabels() []string {
	labels := make([]string, 0, 1+len(c.Members))
	labels = append(labels, c.Label)
	for _, member := range c.Members {
		labels = append(labels, member.Label)
	}
	slices.Sort(labels)
	return labels
}

// CampaignDelaySteps returns by how many steps the node with the given label should delay its campaign
// for leadership: 0 for the nodes that are placed best to lead. A worker that loses its leader tries
// the nodes that follow the leader in the order of labels. Each node that it cannot reach because of a
// network partition between zones costs it half of its lease. So a node is well placed to lead if every
// other zone has a node soon after it in that order.
func (c *Config) CampaignDelaySteps(label string) int {
	zones := map[string]string{c.Label: c.Location}
	for _, member := range c.Members {
		zones[member.Label] = member.Location
	}
	labels := c.sortedLabels()
	// hopsToAllZones returns how many nodes after the one with the given label a worker has to try to have
	// tried a node in every other zone.
	hopsToAllZones := func(label string) int {
		start, hops, seen := slices.Index(labels, label), 0, map[string]bool{zones[label]: true}
		for i := 1; i < len(labels); i++ {
			if zone := zones[labels[(start+i)%len(labels)]]; !seen[zone] {
				seen[zone], hops = true, i
			}
		}
		return hops
	}
	best := hopsToAllZones(label)
	for _, other := range labels {
		best = min(best, hopsToAllZones(other))
	}
	return hopsToAllZones(label) - best
}

// UnreachableSuccessors returns how many consecutive nodes are unreachable, beginning with the
// successor of the node with the given label, in the order in which workers try nodes. A worker whose
// controller ends or pauses loses half of its lease before it tries the next one, and the other half if
// that one is unreachable too.
func (c *Config) UnreachableSuccessors(label string, unreachable func(label string) bool) int {
	labels := c.sortedLabels()
	start := slices.Index(labels, label)
	for i := 1; i < len(labels); i++ {
		if !unreachable(labels[(start+i)%len(labels)]) {
			return i - 1
		}
	}
	return len(labels) - 1
}
