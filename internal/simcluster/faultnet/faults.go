package faultnet

import "time"

// setLink begins or ends a fault of a link.
func setLink(links map[link]bool, from, to string, on bool) {
	if on {
		links[link{from, to}] = true
	} else {
		delete(links, link{from, to})
	}
}

// Partition cuts two parties off from each other in both directions, or joins them again. What
// one sends to the other hangs, and their connections close.
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

// DropResponses loses the responses to what one party asks another: the requests are carried out.
func (n *Network) DropResponses(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	setLink(n.faults.dropResponses, from, to, on)
}

// RefuseRequests answers 503 to what one party asks another; it is not carried out.
func (n *Network) RefuseRequests(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	setLink(n.faults.refuse, from, to, on)
}

// DropRequests loses what one party asks another, for good.
func (n *Network) DropRequests(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	setLink(n.faults.dropRequests, from, to, on)
}

// SetLateDeliveryShare sets the share, from 0 to 1, of the requests lost to a partition that are
// delivered later.
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

// DelayCommits lets a share of the commits get no response: they are carried out 2 to 12 s later,
// after newer ones, or at once.
func (n *Network) DelayCommits(share float64, atOnce bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults.delayedCommits, n.faults.commitsAtOnce = share, atOnce
}

// DelayDirectCommands holds up a share of the direct commands: they get no response and are
// carried out 2 to 16 s later, after those of newer leaders.
func (n *Network) DelayDirectCommands(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults.delayedCommands = share
}

// Heal ends all faults, lets paused processes go on and takes the observer off. The share of late
// deliveries stays: it is no fault without a partition.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observer = nil
	for name := range n.paused {
		n.setPaused(name, false)
	}
	clear(n.faults.partitioned)
	clear(n.faults.dropResponses)
	clear(n.faults.refuse)
	clear(n.faults.dropRequests)
	n.faults.extraLatency, n.faults.delayedCommits, n.faults.delayedCommands = 0, 0, 0
}

// isRefused reports whether requests on a link are refused now.
func (n *Network) isRefused(l link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults.refuse[l]
}
