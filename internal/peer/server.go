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

// serviceName is the name of the net/rpc service. It must change if the messages change in a way that an older release
// would misread: nodes of the two releases then cannot call each other, and treat each other as unreachable.
const serviceName = "Controller"

// Handler answers the calls of other controllers. Its methods are called concurrently.
type Handler interface {
	// ApplyCancellation applies a cancellation that a peer has committed.
	ApplyCancellation(c Cancellation)
	// ServeUserRequest answers a user's request that a peer has forwarded.
	ServeUserRequest(a UserArgs) UserReply
	// LeadStatus returns the leader's status, or nil if this node does not lead.
	LeadStatus() *wire.LeadStatus
	// Ping answers with the state of this node.
	Ping(a PingArgs) PingResult
	// Counts returns the numbers of finished and running tasks of a job.
	Counts(a CountsArgs) CountsReply
	// RelayHeartbeat answers a single heartbeat that a follower relays outside a batch.
	RelayHeartbeat(a CheckInArgs) CheckInReply
	// RelayHeartbeats answers a batch of relayed heartbeats.
	RelayHeartbeats(b HeartbeatBatch) (HeartbeatBatchReply, error)
	// FollowState answers a warm standby with one part of a transfer of the leader's state.
	FollowState(a FollowArgs) (FollowReply, error)
}

// service is registered with net/rpc. The names of its methods are sent with each call and must not change between
// releases. Handler is not part of the protocol, and some of its methods have clearer names.
type service struct{ handler Handler }

// Ping answers a ping.
func (s *service) Ping(a PingArgs, r *PingReply) error {
	*r = s.handler.Ping(a).message()
	return nil
}

// Counts answers a request for the numbers of finished and running tasks of a job.
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

// User answers a user's request that a peer has forwarded.
func (s *service) User(a UserArgs, r *UserReply) error {
	*r = s.handler.ServeUserRequest(a)
	return nil
}

// Withdrawn applies the cancellation of a job that a peer has committed.
func (s *service) Withdrawn(a WithdrawnArgs, _ *WithdrawnReply) error {
	s.handler.ApplyCancellation(a.cancellation())
	return nil
}

// Lead answers a request for the leader's status.
func (s *service) Lead(_ PingArgs, r *LeadReply) error {
	r.Lead = leadStatusMessage(s.handler.LeadStatus())
	return nil
}

// FollowState answers a warm standby's request for one part of a transfer of the leader's state.
func (s *service) FollowState(a FollowArgs, r *FollowReply) error {
	reply, err := s.handler.FollowState(a)
	*r = reply
	return err
}

// NewServer returns a server that passes the calls of other controllers to the handler.
func NewServer(h Handler) (*rpc.Server, error) {
	srv := rpc.NewServer()
	if err := srv.RegisterName(serviceName, &service{h}); err != nil {
		return nil, fmt.Errorf("register the RPC service: %w", err)
	}
	return srv, nil
}

// acceptPause is how long Serve waits after a failed accept. Without the pause, Serve would loop at full speed while
// the process has no free file descriptors, since accept then fails at once.
const acceptPause = 50 * time.Millisecond

// Serve accepts connections from peers on l and serves each until the peer closes it. It returns when l is closed, or
// when ctx ends during the pause after a failed accept.
func Serve(ctx context.Context, l net.Listener, srv *rpc.Server) error {
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			go srv.ServeConn(conn)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			slog.Warn("failed to accept a connection from a peer", "err", err)
			if !timeralign.Sleep(ctx, acceptPause) {
				return nil
			}
		}
	}
}
