package config

import (
	"strings"
	"testing"
)

// With two nodes in zone a and one in zone b, workers of b that lose the last
// node of a would try the other one of a first: it should not lead. In one zone
// no node is better placed than another.
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
				t.Errorf("zones %v: %s has %d, expected %d", tc.zones, label, got, tc.want[i])
			}
		}
	}
}

// Workers try the nodes in the order of their labels, round and round: those are counted that
// are unreachable right after a node, up to the first that is not.
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
				t.Errorf("%q unreachable: %s has %d, expected %d", tc.unreachable, label, got, tc.want[i])
			}
		}
	}
}
