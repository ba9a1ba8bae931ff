package node

import (
	"context"
	"log/slog"

	"lotusstile.dev/lotusstile/internal/clusterversion"
	"lotusstile.dev/lotusstile/wire"
)

// raiseVersion raises the cluster version if this node leads and all members
// understand a newer one. What counts is what each has said last: a node that is put
// back to an older release says so with its next ping.
func (n *Node) raiseVersion(ctx context.Context) {
	lead := n.lead.Load()
	if lead == nil || n.version.InForce() == clusterversion.Latest {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, n.cfg.LeaderLeaseTTL())
	defer cancel()
	var understood []clusterversion.Version
	var read []wire.Compare
	for _, p := range n.peers {
		version := p.SupportedVersion()
		if _, reached := p.LastPing(n.cfg.LeaderLeaseTTL()); !reached && version < clusterversion.Latest {
			announced, guard, err := clusterversion.Announced(ctx, n.store, p.Label)
			if err != nil {
				slog.Debug("announced version not read", "peer", p.Label, "err", err)
			}
			version, read = announced, append(read, guard)
		}
		understood = append(understood, version)
	}
	if err := n.version.Raise(ctx, n.store, lead.Term(), understood, read...); err != nil {
		slog.Info("cluster version not raised", "err", err)
	}
}
