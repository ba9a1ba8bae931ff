// Package config reads and checks the settings file that the platform provides. The operators'
// settings, which are changed through the administration API, are in package records.
//
// The fields have the units of the settings file. The end of a field's name gives its unit (S: seconds,
// Ms: milliseconds, Kb: KiB, Mb: MiB, Rps: requests or changes a second). The methods of Config return
// durations and bytes.
package config

import (
	"fmt"
	"os"
)

// Member is another controller of the deployment.
type Member struct {
	Label    string `toml:"label"`
	Location string `toml:"location"` // zone
	Endpoint string `toml:"endpoint"` // host:port for RPC between controllers
}

// Team is a team's quota and limit. A value of 0 means no quota or no limit.
type Team struct {
	Name    string  `toml:"name"`
	Cpus    float64 `toml:"cpus"`     // quota, cores
	CpusMax float64 `toml:"cpus_max"` // limit, cores
	Gpus    float64 `toml:"gpus"`     // quota
	GpusMax float64 `toml:"gpus_max"` // limit
}

// Objective is a service-level objective for a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`     // the time measured: "wait" is until the start, "finished" is until the end
	Class   string  `toml:"class"`    // job class
	WithinS float64 `toml:"within_s"` // seconds
	Share   float64 `toml:"share"`    // share of the class's jobs that must take at most WithinS
}

// Config is the whole settings file.
type Config struct {
	Label    string   `toml:"label"`     // of this controller
	Location string   `toml:"location"`  // zone of this controller
	Listen   string   `toml:"listen"`    // host:port for users, workers and operators
	PeerAddr string   `toml:"mesh_addr"` // host:port for RPC between controllers
	Members  []Member `toml:"members"`   // the other controllers
	Services struct {
		Cloud string `toml:"cloud"` // host:port
		State string `toml:"state"` // host:port of the state store
	} `toml:"services"`
	// RelayHeartbeats lets followers serve workers and relay their heartbeats to the leader in
	// batches once the fleet is large. It is set on the command line.
	RelayHeartbeats bool `toml:"-"`
	// WarmStandby lets the likely successor of the leader replicate its state in advance. It is set on
	// the command line.
	WarmStandby bool `toml:"-"`
	Cluster     struct {
		Size       int         `toml:"size"`
		Zones      []string    `toml:"zones"`
		SkewMs     float64     `toml:"skew_ms"` // largest difference between the clocks of two machines, ms
		Teams      []Team      `toml:"teams"`
		Objectives []Objective `toml:"objectives"`
		Workers    struct {
			ReportS float64 `toml:"report_s"` // see HeartbeatInterval
			LeaseS  float64 `toml:"lease_s"`  // see WorkerLease
			CancelS float64 `toml:"cancel_s"` // see MaxCancellationAge
		} `toml:"workers"`
		State StateLimits `toml:"state"`
		Cloud struct {
			Rps      float64 `toml:"rps"`        // requests a second
			ListLagS float64 `toml:"list_lag_s"` // see CloudListLag
		} `toml:"cloud"`
		Limits struct {
			Cores          float64 `toml:"cores"`
			MemMb          float64 `toml:"mem_mb"` // MiB
			MaxConnections int     `toml:"max_connections"`
		} `toml:"machine_limits"`
	} `toml:"cluster"`
}

// Load reads and checks the file at path. Its error is that of reading the file, or that of Parse.
func Load(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(data)
}

// Parse decodes and checks settings. Its error says why data is not valid TOML, or joins one error for
// each invalid setting.
func Parse(data []byte) (*Config, error) {
	var c Config
	if err := decode(data, &c); err != nil {
		return nil, fmt.Errorf("settings are not valid TOML: %w", err)
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	return &c, nil
}

// Team returns the team with the given name.
func (c *Config) Team(name string) (team Team, found bool) {
	for _, t := range c.Cluster.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}
