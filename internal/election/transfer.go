package election

import (
	"context"
	"log/slog"

	"lotusstile.dev/lotusstile/internal/store"
)

// revokeLease revokes the lease of a term that this node has ended, so that another node can be elected at once. The
// term must end first: then it starts no commit after the leader's key is gone, and commits that are still in flight
// fail because they compare that key.
func (e *Elector) revokeLease(ctx context.Context, term, leaseID uint64) {
	if err := e.Store.RevokeLease(store.WithUrgentLane(ctx), leaseID); err != nil {
		slog.Warn("lease of an ended term could not be revoked", "term", term, "err", err) // the lease expires by itself
	}
}
