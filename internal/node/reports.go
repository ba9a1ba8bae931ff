package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/controller"
	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/relay"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// heartbeat answers a worker: the leader itself, or a follower that sends the
// worker to the leader, relays its report, or keeps its lease.
func (n *Node) heartbeat(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	ctx := c.Request().Context()
	from := source{direct: true, pressure: n.pressure(ctx)}
	if from.pressure == relay.Full {
		if !enter(&n.reserve.workers, n.reserve.mostWorkers) {
			n.count("checkin", errNoRoom.status)
			return c.JSONBlob(errNoRoom.status, errNoRoom.body())
		}
		defer n.reserve.workers.Add(-1)
	}
	status, answer := n.answerReport(ctx, body, from)
	if status == http.StatusServiceUnavailable {
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(1))
	}
	n.count("checkin", status)
	return c.JSONBlob(status, answer)
}

// RelayHeartbeat answers a report that a peer relays.
func (n *Node) RelayHeartbeat(a peer.CheckInArgs) peer.CheckInReply {
	if n.lead.Load() == nil {
		return peer.CheckInReply{Status: http.StatusMisdirectedRequest}
	}
	status, answer := n.answerReport(context.Background(), a.Body, source{})
	return peer.CheckInReply{Status: status, Body: answer}
}

// source is how a report has come to this node.
type source struct {
	direct bool   // from the worker itself
	relay  string // label of the follower that relays it in a batch; "": it is passed on singly
	// pressure is how short of connections the node is that the worker reports to.
	pressure relay.Pressure
}

// decision is how a report is answered: one of the three beside status.
type decision struct {
	status   int
	orders   *wire.Commands
	redirect *wire.Redirect
	fault    *wire.ErrorResponse
}

// body is the decision as it is sent to a worker.
func (d *decision) body() []byte {
	switch {
	case d.orders != nil:
		return encode(d.orders)
	case d.redirect != nil:
		return encode(d.redirect)
	}
	return encode(d.fault)
}

func (n *Node) answerReport(ctx context.Context, body []byte, from source) (int, []byte) {
	r, err := wire.ParseHeartbeat(body)
	if err != nil {
		return http.StatusBadRequest, encode(wire.ErrorResponse{Error: err.Error()})
	}
	d := n.decide(ctx, &r, body, from)
	return d.status, d.body()
}

// decide finds the answer to a report, whichever way it has come.
func (n *Node) decide(ctx context.Context, r *wire.Heartbeat, body []byte, from source) decision {
	stale := decision{status: http.StatusServiceUnavailable, fault: &errStale}
	// What could not be answered in the end is not taken into the picture.
	if n.tooOld(n.jobCache.Fresh()) {
		return stale
	}
	o, to := n.orders(ctx, r, body, from)
	switch {
	case to != nil:
		return decision{status: http.StatusMisdirectedRequest, redirect: to}
	case o == nil:
		return decision{status: http.StatusServiceUnavailable, fault: &wire.ErrorResponse{Error: "no answer can be given yet"}}
	case !n.renew(r, o):
		return stale
	}
	return decision{status: http.StatusOK, orders: o}
}

var errStale = wire.ErrorResponse{Error: "what is known of withdrawals is too old to renew a lease on"}

// tooOld reports whether knowledge of all withdrawals up to a time is too old to
// renew a lease on.
func (n *Node) tooOld(fresh time.Time) bool { return time.Since(fresh) > n.cfg.KnowledgeLimit() }

