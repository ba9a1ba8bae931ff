package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
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

// The fleet and the jobs that the benchmarks run on.
const (
	benchMachines    = 190
	tasksPerMachine  = 8
	benchIntervalS   = 1 // heartbeat interval in seconds
	benchLeaseS      = 10
	benchDescription = `{"Uid":"run-%06d","Berth":"serve","Crew":"team","Shape":"standing","Rank":"high","Legs":8,` +
		`"Cores":8,"Gpus":1,"RamGb":40,"Rollout":"img-%d","ImageGb":20,"Together":false,"Scatter":false,"Standby":false,` +
		`"ExpectS":0,"MarkS":0,"StowS":0}`
)

func benchUID(machine int) string { return fmt.Sprintf("run-%06d", machine) }

// benchState returns a state store with one job of eight tasks for each machine. All tasks of a job are placed on
// its machine.
func benchState(tb testing.TB, machines int) *fakestore.Store {
	tb.Helper()
	state := fakestore.New()
	commit := func(changes ...wire.Change) {
		body, err := json.Marshal(wire.Transaction{Changes: changes})
		if err != nil {
			tb.Fatal(err)
		}
		req := httptest.NewRequestWithContext(tb.Context(), http.MethodPost, "/commit", bytes.NewReader(body))
		state.ServeHTTP(httptest.NewRecorder(), req)
	}
	for i := range machines {
		spec, err := wire.ParseJobSpec(fmt.Appendf(nil, benchDescription, i, i%8))
		if err != nil {
			tb.Fatal(err)
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

// benchNode returns a node that leads the fleet of benchState. Each machine has sent two heartbeats
// that report all its tasks as running.
func benchNode(tb testing.TB, machines, connections int) *Node {
	tb.Helper()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	cfg := &config.Config{Label: "n", Location: "a"}
	cfg.Services.State, cfg.Services.Cloud = "state:1", "cloud:1"
	cfg.Cluster.Workers.LeaseS, cfg.Cluster.Workers.ReportS, cfg.Cluster.Workers.CancelS = benchLeaseS, benchIntervalS, 4*benchLeaseS
	cfg.Cluster.State.Rps, cfg.Cluster.State.WriteRps, cfg.Cluster.State.ValueKb, cfg.Cluster.State.TxnOps = 1e9, 1e9, 8, 24
	cfg.Cluster.Cloud.Rps, cfg.Cluster.Cloud.ListLagS, cfg.Cluster.Limits.MaxConnections = 1, 600, connections
	cfg.Cluster.Teams = []config.Team{{Name: "team"}}
	catalog := wire.Catalog{MachineTypes: []wire.MachineType{{
		Name:        "g8",
		Cores:       96,
		Gpus:        8,
		RAMGb:       576,
		FetchGbPerS: 1,
		Hourly:      20,
		SpotHourly:  5,
		BootS:       45,
		Zones:       []string{"a"},
	}}}
	n := New(cfg, Network{State: handlerTransport{benchState(tb, machines)}, Cloud: handlerTransport{fakeCloud(catalog)}})
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(func() {
		cancel()
		n.Wait()
	})
	n.Start(ctx)
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if c := n.controller(); c != nil && c.Status().Loaded && n.catalog.Load() != nil && n.jobCache.HasSynced() {
			break
		}
		if time.Now().After(deadline) {
			tb.Fatal("the node does not lead or has not read its state after 10 s")
		}
	}
	for i := range machines {
		benchHeartbeat(tb, n, i, 1)
		benchHeartbeat(tb, n, i, 2)
	}
	return n
}

// benchHeartbeatBody returns the heartbeat of a machine whose tasks all run.
func benchHeartbeatBody(term uint64, machine int, sequence uint64) string {
	tasks := make([]string, 0, tasksPerMachine)
	for task := range tasksPerMachine {
		tasks = append(tasks, fmt.Sprintf(`{"Leg":"%s/%d","Try":1,"Status":"running"}`, benchUID(machine), task))
	}
	return fmt.Sprintf(`{"Host":"%s","Address":"10.1.0.1:9000","Rig":"g8","Yard":"a","Standby":false,`+
		`"Shift":1,"Tick":%d,"Baton":%d,"WarningS":null,"Legs":[%s]}`,
		benchHost(machine), sequence, term, strings.Join(tasks, ","))
}

func benchHeartbeat(tb testing.TB, n *Node, machine int, sequence uint64) {
	tb.Helper()
	rec := serve(context.Background(), n, http.MethodPost, "/checkin", benchHeartbeatBody(n.controller().Term(), machine, sequence))
	if rec.Code != http.StatusOK {
		tb.Fatalf("heartbeat answered %d, want 200: %s", rec.Code, rec.Body)
	}
}

// The heartbeat of a full machine, unchanged since the previous one.
func BenchmarkUnchangedHeartbeat(b *testing.B) {
	n := benchNode(b, benchMachines, 700)
	bodies := make([]string, b.N)
	for i := range bodies {
		bodies[i] = benchHeartbeatBody(n.controller().Term(), i%benchMachines, uint64(i/benchMachines+3))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for _, body := range bodies {
		status, _ := httpapi.EncodeHeartbeatAnswer(n.heartbeats.Answer(b.Context(), []byte(body), relay.NoPressure))
		if status != http.StatusOK {
			b.Fatalf("heartbeat answered %d, want 200", status)
		}
	}
}

// The same heartbeat through the whole HTTP handler.
func BenchmarkUnchangedHeartbeatHandler(b *testing.B) {
	n := benchNode(b, benchMachines, 700)
	requests, answers := make([]*http.Request, b.N), make([]*httptest.ResponseRecorder, b.N)
	for i := range requests {
		body := benchHeartbeatBody(n.controller().Term(), i%benchMachines, uint64(i/benchMachines+3))
		requests[i] = httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/checkin", strings.NewReader(body))
		answers[i] = httptest.NewRecorder()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i, req := range requests {
		n.Handler().ServeHTTP(answers[i], req)
	}
}

// A poll of a running job. The time includes that of the fake state store.
func BenchmarkPoll(b *testing.B) {
	n := benchNode(b, benchMachines, 700)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		rec := serve(context.Background(), n, http.MethodGet, "/work/"+benchUID(i%benchMachines), "")
		if rec.Code != http.StatusOK {
			b.Fatalf("poll answered %d, want 200", rec.Code)
		}
	}
}

// A repeated submission of a known job. The time includes that of the fake state store.
func BenchmarkRepeatedSubmission(b *testing.B) {
	n := benchNode(b, benchMachines, 700)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		rec := serve(context.Background(), n, http.MethodPost, "/work", fmt.Sprintf(benchDescription, i%benchMachines, i%8))
		if rec.Code != http.StatusOK {
			b.Fatalf("submission answered %d, want 200", rec.Code)
		}
	}
}
