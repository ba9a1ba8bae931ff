package node

import (
	"context"
	"log/slog"

	"lotusstile.dev/lotusstile/internal/peer"
)

// A Node answers the calls of other controllers; Ping, Counts and LeadStatus stand beside
// what they tell of.
var _ peer.Handler = (*Node)(nil)

// ServeUserRequest answers a user's request that a peer forwards.
func (n *Node) ServeUserRequest(a peer.UserArgs) peer.UserReply { return n.api.AnswerForwarded(a) }

// RelayHeartbeat answers a heartbeat that a peer relays outside batches.
func (n *Node) RelayHeartbeat(a peer.CheckInArgs) peer.CheckInReply {
	status, answer := n.heartbeats.answerSingle(context.Background(), a.Body)
	return peer.CheckInReply{Status: status, Body: answer}
}

// RelayHeartbeats answers a batch of heartbeats that a follower relays.
func (n *Node) RelayHeartbeats(batch peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error) {
	return n.relays.receiveBatch(batch)
}

// FollowState answers a warm standby.
func (n *Node) FollowState(a peer.FollowArgs) (peer.FollowReply, error) { return n.standby.answer(a) }

// ApplyCancellation applies a committed cancellation that a peer announces.
func (n *Node) ApplyCancellation(c peer.Cancellation) {
	n.statuses.RecordFinal(c.UID, c.Record.Status)
	n.jobCache.ApplyFromPeer(c.UID, c.Record, c.ModRevision)
}

// announceCancelled tells this node and its peers of a committed cancellation, so that a leader
// that the state store refuses, or whose watch is late, stops the tasks at once. No
// rule rests on it: a peer that is not reached learns of the cancellation by
// reading, or stops renewing worker leases.
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
