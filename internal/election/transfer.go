package election

import (
	"context"
	"log/slog"

	"lotusstile.dev/lotusstile/internal/store"
)

// revokeForTransfer revokes the lease of a term that this node has ended to transfer the leadership, so that another
// node can be elected at once. The term must end first: then it starts no commit after the leader's key is gone, and
// commits that are still in flight fail because they compare that key.
func (e *Elector) revokeForTransfer(ctx context.Context, term, leaseID uint64) {
	slog.Info("transferring the leadership to a better placed node", "term", term)
	if err := e.Store.RevokeLease(store.WithUrgentLane(ctx), leaseID); err != nil {
		slog.Warn("lease could not be revoked for a leadership transfer", "term", term, "err", err) // the lease expires by itself
	}
}
