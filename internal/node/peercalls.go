package node

import (
	"context"
	"log/slog"

	"lotusstile.dev/lotusstile/internal/peer"
)

// A Node answers the calls of its peers. The methods Ping and Counts are in pinging.go, LeadStatus is in
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
	return n.relay.receiveBatch(batch)
}

// FollowState answers a warm standby that asks for a part of this node's state.
func (n *Node) FollowState(args peer.FollowArgs) (peer.FollowReply, error) {
	return n.standby.answerFollower(args)
}

// ApplyCancellation applies a committed cancellation that a peer announces.
func (n *Node) ApplyCancellation(c peer.Cancellation) {
	n.statuses.RecordFinal(c.UID, c.Record.Status)
	n.jobCache.ApplyFromPeer(c.UID, c.Record, c.ModRevision)
}

// announceCancelled applies a committed cancellation on this node and announces it to the reachable peers,
// without waiting for their answers. A leader then stops the tasks at once even if the state store refuses
// its requests or its watch is late. Correctness does not depend on the announcement: a peer that misses it
// reads the cancellation from the state store or, if it cannot, stops renewing worker leases.
func (n *Node) announceCancelled(c peer.Cancellation) {
	n.ApplyCancellation(c)
	for _, p := range n.peers {
		if _, ok := p.LastPing(n.cfg.LeaderLeaseTTL()); !ok {
			continue
		}
		n.goroutines.Go(func() {
			if err := p.NotifyCancelled(c); err != nil {
				slog.Debug("could not announce cancellation to peer", "peer", p.Label, "uid", c.UID, "err", err)
			}
		})
	}
}