// renew is passed by every answer that renews a lease, whichever node and path
// it comes from: this is the one place that decides that it may, and that stops
// what is withdrawn. A withdrawal is either known here, and then the task is
// stopped by this answer, or it came after the read that the knowledge stems
// from, and then that read is young enough for the task to die by its lease
// within cancel_s. The lease counts from when the report was sent, which was
// before this: how long the answer takes from here on does not matter.
func (n *Node) renew(r *wire.Heartbeat, o *wire.Commands) bool {
	uids := make([]string, 0, len(r.Tasks)+len(o.Commands))
	for _, l := range r.Tasks {
		if uid, _, ok := wire.SplitTaskName(l.Task); ok && l.Status != wire.TaskEnded {
			uids = append(uids, uid)
		}
	}
	for _, w := range o.Commands {
		if uid, _, ok := wire.SplitTaskName(w.Task); ok && w.Verb == wire.Launch {
			uids = append(uids, uid)
		}
	}
	// Both are learned at once: a withdrawal that came between would be lost.
	cancelled, fresh := n.jobCache.Cancelled(uids)
	if n.tooOld(fresh) {
		return false
	}
	if len(cancelled) == 0 {
		return true
	}
	gone := func(task string) bool {
		uid, _, _ := wire.SplitTaskName(task)
		return cancelled[uid]
	}
	stops := map[wire.Command]bool{}
	for _, l := range r.Tasks {
		if l.Status != wire.TaskEnded && gone(l.Task) {
			stops[wire.Command{Verb: wire.Stop, Task: l.Task, Attempt: l.Attempt}] = true
		}
	}
	o.Commands = slices.DeleteFunc(o.Commands, func(w wire.Command) bool {
		w.GracePeriodS = 0
		return w.Verb == wire.Launch && gone(w.Task) || stops[w]
	})
	for w := range stops {
		o.Commands = append(o.Commands, w)
	}
	return true
}

// orders finds the answer to a report: orders, or where else to report. With
// neither, no term is known yet.
func (n *Node) orders(ctx context.Context, r *wire.Heartbeat, body []byte, from source) (*wire.Commands, *wire.Redirect) {
	if c := n.lead.Load(); c != nil {
		return n.leaderOrders(ctx, c, r, from)
	}
	if !from.direct {
		return nil, &wire.Redirect{}
	}
	if p := n.leader(); p != nil {
		if n.relaying(p) {
			return n.relayReport(ctx, p, r, body, from.pressure)
		}
		if !n.relaysSingly(r.Host) {
			return nil, &wire.Redirect{Leader: p.Label}
		}
		if reply, err := p.RelayHeartbeat(body); err == nil && reply.Status == http.StatusOK {
			var o wire.Commands
			if err := wire.Decode(reply.Body, &o); err == nil {
				return &o, nil
			}
			slog.Error("relayed answer cannot be read", "peer", p.Label, "err", err)
		}
	}
	return n.renewForLeader(r)
}

// leaderOrders is the leader's own answer to a report.
func (n *Node) leaderOrders(ctx context.Context, c *controller.Controller, r *wire.Heartbeat, from source) (*wire.Commands, *wire.Redirect) {
	single := !from.direct && from.relay == ""
	if !single {
		at := from.relay
		if from.direct {
			at = n.cfg.Label
		}
		if to := n.route(r, at, from.pressure); to != "" {
			return nil, &wire.Redirect{Leader: to}
		}
	}
	opts := controller.HeartbeatOptions{Relayed: single, Via: from.relay, MayWait: !single && from.pressure == relay.Relaxed && !n.load.behind.Load()}
	if o, ok := c.Heartbeat(ctx, r, opts); ok {
		return &o, nil
	}
	return nil, &wire.Redirect{}
}

// contact is how a follower has answered a machine.
type contact struct {
	relayed    time.Time // the first report was relayed
	redirected time.Time // a later one was sent to the leader
	until      time.Time // it came back from there: its reports are relayed till then
}

// relaysSingly decides whether a machine's report is relayed to the leader or the
// machine is sent there. A machine that comes may have lost seconds of its
// lease to a leader that it cannot reach, and would lose as many again: its
// first report is relayed. If it comes back from the leader, so are the next.
func (n *Node) relaysSingly(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, lease := time.Now(), n.cfg.WorkerLease()
	c := n.contacts[host]
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
	n.contacts[host] = c
	return c.redirected != now
}

