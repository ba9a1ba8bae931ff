package peer

import (
	"fmt"
	"net"
	"time"
)

// writeDeadlineConn is a connection whose writes fail after a timeout. net/rpc writes a call while it holds the client's
// lock: without a deadline, a peer that reads nothing would block all callers once the socket's buffer is full.
type writeDeadlineConn struct {
	net.Conn
	timeout time.Duration
}

// Write writes data within the timeout.
func (c writeDeadlineConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, fmt.Errorf("set the deadline of a write: %w", err)
	}
	return c.Conn.Write(data)
}
