package simcluster_test

import (
	"io"
	"log/slog"
	"os"
	"testing"
)

// TestMain keeps the log out of the tests' output, unless DAY_LOG asks for it. All tests run side
// by side, so none of them may set it.
func TestMain(m *testing.M) {
	var out io.Writer = io.Discard
	if os.Getenv("DAY_LOG") != "" {
		out = os.Stderr
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(out, nil)))
	os.Exit(m.Run())
}
