package node

import (
	"context"
	"log/slog"
	"time"

	"lotusstile.dev/lotusstile/internal/clusterversion"
	"lotusstile.dev/lotusstile/internal/election"
	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/wire"
)

// pingLoop pings a peer once every quarter of a leader lease until ctx ends, and applies the peer's answers.
func (n *Node) pingLoop(ctx context.Context, p *peer.Peer) {
	for ctx.Err() == nil {
		args := peer.PingArgs{From: n.cfg.Label, Term: n.elector.View().Term, Version: int(clusterversion.Latest)}
		args.CountsTerm, args.CountsRevision = n.counts.KnownRevision(p.Label)
		sentAt := time.Now()
		answer, err := p.Ping(args)
		n.relay.recordPing(p.Label, answer, err == nil)
		if err != nil {
			slog.Debug("peer did not answer a ping", "peer", p.Label, "err", err)
		} else if answer.Leading {
			if answer.Term >= n.elector.View().Term { // a deposed leader does not know what its successor has changed
				n.counts.Update(p.Label, args, answer, sentAt)
			}
			for _, view := range answer.Counts {
				if view.Status.Final() {
					n.statuses.RecordFinal(view.UID, view.Status)
				}
			}
			n.elector.ObserveTerm(answer.Term, p.Label)
		}
		n.raiseVersion(ctx)
		timeralign.Sleep(ctx, n.cfg.TimerGrid().UntilNext(time.Now(), n.cfg.LeaderLeaseTTL()/4))
	}
}

// Ping answers a peer's ping. If this node leads and the peer knows a newer term, Ping reports that term to
// the elector.
func (n *Node) Ping(args peer.PingArgs) peer.PingResult {
	result := peer.PingResult{
		Term:         n.elector.View().Term,
		Serving:      n.isServing(),
		RenewedHosts: n.renewals.hosts(),
		Version:      int(clusterversion.Latest),
		CanRelay:     n.cfg.RelayHeartbeats,
		CanFollow:    n.cfg.WarmStandby,
		Stalled:      n.elector.Stalled(),
	}
	if c := n.controller(); c != nil {
		result.Leading, result.Term = true, c.Term()
		result.WantsRelays, result.Standby = n.relay.isRelaying(), n.standby.chooseStandby()
		if args.Term > c.Term() {
			n.elector.ObserveTerm(args.Term, "")
		}
		since := args.CountsRevision
		if args.CountsTerm != c.Term() {
			since = 0 // the revision is of another term: send all counts
		}
		changes := c.CountsSince(since)
		result.Counts, result.CountsRevision, result.CountsMore = changes.Views, changes.Revision, changes.More
		result.StartingJobs, result.UnconfirmedJobs = changes.Starting, changes.Unconfirmed
	}
	return result
}

// Counts returns the task counts of a job, for a peer that is answering a user's poll of the job.
func (n *Node) Counts(args peer.CountsArgs) peer.CountsReply {
	c := n.controller()
	if c == nil {
		return peer.CountsReply{}
	}
	counts := c.Counts(args.UID)
	return peer.CountsReply{Known: counts.Knowledge == peer.CountsKnown, Done: counts.Done, Running: counts.Running}
}

// taskCounts returns the task counts of a job: those that this node knows as the leader, those from a leader's last
// answer to a ping, which hold for a while after it has ended, or those that the leader answers a call with.
func (n *Node) taskCounts(uid string) peer.TaskCounts {
	var own peer.TaskCounts
	if c := n.controller(); c != nil && n.elector.State() == election.Leading {
		if own = c.Counts(uid); own.Knowledge == peer.CountsKnown {
			return own
		}
	}
	counts, current := n.counts.Get(uid)
	if current && counts.Knowledge != peer.CountsStarting {
		return counts
	}
	p := n.leader()
	if p == nil {
		return own
	}
	reply, err := p.Counts(uid)
	if err != nil {
		slog.Debug("leader did not answer the call for task counts", "uid", uid, "err", err)
	}
	if err != nil || !reply.Known {
		return peer.TaskCounts{}
	}
	return peer.TaskCounts{Done: reply.Done, Running: reply.Running, Knowledge: peer.CountsKnown}
}

// leaderIsCutOff reports whether another node leads, as far as this node knows, and this node cannot reach it. Another
// node may reach that leader.
func (l *leadership) leaderIsCutOff() bool {
	leader := l.elector.View().Leader
	return leader != "" && leader != l.cfg.Label && l.leader() == nil
}

// raiseVersion raises the cluster version if this node leads and all members support a newer version. The
// latest announcement of each member counts, since a node that is rolled back to an older release announces
// its older version with its next ping.
func (n *Node) raiseVersion(ctx context.Context) {
	c := n.controller()
	if c == nil || n.version.InForce() == clusterversion.Latest {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, n.cfg.LeaderLeaseTTL())
	defer cancel()
	var supported []clusterversion.Version
	var compares []wire.Compare
	for _, p := range n.peers {
		version := p.SupportedVersion()
		if _, answered := p.LastPing(n.cfg.LeaderLeaseTTL()); !answered && version < clusterversion.Latest {
			announced, compare, err := clusterversion.ReadAnnounced(ctx, n.store, p.Label)
			if err != nil {
				slog.Debug("could not read the version that the peer announced", "peer", p.Label, "err", err)
			}
			version, compares = announced, append(compares, compare)
		}
		supported = append(supported, version)
	}
	if err := n.version.Raise(ctx, n.store, c.Term(), supported, compares...); err != nil {
		slog.Info("could not raise the cluster version", "err", err)
	}
}
