package controller

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/standby"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// failoverReport collects data on the beginning of a term, for one log line and one record. Its times are in
// milliseconds since leaderlessSince, when this node detected that there was no leader.
type failoverReport struct {
	record          records.Failover
	leaderlessSince time.Time
	machineReady    bool // a machine has sent a heartbeat with this term's token
	decided         bool // the first cycle that could place tasks has ended
}

// newFailoverReport begins the report of a term that this node has been elected for. If the node did not detect that
// there was no leader, the times count from its election.
func newFailoverReport(term uint64, node string, leaderlessSince, elected time.Time) *failoverReport {
	if leaderlessSince.IsZero() || leaderlessSince.After(elected) {
		leaderlessSince = elected
	}
	r := &failoverReport{
		leaderlessSince: leaderlessSince,
		record:          records.Failover{Term: term, Node: node, Cause: "no warm standby"},
	}
	r.record.ElectedMs = r.sinceLeaderlessMs(elected)
	return r
}

func (r *failoverReport) sinceLeaderlessMs(now time.Time) int64 {
	return now.Sub(r.leaderlessSince).Milliseconds()
}

// recordProofFailure records why this node's warm standby could not be used.
func (r *failoverReport) recordProofFailure(err error) { r.record.Cause = err.Error() }

// recordProof records that the state comes from this node's warm standby. It also records the term of the leader that
// the warm standby followed, the copy's position, digest and age, and the number of changes since that position.
func (r *failoverReport) recordProof(p *standby.ProvenCopy) {
	r.record.Warm, r.record.Cause = true, ""
	r.record.FollowedTerm, r.record.Position, r.record.Digest = p.FollowedTerm, p.Position, fmt.Sprintf("%016x", p.Digest)
	r.record.AgeMs, r.record.Changes = p.Age.Milliseconds(), p.Changes
}

// recordLoaded records that the state is loaded, and with how many machines and attempts.
func (r *failoverReport) recordLoaded(now time.Time, machines, attempts int) {
	r.record.LoadedMs, r.record.Machines, r.record.Attempts = r.sinceLeaderlessMs(now), machines, attempts
}

// recordMachineReady records when the first machine sent a heartbeat with this term's token. Later calls have no effect.
func (r *failoverReport) recordMachineReady(now time.Time) {
	if !r.machineReady {
		r.machineReady = true
		r.record.ReadyMs = r.sinceLeaderlessMs(now)
	}
}

// recordFirstDecision is called after every scheduling cycle whose plan has been applied. It records the time of the
// first cycle that could place tasks, and reports whether this cycle was that one.
func (r *failoverReport) recordFirstDecision(now time.Time) bool {
	if r.decided || !r.machineReady {
		return false
	}
	r.decided = true
	r.record.DecidedMs = r.sinceLeaderlessMs(now)
	return true
}

// finishFailover logs the failover report after the first cycle that could place tasks, and returns the record to store.
// It returns nil after any other cycle and if this node is not a warm standby. c.mu is held.
func (c *Controller) finishFailover(now time.Time) *records.Failover {
	if !c.failover.recordFirstDecision(now) {
		return nil
	}
	record := c.failover.record
	slog.Info("failover finished", "term", record.Term, "warm", record.Warm, "cause", record.Cause,
		"followed_term", record.FollowedTerm, "position", record.Position, "digest", record.Digest,
		"age_ms", record.AgeMs, "changes", record.Changes, "machines", record.Machines, "attempts", record.Attempts,
		"elected_ms", record.ElectedMs, "loaded_ms", record.LoadedMs, "ready_ms", record.ReadyMs, "decided_ms", record.DecidedMs)
	c.Observer.FailoverFinished(record)
	if c.ProveStandbyCopy == nil {
		return nil
	}
	return &record
}

// storeFailoverRecord stores the record of the failover, with the TTL of the leader lease as the timeout. It does not
// retry, because the log has the same data.
func (c *Controller) storeFailoverRecord(ctx context.Context, record records.Failover) {
	ctx, cancel := context.WithTimeout(ctx, c.Config.LeaderLeaseTTL())
	defer cancel()
	_, err := c.Store.Commit(store.WithBackgroundLane(ctx), wire.Transaction{
		Compares: []wire.Compare{{Key: records.LeaderKey, ModRevision: c.term}},
		Changes:  []wire.Change{{Set: records.FailoverKey, Value: records.Encode(record)}},
	})
	if err != nil {
		slog.Info("failover record could not be stored", "term", c.term, "err", err)
	}
}

// recordFirstReady records when the first machine of the term became ready. c.mu is held.
func (c *Controller) recordFirstReady(m *fleet.Machine) {
	if m.State == fleet.Ready {
		c.failover.recordMachineReady(c.now())
	}
}
