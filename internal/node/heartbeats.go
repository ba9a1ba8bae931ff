package node

import (
	"context"
	"errors"
	"log/slog"
	"maps"
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

// heartbeatHandler answers the heartbeats of workers. The leader answers them itself; a follower redirects
// the worker to the leader, relays its heartbeat, or renews its lease on the leader's behalf.
type heartbeatHandler struct {
	*leadership
	leases   *workerlease.Renewer
	load     *admission.LoadMonitor
	relay    *heartbeatRelay
	renewals *leaseRenewals

	mu             sync.Mutex
	relayHistories map[string]relayHistory // by machine; used by shouldRelaySingly
	historiesAged  time.Time               // when expired relayHistories were last removed
}

// origin is the path on which a heartbeat reached this node.
type origin struct {
	direct   bool   // the worker sent the heartbeat to this node
	follower string // label of the follower that relayed the heartbeat in a batch; "" if it was not in a batch
	// pressure is how short of connections the node is to which the worker sent the heartbeat.
	pressure relay.Pressure
}

// Answer decides the answer to a heartbeat that a worker has sent to this node. The error is a
// *httpapi.MalformedError or an error that answer returns.
func (h *heartbeatHandler) Answer(ctx context.Context, body []byte, pressure relay.Pressure) (*wire.Commands, error) {
	return h.parseAndAnswer(ctx, body, origin{direct: true, pressure: pressure})
}

// answerSingle answers one heartbeat that a follower relays outside batches. It returns the status and
// the body of the HTTP answer to the worker.
func (h *heartbeatHandler) answerSingle(ctx context.Context, body []byte) (status int, answer []byte) {
	if h.controller() == nil {
		return http.StatusMisdirectedRequest, nil
	}
	return httpapi.EncodeHeartbeatAnswer(h.parseAndAnswer(ctx, body, origin{}))
}

// answerBatched answers one heartbeat of a batch that a follower relays.
func (h *heartbeatHandler) answerBatched(
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

func (h *heartbeatHandler) parseAndAnswer(ctx context.Context, body []byte, from origin) (*wire.Commands, error) {
	heartbeat, err := wire.ParseHeartbeat(body)
	if err != nil {
		return nil, &httpapi.MalformedError{Err: err}
	}
	return h.answer(ctx, &heartbeat, body, from)
}

// answer decides the answer to a heartbeat from any origin. An answer without an error renews the
// worker's lease. The error is workerlease.ErrStale or an error that commands returns.
func (h *heartbeatHandler) answer(ctx context.Context, heartbeat *wire.Heartbeat, body []byte, from origin) (*wire.Commands, error) {
	// Check first: a heartbeat that Renew would refuse below must not change what the leader knows
	// of the machine.
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

// commands returns the commands for a worker. The error is a *httpapi.RedirectError if the worker
// has to send its heartbeats elsewhere, or httpapi.ErrNoTerm if this node cannot answer now.
func (h *heartbeatHandler) commands(ctx context.Context, heartbeat *wire.Heartbeat, body []byte, from origin) (*wire.Commands, error) {
	if c := h.controller(); c != nil {
		return h.leaderCommands(ctx, c, heartbeat, from)
	}
	if !from.direct {
		return nil, &httpapi.RedirectError{}
	}
	leader := h.leader()
	if leader == nil {
		return h.renewals.renewForLeader(heartbeat)
	}
	if h.relay.isWantedBy(leader) {
		return h.relayBatched(ctx, leader, heartbeat, body, from.pressure)
	}
	if !h.shouldRelaySingly(heartbeat.Host) {
		return nil, &httpapi.RedirectError{Leader: leader.Label}
	}
	if commands, ok := relaySingly(leader, body); ok {
		return commands, nil
	}
	return h.renewals.renewForLeader(heartbeat)
}

// leaderCommands decides the leader's answer to a heartbeat. c is the controller of its term.
func (h *heartbeatHandler) leaderCommands(
	ctx context.Context, c *controller.Controller, heartbeat *wire.Heartbeat, from origin,
) (*wire.Commands, error) {
	relayedSingly := !from.direct && from.follower == ""
	if !relayedSingly {
		arrivedAt := from.follower
		if from.direct {
			arrivedAt = h.cfg.Label
		}
		if target := h.relay.route(heartbeat, arrivedAt, from.pressure); target != "" {
			return nil, &httpapi.RedirectError{Leader: target}
		}
	}
	options := controller.HeartbeatOptions{
		RelayedSingly: relayedSingly,
		RelayedBy:     from.follower,
		MayWait:       !relayedSingly && from.pressure == relay.NoPressure && !h.load.IsOverloaded(),
	}
	if commands, ok := c.Heartbeat(ctx, heartbeat, options); ok {
		return &commands, nil
	}
	return nil, &httpapi.RedirectError{}
}

// relayBatched relays a worker's heartbeat to the leader in the next batch, and returns the
// leader's answer to it. If the leader is unreachable, this node renews the lease on its behalf.
func (h *heartbeatHandler) relayBatched(
	ctx context.Context, leader *peer.Peer, heartbeat *wire.Heartbeat, body []byte, pressure relay.Pressure,
) (*wire.Commands, error) {
	last, ok := leader.LastPing(h.cfg.LeaderLeaseTTL())
	if !ok {
		return h.renewals.renewForLeader(heartbeat)
	}
	answer, err := h.relay.sender.Relay(ctx, relay.Leader{Label: leader.Label, Term: last.Term}, heartbeat, body, pressure)
	switch {
	case errors.Is(err, relay.ErrSuperseded):
		return nil, httpapi.ErrNoTerm // the worker now waits for the answer to a newer heartbeat
	case err != nil:
		return h.renewals.renewForLeader(heartbeat)
	case answer.Status == http.StatusOK:
		return &answer.Response, nil
	case answer.Status == http.StatusMisdirectedRequest:
		return nil, &httpapi.RedirectError{Leader: answer.Redirect.Leader}
	}
	return nil, httpapi.ErrNoTerm // the leader cannot answer now
}

// relaySingly relays the body of a heartbeat to the leader at once, outside batches. The result is false
// if the leader is unreachable or its answer has no commands.
func relaySingly(leader *peer.Peer, body []byte) (*wire.Commands, bool) {
	reply, err := leader.RelayHeartbeat(body)
	if err != nil || reply.Status != http.StatusOK {
		return nil, false
	}
	var commands wire.Commands
	if err := wire.Decode(reply.Body, &commands); err != nil {
		slog.Error("could not decode the leader's answer to a relayed heartbeat", "peer", leader.Label, "err", err)
		return nil, false
	}
	return &commands, true
}

// relayHistory records how this follower has handled the heartbeats of a machine while it did not relay them
// in batches.
type relayHistory struct {
	relayedAt    time.Time // when the first heartbeat was relayed
	redirectedAt time.Time // when a later heartbeat was redirected to the leader
	relayUntil   time.Time // end of the relaying that began when the machine came back after a redirect
}

// relayLeases is for how many worker leases the heartbeats of a machine are relayed that comes back after a redirect.
const relayLeases = 3

// isExpired reports whether a history no longer affects any decision.
func (r *relayHistory) isExpired(now time.Time, lease time.Duration) bool {
	return now.After(r.relayUntil) && now.Sub(r.redirectedAt) >= lease && now.Sub(r.relayedAt) >= lease
}

// removeExpiredHistories removes the histories that no longer affect any decision, at most once a worker lease, so
// that machines that are gone take no memory. The caller holds h.mu.
func (h *heartbeatHandler) removeExpiredHistories(now time.Time) {
	lease := h.cfg.WorkerLease()
	if now.Sub(h.historiesAged) < lease {
		return
	}
	h.historiesAged = now
	maps.DeleteFunc(h.relayHistories, func(_ string, r relayHistory) bool { return r.isExpired(now, lease) })
}

// shouldRelaySingly decides whether a machine's heartbeat is relayed to the leader (true) or the machine is
// redirected to the leader (false), and records the decision. The first heartbeat is relayed: the machine may
// have spent seconds of its lease on a leader that it cannot reach, and a redirect would cost it as many
// again. A machine whose next heartbeat comes within a lease is redirected. If it comes back within a lease
// of the redirect, its heartbeats are relayed for three leases.
func (h *heartbeatHandler) shouldRelaySingly(host string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, lease := time.Now(), h.cfg.WorkerLease()
	h.removeExpiredHistories(now)
	history := h.relayHistories[host]
	switch {
	case now.Before(history.relayUntil):
		return true
	case now.Sub(history.redirectedAt) < lease:
		history.relayUntil = now.Add(relayLeases * lease)
	case now.Sub(history.relayedAt) < lease:
		history = relayHistory{redirectedAt: now}
	default:
		history = relayHistory{relayedAt: now}
	}
	h.relayHistories[host] = history
	return history.redirectedAt != now
}
