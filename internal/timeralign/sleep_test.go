package timeralign

import (
	"context"
	"testing"
	"time"
)

func TestSleepEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	began := time.Now()
	if Sleep(ctx, time.Minute) {
		t.Error("Sleep with an ended context returned true, want false")
	}
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("Sleep with an ended context took %v, want at most 10s", took)
	}
	if !Sleep(context.Background(), time.Millisecond) {
		t.Error("Sleep with a live context returned false, want true")
	}
}
