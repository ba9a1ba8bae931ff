package node

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/admission"
	"lotusstile.dev/lotusstile/internal/controller"
	"lotusstile.dev/lotusstile/internal/httpapi"
	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/relay"
	"lotusstile.dev/lotusstile/internal/workerlease"
	"lotusstile.dev/lotusstile/wire"
)

// heartbeats answers workers: as the leader, or as a follower that redirects the worker
// to the leader, relays its heartbeat, or renews its lease on the leader's behalf.
type heartbeats struct {
	*leadership
	leases   *workerlease.Renewer
	load     *admission.LoadMonitor
	relays   *relays
	renewals *renewals

	mu       sync.Mutex
	contacts map[string]contact // by machine, for relaysSingly
}

// origin is the way that a heartbeat took to this node.
type origin struct {
	direct   bool   // the worker itself sent it here
	follower string // label of the follower that relays it in a batch; "" if it is relayed singly
	// pressure is how short of connections the node is that the worker sent it to.
	pressure relay.Pressure
}

// Answer decides the answer to a heartbeat that a worker has sent to this node. Its error is a
// *httpapi.MalformedError, or one of those of answer.
func (h *heartbeats) Answer(ctx context.Context, body []byte, pressure relay.Pressure) (*wire.Commands, error) {
	return h.parseAndAnswer(ctx, body, origin{direct: true, pressure: pressure})
}

// answerSingle answers one heartbeat that a follower relays outside batches, with the status and
// the body of the HTTP answer to the worker.
func (h *heartbeats) answerSingle(ctx context.Context, body []byte) (status int, answer []byte) {
	if h.controller() == nil {
		return http.StatusMisdirectedRequest, nil
	}
	return httpapi.EncodeHeartbeatAnswer(h.parseAndAnswer(ctx, body, origin{}))
}

// answerBatched answers one heartbeat of a batch that a follower relays.
func (h *heartbeats) answerBatched(
	ctx context.Context, heartbeat *wire.Heartbeat, follower string, pressure relay.Pressure,
) peer.HeartbeatAnswer {
	answer := peer.HeartbeatAnswer{Host: heartbeat.Host, Incarnation: heartbeat.Incarnation, Sequence: heartbeat.Sequence}
	commands, err := h.answer(ctx, heartbeat, nil, origin{follower: follower, pressure: pressure})
	answer.Status, _ = httpapi.StatusOf(err)
	if err == nil {
		answer.Response = *commands
		return answer
	}
	var redirect *httpapi.RedirectError
	if errors.As(err, &redirect) {
		answer.Redirect = wire.Redirect{Leader: redirect.Leader}
	}
	return answer
}

func (h *heartbeats) parseAndAnswer(ctx context.Context, body []byte, from origin) (*wire.Commands, error) {
	heartbeat, err := wire.ParseHeartbeat(body)
	if err != nil {
		return nil, &httpapi.MalformedError{Err: err}
	}
	return h.answer(ctx, &heartbeat, body, from)
}

// answer decides the answer to a heartbeat, whichever way it came. Commands without an error renew
// the worker's lease. The error is workerlease.ErrStale, or one of those of commands.
func (h *heartbeats) answer(ctx context.Context, heartbeat *wire.Heartbeat, body []byte, from origin) (*wire.Commands, error) {
	// This check comes first: a heartbeat that would not be answered in the end must not change
	// what the leader knows of the machine.
	if err := h.leases.CheckFresh(); err != nil {
		return nil, err
	}
	commands, err := h.commands(ctx, heartbeat, body, from)
	if err != nil {
		return nil, err
	}
	if err := h.leases.Renew(heartbeat, commands); err != nil {
		return nil, err
	}
	return commands, nil
}

// commands returns the commands for a worker. Its error is a *httpapi.RedirectError if the worker
// has to send its heartbeats elsewhere, or httpapi.ErrNoTerm if no answer can be given now.
func (h *heartbeats) commands(ctx context.Context, heartbeat *wire.Heartbeat, body []byte, from origin) (*wire.Commands, error) {
	if c := h.controller(); c != nil {
		return h.leaderCommands(ctx, c, heartbeat, from)
	}
	if !from.direct {
		return nil, &httpapi.RedirectError{}
	}
	p := h.leader()
	if p == nil {
		return h.renewals.answer(heartbeat)
	}
	if h.relays.wantedBy(p) {
		return h.relayBatched(ctx, p, heartbeat, body, from.pressure)
	}
	if !h.relaysSingly(heartbeat.Host) {
		return nil, &httpapi.RedirectError{Leader: p.Label}
	}
	if commands, ok := relaySingly(p, body); ok {
		return commands, nil
	}
	return h.renewals.answer(heartbeat)
}

