package node

import (
	"context"
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/timeralign"
)

// isServing reports whether the state store has executed a request of this node within the last half of
// a leader lease. keepCacheFresh reads often enough that an idle node counts as serving.
func (n *Node) isServing() bool { return n.store.SinceLastExecuted() < n.cfg.LeaderLeaseTTL()/2 }

// keepCacheFresh reads the jobs into their watch cache, in addition to the watch, until ctx ends. It reads
// when the state store has executed no request of this node for a while, so that an idle node is not taken
// for one without a connection to the store, and when the cache is older than a tenth of a worker lease,
// since heartbeats are answered only while the node's knowledge of cancellations is recent.
func (n *Node) keepCacheFresh(ctx context.Context) {
	interval := n.cfg.LeaderLeaseTTL() / 8
	for ctx.Err() == nil {
		if n.store.SinceLastExecuted() > interval || time.Since(n.jobCache.FreshAsOf()) > n.cfg.WorkerLease()/10 {
			refreshCtx, cancel := context.WithTimeout(store.WithUrgentLane(ctx), 2*interval)
			if err := n.jobCache.Refresh(refreshCtx, n.store); err != nil {
				slog.Debug("could not refresh the watch cache of jobs", "err", err)
			}
			cancel()
		}
		timeralign.Sleep(ctx, n.cfg.TimerGrid().UntilNext(time.Now(), interval))
	}
}
