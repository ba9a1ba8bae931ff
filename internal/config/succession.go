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

// CampaignDelaySteps returns how badly the node with a label is placed to lead: 0 for the best. A
// worker that loses its leader tries the nodes after it in order, and each one that it cannot reach
// for a network partition between zones costs it half of its lease. So a leader is well placed if
// every other zone has a node soon after it in that order.
func (c *Config) CampaignDelaySteps(label string) int {
	zones := map[string]string{c.Label: c.Location}
	for _, member := range c.Members {
		zones[member.Label] = member.Location
	}
	labels := c.sortedLabels()
	// hopsToAllZones returns how many nodes after the one with a label a worker tries until it has
	// tried a node of every zone.
	hopsToAllZones := func(label string) int {
		at, hops, seen := slices.Index(labels, label), 0, map[string]bool{zones[label]: true}
		for i := 1; i < len(labels); i++ {
			if zone := zones[labels[(at+i)%len(labels)]]; !seen[zone] {
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

// UnreachableSuccessors returns how many nodes in a row after the one with a label, in the order in
// which workers try them, are unreachable. A worker whose controller ends or pauses loses half of its
// lease before it tries the next one, and the rest if that is unreachable too.
func (c *Config) UnreachableSuccessors(label string, unreachable func(label string) bool) int {
	labels := c.sortedLabels()
	at := slices.Index(labels, label)
	for i := 1; i < len(labels); i++ {
		if !unreachable(labels[(at+i)%len(labels)]) {
			return i - 1
		}
	}
	return len(labels) - 1
}
