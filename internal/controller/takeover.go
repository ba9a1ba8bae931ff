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

// takeover notes how a term began, for one line of the log and one record.
type takeover struct {
	rec             records.Failover
	leaderlessSince time.Time // when it was seen that nobody leads
	ready           bool      // a machine has reported with this term's token
	done            bool      // the first round that could place tasks has ended
}

func newTakeover(term uint64, node string, leaderlessSince, elected time.Time) *takeover {
	if leaderlessSince.IsZero() || leaderlessSince.After(elected) {
		leaderlessSince = elected
	}
	t := &takeover{leaderlessSince: leaderlessSince, rec: records.Failover{Term: term, Node: node, Cause: "no warm standby"}}
	t.rec.ElectedMs = t.since(elected)
	return t
}

func (t *takeover) since(now time.Time) int64 { return now.Sub(t.leaderlessSince).Milliseconds() }

// cold notes why what was followed could not be taken over.
func (t *takeover) cold(err error) { t.rec.Cause = err.Error() }

// proven notes what was taken over.
func (t *takeover) proven(p *standby.Proven) {
	t.rec.Warm, t.rec.Cause = true, ""
	t.rec.FollowedTerm, t.rec.Position, t.rec.Digest = p.FollowedTerm, p.Position, fmt.Sprintf("%016x", p.Digest)
	t.rec.AgeMs, t.rec.Changes = p.Age.Milliseconds(), p.Changes
}

func (t *takeover) loaded(now time.Time, machines, attempts int) {
	t.rec.LoadedMs, t.rec.Machines, t.rec.Attempts = t.since(now), machines, attempts
}

// machineReady notes that a machine has reported with this term's token.
func (t *takeover) machineReady(now time.Time) {
	if !t.ready {
		t.ready = true
		t.rec.ReadyMs = t.since(now)
	}
}

// decided notes a round, and reports whether it was the first that could place tasks.
func (t *takeover) decided(now time.Time) bool {
	if t.done || !t.ready {
		return false
	}
	t.done = true
	t.rec.DecidedMs = t.since(now)
	return true
}

// noteDecision writes, after the first round that could place tasks, how the takeover went.
// c.mu is held.
func (c *Controller) noteDecision(now time.Time) {
	if !c.takeover.decided(now) {
		return
	}
	rec := c.takeover.rec
	slog.Info("takeover", "term", rec.Term, "warm", rec.Warm, "cause", rec.Cause, "followed_term", rec.FollowedTerm, "position", rec.Position,
		"digest", rec.Digest, "age_ms", rec.AgeMs, "changes", rec.Changes, "machines", rec.Machines, "attempts", rec.Attempts,
		"elected_ms", rec.ElectedMs, "loaded_ms", rec.LoadedMs, "ready_ms", rec.ReadyMs, "decided_ms", rec.DecidedMs)
	if c.Promoted != nil {
		c.Promoted(rec)
	}
	if c.Prove != nil {
		go c.recordTakeover(rec)
	}
}

// recordTakeover keeps the record of the takeover. It is not tried twice: the log has it.
func (c *Controller) recordTakeover(rec records.Failover) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Config.LeaderLeaseTTL())
	defer cancel()
	_, err := c.Store.Commit(store.WithBackgroundLane(ctx), wire.Transaction{
		Compares: []wire.Compare{{Key: records.LeaderKey, ModRevision: c.term}},
		Changes:  []wire.Change{{Set: records.FailoverKey, Value: records.Encode(rec)}},
	})
	if err != nil {
		slog.Info("takeover not recorded", "term", c.term, "err", err)
	}
}

// noteReady notes the first machine that is ready.
func (c *Controller) noteReady(m *fleet.Machine) {
	if m.State == fleet.Ready {
		c.takeover.machineReady(c.now())
	}
}
