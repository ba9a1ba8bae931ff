package faultnet

import "strings"

// PauseProcess pauses a party's process, or resumes it. To the other parties, a paused process seems to get
// no CPU time while the clock runs on. Its requests in flight are executed, and it receives the responses,
// or timeouts, when it is resumed. What it was about to send is sent at that moment, and requests to it are
// executed at that moment, although their senders may have given up. Unlike the timers of a process that is
// really paused, its timers continue: what it decides meanwhile, without those responses, is sent as well,
// which makes the test harder.
func (n *Network) PauseProcess(name string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setPaused(name, on)
}

// setPaused pauses a party or resumes it. n.mu is held.
func (n *Network) setPaused(name string, on bool) {
	switch resumed := n.paused[name]; {
	case on && resumed == nil:
		n.paused[name] = make(chan struct{})
	case !on && resumed != nil:
		close(resumed)
		delete(n.paused, name)
	}
}

// waitWhilePaused waits while the process that owns an address is paused. The part of the address before the
// port names the process.
func (n *Network) waitWhilePaused(address string) {
	name, _, _ := strings.Cut(address, ":")
	n.mu.Lock()
	resumed := n.paused[name]
	n.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// ObserveRequests makes the network call observer for every request that reaches a party: just before the
// request is executed, and just after that, before the response is sent. Tests use it to pause a process at
// a given step of the protocol. A nil observer ends it.
func (n *Network) ObserveRequests(observer func(from, to, path string, executed bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observer = observer
}

func (n *Network) notifyObserver(l link, path string, executed bool) {
	n.mu.Lock()
	observer := n.observer
	n.mu.Unlock()
	if observer != nil {
		observer(l.from, l.to, path, executed)
	}
}
