package node

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"lotusstile.dev/lotusstile/internal/httpapi"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/wire"
)

// leaseRenewals renews worker leases on behalf of a leader that this node cannot reach, and records for which
// machines it does so. It is safe for concurrent use.
type leaseRenewals struct {
	*leadership
	store     *store.Client
	isServing func() bool

	mu        sync.Mutex
	renewedAt map[string]time.Time // by machine: when this node last renewed its lease
}

// renewForLeader renews a worker's lease on behalf of a leader that this node cannot reach. The answer
// launches nothing, and carries the newest fencing token that the state store or a leader has confirmed.
//
// A worker that presents a newer token has been in direct contact with the leader of that token, and is
// redirected to look for that leader. This node must not pass the newer token on: when a deposed leader
// without a connection to the state store and its peers did so, none of its workers looked for the new
// leader, which then declared the whole fleet dead.
func (r *leaseRenewals) renewForLeader(heartbeat *wire.Heartbeat) (*wire.Commands, error) {
	view := r.elector.View()
	if !view.Synced || view.ConfirmedTerm == 0 {
		return nil, httpapi.ErrNoTerm
	}
	if heartbeat.FencingToken > view.ConfirmedTerm {
		return nil, &httpapi.RedirectError{}
	}
	r.mu.Lock()
	if _, ok := r.renewedAt[heartbeat.Host]; !ok {
		slog.Info("renewing worker lease on behalf of the unreachable leader", "host", heartbeat.Host, "term", view.ConfirmedTerm)
	}
	r.renewedAt[heartbeat.Host] = time.Now()
	r.mu.Unlock()
	return &wire.Commands{FencingToken: view.ConfirmedTerm, Commands: []wire.Command{}}, nil
}

// hosts lists the machines whose leases this node has renewed within the last leader lease, and forgets the
// others.
func (r *leaseRenewals) hosts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var hosts []string
	now := time.Now()
	for host, at := range r.renewedAt {
		if now.Sub(at) < r.cfg.LeaderLeaseTTL() {
			hosts = append(hosts, host)
		} else {
			delete(r.renewedAt, host)
		}
	}
	return hosts
}

// publish writes to the state store, where the leader reads it, the list of the machines whose leases this node
// has renewed. It does so every fifth of a worker lease while this node cannot reach a leader, until ctx ends.
func (r *leaseRenewals) publish(ctx context.Context) {
	for timeralign.Sleep(ctx, r.cfg.WorkerLease()/5) {
		hosts := r.hosts()
		if len(hosts) == 0 || r.controller() != nil || r.leader() != nil || !r.isServing() {
			continue
		}
		for i := 0; len(hosts) > 0; i++ {
			chunk := records.FitNames(hosts, r.cfg.MaxValueBytes())
			hosts = hosts[len(chunk):]
			value := records.Encode(records.RenewedLeases{Hosts: chunk})
			key := fmt.Sprintf("%s%s/%d", records.RenewedLeasesPrefix, r.cfg.Label, i)
			if _, err := r.store.Commit(store.WithUserLane(ctx, 0), wire.Transaction{Changes: []wire.Change{{Set: key, Value: value}}}); err != nil {
				slog.Debug("could not publish renewed worker leases", "err", err)
			}
		}
	}
}
