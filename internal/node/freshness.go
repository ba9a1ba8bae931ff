package node

import (
	"context"
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/timeralign"
)

// isServing reports whether the state store has executed a request of this node within half a leader
// lease. keepCacheFresh reads often enough that an idle node does not look cut off.
func (n *Node) isServing() bool { return n.store.SinceLastExecuted() < n.cfg.LeaderLeaseTTL()/2 }

// keepCacheFresh refreshes the watch cache of jobs in addition to its watch, until ctx ends: an idle
// node then does not look cut off, and its knowledge of cancellations is refreshed once it is older
// than a tenth of a worker lease, so that it can answer heartbeats.
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
