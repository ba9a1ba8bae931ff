package config

import (
	"strings"
	"testing"
)

// With nodes n0 and n2 in zone a and n1 in zone b, workers in b that lose n2 to a network partition
// would try n0 next, which they cannot reach either. So n2 is placed worse to lead than the others. If
// all nodes are in one zone, or each in its own, none is placed better than another.
func TestCampaignDelayStepsByZone(t *testing.T) {
	for _, tc := range []struct {
		zones [3]string
		want  [3]int
	}{
		{[3]string{"a", "b", "a"}, [3]int{0, 0, 1}},
		{[3]string{"a", "a", "b"}, [3]int{1, 0, 0}},
		{[3]string{"a", "a", "a"}, [3]int{0, 0, 0}},
		{[3]string{"a", "b", "c"}, [3]int{0, 0, 0}},
	} {
		c := &Config{
			Label:    "n1",
			Location: tc.zones[1],
			Members:  []Member{{Label: "n2", Location: tc.zones[2]}, {Label: "n0", Location: tc.zones[0]}},
		}
		for i, label := range []string{"n0", "n1", "n2"} {
			if got := c.CampaignDelaySteps(label); got != tc.want[i] {
				t.Errorf("zones %v: got %d delay steps for %s, want %d", tc.zones, got, label, tc.want[i])
			}
		}
	}
}

// Workers try the nodes in the order of their labels and start again after the last. The unreachable
// nodes that directly follow a node are counted, up to the first reachable one.
func TestUnreachableSuccessorsAreCountedUpToTheFirstReachable(t *testing.T) {
	c := &Config{Label: "n1", Members: []Member{{Label: "n3"}, {Label: "n0"}, {Label: "n2"}}}
	for _, tc := range []struct {
		unreachable string
		want        [4]int
	}{
		{"", [4]int{0, 0, 0, 0}},
		{"n0", [4]int{0, 0, 0, 1}},
		{"n0 n3", [4]int{0, 0, 2, 1}},
		{"n1 n3", [4]int{1, 0, 1, 0}},
		{"n0 n1 n2 n3", [4]int{3, 3, 3, 3}},
	} {
		for i, label := range []string{"n0", "n1", "n2", "n3"} {
			unreachable := func(other string) bool { return strings.Contains(tc.unreachable, other) }
			if got := c.UnreachableSuccessors(label, unreachable); got != tc.want[i] {
				t.Errorf("%q unreachable: got %d unreachable successors of %s, want %d", tc.unreachable, got, label, tc.want[i])
			}
		}
	}
}
