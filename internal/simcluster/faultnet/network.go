// Package faultnet is a simulated network that carries requests and connections between named
// parties, and simulates faults: partitions, dropped requests and responses, refusals, latency, late
// delivery and paused processes. All random choices are drawn from one source, so that a seed gives the
// same faults.
package faultnet

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"
)

// Network carries requests between parties by their names. It is safe for concurrent use.
type Network struct {
	mu          sync.Mutex
	rng         *rand.Rand
	handlers    map[string]http.Handler
	peerServers map[string]*rpc.Server
	conns       map[string][]net.Conn // by controller: its ends of the connections to other controllers
	faults      faults
	paused      map[string]chan struct{} // by party; closed when it is resumed
	observer    func(from, to, path string, executed bool)
}

// faults holds the faults that are simulated now. Heal ends all but lateDelivery.
type faults struct {
	partitioned     map[link]bool // requests hang
	dropResponses   map[link]bool
	refused         map[link]bool // answered 503
	dropRequests    map[link]bool
	lateDelivery    float64       // share of the requests caught in a partition that are delivered later
	extraLatency    time.Duration // the maximum, each way
	delayedCommits  float64       // share of commits that get no response
	commitsAtOnce   bool          // delayed commits are executed at once, not 2 to 12 s later
	delayedCommands float64       // share of direct commands that are delivered late
}

// link is the direction from one party to another.
type link struct{ from, to string }

// defaultLateDelivery is the share of the requests caught in a partition that are delivered later.
const defaultLateDelivery = 0.5

// New returns a network without faults that draws its random choices from rng.
func New(rng *rand.Rand) *Network {
	return &Network{
		rng:         rng,
		handlers:    map[string]http.Handler{},
		peerServers: map[string]*rpc.Server{},
		conns:       map[string][]net.Conn{},
		paused:      map[string]chan struct{}{},
		faults: faults{
			partitioned:   map[link]bool{},
			dropResponses: map[link]bool{},
			refused:       map[link]bool{},
			dropRequests:  map[link]bool{},
			lateDelivery:  defaultLateDelivery,
		},
	}
}

// RandIntN draws a number from 0 to limit-1 from the network's random source.
func (n *Network) RandIntN(limit int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.IntN(limit)
}

// Attach makes a party reachable under a name: handler serves requests to it, and peerServer serves connections
// from other controllers. A nil handler removes the party from the network and closes its connections.
func (n *Network) Attach(name string, handler http.Handler, peerServer *rpc.Server) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[name], n.peerServers[name] = handler, peerServer
	if handler == nil {
		n.closeConns(name)
	}
}

// handler returns the handler that is attached under a name, nil if there is none.
func (n *Network) handler(name string) http.Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handlers[name]
}

// closeConns closes a party's connections to other controllers. n.mu is held.
func (n *Network) closeConns(name string) {
	for _, conn := range n.conns[name] {
		_ = conn.Close() // the end of a pipe: closing it cannot fail
	}
	delete(n.conns, name)
}
