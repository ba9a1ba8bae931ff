package node

import (
	"context"
	"log/slog"

	"lotusstile.dev/lotusstile/internal/peer"
)

// A Node answers the calls of other controllers. Ping and Counts are in pinging.go, LeadStatus in
// status.go.
var _ peer.Handler = (*Node)(nil)

// ServeUserRequest answers a user's request that a peer forwards.
func (n *Node) ServeUserRequest(args peer.UserArgs) peer.UserReply {
	return n.api.AnswerForwarded(args)
}

// RelayHeartbeat answers a heartbeat that a peer relays outside batches.
func (n *Node) RelayHeartbeat(args peer.CheckInArgs) peer.CheckInReply {
	status, answer := n.heartbeats.answerSingle(context.Background(), args.Body)
	return peer.CheckInReply{Status: status, Body: answer}
}

// RelayHeartbeats answers a batch of heartbeats that a follower relays.
func (n *Node) RelayHeartbeats(batch peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error) {
	return n.relays.receiveBatch(batch)
}

// FollowState answers a warm standby.
func (n *Node) FollowState(args peer.FollowArgs) (peer.FollowReply, error) {
	return n.standby.answer(args)
}

// ApplyCancellation applies a committed cancellation that a peer announces.
func (n *Node) ApplyCancellation(c peer.Cancellation) {
	n.statuses.RecordFinal(c.UID, c.Record.Status)
	n.jobCache.ApplyFromPeer(c.UID, c.Record, c.ModRevision)
}

// announceCancelled applies a committed cancellation here and announces it to the peers that are
// reached, without waiting for them: a leader that the state store refuses, or whose watch is late,
// then stops the tasks at once. No rule depends on it: a peer that is not reached learns of the
// cancellation by reading, or stops renewing worker leases.
func (n *Node) announceCancelled(c peer.Cancellation) {
	n.ApplyCancellation(c)
	for _, p := range n.peers {
		if _, ok := p.LastPing(n.cfg.LeaderLeaseTTL()); !ok {
			continue
		}
		n.background.Go(func() {
			if err := p.NotifyCancelled(c); err != nil {
				slog.Debug("cancellation could not be announced to peer", "peer", p.Label, "uid", c.UID, "err", err)
			}
		})
	}
}
