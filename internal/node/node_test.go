package node

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
)

// After its context has ended, Wait returns and no goroutine of the node is left, whatever its
// loops were waiting for.
func TestGoroutinesEndWithTheContext(t *testing.T) {
	for _, tc := range []struct {
		name   string
		status fixedStatus
		runs   time.Duration
	}{
		{"at once", http.StatusOK, 0},
		{"state service and cloud answer", http.StatusOK, 30 * time.Second},
		{"outage", http.StatusServiceUnavailable, 30 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := testConfig(100, 100)
				cfg.Label, cfg.WarmStandby, cfg.RelayHeartbeats = "n", true, true
				n := New(cfg, Network{State: &tc.status, Cloud: &tc.status, Workers: &tc.status})
				ctx, cancel := context.WithCancel(t.Context())
				n.Start(ctx)
				time.Sleep(tc.runs)
				cancel()
				ended := time.Now()
				n.Wait()
				if took := time.Since(ended); took > cfg.WorkerLease()/5 {
					t.Errorf("the goroutines end after %s", took)
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
			t.Errorf("Run returns %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("Run does not return")
	}
}

// Run returns the error of an address that it cannot listen on.
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
			t.Errorf("Run listens on %s and %s", cfg.Listen, cfg.PeerAddr)
		}
	}
}
