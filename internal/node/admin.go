package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/controller"
	"lotusstile.dev/lotusstile/internal/election"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/relay"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// measure sets up the metrics.
func (n *Node) measure() {
	n.meters = metrics.NewSet()
	n.rounds = n.meters.NewHistogram("lotusstile_round_seconds")
	gauge := func(name string, f func() float64) { n.meters.NewGauge(name, f) }
	gauge("lotusstile_leading", func() float64 {
		if n.lead.Load() != nil {
			return 1
		}
		return 0
	})
	gauge("lotusstile_term", func() float64 { return float64(n.elector.View().Term) })
	gauge("lotusstile_lag_seconds", func() float64 { return time.Duration(n.load.lag.Load()).Seconds() })
	gauge("lotusstile_state_proof_seconds", func() float64 { return min(n.store.ProofAge(), time.Hour).Seconds() })
	gauge("lotusstile_cluster_version", func() float64 { return float64(n.version.InForce()) })
	gauge("lotusstile_rejected_commits_total", func() float64 { return float64(n.store.Rejections()) })
	gauge("lotusstile_state_throttled_total", func() float64 { return float64(n.store.Throttled()) })
	gauge(`lotusstile_question_rate{kind="shared"}`, func() float64 { return n.store.SharedReads().Allowed() })
	gauge(`lotusstile_question_rate{kind="lookup"}`, func() float64 { return n.store.Lookups().Allowed() })
	gauge(`lotusstile_question_cuts_total{kind="shared"}`, func() float64 { return float64(n.store.SharedReads().Cuts()) })
	gauge(`lotusstile_question_cuts_total{kind="lookup"}`, func() float64 { return float64(n.store.Lookups().Cuts()) })
	gauge(`lotusstile_refused_pages_total{from="state"}`, func() float64 { return float64(n.store.RefusedPages()) })
	gauge(`lotusstile_refused_pages_total{from="cloud"}`, func() float64 { return float64(n.cloud.RefusedPages()) })
	n.refusedBatches = n.meters.NewCounter("lotusstile_refused_batches_total")
	gauge("lotusstile_connections", func() float64 {
		if l := n.connections.Load(); l != nil {
			return float64(l.Open())
		}
		return 0
	})
	gauge("lotusstile_reserve_connections", func() float64 {
		if l := n.connections.Load(); l != nil {
			return float64(l.Reserved())
		}
		return 0
	})
	gauge("lotusstile_evicted_connections_total", func() float64 {
		if l := n.connections.Load(); l != nil {
			return float64(l.Evicted())
		}
		return 0
	})
	gauge("lotusstile_knowledge_seconds", func() float64 { return min(time.Since(n.jobCache.Fresh()), time.Hour).Seconds() })
}

func (n *Node) rounded(took time.Duration) { n.rounds.Update(took.Seconds()) }

// requestKind is what answered requests are counted by.
type requestKind struct {
	kind   string
	status int
}

// count counts an answered request.
func (n *Node) count(kind string, status int) {
	key := requestKind{kind, status}
	counter, ok := n.requests.Load(key)
	if !ok {
		counter, _ = n.requests.LoadOrStore(key, n.meters.GetOrCreateCounter(fmt.Sprintf(`lotusstile_requests_total{kind=%q,status="%d"}`, kind, status)))
	}
	counter.(*metrics.Counter).Inc()
}

