package peer

import "time"

// Ping asks the peer for its state. It records the answer with the time before the call, since the state is at least
// that recent.
func (p *Peer) Ping(args PingArgs) (PingResult, error) {
	startedAt := time.Now()
	var message PingReply
	err := p.call("Ping", args, &message, p.timeout)
	result := message.result()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil || !result.Serving:
		p.servingSince = time.Time{}
	case p.servingSince.IsZero():
		p.servingSince = startedAt
	}
	if err == nil {
		p.lastPing, p.lastPingAt = result, startedAt
	}
	return result, err
}

// ServingFor returns for how long every ping has found the peer serving. It is zero if the last ping failed, or found
// that the peer was not serving.
func (p *Peer) ServingFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servingSince.IsZero() {
		return 0
	}
	return time.Since(p.servingSince)
}

// LastPing returns the last answer to a ping. ok is false if there is none, or if that ping was sent more than maxAge
// ago. The caller must not use the result then.
func (p *Peer) LastPing(maxAge time.Duration) (result PingResult, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastPing, !p.lastPingAt.IsZero() && time.Since(p.lastPingAt) <= maxAge
}
