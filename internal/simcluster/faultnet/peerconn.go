package faultnet

import (
	"net"
	"time"
)

const (
	// relayQueue is how many chunks of a connection may wait for a paused party before its peer's writes
	// block.
	relayQueue = 1 << 12
	// relayBuffer is the largest size of a chunk in bytes.
	relayBuffer = 1 << 12
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
		dialed, dialedRelay := net.Pipe()
		servedRelay, served := net.Pipe()
		n.conns[from] = append(n.conns[from], dialed)
		n.conns[address] = append(n.conns[address], served)
		go n.relay(dialedRelay, servedRelay, from, address)
		go n.relay(servedRelay, dialedRelay, address, from)
		go server.ServeConn(served)
		return dialed, nil
	}
}

// relay carries data from src to dst while neither party is paused. Writes to src do not wait for that,
// up to relayQueue chunks.
func (n *Network) relay(src, dst net.Conn, from, to string) {
	sent := make(chan []byte, relayQueue)
	go func() {
		for data := range sent {
			n.waitWhilePaused(from)
			n.waitWhilePaused(to)
			if _, err := dst.Write(data); err != nil {
				break
			}
		}
		_ = dst.Close()  // the end of a pipe: closing it cannot fail
		for range sent { // nobody reads any more
		}
	}()
	defer close(sent)
	for {
		data := make([]byte, relayBuffer)
		count, err := src.Read(data)
		if err != nil {
			return
		}
		sent <- data[:count]
	}
}
