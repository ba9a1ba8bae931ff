package api

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/ledger"
	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// checkIn answers a worker: the leader itself, or a follower that sends the
// worker to the leader, relays its report, or keeps its lease.
func (n *Node) checkIn(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	status, answer := n.answerReport(c.Request().Context(), body, true)
	if status == http.StatusServiceUnavailable {
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(1))
	}
	n.count("checkin", status)
	return c.JSONBlob(status, answer)
}

// RelayCheckIn answers a report that a peer relays.
func (n *Node) RelayCheckIn(a peer.CheckInArgs) peer.CheckInReply {
	if n.lead.Load() == nil {
		return peer.CheckInReply{Status: http.StatusMisdirectedRequest}
	}
	status, answer := n.answerReport(context.Background(), a.Body, false)
	return peer.CheckInReply{Status: status, Body: answer}
}

func (n *Node) answerReport(ctx context.Context, body []byte, direct bool) (int, []byte) {
	r, err := wire.ParseReport(body)
	if err != nil {
		return http.StatusBadRequest, encode(wire.Fault{Error: err.Error()})
	}
	// A task that was withdrawn right after the last proven read must still
	// die in time: past that, no lease is renewed.
	if n.store.ProofAge() > n.cfg.ProofLimit() {
		return http.StatusServiceUnavailable, encode(wire.Fault{Error: "the state service was not reached for too long"})
	}
	if c := n.lead.Load(); c != nil {
		if o, ok := c.CheckIn(ctx, &r, direct); ok {
			return http.StatusOK, encode(o)
		}
		return http.StatusMisdirectedRequest, encode(wire.Redirect{})
	}
	if !direct {
		return http.StatusMisdirectedRequest, encode(wire.Redirect{})
	}
	if p := n.leader(); p != nil {
		if !n.relays(r.Host) {
			return http.StatusMisdirectedRequest, encode(wire.Redirect{Dispatcher: p.Label})
		}
		if reply, err := p.CheckIn(body); err == nil && reply.Status == http.StatusOK {
			return reply.Status, reply.Body
		}
	}
	return n.keepLease(&r)
}

// contact is how a follower has answered a machine.
type contact struct {
	relayed    time.Time // the first report was relayed
	redirected time.Time // a later one was sent to the leader
	until      time.Time // it came back from there: its reports are relayed till then
}

// relays decides whether a machine's report is relayed to the leader or the
// machine is sent there. A machine that comes may have lost seconds of its
// lease to a leader that it cannot reach, and would lose as many again: its
// first report is relayed. If it comes back from the leader, so are the next.
func (n *Node) relays(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, lease := time.Now(), n.cfg.Lease()
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

// keepLease answers for a leader that this node cannot reach: the lease goes
// on, nothing is launched, and what is withdrawn is stopped.
func (n *Node) keepLease(r *wire.Report) (int, []byte) {
	v := n.elector.View()
	if !v.Synced || v.Term == 0 {
		return http.StatusServiceUnavailable, encode(wire.Fault{Error: "no term is known yet"})
	}
	if r.Baton > v.Term {
		n.elector.Saw(r.Baton, "")
		return http.StatusMisdirectedRequest, encode(wire.Redirect{})
	}
	o := wire.Orders{Baton: v.Term, Orders: []wire.Order{}}
	for _, l := range r.Legs {
		if uid, _, ok := wire.SplitLeg(l.Leg); ok && l.Status != wire.LegEnded && n.mirror.Aborted(uid) {
			o.Orders = append(o.Orders, wire.Order{Verb: wire.Stop, Leg: l.Leg, Try: l.Try})
		}
	}
	n.mu.Lock()
	if _, ok := n.kept[r.Host]; !ok {
		slog.Info("keeping a lease in the leader's place", "host", r.Host, "term", v.Term)
	}
	n.kept[r.Host] = time.Now()
	n.mu.Unlock()
	return http.StatusOK, encode(o)
}

// publishKept writes which machines this node answers while it cannot reach
// the leader, where the leader can read it.
func (n *Node) publishKept(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(n.cfg.Lease() / 5)
		ids := n.keptLately()
		if len(ids) == 0 || n.lead.Load() != nil || n.leader() != nil || !n.serving() {
			continue
		}
		for i := 0; len(ids) > 0; i++ {
			part := ledger.FitHosts(ids, n.cfg.ValueBytes())
			ids = ids[len(part):]
			key := fmt.Sprintf("%s%s/%d", ledger.KeptPrefix, n.cfg.Label, i)
			if _, err := n.store.Commit(store.User(ctx, 0), wire.Commit{Apply: []wire.Change{{Set: key, Value: ledger.Encode(ledger.Kept{Hosts: part})}}}); err != nil {
				slog.Debug("kept machines not published", "err", err)
			}
		}
	}
}

func (n *Node) keptLately() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var ids []string
	now := time.Now()
	for id, at := range n.kept {
		if now.Sub(at) < n.cfg.HoldTTL() {
			ids = append(ids, id)
		} else {
			delete(n.kept, id)
		}
	}
	return ids
}

// heard is which machines peers answer in the leader's place.
func (n *Node) heard() []string {
	var ids []string
	for _, p := range n.peers {
		if r, ok := p.Last(n.cfg.HoldTTL()); ok {
			ids = append(ids, r.Heard...)
		}
	}
	return ids
}

// reached is the zones of the controllers that answer, this one's own included.
func (n *Node) reached() []string {
	zones := []string{n.cfg.Location}
	for _, p := range n.peers {
		if _, ok := p.Last(n.cfg.HoldTTL()); ok {
			zones = append(zones, p.Location)
		}
	}
	return zones
}

// Announce tells a worker a token by an empty direct command.
func (n *Node) Announce(ctx context.Context, address string, baton, shift uint64) (wire.Report, error) {
	body, err := json.Marshal(wire.Direct{Baton: baton, Shift: shift, Orders: []wire.Order{}})
	if err != nil {
		return wire.Report{}, fmt.Errorf("encode: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/do", bytes.NewReader(body))
	if err != nil {
		return wire.Report{}, fmt.Errorf("request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := n.workers.Do(req)
	if err != nil {
		return wire.Report{}, fmt.Errorf("announce: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 4*wire.MaxBody))
	if err != nil {
		return wire.Report{}, fmt.Errorf("announce: %w", err)
	}
	return wire.ParseReport(data)
}
