package faultnet

import (
	"net"
	"time"
)

const (
	// forwardQueueSize is how many chunks of a connection may wait for a paused party before writes to the
	// connection block.
	forwardQueueSize = 1 << 12
	// forwardBufferSize is the largest size of a chunk in bytes.
	forwardBufferSize = 1 << 12
)

// DialPeer returns the function with which a party dials the peer servers of other controllers.
func (n *Network) DialPeer(from string) func(address string, timeout time.Duration) (net.Conn, error) {
	return func(address string, _ time.Duration) (net.Conn, error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		server := n.peerServers[address]
		if server == nil || n.faults.partitioned[link{from, address}] {
			return nil, errNoResponse
		}
		dialed, dialedInner := net.Pipe()
		servedInner, served := net.Pipe()
		n.conns[from] = append(n.conns[from], dialed)
		n.conns[address] = append(n.conns[address], served)
		go n.forward(dialedInner, servedInner, from, address)
		go n.forward(servedInner, dialedInner, address, from)
		go server.ServeConn(served)
		return dialed, nil
	}
}

// forward copies data from src to dst while neither party is paused. While one is paused, it queues up to
// forwardQueueSize chunks, so that the sender's writes do not block.
func (n *Network) forward(src, dst net.Conn, from, to string) {
	sent := make(chan []byte, forwardQueueSize)
	go func() {
		for data := range sent {
			n.waitWhilePaused(from)
			n.waitWhilePaused(to)
			if _, err := dst.Write(data); err != nil {
				break
			}
		}
		_ = dst.Close()  // the end of a pipe: closing it cannot fail
		for range sent { // drain the queue, so that the loop below does not block on it
		}
	}()
	defer close(sent)
	for {
		data := make([]byte, forwardBufferSize)
		count, err := src.Read(data)
		if err != nil {
			return
		}
		sent <- data[:count]
	}
}
