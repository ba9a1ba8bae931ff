package capacity

import (
	"strings"
	"testing"

	"lotusstile.dev/lotusstile/internal/config"
)

// deployment returns the settings of a large deployment with the given number of controllers and of
// connections per controller.
func deployment(controllers, connections int) *config.Config {
	cfg := &config.Config{RelayHeartbeats: true, Members: make([]config.Member, controllers-1)}
	cfg.Cluster.Workers.LeaseS, cfg.Cluster.Workers.ReportS, cfg.Cluster.Workers.CancelS = 17.5, 3, 47.5
	cfg.Cluster.State.Rps, cfg.Cluster.Cloud.Rps, cfg.Cluster.Cloud.ListLagS = 500, 12, 5
	cfg.Cluster.Limits.MaxConnections, cfg.Cluster.Limits.MemMb = connections, 322
	return cfg
}

// The settings of a large deployment support 4,000 machines, and 6,000 with five controllers. A warning
// names each setting that does not support a larger fleet.
func TestWarningsNameTheSettingsThatDoNotSupportAFleet(t *testing.T) {
	for _, tc := range []struct {
		controllers, connections, machines int
		relay                              bool
		want                               []string // parts of the names of the settings in the warnings
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
				t.Errorf("%+v: got warnings %q, want one that names %s", tc, warnings, key)
			}
		}
		if len(warnings) < len(tc.want) || len(tc.want) == 0 && len(warnings) > 0 {
			t.Errorf("%+v: got %d warnings %q, want at least %d, and none if none is listed", tc, len(warnings), warnings, len(tc.want))
		}
	}
}
