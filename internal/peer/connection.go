package peer

import (
	"errors"
	"fmt"
	"net/rpc"
	"time"
)

// errTimeout means that the peer did not answer a call within the timeout.
var errTimeout = errors.New("peer did not answer in time")

// call calls a method of the peer. After any error, also a timeout, it closes the connection, and the next call opens
// a new one.
func (p *Peer) call(method string, args, reply any, timeout time.Duration) error {
	client, err := p.connect()
	if err != nil {
		return err
	}
	call := client.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		if err = call.Error; err == nil {
			return nil
		}
	case <-timer.C:
		err = errTimeout
	}
	p.disconnect(client)
	return fmt.Errorf("%s.%s at %s: %w", serviceName, method, p.Label, err)
}

// connect returns the client of the open connection, or of a new one. It dials without holding p.mu, so that LastPing
// and other methods do not wait for an unreachable peer.
func (p *Peer) connect() (*rpc.Client, error) {
	p.mu.Lock()
	client := p.client
	p.mu.Unlock()
	if client != nil {
		return client, nil
	}
	conn, err := p.dial(p.addr, p.timeout)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", p.Label, err)
	}
	client = rpc.NewClient(writeDeadlineConn{conn, p.timeout})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client != nil { // a concurrent call has connected first
		closeClient(client)
		return p.client, nil
	}
	p.client = client
	return client, nil
}

// disconnect closes a client's connection. If it is the peer's current one, the next call opens a new one.
func (p *Peer) disconnect(client *rpc.Client) {
	p.mu.Lock()
	if p.client == client {
		p.client = nil
	}
	p.mu.Unlock()
	closeClient(client)
}

// Close closes the connection to the peer, if there is one.
func (p *Peer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client != nil {
		closeClient(p.client)
		p.client = nil
	}
}

// closeClient closes a connection that is no longer used. It ignores the error, which only means that the connection
// was already closed or broken.
func closeClient(client *rpc.Client) { _ = client.Close() }
