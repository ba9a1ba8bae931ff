package node

import (
	"context"
	"log/slog"

	"lotusstile.dev/lotusstile/internal/timeralign"
)

// readCatalog reads the machine types, which submissions are checked against. It repeats the read
// until one succeeds or ctx ends, with pauses that grow up to a worker lease.
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
