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

// While a node's processor is overloaded, users are refused at once with a Retry-After header and
// heartbeats of workers are still answered. Once the load ends, users are served again.
// Load and clock are real: spinning goroutines share one processor with the node and leave it a small
// share of that processor's time.
func TestSlowProcessorServesWorkersFirst(t *testing.T) {
	cfg := testConfig(1e6, 1e6)
	cfg.Cluster.Workers.LeaseS, cfg.Cluster.Workers.ReportS, cfg.Cluster.Workers.CancelS = 5, 0.2, 600
	n := New(cfg, Network{State: &queuedJobStore{fixedStatus: http.StatusOK}})
	n.jobCache.Reset(nil, 1, time.Now())
	n.elector.Reset([]wire.KeyValue{{Key: records.TermKey, Value: records.Encode(records.Leader{Node: "b"}), ModRevision: 5}}, 5, time.Now())
	send := func(method, path, body string) int {
		rec := serve(t.Context(), n, method, path, body)
		if rec.Code == http.StatusServiceUnavailable && rec.Header().Get(echo.HeaderRetryAfter) == "" {
			t.Error("request refused without a Retry-After header")
		}
		return rec.Code
	}
	pollAsUser := func(end time.Time) int {
		t.Helper()
		// The node serves users only after a recent read of the state store. While the other goroutines
		// spin, this read may time out before it runs. It then fails with store.ErrRefused and is repeated;
		// any other error fails the test.
		_, _, err := n.store.Get(t.Context(), records.TermKey)
		for errors.Is(err, store.ErrRefused) && time.Now().Before(end) {
			_, _, err = n.store.Get(t.Context(), records.TermKey)
		}
		if err != nil {
			t.Fatal(err)
		}
		return send(http.MethodGet, "/work/run-000001", "")
	}
	sendHeartbeat := func() int {
		return send(http.MethodPost, "/checkin", `{"Host":"m","Address":"m:1","Rig":"g","Yard":"a","Shift":1,"Tick":1,"Baton":5,"Legs":[]}`)
	}
	waitUntilUsers := func(outcome string, status int) {
		t.Helper()
		for end := time.Now().Add(time.Minute); pollAsUser(end) != status; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("users are not %s after a minute, want status %d", outcome, status)
			}
		}
		if code := sendHeartbeat(); code != http.StatusOK {
			t.Errorf("while users are %s, a worker is answered %d, want 200", outcome, code)
		}
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go n.load.Run(ctx, cfg.TimerGrid(), cfg.HeartbeatInterval()/8)
	waitUntilUsers("served", http.StatusOK)
	var spinning sync.WaitGroup
	var loadEnded atomic.Bool
	for range 40 {
		spinning.Go(func() {
			for !loadEnded.Load() {
				_ = 0
			}
		})
	}
	waitUntilUsers("refused", http.StatusServiceUnavailable)
	loadEnded.Store(true)
	spinning.Wait()
	waitUntilUsers("served", http.StatusOK)
}
