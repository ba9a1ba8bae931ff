package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/httpapi"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/relay"
	"lotusstile.dev/lotusstile/internal/simcluster/fakestore"
	"lotusstile.dev/lotusstile/wire"
)

// handlerTransport carries requests to a handler in the same process.
type handlerTransport struct{ handler http.Handler }

func (t handlerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	t.handler.ServeHTTP(rec, req)
	return rec.Result(), nil
}

// The size of the fleet that the benchmarks are run on.
const (
	benchMachines    = 190
	tasksPerMachine  = 8
	benchReport      = 1 // seconds
	benchLease       = 10
	benchDescription = `{"Uid":"run-%06d","Berth":"serve","Crew":"team","Shape":"standing","Rank":"high","Legs":8,"Cores":8,"Gpus":1,"RamGb":40,"Rollout":"img-%d","ImageGb":20,"Together":false,"Scatter":false,"Standby":false,"ExpectS":0,"MarkS":0,"StowS":0}`
)

func benchUID(machine int) string { return fmt.Sprintf("run-%06d", machine) }

// benchState is a state service with a job of eight tasks for each machine, all placed on it.
func benchState(b testing.TB, machines int) *fakestore.Store {
	b.Helper()
	state := fakestore.New()
	commit := func(changes ...wire.Change) {
		body, err := json.Marshal(wire.Transaction{Changes: changes})
		if err != nil {
			b.Fatal(err)
		}
		state.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/commit", strings.NewReader(string(body))))
	}
	for i := range machines {
		spec, err := wire.ParseJobSpec(fmt.Appendf(nil, benchDescription, i, i%8))
		if err != nil {
			b.Fatal(err)
		}
		placement := records.Placement{NextAttempt: 2}
		for task := range tasksPerMachine {
			placement.Live = append(placement.Live, records.PlacedAttempt{Task: task, Attempt: 1, Host: benchHost(i), Incarnation: 1})
		}
		job := records.Job{Spec: spec, Status: wire.JobQueued, AcceptedAtMs: time.Now().UnixMilli(), TasksPerPlacement: 80}
		commit(wire.Change{Set: records.JobKey(spec.UID), Value: records.Encode(job)},
			wire.Change{Set: records.PlacementKey(spec.UID, 0), Value: records.Encode(placement)})
	}
	return state
}

func benchHost(i int) string { return fmt.Sprintf("m-%06d", i) }

// benchNode is a node that leads the fleet of benchState; every machine has
// reported all its tasks running.
func benchNode(b testing.TB, machines, connections int) *Node {
	b.Helper()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	cfg := &config.Config{Label: "n", Location: "a"}
	cfg.Services.State, cfg.Services.Cloud = "state:1", "cloud:1"
	cfg.Cluster.Workers.LeaseS, cfg.Cluster.Workers.ReportS, cfg.Cluster.Workers.CancelS = benchLease, benchReport, 4*benchLease
	cfg.Cluster.State.Rps, cfg.Cluster.State.WriteRps, cfg.Cluster.State.ValueKb, cfg.Cluster.State.TxnOps = 1e9, 1e9, 8, 24
	cfg.Cluster.Cloud.Rps, cfg.Cluster.Cloud.ListLagS, cfg.Cluster.Limits.MaxConnections = 1, 600, connections
	cfg.Cluster.Teams = []config.Team{{Name: "team"}}
	catalog := wire.Catalog{MachineTypes: []wire.MachineType{{Name: "g8", Cores: 96, Gpus: 8, RAMGb: 576, FetchGbPerS: 1, Hourly: 20, SpotHourly: 5, BootS: 45, Zones: []string{"a"}}}}
	cloud := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/catalog" {
			_ = json.NewEncoder(w).Encode(catalog)
			return
		}
		_, _ = io.WriteString(w, `{"Hosts":[]}`)
	})
	n := New(cfg, Network{State: handlerTransport{benchState(b, machines)}, Cloud: handlerTransport{cloud}})
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	n.Start(ctx)
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if l := n.controller(); l != nil && l.Status().Loaded && n.catalog.Load() != nil && n.jobCache.HasSynced() {
			break
		}
		if time.Now().After(deadline) {
			b.Fatal("the node does not lead")
		}
	}
	for i := range machines {
		benchHeartbeat(b, n, i, 1)
		benchHeartbeat(b, n, i, 2)
	}
	return n
}

// benchReportBody is the report of a machine whose tasks all run.
func benchReportBody(term uint64, machine int, sequence uint64) string {
	var tasks []string
	for task := range tasksPerMachine {
		tasks = append(tasks, fmt.Sprintf(`{"Leg":"%s/%d","Try":1,"Status":"running"}`, benchUID(machine), task))
	}
	return fmt.Sprintf(`{"Host":"%s","Address":"10.1.0.1:9000","Rig":"g8","Yard":"a","Standby":false,"Shift":1,"Tick":%d,"Baton":%d,"WarningS":null,"Legs":[%s]}`,
		benchHost(machine), sequence, term, strings.Join(tasks, ","))
}

func benchHeartbeat(b testing.TB, n *Node, machine int, sequence uint64) {
	rec := httptest.NewRecorder()
	body := benchReportBody(n.controller().Term(), machine, sequence)
	n.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/checkin", strings.NewReader(body)))
	if rec.Code != http.StatusOK {
		b.Fatalf("check-in answered %d: %s", rec.Code, rec.Body)
	}
}

// A check-in that says nothing new, of a machine that is full.
func BenchmarkUnchangedHeartbeat(b *testing.B) {
	n := benchNode(b, benchMachines, 700)
	bodies := make([]string, b.N)
	for i := range bodies {
		bodies[i] = benchReportBody(n.controller().Term(), i%benchMachines, uint64(i/benchMachines+3))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for _, body := range bodies {
		status, _ := httpapi.EncodeHeartbeatAnswer(n.heartbeats.Answer(b.Context(), []byte(body), relay.Relaxed))
		if status != http.StatusOK {
			b.Fatal(status)
		}
	}
}

// The same, with all of the HTTP handler's work.
func BenchmarkUnchangedHeartbeatHandler(b *testing.B) {
	n := benchNode(b, benchMachines, 700)
	requests, answers := make([]*http.Request, b.N), make([]*httptest.ResponseRecorder, b.N)
	for i := range requests {
		body := benchReportBody(n.controller().Term(), i%benchMachines, uint64(i/benchMachines+3))
		requests[i] = httptest.NewRequest(http.MethodPost, "/checkin", strings.NewReader(body))
		answers[i] = httptest.NewRecorder()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i, req := range requests {
		n.Handler().ServeHTTP(answers[i], req)
	}
}

// A poll for a job that runs; the state service's own work is part of it.
func BenchmarkPoll(b *testing.B) {
	n := benchNode(b, benchMachines, 700)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		rec := httptest.NewRecorder()
		n.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/work/"+benchUID(i%benchMachines), nil))
		if rec.Code != http.StatusOK {
			b.Fatal(rec.Code)
		}
	}
}

// A submission that is known already; the state service's own work is part of it.
func BenchmarkRepeatedSubmission(b *testing.B) {
	n := benchNode(b, benchMachines, 700)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		rec := httptest.NewRecorder()
		body := fmt.Sprintf(benchDescription, i%benchMachines, i%8)
		n.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/work", strings.NewReader(body)))
		if rec.Code != http.StatusOK {
			b.Fatal(rec.Code)
		}
	}
}
