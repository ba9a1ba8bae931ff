package simcluster_test

import (
	"log/slog"
	"os"
	"testing"
)

// TestMain discards the log, unless DAY_LOG is set. The tests run in parallel, so none of them may change the
// default logger.
func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	if os.Getenv("DAY_LOG") != "" {
		slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	}
	os.Exit(m.Run())
}
