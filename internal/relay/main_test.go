package relay

import (
	"flag"
	"log/slog"
	"os"
	"testing"
)

// TestMain discards the log, and makes rapid draw the same inputs in every run.
func TestMain(m *testing.M) {
	// The flag -rapid.seed selects other inputs.
	_ = flag.Set("rapid.seed", "1")
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}
