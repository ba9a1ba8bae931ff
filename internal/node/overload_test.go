package node

import (
	"context"
	"errors"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// While a node's processor is overloaded, users are refused at once with a Retry-After and
// heartbeats of workers are still answered; once the load ends, users are served again.
// The load is real here, and so is the clock: goroutines that spin share one processor with
// the node, which leaves it as little time as a small share of a core.
func TestSlowProcessorServesWorkersFirst(t *testing.T) {
	cfg := testConfig(1e6, 1e6)
	cfg.Cluster.Workers.LeaseS, cfg.Cluster.Workers.ReportS, cfg.Cluster.Workers.CancelS = 5, 0.2, 600
	n := New(cfg, Network{State: &slowStore{fixedStatus: http.StatusOK}})
	n.jobCache.Reset(nil, 1, time.Now())
	n.elector.Reset([]wire.KeyValue{{Key: records.TermKey, Value: records.Encode(records.Leader{Node: "b"}), ModRevision: 5}}, 5, time.Now())
	ask := func(method, path, body string) int {
		rec := serve(t.Context(), n, method, path, body)
		if rec.Code == http.StatusServiceUnavailable && rec.Header().Get(echo.HeaderRetryAfter) == "" {
			t.Error("refused without Retry-After")
		}
		return rec.Code
	}
	user := func(end time.Time) int {
		t.Helper()
		// While the others spin, the read that keeps the node serving may not run before its own
		// time-out: only then is it repeated.
		_, _, err := n.store.Get(t.Context(), records.TermKey)
		for errors.Is(err, store.ErrRefused) && time.Now().Before(end) {
			_, _, err = n.store.Get(t.Context(), records.TermKey)
		}
		if err != nil {
			t.Fatal(err)
		}
		return ask(http.MethodGet, "/work/run-000001", "")
	}
	worker := func() int {
		return ask(http.MethodPost, "/checkin", `{"Host":"m","Address":"m:1","Rig":"g","Yard":"a","Shift":1,"Tick":1,"Baton":5,"Legs":[]}`)
	}
	until := func(what string, status int) {
		t.Helper()
		for end := time.Now().Add(time.Minute); user(end) != status; time.Sleep(10 * time.Millisecond) {
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
