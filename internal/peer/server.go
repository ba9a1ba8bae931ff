package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/rpc"
	"time"

	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/wire"
)

// serviceName is the name of the net/rpc service. It must be changed together with any change of the
// messages that an older release would misread: nodes of different releases then cannot reach each
// other, and operate as if they were cut off.
const serviceName = "Controller"

// Handler answers the calls of other controllers. Its methods are called concurrently.
type Handler interface {
	// ApplyCancellation applies a cancellation that a peer has committed.
	ApplyCancellation(c Cancellation)
	// ServeUserRequest answers a user's request that a peer forwards.
	ServeUserRequest(a UserArgs) UserReply
	// LeadStatus returns the leader's status, or nil if this node does not lead.
	LeadStatus() *wire.LeadStatus
	// Ping answers with the state of this node.
	Ping(a PingArgs) PingResult
	// Counts returns the counts of a job's tasks.
	Counts(a CountsArgs) CountsReply
	// RelayHeartbeat answers one worker's heartbeat that a follower relays singly.
	RelayHeartbeat(a CheckInArgs) CheckInReply
	// RelayHeartbeats answers a batch of relayed heartbeats.
	RelayHeartbeats(b HeartbeatBatch) (HeartbeatBatchReply, error)
	// FollowState answers a warm standby with a part of the leader's state.
	FollowState(a FollowArgs) (FollowReply, error)
}

// service is registered with net/rpc. The names of its methods are sent with each call, so they must not
// change between releases; Handler has the terms of today.
type service struct{ handler Handler }

// Ping answers a ping.
func (s *service) Ping(a PingArgs, r *PingReply) error {
	*r = s.handler.Ping(a).message()
	return nil
}

// Counts answers a request for the counts of a job's tasks.
func (s *service) Counts(a CountsArgs, r *CountsReply) error {
	*r = s.handler.Counts(a)
	return nil
}

// CheckIn answers a single relayed heartbeat.
func (s *service) CheckIn(a CheckInArgs, r *CheckInReply) error {
	*r = s.handler.RelayHeartbeat(a)
	return nil
}

// RelayReports answers a batch of relayed heartbeats.
func (s *service) RelayReports(a RelayArgs, r *RelayReply) error {
	reply, err := s.handler.RelayHeartbeats(a.batch())
	*r = reply.message()
	return err
}

// User answers a user's request that a peer forwards.
func (s *service) User(a UserArgs, r *UserReply) error {
	*r = s.handler.ServeUserRequest(a)
	return nil
}

// Withdrawn applies a committed cancellation that a peer announces.
func (s *service) Withdrawn(a WithdrawnArgs, _ *WithdrawnReply) error {
	s.handler.ApplyCancellation(a.cancellation())
	return nil
}

// Lead answers a request for the leader's status.
func (s *service) Lead(_ PingArgs, r *LeadReply) error {
	r.Lead = leadStatusMessage(s.handler.LeadStatus())
	return nil
}

// FollowState answers a warm standby.
func (s *service) FollowState(a FollowArgs, r *FollowReply) error {
	reply, err := s.handler.FollowState(a)
	*r = reply
	return err
}

// NewServer returns the server that answers other controllers by the handler.
func NewServer(h Handler) (*rpc.Server, error) {
	srv := rpc.NewServer()
	if err := srv.RegisterName(serviceName, &service{h}); err != nil {
		return nil, fmt.Errorf("register rpc: %w", err)
	}
	return srv, nil
}

// acceptPause is how long Serve waits after a failed accept: without a free file descriptor, accept
// fails at once, and Serve would spin.
const acceptPause = 50 * time.Millisecond

// Serve answers peers on l until l is closed, or ctx ends while no connection can be accepted. Each
// connection is served until the peer closes it.
func Serve(ctx context.Context, l net.Listener, srv *rpc.Server) error {
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			go srv.ServeConn(conn)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			slog.Warn("connection of a peer could not be accepted", "err", err)
			if !timeralign.Sleep(ctx, acceptPause) {
				return nil
			}
		}
	}
}
