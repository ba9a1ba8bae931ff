package httpapi

import (
	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/relay"
)

// heartbeat answers a worker's heartbeat. If it came on a connection of the reserve and the workers'
// slots on the reserve are taken, the worker is redirected to another node.
func (s *Server) heartbeat(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	ctx := c.Request().Context()
	pressure := s.Connections.Pressure(ctx)
	if pressure == relay.Full {
		if !s.Connections.WorkerReserve.Acquire() {
			status, answer := EncodeHeartbeatAnswer(nil, errNoWorkerConnection)
			s.Operations.CountRequest("checkin", status)
			return c.JSONBlob(status, answer)
		}
		defer s.Connections.WorkerReserve.Release()
	}
	commands, err := s.Heartbeats.Answer(ctx, body, pressure)
	if _, retryAfter := StatusOf(err); retryAfter > 0 {
		setRetryAfter(c, retryAfter)
	}
	status, answer := EncodeHeartbeatAnswer(commands, err)
	s.Operations.CountRequest("checkin", status)
	return c.JSONBlob(status, answer)
}
