package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// settingsFormat is the format string of a controller's settings file. settingsOf supplies its numbered
// arguments.
const settingsFormat = `label = "node-%[1]d"
location = "%[2]s"
listen = "%[3]s"
mesh_addr = "%[4]s"
%[5]s
[services]
state = "127.0.0.1:%[6]d"
cloud = "127.0.0.1:%[7]d"
[cluster]
size = %[8]d
zones = [%[9]s]
skew_ms = 100.0
%[10]s
[cluster.workers]
report_s = %[11]g
lease_s = %[12]g
cancel_s = %[13]g
[cluster.state]
rps = %[14]g
write_rps = %[15]g
value_kb = 8.0
txn_ops = 24
[cluster.cloud]
rps = 6.0
list_lag_s = 3.0
[cluster.machine_limits]
cores = 0.05
mem_mb = %[16]g
max_connections = %[17]d
`

const (
	// cancelTimeoutLeases is the time within which the tasks of a cancelled job must end (cancel_s), in
	// worker leases.
	cancelTimeoutLeases = 4
	// firstControllerOffset is the offset of the first controller's port from --port.
	firstControllerOffset = 10
)

func nodeName(i int) string { return fmt.Sprintf("node-%d", i) }

func teamName(i int) string { return fmt.Sprintf("team-%d", i) }

// zones returns the names of the zones.
func (c *cli) zones() []string {
	names := make([]string, c.Zones)
	for i := range names {
		names[i] = fmt.Sprintf("zone-%d", i)
	}
	return names
}

// zone returns the zone of controller i.
func (c *cli) zone(i int) string { return c.zones()[i%c.Zones] }

// address returns the loopback address with the port at an offset from --port.
func (c *cli) address(offset int) string { return fmt.Sprintf("127.0.0.1:%d", c.Port+offset) }

func (c *cli) storeAddress() string { return c.address(0) }

func (c *cli) cloudAddress() string { return c.address(1) }

func (c *cli) listenAddress(i int) string { return c.address(firstControllerOffset + i) }

func (c *cli) peerAddress(i int) string { return c.address(firstControllerOffset + c.Controllers + i) }

// writeSettings writes the settings files of the controllers.
func (c *cli) writeSettings() error {
	for i := range c.Controllers {
		path := filepath.Join(c.Dir, nodeName(i)+".toml")
		if err := os.WriteFile(path, []byte(c.settingsOf(i)), 0o644); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
	}
	return nil
}

// settingsOf returns the content of the settings file of controller i.
func (c *cli) settingsOf(i int) string {
	var members strings.Builder
	for j := range c.Controllers {
		if j != i {
			fmt.Fprintf(&members, "[[members]]\nlabel = %q\nlocation = %q\nendpoint = %q\n", nodeName(j), c.zone(j), c.peerAddress(j))
		}
	}
	var teams strings.Builder
	for j := range c.Teams {
		fmt.Fprintf(&teams, "[[cluster.teams]]\nname = %q\n", teamName(j))
	}
	return fmt.Sprintf(settingsFormat, i, c.zone(i), c.listenAddress(i), c.peerAddress(i), members.String(), c.Port, c.Port+1,
		c.Controllers, `"`+strings.Join(c.zones(), `", "`)+`"`, teams.String(), c.ReportS, c.LeaseS, cancelTimeoutLeases*c.LeaseS,
		c.Rps, c.WriteRps, c.MemMb, c.Connections)
}