// adminMetrics writes the metrics in the Prometheus text format.
func (n *Node) adminMetrics(c echo.Context) error {
	var out bytes.Buffer
	n.meters.WritePrometheus(&out)
	n.writeStandbyMetrics(&out)
	if l := n.lead.Load(); l != nil {
		st := l.Status()
		for state, count := range st.Machines {
			metrics.WriteGaugeUint64(&out, fmt.Sprintf(`lotusstile_machines{state=%q}`, state), uint64(count))
		}
		for class, cl := range st.Classes {
			metrics.WriteGaugeUint64(&out, fmt.Sprintf(`lotusstile_tasks{class=%q,state="waiting"}`, class), uint64(cl.Waiting))
			metrics.WriteGaugeUint64(&out, fmt.Sprintf(`lotusstile_tasks{class=%q,state="placed"}`, class), uint64(cl.Placed))
		}
		metrics.WriteGaugeUint64(&out, "lotusstile_window", uint64(st.Window))
		metrics.WriteGaugeUint64(&out, "lotusstile_suspected_jobs", uint64(st.SuspectJobs))
		metrics.WriteGaugeUint64(&out, "lotusstile_blamed_machines", uint64(st.QuarantinedMachines))
		metrics.WriteCounterUint64(&out, "lotusstile_stale_nodes_total", l.StaleNodes())
	}
	return c.Blob(http.StatusOK, "text/plain; version=0.0.4", out.Bytes())
}

// adminStatus tells how this node stands and, if the leader is reached, how
// the whole service does.
func (n *Node) adminStatus(c echo.Context) error {
	v := n.elector.View()
	st := wire.Status{Node: n.cfg.Label, State: n.elector.State().String(), Leader: v.Leader, Term: v.Term, Proof: min(n.store.ProofAge(), time.Hour).Seconds()}
	if l := n.lead.Load(); l != nil {
		st.Lead = n.leadStatus(l)
	} else if p := n.leader(); p != nil {
		if lead, err := p.LeadStatus(); err == nil {
			st.Lead = lead
		}
	}
	if n.cfg.WarmStandby {
		st.WarmStandby = n.standbyStatus()
	}
	return c.JSON(http.StatusOK, st)
}

// LeadStatus answers a peer that shows the leader's status.
func (n *Node) LeadStatus() *wire.LeadStatus {
	l := n.lead.Load()
	if l == nil || n.elector.State() == election.Following {
		return nil
	}
	return n.leadStatus(l)
}

// leadStatus is how the leader's work stands, with who answers the workers.
func (n *Node) leadStatus(l *controller.Controller) *wire.LeadStatus {
	st := l.Status()
	if router := n.relays.router.Load(); router != nil {
		st.HeartbeatRouting, st.Workers = router.Mode().String(), router.Load()
	}
	return &st
}

// countRelayed counts reports by how they were relayed.
func (n *Node) countRelayed(kind relay.DeliveryKind, reports int) {
	if reports > 0 {
		n.meters.GetOrCreateCounter(fmt.Sprintf(`lotusstile_relayed_reports_total{kind=%q}`, string(kind))).Add(reports)
	}
}

func (n *Node) adminSettings(c echo.Context) error {
	return c.JSON(http.StatusOK, n.settings.Load())
}

// adminChange changes the operators' settings. Fields that are left out stay
// as they are; Stamp must be the version that the change was made from.
func (n *Node) adminChange(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	var version struct {
		ModRevision *uint64 `json:"Stamp"`
	}
	if err := json.Unmarshal(body, &version); err != nil || version.ModRevision == nil {
		return echo.NewHTTPError(http.StatusBadRequest, "the body must be a JSON object with the Stamp of the settings that it changes")
	}
	now := *n.settings.Load()
	if now.ModRevision != *version.ModRevision {
		return c.JSON(http.StatusConflict, now)
	}
	next := now
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&next); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if err := records.CheckSettings(next); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	value := records.Encode(next)
	modRevision, err := n.store.Commit(c.Request().Context(), wire.Transaction{
		Compares: []wire.Compare{{Key: records.SettingsKey, ModRevision: now.ModRevision}},
		Changes:  []wire.Change{{Set: records.SettingsKey, Value: value}},
	})
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		return c.JSON(http.StatusConflict, n.settings.Load())
	case err != nil:
		return retryLater(c, "cannot be recorded now")
	}
	n.takeSettings(wire.WatchEvent{Set: records.SettingsKey, Value: value, ModRevision: modRevision})
	return c.JSON(http.StatusOK, n.settings.Load())
}
