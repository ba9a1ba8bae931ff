package faultnet

import "strings"

// PauseProcess pauses a party's process, or lets it go on. To others it is a process that gets no
// processor while its clocks run on: what it has asked for is carried out, and it learns so when
// it goes on, late or as a time-out; what it was about to send goes out then, and what others
// asked of it is answered then, though they have given up. Its own timers are not stopped, as they
// would be: what it decides meanwhile, without those responses, goes out as well, which is the
// harder trial.
func (n *Network) PauseProcess(name string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setPaused(name, on)
}

// setPaused pauses a party or lets it go on. n.mu is held.
func (n *Network) setPaused(name string, on bool) {
	switch resumed := n.paused[name]; {
	case on && resumed == nil:
		n.paused[name] = make(chan struct{})
	case !on && resumed != nil:
		close(resumed)
		delete(n.paused, name)
	}
}

// waitWhilePaused waits while a party's process is paused. All addresses of a party belong to
// one process: the one named by the part before the port.
func (n *Network) waitWhilePaused(address string) {
	name, _, _ := strings.Cut(address, ":")
	n.mu.Lock()
	resumed := n.paused[name]
	n.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// ObserveRequests calls observer for every request that reaches a party: just before it is
// carried out, and just after, when its response is not yet on its way. A process can be paused at
// a moment of the protocol that way. nil ends it.
func (n *Network) ObserveRequests(observer func(from, to, path string, carriedOut bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observer = observer
}

func (n *Network) notifyObserver(l link, path string, carriedOut bool) {
	n.mu.Lock()
	observer := n.observer
	n.mu.Unlock()
	if observer != nil {
		observer(l.from, l.to, path, carriedOut)
	}
}
