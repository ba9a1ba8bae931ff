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

// renewals are the worker leases that this node renews on behalf of a leader that it
// cannot reach. It is safe for concurrent use.
type renewals struct {
	*leadership
	store   *store.Client
	serving func() bool

	mu      sync.Mutex
	renewed map[string]time.Time // by machine: when its lease was last renewed here
}

// answer renews a worker's lease on behalf of a leader that this node cannot reach, and
// launches nothing. A worker that has seen a newer fencing token than this node knows from the
// state store or a leader has been in direct contact with the leader of that token: it is
// redirected to look for that leader. All others get the token that this node knows. A deposed
// leader that was cut off from the state store and its peers once passed the new token on to all
// its workers as soon as the first of them presented it: none of them looked for the new leader,
// which declared the whole fleet dead.
func (r *renewals) answer(heartbeat *wire.Heartbeat) (*wire.Commands, error) {
	v := r.elector.View()
	if !v.Synced || v.ConfirmedTerm == 0 {
		return nil, httpapi.ErrNoTerm
	}
	if heartbeat.FencingToken > v.ConfirmedTerm {
		r.elector.ObserveTerm(heartbeat.FencingToken, "")
		return nil, &httpapi.RedirectError{}
	}
	r.mu.Lock()
	if _, ok := r.renewed[heartbeat.Host]; !ok {
		slog.Info("worker lease is renewed on the leader's behalf", "host", heartbeat.Host, "term", v.ConfirmedTerm)
	}
	r.renewed[heartbeat.Host] = time.Now()
	r.mu.Unlock()
	return &wire.Commands{FencingToken: v.ConfirmedTerm, Commands: []wire.Command{}}, nil
}

// hosts lists the machines whose leases were renewed within a leader's lease.
func (r *renewals) hosts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var hosts []string
	now := time.Now()
	for host, at := range r.renewed {
		if now.Sub(at) < r.cfg.LeaderLeaseTTL() {
			hosts = append(hosts, host)
		} else {
			delete(r.renewed, host)
		}
	}
	return hosts
}

// publish writes to the state store, for the leader to read, the machines whose leases this node
// renews while it cannot reach the leader, once every fifth of a worker lease until ctx ends.
func (r *renewals) publish(ctx context.Context) {
	for timeralign.Sleep(ctx, r.cfg.WorkerLease()/5) {
		hosts := r.hosts()
		if len(hosts) == 0 || r.controller() != nil || r.leader() != nil || !r.serving() {
			continue
		}
		for i := 0; len(hosts) > 0; i++ {
			part := records.FitNames(hosts, r.cfg.MaxValueBytes())
			hosts = hosts[len(part):]
			value := records.Encode(records.RenewedLeases{Hosts: part})
			key := fmt.Sprintf("%s%s/%d", records.RenewedLeasesPrefix, r.cfg.Label, i)
			if _, err := r.store.Commit(store.WithUserLane(ctx, 0), wire.Transaction{Changes: []wire.Change{{Set: key, Value: value}}}); err != nil {
				slog.Debug("renewed worker leases could not be published", "err", err)
			}
		}
	}
}
