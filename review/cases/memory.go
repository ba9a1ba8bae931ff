package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryInterval is how often the platform looks at the memory of the controllers.
	memoryInterval = 20 * time.Millisecond
	// restartDelay is the time after which a controller that has ended is back.
	restartDelay = 6 * time.Second
)

// keepMemoryLimit does what the platform does: a controller that exceeds its memory limit is killed and started
// again.
func (w *world) keepMemoryLimit(ctx context.Context) {
	limitKiB := int(w.deployment.memMb * 1024)
	for i := range controllers {
		go func() {
			for sleep(ctx, memoryInterval) {
				used := w.residentKiB(i)
				if used <= limitKiB {
					continue
				}
				w.rec.printf("platform: %s holds %d KiB, more than its %d, and is killed", w.deployment.label(i), used, limitKiB)
				w.killController(i)
				w.memoryKills.Add(1)
				if !sleep(ctx, restartDelay) || w.startController(ctx, i) != nil {
					return
				}
			}
		}()
	}
}

// residentKiB returns how much memory a controller holds at the moment; 0 if it does not run.
func (w *world) residentKiB(i int) int {
	w.mu.Lock()
	cmd := w.processes[i]
	w.mu.Unlock()
	if cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kib, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				return 0
			}
			return kib
		}
	}
	return 0
}
