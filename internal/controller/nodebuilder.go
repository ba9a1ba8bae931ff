package controller

import (
	"maps"
	"math"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/sched"
	"lotusstile.dev/lotusstile/wire"
)

// nodeBuilder builds nodes: a node is the scheduler's view of a machine.
type nodeBuilder struct {
	jobs               *jobTable
	catalog            *wire.Catalog
	headroom           map[string]bool // machines that are kept as headroom
	heartbeatIntervalS float64         // the interval of workers' heartbeats, in seconds
}

// build returns the node of a machine; ok is false if the machine accepts no launches now and is not expected to soon.
func (b *nodeBuilder) build(m *fleet.Machine, now time.Time) (node sched.Node, ok bool) {
	node = sched.Node{
		ID:          m.ID,
		Type:        m.Type,
		Zone:        m.Zone,
		Spot:        m.Spot,
		Capacity:    m.Capacity,
		HourlyPrice: hourlyPrice(b.catalog, m.Type, m.Spot),
	}
	switch {
	case m.AcceptsAttempts(now) && m.UnknownTaskCount() == 0:
		b.addContents(&node, m)
		return node, true
	case b.isExpectedSoon(m, now):
		node.FreeAfterBoot = m.Free()
		return node, true
	}
	return node, false
}

// addContents adds the machine's free resources, images and attempts to the node of a machine that accepts attempts.
func (b *nodeBuilder) addContents(node *sched.Node, m *fleet.Machine) {
	node.Free, node.FreeAfterStops, node.Registered, node.ActiveFetches = m.Free(), m.Free(), true, m.FetchingImages()
	node.Images = slices.AppendSeq(make([]string, 0, len(m.Images)), maps.Keys(m.Images))
	node.ScaleInCandidate = !m.Spot && !b.headroom[m.ID]
	m.EachAttempt(func(a *fleet.Attempt) {
		if !a.Live() {
			return
		}
		if _, present := m.Images[a.Image]; !present && !slices.Contains(node.Images, a.Image) {
			node.Images = append(node.Images, a.Image)
		}
		j := b.jobs.get(a.JobUID)
		if j != nil && !j.record.Spec.AllowSpot {
			node.ScaleInCandidate, node.RunsOnDemandWork = false, true
		}
		switch {
		case a.Stopping || a.State == fleet.Saving:
			node.FreeAfterStops = node.FreeAfterStops.Add(a.Resources)
		case j != nil && (a.State == fleet.Running || a.State == fleet.Fetching):
			node.Victims = append(node.Victims, victim(j, a))
		}
	})
	node.FreeAfterBoot = node.FreeAfterStops
}

// victim returns an attempt as a candidate for preemption by work of a higher level, with the loss that preemption would
// cause. A replica that has not run yet serves nobody: it can be preempted like batch work, and only its fetch is lost.
func victim(j *job, a *fleet.Attempt) sched.Victim {
	v := sched.Victim{Serial: a.Serial, JobUID: j.uid, Team: j.record.Spec.Team, Level: j.level, Need: a.Resources}
	switch isReplica := j.record.Spec.Kind == wire.Service; {
	case !a.RunningSince.IsZero():
		v.IsReplica, v.LossGrowsFrom, v.MaxLossS = isReplica, a.RunningSince, math.Inf(1)
		if j.record.Spec.CheckpointIntervalS > 0 {
			v.MaxLossS = j.record.Spec.CheckpointOnStopS
		}
	case isReplica:
		v.LossGrowsFrom, v.MaxLossS = a.StateSince, math.Inf(1)
	}
	return v
}

// nextTimedChange returns when a machine's node will next change by the passing of time alone; zero if it will not.
func (b *nodeBuilder) nextTimedChange(m *fleet.Machine, now time.Time) time.Time {
	var next time.Time
	for _, at := range [...]time.Time{m.AvoidUntil, b.expectedUntil(m)} {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// isExpectedSoon reports whether a machine is expected to accept launches soon. A machine whose boot takes much longer
// than usual is not.
func (b *nodeBuilder) isExpectedSoon(m *fleet.Machine, now time.Time) bool {
	if m.SpotNotice || m.Failed || m.Capacity.Cores == 0 {
		return false
	}
	switch m.State {
	case fleet.Confirming:
		return !now.Before(m.AvoidUntil)
	case fleet.Booting:
		return now.Before(b.expectedUntil(m))
	}
	return false
}

// expectedUntil returns the time by which a booting machine is expected to be up; zero for other machines.
func (b *nodeBuilder) expectedUntil(m *fleet.Machine) time.Time {
	machineType := findMachineType(b.catalog, m.Type)
	if m.State != fleet.Booting || machineType == nil {
		return time.Time{}
	}
	const bootTimeFactor, heartbeatAllowance = 1.7, 2
	seconds := bootTimeFactor*machineType.BootS + heartbeatAllowance*b.heartbeatIntervalS
	return m.FirstSeen.Add(time.Duration(seconds * float64(time.Second)))
}

// findMachineType returns a machine type of a catalog, or nil. The catalog may be nil.
func findMachineType(catalog *wire.Catalog, name string) *wire.MachineType {
	if catalog == nil {
		return nil
	}
	for i := range catalog.MachineTypes {
		if catalog.MachineTypes[i].Name == name {
			return &catalog.MachineTypes[i]
		}
	}
	return nil
}

// hourlyPrice returns the hourly price of a machine; 0 for a type that is not in the catalog.
func hourlyPrice(catalog *wire.Catalog, machineType string, spot bool) float64 {
	found := findMachineType(catalog, machineType)
	switch {
	case found == nil:
		return 0
	case spot:
		return found.SpotHourly
	}
	return found.Hourly
}
