package peer

import (
	"errors"
	"fmt"
	"net/rpc"
	"time"
)

// errTimeout means that a call got no answer within its time-out.
var errTimeout = errors.New("peer did not answer in time")

// call calls a method of the peer. After an error, a time-out included, the connection is closed,
// and the next call opens another one.
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

// connect returns the client of the open connection, or of a new one. It dials without p.mu, so that
// LastPing and others do not wait for a peer that is not reached.
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
	client = rpc.NewClient(conn)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client != nil { // another call was faster
		closeClient(client)
		return p.client, nil
	}
	p.client = client
	return client, nil
}

// disconnect closes a connection, and forgets it if it is still the peer's.
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

// closeClient closes a connection that is not used any more. An error only says that it was closed
// or broken before.
func closeClient(client *rpc.Client) { _ = client.Close() }
