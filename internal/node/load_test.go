package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// A submission that cannot be taken is answered at once with word when to come
// back, from the first moment of an outage of the state service and when the
// budget of changes is spent: a wait would only postpone the refusal.
func TestRefusedAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name   string
		state  always
		budget float64
		taken  int
	}{
		{"outage", http.StatusServiceUnavailable, 100, 0},
		{"budget", http.StatusOK, 5, 3}, // a node has six tenths
	} {
		synctest.Test(t, func(t *testing.T) {
			cfg := &config.Config{}
			cfg.Cluster.Workers.LeaseS, cfg.Cluster.Workers.ReportS, cfg.Cluster.State.ValueKb = 10, 1, 8
			cfg.Cluster.Teams = []config.Team{{Name: "crew"}}
			cfg.Cluster.State.Rps, cfg.Cluster.State.WriteRps = 100, tc.budget
			cfg.Cluster.Cloud.Rps, cfg.Cluster.Limits.MaxConnections = 1, 100
			cfg.Services.State = "state:1"
			state := always(http.StatusOK)
			n := New(cfg, Network{State: &state})
			n.catalog.Store(&wire.Catalog{MachineTypes: []wire.MachineType{{Name: "g", Cores: 8, Gpus: 8, RAMGb: 8, Zones: []string{"a"}}}})
			time.Sleep(time.Millisecond)
			if _, _, err := n.store.Get(t.Context(), "e/term"); err != nil {
				t.Fatal(err)
			}
			state = tc.state
			taken, last := 0, ""
			for i := range 20 {
				body := fmt.Sprintf(`{"Uid":"run-%06d","Berth":"b","Crew":"crew","Shape":"sweep","Rank":"critical","Legs":1,"Cores":1,"Gpus":1,"RamGb":1,"Rollout":"i","ImageGb":1,"Together":false,"Scatter":false,"Standby":false,"ExpectS":5,"MarkS":0,"StowS":0}`, i)
				began := time.Now()
				rec := httptest.NewRecorder()
				n.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/work", strings.NewReader(body)))
				if took := time.Since(began); took > 0 {
					t.Errorf("%s: answered after %s", tc.name, took)
				}
				last = rec.Body.String()
				switch rec.Code {
				case http.StatusCreated:
					taken++
				case http.StatusServiceUnavailable:
					if rec.Header().Get(echo.HeaderRetryAfter) == "" {
						t.Errorf("%s: no Retry-After", tc.name)
					}
				default:
					t.Errorf("%s: answered %d: %s", tc.name, rec.Code, rec.Body)
				}
			}
			if taken != tc.taken {
				t.Errorf("%s: %d submissions were taken, expected %d; last answer %s", tc.name, taken, tc.taken, last)
			}
		})
	}
}

