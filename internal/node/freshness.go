package node

import (
	"context"
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/timeralign"
)

// isServing reports whether this node has read the state store lately. keepCacheFresh
// reads it often enough that an idle node is not taken for cut off.
func (n *Node) isServing() bool { return n.store.SinceLastExecuted() < n.cfg.LeaderLeaseTTL()/2 }

// keepCacheFresh brings the watch cache of jobs up to date past its watch, until ctx ends: an idle
// node is then not taken for cut off, and what it knows of cancellations is never older
// than a tenth of a worker lease while it reaches the state store.
func (n *Node) keepCacheFresh(ctx context.Context) {
	interval := n.cfg.LeaderLeaseTTL() / 8
	for ctx.Err() == nil {
		if n.store.SinceLastExecuted() > interval || time.Since(n.jobCache.FreshAsOf()) > n.cfg.WorkerLease()/10 {
			rctx, cancel := context.WithTimeout(store.WithUrgentLane(ctx), 2*interval)
			if err := n.jobCache.Refresh(rctx, n.store); err != nil {
				slog.Debug("watch cache of jobs could not be refreshed", "err", err)
			}
			cancel()
		}
		timeralign.Sleep(ctx, n.cfg.TimerGrid().UntilNext(time.Now(), interval))
	}
}
