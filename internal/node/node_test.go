package node

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
)

// After the node's context has ended, Wait returns and no goroutine of the node is left, whatever the
// goroutines were waiting for.
func TestGoroutinesEndWithTheContext(t *testing.T) {
	for _, tc := range []struct {
		name   string
		status fixedStatus
		runFor time.Duration
	}{
		{"stopped at once", http.StatusOK, 0},
		{"state store and cloud answer", http.StatusOK, 30 * time.Second},
		{"outage", http.StatusServiceUnavailable, 30 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := testConfig(100, 100)
				cfg.Label, cfg.WarmStandby, cfg.RelayHeartbeats = "n", true, true
				n := New(cfg, Network{State: &tc.status, Cloud: &tc.status, Workers: &tc.status})
				ctx, cancel := context.WithCancel(t.Context())
				n.Start(ctx)
				time.Sleep(tc.runFor)
				cancel()
				cancelledAt := time.Now()
				n.Wait()
				if took := time.Since(cancelledAt); took > cfg.WorkerLease()/5 {
					t.Errorf("the goroutines ended %s after the context, want at most %s", took, cfg.WorkerLease()/5)
				}
			})
		})
	}
}

// Run listens, and returns without an error when its context ends.
func TestRunReturnsWhenItsContextEnds(t *testing.T) {
	cfg := testConfig(100, 100)
	cfg.Listen, cfg.PeerAddr = "127.0.0.1:0", "127.0.0.1:0"
	state := fixedStatus(http.StatusServiceUnavailable)
	n := New(cfg, Network{State: &state, Cloud: &state, Workers: &state})
	ctx, cancel := context.WithCancel(t.Context())
	returned := make(chan error, 1)
	go func() { returned <- n.Run(ctx) }()
	time.Sleep(50 * time.Millisecond)
	cancel()
	select {
	case err := <-returned:
		if err != nil {
			t.Errorf("Run returned %v, want no error", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("Run did not return within 5 s")
	}
}

// Run returns an error if it cannot listen on an address.
func TestRunReportsAnAddressThatItCannotListenOn(t *testing.T) {
	for _, change := range []func(*config.Config){
		func(c *config.Config) { c.Listen = "127.0.0.1:none" },
		func(c *config.Config) { c.PeerAddr = "127.0.0.1:none" },
	} {
		cfg := testConfig(100, 100)
		cfg.Listen, cfg.PeerAddr = "127.0.0.1:0", "127.0.0.1:0"
		change(cfg)
		state := fixedStatus(http.StatusOK)
		if err := New(cfg, Network{State: &state}).Run(t.Context()); err == nil {
			t.Errorf("Run on %s and %s returned no error, want one", cfg.Listen, cfg.PeerAddr)
		}
	}
}
