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

// failoverReport notes how a term began, for one line of the log and one record.
type failoverReport struct {
	record          records.Takeover
	leaderlessSince time.Time // when it was seen that nobody leads
	ready           bool      // a machine has reported with this term's token
	done            bool      // the first round that could place tasks has ended
}

func newFailoverReport(term uint64, node string, leaderlessSince, elected time.Time) *failoverReport {
	if leaderlessSince.IsZero() || leaderlessSince.After(elected) {
		leaderlessSince = elected
	}
	t := &failoverReport{leaderlessSince: leaderlessSince, record: records.Takeover{Term: term, Node: node, Cause: "no warm standby"}}
	t.record.ElectedMs = t.sinceLeaderlessMs(elected)
	return t
}

func (t *failoverReport) sinceLeaderlessMs(now time.Time) int64 {
	return now.Sub(t.leaderlessSince).Milliseconds()
}

// recordCold notes why what was followed could not be taken over.
func (t *failoverReport) recordCold(err error) { t.record.Cause = err.Error() }

// recordWarm notes what was taken over.
func (t *failoverReport) recordWarm(p *standby.Proven) {
	t.record.Warm, t.record.Cause = true, ""
	t.record.FollowedTerm, t.record.Position, t.record.Digest = p.FollowedTerm, p.Position, fmt.Sprintf("%016x", p.Digest)
	t.record.AgeMs, t.record.Changes = p.Age.Milliseconds(), p.Changes
}

func (t *failoverReport) recordLoaded(now time.Time, machines, attempts int) {
	t.record.LoadedMs, t.record.Machines, t.record.Attempts = t.sinceLeaderlessMs(now), machines, attempts
}

// recordMachineReady notes that a machine has reported with this term's token.
func (t *failoverReport) recordMachineReady(now time.Time) {
	if !t.ready {
		t.ready = true
		t.record.ReadyMs = t.sinceLeaderlessMs(now)
	}
}

// recordDecision notes a round, and reports whether it was the first that could place tasks.
func (t *failoverReport) recordDecision(now time.Time) bool {
	if t.done || !t.ready {
		return false
	}
	t.done = true
	t.record.DecidedMs = t.sinceLeaderlessMs(now)
	return true
}

// reportFailover writes, after the first round that could place tasks, how the takeover went.
// c.mu is held.
func (c *Controller) reportFailover(now time.Time) {
	if !c.failover.recordDecision(now) {
		return
	}
	rec := c.failover.record
	slog.Info("takeover", "term", rec.Term, "warm", rec.Warm, "cause", rec.Cause, "followed_term", rec.FollowedTerm, "position", rec.Position,
		"digest", rec.Digest, "age_ms", rec.AgeMs, "changes", rec.Changes, "machines", rec.Machines, "attempts", rec.Attempts,
		"elected_ms", rec.ElectedMs, "loaded_ms", rec.LoadedMs, "ready_ms", rec.ReadyMs, "decided_ms", rec.DecidedMs)
	c.Observer.FailoverFinished(rec)
	if c.Prove != nil {
		go c.storeFailoverRecord(rec)
	}
}

// storeFailoverRecord keeps the record of the takeover. It is not tried twice: the log has it.
func (c *Controller) storeFailoverRecord(rec records.Takeover) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Config.LeaderLeaseTTL())
	defer cancel()
	_, err := c.Store.Commit(store.Note(ctx), wire.Transaction{
		Compares: []wire.Compare{{Key: records.LeaderKey, ModRevision: c.term}},
		Changes:  []wire.Change{{Set: records.TakeoverKey, Value: records.Encode(rec)}},
	})
	if err != nil {
		slog.Info("takeover not recorded", "term", c.term, "err", err)
	}
}

// recordFirstReady notes the first machine that is ready.
func (c *Controller) recordFirstReady(m *fleet.Machine) {
	if m.State == fleet.Ready {
		c.failover.recordMachineReady(c.now())
	}
}
