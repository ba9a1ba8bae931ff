package controller

import (
	"fmt"
	"time"

	"lotusstile.dev/lotusstile/internal/clusterversion"
	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// newTestLeader returns a leader of term 5 in zone a whose workers send a heartbeat every second. Its clock shows *now,
// which the test advances. It has no machines, and its failure detector has run for an hour.
func newTestLeader(now *time.Time) *Controller {
	cfg := &config.Config{}
	cfg.Cluster.Workers.ReportS, cfg.Cluster.Workers.LeaseS, cfg.Cluster.Workers.CancelS = 1, 10, 40
	cfg.Cluster.Cloud.Rps = 6
	cfg.Cluster.State.ValueKb = 8
	c := New(Options{
		Config:   cfg,
		Settings: func() wire.Settings { return records.DefaultSettings(1) },
		Peers:    fakePeers{zones: []string{"a"}},
		Observer: fakeObserver{finished: map[string]wire.JobStatus{}},
		Version:  clusterversion.NewTracker(),
		JobCache: watchcache.New(),
	}, 5)
	c.now = func() time.Time { return *now }
	c.loaded = true
	c.detector.Start(now.Add(-time.Hour))
	return c
}

// hostName returns the name of machine i of a test.
func hostName(i int) string { return fmt.Sprintf("m-%03d", i) }

// heartbeatFrom applies a heartbeat of machine i. Machines with an even i are in zone a, the others in zone b.
func (c *Controller) heartbeatFrom(i int, sequence uint64, now time.Time) {
	zone := "a"
	if i%2 == 1 {
		zone = "b"
	}
	c.fleet.ApplyHeartbeat(&wire.Heartbeat{
		Host:         hostName(i),
		Zone:         zone,
		Incarnation:  1,
		Sequence:     sequence,
		FencingToken: 5,
	}, now)
}

// g8Catalog returns a catalog with one machine type, which has 8 GPUs and exists in zones a and b.
func g8Catalog() *wire.Catalog {
	return &wire.Catalog{MachineTypes: []wire.MachineType{
		{Name: "g8", Cores: 64, Gpus: 8, RAMGb: 512, Zones: []string{"a", "b"}},
	}}
}

// releasingHosts lists the machines that are being released.
func (c *Controller) releasingHosts() []string {
	var hosts []string
	c.fleet.Each(func(m *fleet.Machine) {
		if m.State == fleet.Releasing {
			hosts = append(hosts, m.ID)
		}
	})
	return hosts
}