// renewForLeader answers for a leader that this node cannot reach: the lease goes
// on and nothing is launched. A worker that has seen a newer token than the state
// service or a leader has told this node has been reached by that token's leader,
// past this node: it is sent to look for it. The others keep the token that this node
// knows. A deposed leader that had lost the state service and its peers gave all its
// workers the new token as soon as the first of them had heard it, and so kept a whole
// fleet from the new leader, which took it for lost.
func (n *Node) renewForLeader(r *wire.Heartbeat) (*wire.Commands, *wire.Redirect) {
	v := n.elector.View()
	if !v.Synced || v.Known == 0 {
		return nil, nil
	}
	if r.FencingToken > v.Known {
		n.elector.ObserveTerm(r.FencingToken, "")
		return nil, &wire.Redirect{}
	}
	n.mu.Lock()
	if _, ok := n.renewedLeases[r.Host]; !ok {
		slog.Info("keeping a lease in the leader's place", "host", r.Host, "term", v.Known)
	}
	n.renewedLeases[r.Host] = time.Now()
	n.mu.Unlock()
	return &wire.Commands{FencingToken: v.Known, Commands: []wire.Command{}}, nil
}

// publishRenewedLeases writes which machines this node answers while it cannot reach
// the leader, where the leader can read it.
func (n *Node) publishRenewedLeases(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(n.cfg.WorkerLease() / 5)
		ids := n.renewedHosts()
		if len(ids) == 0 || n.lead.Load() != nil || n.leader() != nil || !n.serving() {
			continue
		}
		for i := 0; len(ids) > 0; i++ {
			part := records.FitNames(ids, n.cfg.ValueBytes())
			ids = ids[len(part):]
			key := fmt.Sprintf("%s%s/%d", records.RenewedLeasesPrefix, n.cfg.Label, i)
			if _, err := n.store.Commit(store.User(ctx, 0), wire.Transaction{Changes: []wire.Change{{Set: key, Value: records.Encode(records.RenewedLeases{Hosts: part})}}}); err != nil {
				slog.Debug("kept machines not published", "err", err)
			}
		}
	}
}

func (n *Node) renewedHosts() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var ids []string
	now := time.Now()
	for id, at := range n.renewedLeases {
		if now.Sub(at) < n.cfg.LeaderLeaseTTL() {
			ids = append(ids, id)
		} else {
			delete(n.renewedLeases, id)
		}
	}
	return ids
}

// renewedByPeers is which machines peers answer in the leader's place.
func (n *Node) renewedByPeers() []string {
	var ids []string
	for _, p := range n.peers {
		if r, ok := p.LastPing(n.cfg.LeaderLeaseTTL()); ok {
			ids = append(ids, r.RenewedHosts...)
		}
	}
	return ids
}

// reached is the zones of the controllers that answer, this one's own included.
func (n *Node) reached() []string {
	zones := []string{n.cfg.Location}
	for _, p := range n.peers {
		if _, ok := p.LastPing(n.cfg.LeaderLeaseTTL()); ok {
			zones = append(zones, p.Location)
		}
	}
	return zones
}

// Announce tells a worker a token by an empty direct command.
func (n *Node) Announce(ctx context.Context, address string, token, incarnation uint64) (wire.Heartbeat, error) {
	body, err := json.Marshal(wire.DirectCommands{FencingToken: token, Incarnation: incarnation, Commands: []wire.Command{}})
	if err != nil {
		return wire.Heartbeat{}, fmt.Errorf("encode: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/do", bytes.NewReader(body))
	if err != nil {
		return wire.Heartbeat{}, fmt.Errorf("request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := n.workers.Do(req)
	if err != nil {
		return wire.Heartbeat{}, fmt.Errorf("announce: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 4*wire.MaxBody))
	if err != nil {
		return wire.Heartbeat{}, fmt.Errorf("announce: %w", err)
	}
	return wire.ParseHeartbeat(data)
}
