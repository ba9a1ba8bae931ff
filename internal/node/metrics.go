package node

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lotusstile.dev/lotusstile/internal/controller"
	"lotusstile.dev/lotusstile/internal/relay"
	"lotusstile.dev/lotusstile/internal/standby"
)

// nodeMetrics are the metrics of a node. Operators rely on their names.
type nodeMetrics struct {
	set              *metrics.Set
	cycleSeconds     *metrics.Histogram
	malformedBatches *metrics.Counter
	newerTokens      *metrics.Counter // workers' fencing tokens that were newer than the term that this node led
	requests         sync.Map         // requestKind to *metrics.Counter
}

func newNodeMetrics() *nodeMetrics {
	set := metrics.NewSet()
	return &nodeMetrics{
		set:              set,
		cycleSeconds:     set.NewHistogram("lotusstile_round_seconds"),
		malformedBatches: set.NewCounter("lotusstile_refused_batches_total"),
		newerTokens:      set.NewCounter("lotusstile_newer_tokens_total"),
	}
}

// gauge adds a metric whose value is read when the metrics are written.
func (m *nodeMetrics) gauge(name string, value func() float64) { m.set.NewGauge(name, value) }

// observeCycle records how long a scheduling cycle took.
func (m *nodeMetrics) observeCycle(took time.Duration) { m.cycleSeconds.Update(took.Seconds()) }

// requestKind holds the labels of a counter of answered requests.
type requestKind struct {
	kind   string
	status int
}

// countRequest counts an answered request.
func (m *nodeMetrics) countRequest(kind string, status int) {
	key := requestKind{kind, status}
	counter, ok := m.requests.Load(key)
	if !ok {
		name := fmt.Sprintf(`lotusstile_requests_total{kind=%q,status="%d"}`, kind, status)
		counter, _ = m.requests.LoadOrStore(key, m.set.GetOrCreateCounter(name))
	}
	counter.(*metrics.Counter).Inc()
}

// countRelayed adds count to the number of heartbeats with this kind of delivery.
func (m *nodeMetrics) countRelayed(kind relay.DeliveryKind, count int) {
	if count > 0 {
		m.set.GetOrCreateCounter(fmt.Sprintf(`lotusstile_relayed_reports_total{kind=%q}`, string(kind))).Add(count)
	}
}

// registerGauges adds the metrics whose values are read from the parts of the node.
func (n *Node) registerGauges() {
	gauge := n.metrics.gauge
	gauge("lotusstile_leading", func() float64 {
		if n.controller() != nil {
			return 1
		}
		return 0
	})
	gauge("lotusstile_term", func() float64 { return float64(n.elector.View().Term) })
	gauge("lotusstile_lag_seconds", func() float64 { return n.load.Lag().Seconds() })
	gauge("lotusstile_state_proof_seconds", func() float64 { return min(n.store.SinceLastExecuted(), time.Hour).Seconds() })
	gauge("lotusstile_cluster_version", func() float64 { return float64(n.version.InForce()) })
	gauge("lotusstile_rejected_commits_total", func() float64 { return float64(n.store.RejectedCommits()) })
	gauge("lotusstile_state_throttled_total", func() float64 { return float64(n.store.ThrottledRequests()) })
	gauge(`lotusstile_question_rate{kind="shared"}`, func() float64 { return n.store.SharedReadLimiter().Rate() })
	gauge(`lotusstile_question_rate{kind="lookup"}`, func() float64 { return n.store.LookupLimiter().Rate() })
	gauge(`lotusstile_question_cuts_total{kind="shared"}`, func() float64 { return float64(n.store.SharedReadLimiter().Cuts()) })
	gauge(`lotusstile_question_cuts_total{kind="lookup"}`, func() float64 { return float64(n.store.LookupLimiter().Cuts()) })
	gauge(`lotusstile_refused_pages_total{from="state"}`, func() float64 { return float64(n.store.OutOfOrderPages()) })
	gauge(`lotusstile_refused_pages_total{from="cloud"}`, func() float64 { return float64(n.cloud.OutOfOrderPages()) })
	gauge("lotusstile_connections", func() float64 { return float64(n.connections.Open()) })
	gauge("lotusstile_reserve_connections", func() float64 { return float64(n.connections.Reserved()) })
	gauge("lotusstile_evicted_connections_total", func() float64 { return float64(n.connections.Evicted()) })
	gauge("lotusstile_knowledge_seconds", func() float64 { return min(time.Since(n.jobCache.FreshAsOf()), time.Hour).Seconds() })
	if n.standby.enabled() {
		n.registerStandbyGauges()
	}
}

// registerStandbyGauges adds the metrics of the warm standby.
func (n *Node) registerStandbyGauges() {
	gauge := n.metrics.gauge
	for _, name := range standby.StateNames() {
		gauge(fmt.Sprintf(`lotusstile_standby_state{state=%q}`, name), func() float64 {
			if n.standby.follower.Status().State.String() == name {
				return 1
			}
			return 0
		})
	}
	gauge("lotusstile_standby_position", func() float64 { return float64(n.standby.status().Position) })
	gauge("lotusstile_standby_lag_seconds", func() float64 { return n.standby.status().LagS })
	gauge("lotusstile_standby_moved_bytes_total", func() float64 { return float64(n.standby.status().MovedBytes) })
	gauge("lotusstile_takeover_seconds", func() float64 { return n.standby.lastFailover().Seconds() })
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (n *Node) WriteMetrics(out io.Writer) {
	n.metrics.set.WritePrometheus(out)
	if n.standby.enabled() {
		for cause, count := range n.standby.follower.Status().Refused {
			metrics.WriteCounterUint64(out, fmt.Sprintf(`lotusstile_standby_refused_total{cause=%q}`, cause), count)
		}
	}
	if c := n.controller(); c != nil {
		writeLeaderMetrics(out, c)
	}
}

// CountRequest counts an answered request by its kind and the status of its answer.
func (n *Node) CountRequest(kind string, status int) { n.metrics.countRequest(kind, status) }

// writeLeaderMetrics writes the metrics that only the leader has.
func writeLeaderMetrics(out io.Writer, c *controller.Controller) {
	status := c.Status()
	for state, count := range status.Machines {
		metrics.WriteGaugeUint64(out, fmt.Sprintf(`lotusstile_machines{state=%q}`, state), uint64(count))
	}
	for name, class := range status.Classes {
		metrics.WriteGaugeUint64(out, fmt.Sprintf(`lotusstile_tasks{class=%q,state="waiting"}`, name), uint64(class.Waiting))
		metrics.WriteGaugeUint64(out, fmt.Sprintf(`lotusstile_tasks{class=%q,state="placed"}`, name), uint64(class.Placed))
	}
	metrics.WriteGaugeUint64(out, "lotusstile_window", uint64(status.Window))
	metrics.WriteGaugeUint64(out, "lotusstile_suspected_jobs", uint64(status.SuspectJobs))
	metrics.WriteGaugeUint64(out, "lotusstile_blamed_machines", uint64(status.QuarantinedMachines))
	metrics.WriteCounterUint64(out, "lotusstile_stale_nodes_total", c.StaleNodes())
}
