package faultnet

import "time"

// setLink begins or ends a fault of the link from one party to another.
func setLink(links map[link]bool, from, to string, on bool) {
	if on {
		links[link{from, to}] = true
	} else {
		delete(links, link{from, to})
	}
}

// Partition begins or ends a partition between two parties, in both directions. Requests between them hang
// until they time out. When it begins, both parties lose all their connections to other controllers, even to
// those that remain reachable.
func (n *Network) Partition(a, b string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	setLink(n.faults.partitioned, a, b, on)
	setLink(n.faults.partitioned, b, a, on)
	if on {
		n.closeConns(a)
		n.closeConns(b)
	}
}

// DropResponses drops the responses to requests from one party to another. The requests are executed.
func (n *Network) DropResponses(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	setLink(n.faults.dropResponses, from, to, on)
}

// RefuseRequests answers requests from one party to another with 503 without carrying them out.
func (n *Network) RefuseRequests(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	setLink(n.faults.refused, from, to, on)
}

// DropRequests drops requests from one party to another. They are never executed.
func (n *Network) DropRequests(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	setLink(n.faults.dropRequests, from, to, on)
}

// SetLateDeliveryShare sets the share, from 0 to 1, of the requests caught in a partition that are
// delivered up to maxLateness later.
func (n *Network) SetLateDeliveryShare(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults.lateDelivery = share
}

// SetExtraLatency makes every link slower by up to extra each way.
func (n *Network) SetExtraLatency(extra time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults.extraLatency = extra
}

// DelayCommits makes a share of the commits, from 0 to 1, get no response. They are executed 2 to 12 s
// later, which may be after newer commits, or at once if atOnce is set.
func (n *Network) DelayCommits(share float64, atOnce bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults.delayedCommits, n.faults.commitsAtOnce = share, atOnce
}

// DelayDirectCommands makes a share of the direct commands, from 0 to 1, get no response. They are carried
// out 2 to 16 s later, which may be after those of newer leaders.
func (n *Network) DelayDirectCommands(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults.delayedCommands = share
}

// Heal ends all faults, resumes paused processes and removes the observer. The share of late deliveries
// stays: it has no effect without a partition.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observer = nil
	for name := range n.paused {
		n.setPaused(name, false)
	}
	clear(n.faults.partitioned)
	clear(n.faults.dropResponses)
	clear(n.faults.refused)
	clear(n.faults.dropRequests)
	n.faults.extraLatency, n.faults.delayedCommits, n.faults.delayedCommands = 0, 0, 0
}

// isRefused reports whether requests on a link are refused now.
func (n *Network) isRefused(l link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults.refused[l]
}