// A submission whose commit gets no answer is recorded once more while the state
// service answers other requests, and its user need not come back: each took
// 1.25 s and then another node.
func TestAnswersThatNeverComeAreNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := &config.Config{}
		cfg.Cluster.Workers.LeaseS, cfg.Cluster.Workers.ReportS, cfg.Cluster.State.ValueKb = 10, 1, 8
		cfg.Cluster.Teams = []config.Team{{Name: "crew"}}
		cfg.Cluster.State.Rps, cfg.Cluster.State.WriteRps = 100, 100
		cfg.Cluster.Cloud.Rps, cfg.Cluster.Limits.MaxConnections = 1, 100
		state := &losing{always(http.StatusOK), 1}
		n := New(cfg, Network{State: state})
		n.catalog.Store(&wire.Catalog{MachineTypes: []wire.MachineType{{Name: "g", Cores: 8, Gpus: 8, RAMGb: 8, Zones: []string{"a"}}}})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for ctx.Err() == nil {
				// A read that the end of the test calls off in its first moment has not
				// failed: the answer to the submission and this read's turn may fall on
				// the same instant, and either may come first.
				if _, _, err := n.store.Get(ctx, "e/term"); err != nil && ctx.Err() == nil {
					t.Error(err)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		time.Sleep(time.Second)
		begun := time.Now()
		rec := httptest.NewRecorder()
		body := `{"Uid":"run-000001","Berth":"b","Crew":"crew","Shape":"sweep","Rank":"critical","Legs":1,"Cores":1,"Gpus":1,"RamGb":1,"Rollout":"i","ImageGb":1,"Together":false,"Scatter":false,"Standby":false,"ExpectS":5,"MarkS":0,"StowS":0}`
		n.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/work", strings.NewReader(body)))
		if took := time.Since(begun); rec.Code != http.StatusCreated || took > time.Second {
			t.Errorf("answered %d after %s", rec.Code, took)
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// A question whose read is slow is not answered with what was true before another
// node confirmed that the job is cancelled.
func TestAnswersAreNotOlderThanWhatPeersAnnounced(t *testing.T) {
	cfg := &config.Config{}
	cfg.Cluster.Workers.LeaseS, cfg.Cluster.Workers.ReportS, cfg.Cluster.State.ValueKb = 10, 1, 8
	cfg.Cluster.State.Rps, cfg.Cluster.State.WriteRps, cfg.Cluster.Cloud.Rps, cfg.Cluster.Limits.MaxConnections = 100, 100, 1, 100
	state := &slowState{always: http.StatusOK}
	n := New(cfg, Network{State: state})
	if _, _, err := n.store.Get(t.Context(), "e/term"); err != nil { // the state service is reached
		t.Fatal(err)
	}
	ask := func() string {
		rec := httptest.NewRecorder()
		n.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/work/run-000001", nil))
		return rec.Body.String()
	}
	if got := ask(); !strings.Contains(got, `"queued"`) {
		t.Fatalf("before it is told %s", got)
	}
	state.meanwhile = func() {
		n.ApplyCancellation(peer.Cancellation{UID: "run-000001", Record: records.Job{Status: wire.JobAborted}, ModRevision: 8})
	}
	if got := ask(); !strings.Contains(got, `"aborted"`) {
		t.Errorf("after another node told that it is cancelled: %s", got)
	}
}

// A node whose processor has far more to do than it can: users are refused at once
// with word when to come back, submissions and questions alike, while reports of
// workers are still answered; once there is less to do, users are served again. The
// load is real here, and so is the clock: goroutines that spin share one processor
// with the node, as a small share of a core would have it.
func TestSlowProcessorServesWorkersFirst(t *testing.T) {
	cfg := &config.Config{}
	cfg.Cluster.Workers.LeaseS, cfg.Cluster.Workers.ReportS, cfg.Cluster.Workers.CancelS = 5, 0.2, 600
	cfg.Cluster.State.Rps, cfg.Cluster.State.WriteRps, cfg.Cluster.State.ValueKb = 1e6, 1e6, 8
	cfg.Cluster.Cloud.Rps, cfg.Cluster.Limits.MaxConnections = 1, 100
	state := &slowState{always: http.StatusOK}
	n := New(cfg, Network{State: state})
	n.jobCache.Reset(nil, 1, time.Now())
	n.elector.Reset([]wire.KeyValue{{Key: records.TermKey, Value: records.Encode(records.Leader{Node: "b"}), ModRevision: 5}}, 5, time.Now())
	ask := func(method, path, body string) int {
		rec := httptest.NewRecorder()
		n.Handler().ServeHTTP(rec, httptest.NewRequest(method, path, strings.NewReader(body)))
		if rec.Code == http.StatusServiceUnavailable && rec.Header().Get(echo.HeaderRetryAfter) == "" {
			t.Error("refused without word when to come back")
		}
		return rec.Code
	}
	user := func() int {
		if _, _, err := n.store.Get(t.Context(), "e/term"); err != nil { // the state service is reached
			t.Fatal(err)
		}
		return ask(http.MethodGet, "/work/run-000001", "")
	}
	worker := func() int {
		return ask(http.MethodPost, "/checkin", `{"Host":"m","Address":"m:1","Rig":"g","Yard":"a","Shift":1,"Tick":1,"Baton":5,"Legs":[]}`)
	}
	until := func(what string, status int) {
		t.Helper()
		for end := time.Now().Add(time.Minute); user() != status; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("users are not %s", what)
			}
		}
		if code := worker(); code != http.StatusOK {
			t.Errorf("while users are %s, a worker is answered %d", what, code)
		}
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go n.load.Run(ctx, cfg.TimerGrid(), cfg.HeartbeatInterval()/8)
	until("served", http.StatusOK)
	var spinning sync.WaitGroup
	var over atomic.Bool
	for range 40 {
		spinning.Go(func() {
			for !over.Load() {
				_ = 0
			}
		})
	}
	until("refused", http.StatusServiceUnavailable)
	over.Store(true)
	spinning.Wait()
	until("served", http.StatusOK)
}
