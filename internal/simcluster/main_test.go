package simcluster_test

import (
	"log/slog"
	"os"
	"testing"
)

// TestMain keeps the log out of the tests' output, unless DAY_LOG asks for it. All tests run side
// by side, so none of them may set it.
func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	if os.Getenv("DAY_LOG") != "" {
		slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	}
	os.Exit(m.Run())
}
