package peer

import "time"

// Ping asks the peer for its state and records the answer, with the time before the call: the state is
// at least that recent.
func (p *Peer) Ping(args PingArgs) (PingResult, error) {
	begun := time.Now()
	var message PingReply
	err := p.call("Ping", args, &message, p.timeout)
	result := message.result()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil || !result.Serving:
		p.servingSince = time.Time{}
	case p.servingSince.IsZero():
		p.servingSince = begun
	}
	if err == nil {
		p.lastPing, p.lastPingAt = result, begun
	}
	return result, err
}

// ServingFor returns for how long every ping has found the peer serving; zero if the last one failed or
// found it not serving.
func (p *Peer) ServingFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servingSince.IsZero() {
		return 0
	}
	return time.Since(p.servingSince)
}

// LastPing returns the answer to the last ping that was answered. ok is false if there is none, or if
// that ping was sent more than maxAge ago; the result is then not to be used.
func (p *Peer) LastPing(maxAge time.Duration) (result PingResult, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastPing, !p.lastPingAt.IsZero() && time.Since(p.lastPingAt) <= maxAge
}
