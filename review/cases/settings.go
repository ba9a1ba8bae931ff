package main

import (
	"fmt"
	"strings"

	"lotusstile.dev/lotusstile/wire"
)

// controllers is the number of controllers of a deployment.
const controllers = 3

// team is a team's limit. Its guarantee is 0.
type team struct {
	name             string
	cpusMax, gpusMax float64
}

// deployment holds the figures of a small deployment of the brief.
type deployment struct {
	zones            []string
	reportS          float64
	leaseS, cancelS  float64
	rps, writeRps    float64
	txnOps           int
	cloudRps, listS  float64
	cores, memMb     float64
	machineType      wire.MachineType
	machines         int // machines that are up at the start
	teams            []team
	valueKb, skewMs  float64
	maxConnections   int
	controllerPrefix string
}

// ferrovalle returns the first deployment of the brief, with its guest team, which has a limit here. All machines at
// its start are of type larice.
func ferrovalle() deployment {
	return deployment{
		zones: []string{"pianura"}, reportS: 1.5, leaseS: 10, cancelS: 40, rps: 250, writeRps: 100, txnOps: 24,
		cloudRps: 4, listS: 3, cores: 0.12, memMb: 70, valueKb: 8, skewMs: 100, maxConnections: 700, machines: 15,
		teams: []team{{name: "sala-nomine"}, {name: "ospiti", cpusMax: 40, gpusMax: 8}}, controllerPrefix: "stile",
		machineType: wire.MachineType{
			Name: "larice", Cores: 24, Gpus: 4, RAMGb: 144, ImageCacheGb: 800, FetchGbPerS: 4.6,
			Hourly: 8.56, SpotHourly: 3.12, BootS: 30, Zones: []string{"pianura"},
		},
	}
}

// label returns the label of a controller.
func (d *deployment) label(i int) string { return fmt.Sprintf("%s-%d", d.controllerPrefix, i) }

// zone returns the zone of the i-th controller or machine.
func (d *deployment) zone(i int) string { return d.zones[i%len(d.zones)] }

// addresses are the loopback addresses of a deployment.
type addresses struct {
	state, cloud string
	listen, mesh [controllers]string
}

// settings returns the settings file of a controller.
func (d *deployment) settings(i int, a *addresses) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("label = %q\nlocation = %q\nlisten = %q\nmesh_addr = %q", d.label(i), d.zone(i), a.listen[i], a.mesh[i])
	for k := range controllers {
		if k != i {
			line("[[members]]\nlabel = %q\nlocation = %q\nendpoint = %q", d.label(k), d.zone(k), a.mesh[k])
		}
	}
	line("[services]\ncloud = %q\nstate = %q", a.cloud, a.state)
	line("[cluster]\nsize = %d\nzones = [%s]\nskew_ms = %.1f", controllers, `"`+strings.Join(d.zones, `", "`)+`"`, d.skewMs)
	for _, t := range d.teams {
		line("[[cluster.teams]]\nname = %q\ncpus = 0.0\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = %.1f", t.name, t.cpusMax, t.gpusMax)
	}
	line("[cluster.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 35.0\ngang_peer_s = 6.0\ncancel_s = %.1f",
		d.reportS, d.leaseS, d.cancelS)
	line("[cluster.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d", d.rps, d.writeRps, d.valueKb, d.txnOps)
	line("[cluster.cloud]\nrps = %.1f\nlist_lag_s = %.1f", d.cloudRps, d.listS)
	line("[cluster.machine_limits]\ncores = %.3f\nmem_mb = %.1f\nmax_connections = %d", d.cores, d.memMb, d.maxConnections)
	return b.String()
}
