package node

import (
	"context"
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// isServing reports whether this node has read the state service lately. keepCacheFresh
// reads it often enough that an idle node is not taken for cut off.
func (n *Node) isServing() bool { return n.store.SinceLastExecuted() < n.cfg.LeaderLeaseTTL()/2 }

// keepCacheFresh brings the watch cache of jobs up to date past its watch, until ctx ends: an idle
// node is then not taken for cut off, and what it knows of cancellations is never older
// than a tenth of a worker lease while it reaches the state service.
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

// readCatalog reads the machine types, which submissions are checked against.
func (n *Node) readCatalog(ctx context.Context) {
	pause := n.cfg.LeaderLeaseTTL() / 4
	for ctx.Err() == nil {
		catalog, err := n.cloud.Catalog(ctx)
		if err == nil && len(catalog.MachineTypes) > 0 {
			n.catalog.Store(&catalog)
			return
		}
		slog.Warn("machine types could not be read yet", "err", err)
		timeralign.Sleep(ctx, pause)
		pause = min(2*pause, n.cfg.WorkerLease())
	}
}

// followSettings follows what the state service keeps for all nodes, until ctx ends.
func (n *Node) followSettings(ctx context.Context, wait, pause time.Duration) {
	apply := func(event wire.WatchEvent) {
		n.version.Apply(event)
		n.settings.apply(event)
	}
	watchcache.Follow(ctx, n.store, records.SettingsPrefix, wait, pause, watchcache.HandlerFuncs{OnListed: apply, OnChanged: apply})
}
