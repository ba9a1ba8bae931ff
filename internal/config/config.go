// Package config reads and checks the settings file that the platform hands
// over. Operators' own settings live in package ledger and are changed through
// the administration API.
package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"lotusstile.dev/lotusstile/internal/timeralign"
)

// Member is another controller.
type Member struct {
	Label    string `toml:"label"`
	Location string `toml:"location"`
	Endpoint string `toml:"endpoint"`
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	Cpus    float64 `toml:"cpus"`
	CpusMax float64 `toml:"cpus_max"`
	Gpus    float64 `toml:"gpus"`
	GpusMax float64 `toml:"gpus_max"`
}

// Objective restates one aim of the users.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// StateLimits is what the state service allows.
type StateLimits struct {
	Rps      float64 `toml:"rps"`
	WriteRps float64 `toml:"write_rps"`
	ValueKb  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next holds the limits that the service will have from some moment on, without
	// notice; nil if no change is expected.
	Next *NextStateLimits `toml:"next"`
}

// NextStateLimits is what the state service will allow. What is absent does not change.
type NextStateLimits struct {
	WriteRps *float64 `toml:"write_rps"`
	ValueKb  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Config is the whole settings file.
type Config struct {
	Label    string   `toml:"label"`
	Location string   `toml:"location"`
	Listen   string   `toml:"listen"`
	PeerAddr string   `toml:"mesh_addr"`
	Members  []Member `toml:"members"`
	Services struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"services"`
	// RelayHeartbeats lets followers keep workers and relay their reports in batches once
	// the fleet is large. It is set on the command line.
	RelayHeartbeats bool `toml:"-"`
	// WarmStandby lets the likely successor follow the leader's state. It is set on the
	// command line.
	WarmStandby bool `toml:"-"`
	Cluster     struct {
		Size       int         `toml:"size"`
		Zones      []string    `toml:"zones"`
		SkewMs     float64     `toml:"skew_ms"`
		Teams      []Team      `toml:"teams"`
		Objectives []Objective `toml:"objectives"`
		Workers    struct {
			ReportS float64 `toml:"report_s"`
			LeaseS  float64 `toml:"lease_s"`
			CancelS float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State StateLimits `toml:"state"`
		Cloud struct {
			Rps      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Limits struct {
			Cores          float64 `toml:"cores"`
			MemMb          float64 `toml:"mem_mb"`
			MaxConnections int     `toml:"max_connections"`
		} `toml:"machine_limits"`
	} `toml:"cluster"`
}

// Load reads and checks the file at path. Its error joins one error per fault.
func Load(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(data)
}

// Parse decodes and checks settings.
func Parse(data []byte) (*Config, error) {
	var c Config
	if err := toml.Unmarshal(data, &c); err != nil {
		return nil, fmt.Errorf("settings are not valid TOML: %w", err)
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	return &c, nil
}

// The least that the service can work with: a commit of the writer has up to four
// changes, and a kibibyte holds a job's record with names of usual length.
const (
	minTxnOps       = 4
	minNextWriteRps = 1
	minNextValueKb  = 1
)

func (c *Config) check() error {
	var faults []error
	fault := func(bad bool, format string, args ...any) {
		if bad {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	fault(c.Label == "", "label is missing")
	addr := func(name, value string) {
		if _, _, err := net.SplitHostPort(value); err != nil {
			fault(true, "%s %q is not host:port", name, value)
		}
	}
	addr("listen", c.Listen)
	addr("mesh_addr", c.PeerAddr)
	addr("services.cloud", c.Services.Cloud)
	addr("services.state", c.Services.State)
	seen := map[string]bool{c.Label: true}
	for i, m := range c.Members {
		fault(m.Label == "", "members[%d].label is missing", i)
		fault(seen[m.Label], "members[%d].label %q is not unique", i, m.Label)
		seen[m.Label] = true
		addr(fmt.Sprintf("members[%d].endpoint", i), m.Endpoint)
	}
	cl := &c.Cluster
	fault(len(cl.Teams) == 0, "cluster.teams is empty")
	for i, t := range cl.Teams {
		fault(t.Name == "", "cluster.teams[%d].name is missing", i)
		for _, amount := range [...]float64{t.Cpus, t.CpusMax, t.Gpus, t.GpusMax} {
			fault(!(amount >= 0), "cluster.teams[%d] has a negative amount", i)
		}
	}
	positive := func(name string, v float64) { fault(!(v > 0) || math.IsInf(v, 0), "%s must be a number above 0", name) }
	positive("cluster.workers.report_s", cl.Workers.ReportS)
	positive("cluster.workers.lease_s", cl.Workers.LeaseS)
	positive("cluster.workers.cancel_s", cl.Workers.CancelS)
	positive("cluster.state.rps", cl.State.Rps)
	positive("cluster.state.write_rps", cl.State.WriteRps)
	positive("cluster.state.value_kb", cl.State.ValueKb)
	fault(cl.State.TxnOps < minTxnOps, "cluster.state.txn_ops must be at least %d", minTxnOps)
	if next := cl.State.Next; next != nil {
		fault(next.WriteRps != nil && !(*next.WriteRps >= minNextWriteRps), "cluster.state.next.write_rps must be at least %d", minNextWriteRps)
		fault(next.ValueKb != nil && !(*next.ValueKb >= minNextValueKb), "cluster.state.next.value_kb must be at least %d", minNextValueKb)
		fault(next.TxnOps != nil && *next.TxnOps < minTxnOps, "cluster.state.next.txn_ops must be at least %d", minTxnOps)
	}
	positive("cluster.cloud.rps", cl.Cloud.Rps)
	positive("cluster.machine_limits.cores", cl.Limits.Cores)
	positive("cluster.machine_limits.mem_mb", cl.Limits.MemMb)
	fault(cl.Limits.MaxConnections < 8, "cluster.machine_limits.max_connections must be at least 8")
	fault(cl.Workers.ReportS > 0 && cl.Workers.LeaseS < 2*cl.Workers.ReportS, "cluster.workers.lease_s must be at least twice report_s")
	// A node's knowledge of withdrawals is up to a tenth of a lease old when all
	// is well; below twice that, leases would end at the first late answer of the
	// state service.
	fault(cl.Workers.CancelS > 0 && c.MaxCancellationAge() < c.WorkerLease()/5,
		"cluster.workers.cancel_s must be at least 1.3 times lease_s: withdrawn tasks behind a cut are gone only when their lease has ended")
	return errors.Join(faults...)
}

// Team finds a team by name.
func (c *Config) Team(name string) (Team, bool) {
	for _, t := range c.Cluster.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// WorkerLease is how long a worker keeps its tasks without an answered report.
func (c *Config) WorkerLease() time.Duration { return seconds(c.Cluster.Workers.LeaseS) }

// HeartbeatInterval is the interval of workers' reports.
func (c *Config) HeartbeatInterval() time.Duration { return seconds(c.Cluster.Workers.ReportS) }

// CloudListLag is the usual age of the cloud's machine list.
func (c *Config) CloudListLag() time.Duration { return seconds(c.Cluster.Cloud.ListLagS) }

// LeaderLeaseTTL is the time to live of the leader's hold: a fifth of the workers'
// lease, so that a successor has most of a lease left to gather the workers.
func (c *Config) LeaderLeaseTTL() time.Duration { return c.WorkerLease() / 5 }

// gridUnitsPerHeartbeat of a report's interval is the unit that periodic work is aligned to:
// halves, thirds and quarters of the interval are multiples of it.
const gridUnitsPerHeartbeat = 12

// TimerGrid is what the process's periodic work is aligned to.
func (c *Config) TimerGrid() timeralign.Grid {
	return timeralign.Grid{Unit: c.HeartbeatInterval() / gridUnitsPerHeartbeat}
}

// MaxCancellationAge is how old a node's knowledge of withdrawals may be for it to
// go on renewing leases. A task that was withdrawn right after the read that the
// knowledge stems from dies by its lease, which counts from when the worker sent
// its report: no later than cancel_s after that read, less a tenth of a lease.
// docs/safety.md says what that margin is for.
func (c *Config) MaxCancellationAge() time.Duration {
	return seconds(c.Cluster.Workers.CancelS) - c.WorkerLease() - c.WorkerLease()/10
}

// CampaignDelay says how badly this node is placed to lead: 0 for the best. A worker
// that loses its leader tries the nodes after it in order, and each that a cut
// between zones hides costs it half of its lease. So a leader is well placed if
// few nodes of its own zone follow it before the first one of any other zone.
func (c *Config) CampaignDelay(label string) int {
	zones := map[string]string{c.Label: c.Location}
	labels := []string{c.Label}
	for _, m := range c.Members {
		zones[m.Label] = m.Location
		labels = append(labels, m.Label)
	}
	slices.Sort(labels)
	hops := func(label string) int {
		at, worst, seen := slices.Index(labels, label), 0, map[string]bool{zones[label]: true}
		for i := 1; i < len(labels); i++ {
			if z := zones[labels[(at+i)%len(labels)]]; !seen[z] {
				seen[z], worst = true, i
			}
		}
		return worst
	}
	best := hops(label)
	for _, l := range labels {
		best = min(best, hops(l))
	}
	return hops(label) - best
}

// UnreachableSuccessors is how many nodes in a row after one, in the order in which workers try them, are
// lost. A worker whose controller ends or stands still loses half of its lease before it tries
// the next one, and the rest if that is lost too.
func (c *Config) UnreachableSuccessors(label string, unreachable func(label string) bool) int {
	labels := []string{c.Label}
	for _, m := range c.Members {
		labels = append(labels, m.Label)
	}
	slices.Sort(labels)
	at := slices.Index(labels, label)
	for i := 1; i < len(labels); i++ {
		if !unreachable(labels[(at+i)%len(labels)]) {
			return i - 1
		}
	}
	return len(labels) - 1
}

// StateLimits is what may be asked of the state service: the smaller of each limit and
// the one that is announced. The lower ones come into force without notice, so nothing
// is ever written that they would not allow.
func (c *Config) StateLimits() StateLimits {
	limits := c.Cluster.State
	next := limits.Next
	if next == nil {
		return limits
	}
	if next.WriteRps != nil {
		limits.WriteRps = min(limits.WriteRps, *next.WriteRps)
	}
	if next.ValueKb != nil {
		limits.ValueKb = min(limits.ValueKb, *next.ValueKb)
	}
	if next.TxnOps != nil {
		limits.TxnOps = min(limits.TxnOps, *next.TxnOps)
	}
	return limits
}

// MaxValueBytes is the largest value that the project writes.
func (c *Config) MaxValueBytes() int { return int(c.StateLimits().ValueKb * bytesPerKb) }

// CurrentMaxValueBytes is the largest value that the state service takes until the
// announced limits are in force.
func (c *Config) CurrentMaxValueBytes() int { return int(c.Cluster.State.ValueKb * bytesPerKb) }

const bytesPerKb = 1024
