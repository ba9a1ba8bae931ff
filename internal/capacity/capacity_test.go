package capacity

import (
	"strings"
	"testing"

	"lotusstile.dev/lotusstile/internal/config"
)

// deployment is settings of a large deployment with so many controllers.
func deployment(controllers, connections int) *config.Config {
	cfg := &config.Config{RelayHeartbeats: true, Members: make([]config.Member, controllers-1)}
	cfg.Cluster.Workers.LeaseS, cfg.Cluster.Workers.ReportS, cfg.Cluster.Workers.CancelS = 17.5, 3, 47.5
	cfg.Cluster.State.Rps, cfg.Cluster.Cloud.Rps, cfg.Cluster.Cloud.ListLagS = 500, 12, 5
	cfg.Cluster.Limits.MaxConnections, cfg.Cluster.Limits.MemMb = connections, 322
	return cfg
}

// The settings of the large deployments carry 4,000 machines, five controllers 6,000; a warning
// names the setting that does not carry a fleet.
func TestWarningsNameTheSettingsThatDoNotCarryAFleet(t *testing.T) {
	for _, tc := range []struct {
		controllers, connections, machines int
		relay                              bool
		want                               []string // parts of the settings that are warned of
	}{
		{5, 2589, 4096, true, nil},
		{5, 2589, 6000, true, nil},
		{3, 2372, 4096, true, nil},
		{3, 2372, 6000, true, []string{"max_connections"}},
		{3, 2589, 4096, false, []string{"max_connections"}},
		{5, 2589, 100_000, true, []string{"max_connections", "mem_mb", "cloud.rps"}},
	} {
		cfg := deployment(tc.controllers, tc.connections)
		cfg.RelayHeartbeats = tc.relay
		warnings := Warnings(cfg, tc.machines)
		for _, key := range tc.want {
			if !strings.Contains(strings.Join(warnings, "\n"), key) {
				t.Errorf("%+v: %s is not warned of in %q", tc, key, warnings)
			}
		}
		if len(warnings) < len(tc.want) || len(tc.want) == 0 && len(warnings) > 0 {
			t.Errorf("%+v: %q", tc, warnings)
		}
	}
}
