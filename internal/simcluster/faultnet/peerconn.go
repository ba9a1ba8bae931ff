package faultnet

import (
	"net"
	"time"
)

const (
	// relayQueue is how many reads of a connection may wait for a paused party.
	relayQueue = 1 << 12
	// relayBuffer is how many bytes are read at once.
	relayBuffer = 1 << 12
)

// DialPeer is how a party dials the servers that are attached for connections between controllers.
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

// relay carries what is sent on a connection: it leaves when the one party goes on and arrives
// when the other does. Nobody's write waits for that.
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
