package config

import (
	"strings"
	"testing"
)

const settingsText = `
label = "a"
listen = "a:1"
mesh_addr = "a:2"
services = { cloud = "c:1", state = "s:1" }
[cluster]
teams = [{ name = "t" }]
workers = { report_s = 1.0, lease_s = 10.0, cancel_s = 40.0 }
cloud = { rps = 1.0 }
machine_limits = { cores = 1.0, mem_mb = 1.0, max_connections = 8 }
[cluster.state]
rps = 100.0
write_rps = 25.0
value_kb = 8.0
txn_ops = 20
NEXT
`

// Announced limits count from the start where they are lower, and say what is wrong
// with them where nothing could work within them.
func TestAnnouncedLimits(t *testing.T) {
	for _, tc := range []struct {
		name, next, fault string
		want              StateLimits
	}{
		{"none", "", "", StateLimits{Rps: 100, WriteRps: 25, ValueKb: 8, TxnOps: 20}},
		{"lower", "[cluster.state.next]\nwrite_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 6\n", "", StateLimits{Rps: 100, WriteRps: 18, ValueKb: 2, TxnOps: 6}},
		{"one of them", "[cluster.state.next]\nvalue_kb = 2.0\n", "", StateLimits{Rps: 100, WriteRps: 25, ValueKb: 2, TxnOps: 20}},
		{"higher", "[cluster.state.next]\nwrite_rps = 50.0\nvalue_kb = 16.0\ntxn_ops = 40\n", "", StateLimits{Rps: 100, WriteRps: 25, ValueKb: 8, TxnOps: 20}},
		{"no rate", "[cluster.state.next]\nwrite_rps = 0.0\n", "next.write_rps", StateLimits{}},
		{"negative value", "[cluster.state.next]\nvalue_kb = -1.0\n", "next.value_kb", StateLimits{}},
		{"tiny value", "[cluster.state.next]\nvalue_kb = 0.5\n", "next.value_kb", StateLimits{}},
		{"few changes", "[cluster.state.next]\ntxn_ops = 3\n", "next.txn_ops must be at least 4", StateLimits{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, err := Parse([]byte(strings.ReplaceAll(settingsText, "NEXT", tc.next)))
			if tc.fault != "" {
				if err == nil || !strings.Contains(err.Error(), tc.fault) {
					t.Errorf("the fault is %v", err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			got := c.StateLimits()
			got.Next = nil
			if got != tc.want {
				t.Errorf("limits %+v, want %+v", got, tc.want)
			}
		})
	}
}
