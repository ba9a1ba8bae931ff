package peer

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/rpc"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

// serviceName names the net/rpc service. It changes when what its methods send or
// take changes in a way that an older release would misread: nodes of different
// releases then cannot reach each other, and work as if they were cut off.
const serviceName = "Controller"

// Handler answers the calls of other controllers.
type Handler interface {
	// ApplyCancellation learns of a committed cancellation.
	ApplyCancellation(c Cancellation)
	// ServeUserRequest answers a user's request that a peer forwards.
	ServeUserRequest(a UserArgs) UserReply
	// LeadStatus is the leader's status, or nil if this node does not lead.
	LeadStatus() *wire.LeadStatus
	Ping(a PingArgs) PingResult
	Counts(a CountsArgs) CountsReply
	// RelayHeartbeat answers one worker's heartbeat that a follower relays by itself.
	RelayHeartbeat(a CheckInArgs) CheckInReply
	// RelayHeartbeats answers a batch of relayed heartbeats.
	RelayHeartbeats(b HeartbeatBatch) (HeartbeatBatchReply, error)
	// FollowState answers a warm standby with a part of the leader's state.
	FollowState(a FollowArgs) (FollowReply, error)
}

// service is what net/rpc registers. Its method names travel, so they keep the names that they
// were first called by; Handler has the current ones.
type service struct{ handler Handler }

// Ping answers a ping.
func (s *service) Ping(a PingArgs, r *PingReply) error {
	*r = s.handler.Ping(a).message()
	return nil
}

// Counts answers a question for the counts of a job's tasks.
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

// User answers a forwarded request of a user.
func (s *service) User(a UserArgs, r *UserReply) error {
	*r = s.handler.ServeUserRequest(a)
	return nil
}

// Withdrawn learns of a committed cancellation.
func (s *service) Withdrawn(a WithdrawnArgs, _ *WithdrawnReply) error {
	s.handler.ApplyCancellation(a.cancellation())
	return nil
}

// Lead answers a question for the leader's status.
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

// NewServer makes the server that answers other controllers.
func NewServer(h Handler) (*rpc.Server, error) {
	srv := rpc.NewServer()
	if err := srv.RegisterName(serviceName, &service{h}); err != nil {
		return nil, fmt.Errorf("register rpc: %w", err)
	}
	return srv, nil
}

// Serve answers peers on l until it closes.
func Serve(l net.Listener, srv *rpc.Server) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			slog.Warn("mesh accept failed", "err", err)
			time.Sleep(50 * time.Millisecond)
			continue
		}
		go srv.ServeConn(conn)
	}
}
