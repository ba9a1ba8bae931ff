package timeralign

import (
	"context"
	"testing"
	"time"
)

func TestSleepEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	begun := time.Now()
	if Sleep(ctx, time.Minute) {
		t.Error("Sleep says that a minute has passed")
	}
	if took := time.Since(begun); took > 10*time.Second {
		t.Errorf("Sleep returns after %v", took)
	}
	if !Sleep(context.Background(), time.Millisecond) {
		t.Error("Sleep says that its context has ended")
	}
}
