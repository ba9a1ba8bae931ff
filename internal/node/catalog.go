package node

import (
	"context"
	"log/slog"

	"lotusstile.dev/lotusstile/internal/timeralign"
)

// readCatalog reads the machine types, against which submissions are checked. It retries until a read
// succeeds or ctx ends, with exponential backoff up to a worker lease.
func (n *Node) readCatalog(ctx context.Context) {
	backoff := n.cfg.LeaderLeaseTTL() / 4
	for ctx.Err() == nil {
		catalog, err := n.cloud.Catalog(ctx)
		if err == nil && len(catalog.MachineTypes) > 0 {
			n.catalog.Store(&catalog)
			return
		}
		slog.Warn("could not read machine types, will retry", "err", err)
		timeralign.Sleep(ctx, backoff)
		backoff = min(2*backoff, n.cfg.WorkerLease())
	}
}
