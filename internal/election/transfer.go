package election

import (
	"context"
	"log/slog"

	"lotusstile.dev/lotusstile/internal/store"
)

// revokeForTransfer revokes the lease of a term that this node has ended for a leadership transfer,
// so that another node is elected at once. The term ends first: nothing of it begins after the
// leader's key is gone, and what is still in flight fails by the compare on that key.
func (e *Elector) revokeForTransfer(ctx context.Context, term, leaseID uint64) {
	slog.Info("leadership is transferred to a node that is better placed", "term", term)
	if err := e.Store.RevokeLease(store.WithUrgentLane(ctx), leaseID); err != nil {
		slog.Warn("lease of a transferred leadership was not revoked", "term", term, "err", err) // it expires by itself
	}
}