// leaderCommands is the leader's own answer to a heartbeat.
func (h *heartbeats) leaderCommands(
	ctx context.Context, c *controller.Controller, heartbeat *wire.Heartbeat, from origin,
) (*wire.Commands, error) {
	single := !from.direct && from.follower == ""
	if !single {
		at := from.follower
		if from.direct {
			at = h.cfg.Label
		}
		if to := h.relays.route(heartbeat, at, from.pressure); to != "" {
			return nil, &httpapi.RedirectError{Leader: to}
		}
	}
	options := controller.HeartbeatOptions{
		Forwarded: single,
		RelayedBy: from.follower,
		MayWait:   !single && from.pressure == relay.Relaxed && !h.load.IsOverloaded(),
	}
	if commands, ok := c.Heartbeat(ctx, heartbeat, options); ok {
		return &commands, nil
	}
	return nil, &httpapi.RedirectError{}
}

// relayBatched relays a worker's heartbeat to the leader in the next batch, and returns the
// leader's answer to it. If the leader is not reached, this node renews the lease on its behalf.
func (h *heartbeats) relayBatched(
	ctx context.Context, leader *peer.Peer, heartbeat *wire.Heartbeat, body []byte, pressure relay.Pressure,
) (*wire.Commands, error) {
	last, ok := leader.LastPing(h.cfg.LeaderLeaseTTL())
	if !ok {
		return h.renewals.answer(heartbeat)
	}
	a, err := h.relays.sender.Relay(ctx, relay.Leader{Label: leader.Label, Term: last.Term}, heartbeat, body, pressure)
	switch {
	case errors.Is(err, relay.ErrSuperseded):
		return nil, httpapi.ErrNoTerm // the worker has sent a newer heartbeat and waits for that answer
	case err != nil:
		return h.renewals.answer(heartbeat)
	case a.Status == http.StatusOK:
		return &a.Response, nil
	case a.Status == http.StatusMisdirectedRequest:
		return nil, &httpapi.RedirectError{Leader: a.Redirect.Leader}
	}
	return nil, httpapi.ErrNoTerm // the leader cannot answer now
}

// relaySingly relays the body of a heartbeat to the leader at once. The result is false
// if the leader is not reached or answers without commands.
func relaySingly(leader *peer.Peer, body []byte) (*wire.Commands, bool) {
	reply, err := leader.RelayHeartbeat(body)
	if err != nil || reply.Status != http.StatusOK {
		return nil, false
	}
	var commands wire.Commands
	if err := wire.Decode(reply.Body, &commands); err != nil {
		slog.Error("relayed answer cannot be read", "peer", leader.Label, "err", err)
		return nil, false
	}
	return &commands, true
}

// contact records how a follower has answered a machine whose heartbeats it does not relay in batches.
type contact struct {
	relayed    time.Time // when its first heartbeat was relayed
	redirected time.Time // when a later heartbeat was redirected to the leader
	until      time.Time // the machine came back from the leader: its heartbeats are relayed until then
}

// relaysSingly decides, and records, whether a machine's heartbeat is relayed to the leader (true)
// or the machine is redirected there (false). A machine that turns to this node may have spent
// seconds of its lease on a leader that it cannot reach, and a redirect would cost it as many again:
// its first heartbeat is relayed. If it comes back after a redirect, its heartbeats are relayed for
// three leases.
func (h *heartbeats) relaysSingly(host string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, lease := time.Now(), h.cfg.WorkerLease()
	c := h.contacts[host]
	switch {
	case now.Before(c.until):
		return true
	case now.Sub(c.redirected) < lease:
		c.until = now.Add(3 * lease)
	case now.Sub(c.relayed) < lease:
		c = contact{redirected: now}
	default:
		c = contact{relayed: now}
	}
	h.contacts[host] = c
	return c.redirected != now
}
