package faultnet

import "strings"

// PauseProcess pauses a party's process, or resumes it. To others it is a process that gets no processor
// time while the clock runs on. Its requests in flight are carried out, and it receives the responses, or
// time-outs, when it is resumed. What it was about to send is sent then, and requests to it are carried
// out then, though their senders have given up. Unlike those of a process that is really paused, its
// timers run on: what it decides meanwhile, without those responses, is sent as well, which is the harder
// test.
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

// ObserveRequests calls observer for every request that reaches a party: just before it is carried out,
// and just after, before its response is sent. Tests use it to pause a process at a given step of the
// protocol. A nil observer ends it.
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
